// Package election elects one leader among the nodes of a cluster by means of a key attached to a
// short lease of the key-value store, and bounds the time until which no other node can lead.
//
// A node follows while another one holds the leader key. When the key is gone, it requests a
// lease, reads the number of the last term, and claims the leader key for the next term in one
// transaction. As leader it renews the lease until it steps down or learns that its lease or its
// key is lost.
package election

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// The keys of an election.
const (
	LeaderKey = "leader" // held by the leader, deleted with its lease
	TermKey   = "term"   // the last term; never deleted
)

// State is a node's role in the election.
type State uint8

// The states of a node.
const (
	Following       State = iota // watching the leader key, or waiting to read it again
	RequestingLease              // requesting a lease and reading the last term
	Claiming                     // the transaction on the leader key is under way
	Leading                      // the leader key was this node's when last read
)

// String returns the state's name in logs.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"following", "requesting lease", "claiming", "leading"}

// transitionReason is the reason of a state change, for logs.
type transitionReason string

const (
	checkingLeader  transitionReason = "checking the leader key"
	abstaining      transitionReason = "abstaining from candidacy"
	deferring       transitionReason = "letting other nodes claim first"
	leaderKeyFree   transitionReason = "the leader key is free"
	leaseNotGranted transitionReason = "no lease granted"
	termNotRead     transitionReason = "the last term is unknown"
	candidacyReady  transitionReason = "lease granted and last term known"
	claimSucceeded  transitionReason = "claim succeeded"
)

// callTimeout bounds requests to the key-value store, except for watches and lease renewals.
const callTimeout = time.Second

// Port is the environment of an Elector. Timers and responses must not run concurrently with one
// another, or with calls of the Elector's methods.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// Callbacks notify the owner of an Elector. They are never called concurrently.
type Callbacks interface {
	// OnStartedLeading reports the start of a term at the format level in force. The owner adds
	// leaderKey to the compares of its transactions, so that they fail once another node leads.
	OnStartedLeading(term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare)
	// OnStoppedLeading reports the end of the term.
	OnStoppedLeading(reason StepDownReason)
}

// leaderRecord is the value of the leader key.
type leaderRecord struct {
	Node  ident.NodeID `json:"node"`
	Term  ident.Term   `json:"term"`
	Nonce uint64       `json:"nonce"` // distinguishes the processes of a node
}

// knownLeader is the leader of the latest term known to the node.
type knownLeader struct {
	leaderRecord
	gone bool // its key was deleted
}

func (l knownLeader) exists() bool { return l.Node != "" && !l.gone }

// Elector takes part in elections on behalf of a node. It is not safe for concurrent use.
type Elector struct {
	port      Port
	callbacks Callbacks
	self      ident.NodeID
	leaseTTL  time.Duration
	nonce     uint64
	rng       *rand.Rand

	state State
	// generation counts the calls of setState. Responses and timers of earlier generations are
	// ignored.
	generation uint64

	knownLeader  knownLeader
	abstainUntil ident.MonotonicTime // no candidacy before this time
	preferred    successorPreference
	// campaignDelayed is set once CampaignDelay has been applied, until a leader is known again.
	campaignDelayed bool
	// CampaignDelay returns how long the node lets other nodes claim first, 0 for no delay. It may
	// be nil, and must be set before Start.
	CampaignDelay func() time.Duration

	// The term that the node leads, or led last.
	term       ident.Term
	leaderKey  kvstore.Compare // the leader key as this node wrote it
	leaseID    uint64
	validUntil ident.MonotonicTime // no other node can lead before this time
	// unansweredSince is when the oldest renewal without a response was sent, ident.Never if there
	// is none.
	unansweredSince ident.MonotonicTime
}

// New returns the elector of a node. leaseTTL is the TTL of the leader lease; rng adds jitter to
// retries.
func New(port Port, callbacks Callbacks, self ident.NodeID, leaseTTL time.Duration, rng *rand.Rand) *Elector {
	return &Elector{
		port:            port,
		callbacks:       callbacks,
		self:            self,
		leaseTTL:        leaseTTL,
		nonce:           rng.Uint64(),
		rng:             rng,
		unansweredSince: ident.Never,
	}
}

// Start begins to take part in elections.
func (e *Elector) Start() { e.checkLeader() }

// State returns the node's role in the election.
func (e *Elector) State() State { return e.state }

// Term returns the term that the node leads, or led last.
func (e *Elector) Term() ident.Term { return e.term }

// LeaseValid reports whether this node leads and no other node can lead at this moment.
func (e *Elector) LeaseValid() bool { return e.state == Leading && e.port.Now() < e.validUntil }

// LeaseExpiry returns when LeaseValid becomes false, unless the lease is renewed.
func (e *Elector) LeaseExpiry() ident.MonotonicTime { return e.validUntil }

// WithinGrace reports whether this node leads and its lease is valid or has expired less than grace
// ago.
func (e *Elector) WithinGrace(grace time.Duration) bool {
	return e.state == Leading && e.port.Now() < e.validUntil.Add(grace)
}

// Leader returns the leader of the latest term known, and whether it is known to lead.
func (e *Elector) Leader() (ident.NodeID, bool) {
	if e.state == Leading {
		return e.self, true
	}
	return e.knownLeader.Node, e.knownLeader.exists() && e.knownLeader.Node != e.self
}

// ObserveLeader records that a node leads a term, as a peer's heartbeat reports. It ends this node's
// term if the reported term is later.
func (e *Elector) ObserveLeader(node ident.NodeID, term ident.Term) {
	if e.state == Leading && term > e.term {
		e.stepDown(LaterTermKnown)
	}
	if term > e.knownLeader.Term {
		e.knownLeader = knownLeader{leaderRecord: leaderRecord{Node: node, Term: term}}
	}
}

// setState is the only function that changes the state. A change to the same state also cancels
// pending responses and timers.
func (e *Elector) setState(next State, reason transitionReason) {
	if e.state != next {
		slog.Debug("election state changed", "from", e.state.String(), "to", next.String(), "reason", string(reason))
	}
	e.state = next
	e.generation++
}

// callStore sends a request. The response is ignored if setState is called before it arrives.
func (e *Elector) callStore(request kvstore.Request, onResponse func(kvstore.Response)) {
	generation := e.generation
	e.port.Store(request, func(response kvstore.Response) {
		if e.generation == generation {
			onResponse(response)
		}
	})
}

// afterInState calls f after d, unless setState is called first.
func (e *Elector) afterInState(d time.Duration, f func()) {
	generation := e.generation
	e.port.After(d, func() {
		if e.generation == generation {
			f()
		}
	})
}

// Package election elects one leader among the nodes of a cluster. The leader holds a key of the
// key-value store that is attached to a short lease, and computes until when no other node can lead.
//
// A node is a follower while another node holds the leader key. When the key is deleted, the node
// requests a lease, reads the number of the last term, and claims the leader key for the next term
// in one transaction. The leader renews the lease until it steps down or detects that it has lost the
// lease or the key.
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
	LeaderKey = "leader" // written by the leader; deleted when its lease expires or is revoked
	TermKey   = "term"   // the number of the last term; never deleted
)

// State is a node's role in the election.
type State uint8

// The states of a node.
const (
	Following       State = iota // watching the leader key, or waiting to read it again
	RequestingLease              // requesting a lease and reading the last term
	Claiming                     // the transaction that claims the leader key is in flight
	Leading                      // this node held the leader key when it was last read or written
)

// String returns the name of the state in logs.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

var stateNames = [...]string{"following", "requesting lease", "claiming", "leading"}

// transitionReason is the reason for a state change. It is used in logs only.
type transitionReason string

const (
	checkingLeader  transitionReason = "reading the leader key"
	abstaining      transitionReason = "no candidacy allowed yet after resignation or handover"
	deferring       transitionReason = "waiting for other nodes to claim first"
	leaderKeyFree   transitionReason = "leader key has no holder"
	leaseNotGranted transitionReason = "lease request failed"
	termNotRead     transitionReason = "last term could not be read"
	candidacyReady  transitionReason = "lease granted and last term read"
	claimSucceeded  transitionReason = "claim succeeded"
)

// callTimeout is the timeout of requests to the key-value store, except for watches and lease renewals.
const callTimeout = time.Second

// Port gives an Elector access to the clock, to timers and to the key-value store. Callbacks must not run
// concurrently with one another or with the Elector's methods.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// Callbacks notify the owner of an Elector. They are never called concurrently.
type Callbacks interface {
	// OnStartedLeading is called at the start of a term, with the current format level. The owner adds
	// leaderKey to the compares of its transactions, so that they fail once another node leads.
	OnStartedLeading(term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare)
	// OnStoppedLeading is called at the end of the term.
	OnStoppedLeading(reason StepDownReason)
}

// leaderRecord is the value of the leader key.
type leaderRecord struct {
	Node  ident.NodeID `json:"node"`
	Term  ident.Term   `json:"term"`
	Nonce uint64       `json:"nonce"` // random number of the process that wrote the record
}

// knownLeader is the leader of the latest term known to the node.
type knownLeader struct {
	leaderRecord
	keyDeleted bool // the leader key was deleted after that leader had written it
}

func (l knownLeader) exists() bool { return l.Node != "" && !l.keyDeleted }

// Elector runs the election protocol for one node. It is not safe for concurrent use.
type Elector struct {
	port      Port
	callbacks Callbacks
	self      ident.NodeID
	leaseTTL  time.Duration
	nonce     uint64
	rng       *rand.Rand

	state State
	// generation counts the calls of setState. Responses and timers that were requested in an earlier
	// generation are ignored.
	generation uint64

	knownLeader  knownLeader
	abstainUntil ident.MonotonicTime // no candidacy before this time
	preferred    successorPreference
	// campaignDelayed is set once CampaignDelay has been applied, until a leader is known again.
	campaignDelayed bool
	// CampaignDelay returns how long the node waits for other nodes to claim first, 0 for no delay. It
	// may be nil, and must be set before Start.
	CampaignDelay func() time.Duration

	// term is the term that the node leads, or led most recently; the fields below belong to it.
	term       ident.Term
	leaderKey  kvstore.Compare // holds while the leader key is as this node wrote it
	leaseID    uint64
	validUntil ident.MonotonicTime // no other node can lead before this time
	// unansweredSince is when the first renewal since the last response was sent, ident.Never if no
	// renewal awaits a response.
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

// Start starts the election protocol by reading the leader key.
func (e *Elector) Start() { e.checkLeader() }

// State returns the node's role in the election.
func (e *Elector) State() State { return e.state }

// Term returns the term that the node leads, or led most recently.
func (e *Elector) Term() ident.Term { return e.term }

// LeaseValid reports whether this node leads and no other node can lead at this moment.
func (e *Elector) LeaseValid() bool { return e.state == Leading && e.port.Now() < e.validUntil }

// LeaseExpiry returns when LeaseValid becomes false, unless the lease is renewed.
func (e *Elector) LeaseExpiry() ident.MonotonicTime { return e.validUntil }

// WithinGrace reports whether this node leads and its lease is valid or expired less than grace ago.
func (e *Elector) WithinGrace(grace time.Duration) bool {
	return e.state == Leading && e.port.Now() < e.validUntil.Add(grace)
}

// Leader returns the leader of the latest known term, and whether that node still leads as far as known.
func (e *Elector) Leader() (ident.NodeID, bool) {
	if e.state == Leading {
		return e.self, true
	}
	return e.knownLeader.Node, e.knownLeader.exists() && e.knownLeader.Node != e.self
}

// ObserveLeader records the leader and term that a peer reports in a heartbeat. If this node leads an
// earlier term, it steps down.
func (e *Elector) ObserveLeader(node ident.NodeID, term ident.Term) {
	if e.state == Leading && term > e.term {
		e.stepDown(LaterTermKnown)
	}
	if term > e.knownLeader.Term {
		e.knownLeader = knownLeader{leaderRecord: leaderRecord{Node: node, Term: term}}
	}
}

// setState is the only function that changes the state. Every call, also one with the current state,
// cancels pending responses and timers.
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

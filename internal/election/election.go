// Package election finds the one leader by a key under a short lease of the
// state service, and tells how long that leadership surely lasts.
package election

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// The keys of an election. The term outlives every leader.
const (
	LeaderKey = "leader"
	TermKey   = "term"
)

// termRecord is the value of the term's key once a format level is in force. Below it
// the value is the bare number; a program that knows no levels can't read more, and so
// can't lead.
type termRecord struct {
	Term  ident.Term        `json:"term"`
	Level ident.FormatLevel `json:"level"`
}

// EncodeTerm is what the term's key holds.
func EncodeTerm(term ident.Term, level ident.FormatLevel) json.RawMessage {
	var v any = term
	if level > 0 {
		v = termRecord{term, level}
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeTerm reads what EncodeTerm wrote.
func DecodeTerm(data []byte) (ident.Term, ident.FormatLevel, error) {
	var term ident.Term
	if json.Unmarshal(data, &term) == nil {
		return term, 0, nil
	}
	var record termRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return 0, 0, err
	}
	if record.Term == 0 || record.Level == 0 {
		return 0, 0, errors.New("term or level missing")
	}
	if record.Level > ident.NewestFormatLevel {
		return 0, 0, fmt.Errorf("format level %d is later than this program's", record.Level)
	}
	return record.Term, record.Level, nil
}

// State is where a node stands in the election.
type State uint8

// The states of a node.
const (
	Following       State = iota // watching the leader key
	RequestingLease              // asking for a lease and the term
	Claiming                     // transaction for the leader key under way
	Leading                      // the key was ours when last heard
)

func (s State) String() string {
	return [...]string{"following", "granting", "claiming", "leading"}[s]
}

const (
	callTimeout     = time.Second
	recheckInterval = 300 * time.Millisecond
	watchBlock      = 10 * time.Second
)

// Port is what an election needs of the world.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// Callbacks are told to the owner, one call at a time.
type Callbacks interface {
	// OnStartedLeading begins a term, with the format level in force.
	OnStartedLeading(t ident.Term, l ident.FormatLevel, key kvstore.Compare)
	// OnStoppedLeading ends it.
	OnStoppedLeading(why string)
}

// leaderRecord is the value of the leader key.
type leaderRecord struct {
	Node  ident.NodeID `json:"node"`
	Term  ident.Term   `json:"term"`
	Nonce uint64       `json:"nonce"`
}

// Elector is a node's part in the elections.
type Elector struct {
	port      Port
	callbacks Callbacks
	self      ident.NodeID
	leaseTTL  time.Duration
	nonce     uint64
	rng       *rand.Rand

	state        State
	generation   uint64 // invalidates answers of earlier attempts
	term         ident.Term
	leaseID      uint64
	validUntil   ident.MonotonicTime
	abstainUntil ident.MonotonicTime
	// renewalUnanswered says that no renewal since waiting has had an answer.
	renewalUnanswered bool
	unansweredSince   ident.MonotonicTime

	knownLeader     leaderRecord
	knownLeaderGone bool // the known leader's key is gone

	leaderKey       kvstore.Compare // the leader key, while it is ours
	preferred       successorPreference
	campaignDelayed bool // since somebody was last known to lead
	// CampaignDelay returns for how long the node lets others claim first, 0 for not at all; it
	// may be nil.
	CampaignDelay func() time.Duration
}

// New makes the machine of a node.
func New(port Port, callbacks Callbacks, self ident.NodeID, leaseTTL time.Duration, rng *rand.Rand) *Elector {
	return &Elector{port: port, callbacks: callbacks, self: self, leaseTTL: leaseTTL, nonce: rng.Uint64(), rng: rng}
}

// Start begins to follow.
func (e *Elector) Start() { e.checkLeader() }

// State returns where the node stands.
func (e *Elector) State() State { return e.state }

// Term returns the term the node leads in.
func (e *Elector) Term() ident.Term { return e.term }

// LeaseValid says whether nobody else can be leader at this moment.
func (e *Elector) LeaseValid() bool { return e.state == Leading && e.port.Now() < e.validUntil }

// LeaseExpiry returns when that ends, unless it is renewed.
func (e *Elector) LeaseExpiry() ident.MonotonicTime { return e.validUntil }

// WithinGrace says whether leadership was sure until at most d ago.
func (e *Elector) WithinGrace(grace time.Duration) bool {
	return e.state == Leading && e.port.Now() < e.validUntil.Add(grace)
}

// Leader returns the newest leader known, if any.
func (e *Elector) Leader() (ident.NodeID, bool) {
	if e.state == Leading {
		return e.self, true
	}
	return e.knownLeader.Node, e.knownLeader.Node != "" && !e.knownLeaderGone && e.knownLeader.Node != e.self
}

// setState is the one place where the state changes.
func (e *Elector) setState(s State, why string) {
	if e.state != s {
		slog.Debug("election", "from", e.state.String(), "to", s.String(), "why", why)
	}
	e.state = s
	e.generation++
}

// PeerReportedLeader takes a sibling's word that somebody leads in a term.
func (e *Elector) PeerReportedLeader(node ident.NodeID, term ident.Term) {
	if e.state == Leading && term > e.term {
		e.stepDown("a later term is known")
	}
	if term > e.knownLeader.Term {
		e.knownLeader, e.knownLeaderGone = leaderRecord{Node: node, Term: term}, false
	}
}

// Resign gives leadership up and takes no part for a while.
func (e *Elector) Resign(abstain time.Duration, why string) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.port.Store(kvstore.Request{Op: kvstore.RevokeLease, LeaseID: e.leaseID, Timeout: callTimeout}, func(kvstore.Response) {})
	e.stepDown(why)
}

// Deposed is called by the owner when it learns that the term is over.
func (e *Elector) Deposed(why string) {
	if e.state == Leading {
		e.stepDown(why)
	}
}

func (e *Elector) stepDown(why string) {
	slog.Info("leadership ends", "term", uint64(e.term), "why", why)
	e.setState(Following, why)
	e.knownLeader, e.knownLeaderGone = leaderRecord{}, false
	e.callbacks.OnStoppedLeading(why)
	e.checkLeader()
}

// callStore sends a request whose answer counts only while the state stays the same.
func (e *Elector) callStore(r kvstore.Request, onResponse func(kvstore.Response)) {
	generation := e.generation
	e.port.Store(r, func(response kvstore.Response) {
		if e.generation == generation {
			onResponse(response)
		}
	})
}

func (e *Elector) checkLeaderLater() {
	generation := e.generation
	e.port.After(recheckInterval+time.Duration(e.rng.Int64N(int64(recheckInterval))), func() {
		if e.generation == generation {
			e.checkLeader()
		}
	})
}

// checkLeader reads the leader key.
func (e *Elector) checkLeader() {
	e.setState(Following, "look")
	e.callStore(kvstore.Request{Op: kvstore.Get, Key: LeaderKey, Timeout: callTimeout}, func(response kvstore.Response) {
		switch response.Outcome {
		case kvstore.OK:
			var rec leaderRecord
			if err := json.Unmarshal(response.Value, &rec); err != nil {
				slog.Error("leader key is malformed", "err", err)
				e.checkLeaderLater()
				return
			}
			if rec.Node == e.self {
				// Left by an earlier process of this node, which is surely dead,
				// or by an attempt of ours whose answer was lost.
				e.campaign(response.Revision)
				return
			}
			e.observeLeader(rec)
			e.watchLeader(response.Revision)
		case kvstore.NotFound:
			e.campaign(0)
		default:
			e.checkLeaderLater()
		}
	})
}

func (e *Elector) observeLeader(rec leaderRecord) {
	e.campaignDelayed = false
	if rec.Term >= e.knownLeader.Term {
		e.knownLeader, e.knownLeaderGone = rec, false
	}
}

// watchLeader waits for the leader key to change.
func (e *Elector) watchLeader(fromRevision ident.Revision) {
	e.callStore(kvstore.Request{Op: kvstore.Watch, Prefix: LeaderKey, Revision: fromRevision, Block: watchBlock,
		Timeout: watchBlock + 2*time.Second}, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			e.checkLeaderLater()
			return
		}
		gone := false
		for _, event := range response.Events {
			switch {
			case event.Delete == LeaderKey:
				gone = true
			case event.Put == LeaderKey:
				gone = false
				var rec leaderRecord
				if json.Unmarshal(event.Value, &rec) != nil || rec.Node == e.self {
					e.checkLeader()
					return
				}
				e.observeLeader(rec)
			}
		}
		if gone {
			e.knownLeaderGone = true
			e.campaign(0)
			return
		}
		e.watchLeader(max(response.StoreRevision, fromRevision))
	})
}

// campaign tries to put the leader key, whose stamp was seen to be over.
func (e *Elector) campaign(staleRevision ident.Revision) {
	if wait := e.abstainUntil.Sub(e.port.Now()); wait > 0 {
		e.setState(Following, "resting")
		e.checkLeaderLater()
		return
	}
	if e.deferToOthers() {
		return
	}
	e.setState(RequestingLease, "no leader")
	sentAt := e.port.Now()
	var leaseID uint64
	var term ident.Term
	var level ident.FormatLevel
	var termRevision ident.Revision
	pending := 2
	claimWhenReady := func() {
		if pending--; pending == 0 {
			e.claim(staleRevision, leaseID, term+1, level, termRevision, sentAt)
		}
	}
	e.callStore(kvstore.Request{Op: kvstore.GrantLease, TTL: e.leaseTTL, Timeout: callTimeout}, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			e.setState(Following, "no lease")
			e.checkLeaderLater()
			return
		}
		leaseID = response.LeaseID
		claimWhenReady()
	})
	e.callStore(kvstore.Request{Op: kvstore.Get, Key: TermKey, Timeout: callTimeout}, func(response kvstore.Response) {
		switch response.Outcome {
		case kvstore.OK:
			var err error
			if term, level, err = DecodeTerm(response.Value); err != nil {
				slog.Error("term key is malformed", "err", err)
				e.setState(Following, "no term")
				e.checkLeaderLater()
				return
			}
			termRevision = response.Revision
		case kvstore.NotFound:
		default:
			e.setState(Following, "no term")
			e.checkLeaderLater()
			return
		}
		claimWhenReady()
	})
}

func (e *Elector) claim(staleRevision ident.Revision, leaseID uint64, term ident.Term, level ident.FormatLevel, termRevision ident.Revision, sentAt ident.MonotonicTime) {
	e.setState(Claiming, "lease granted")
	value, _ := json.Marshal(leaderRecord{Node: e.self, Term: term, Nonce: e.nonce})
	e.callStore(kvstore.Request{Op: kvstore.Txn, Timeout: callTimeout,
		Compares:  []kvstore.Compare{{Key: LeaderKey, Revision: staleRevision}, {Key: TermKey, Revision: termRevision}},
		Mutations: []kvstore.Mutation{{Put: LeaderKey, Value: value, LeaseID: leaseID}, {Put: TermKey, Value: EncodeTerm(term, level)}},
	}, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			// Lost: if it was carried out, look finds our own name and claims
			// again, in a later term.
			if response.Outcome == kvstore.Conflict {
				e.port.Store(kvstore.Request{Op: kvstore.RevokeLease, LeaseID: leaseID, Timeout: callTimeout}, func(kvstore.Response) {})
			}
			e.setState(Following, "claim "+response.Outcome.String())
			e.checkLeaderLater()
			return
		}
		e.setState(Leading, "claim carried out")
		e.term, e.leaseID = term, leaseID
		e.leaderKey = kvstore.Compare{Key: LeaderKey, Revision: response.StoreRevision}
		e.preferred, e.campaignDelayed = successorPreference{}, false
		e.renewalUnanswered = false
		e.extendValidity(sentAt)
		e.knownLeader, e.knownLeaderGone = leaderRecord{}, false
		slog.Info("leading", "term", uint64(term), "level", uint8(level))
		e.scheduleRenewal()
		e.callbacks.OnStartedLeading(term, level, e.leaderKey)
	})
}

// extendValidity counts from before the renewal was sent, on our own steady clock:
// the service's lease surely lasts longer.
func (e *Elector) extendValidity(sentAt ident.MonotonicTime) {
	e.validUntil = max(e.validUntil, sentAt.Add(ident.DiscountDrift(e.leaseTTL)))
}

func (e *Elector) scheduleRenewal() {
	generation := e.generation
	e.port.After(e.leaseTTL/4, func() {
		if e.generation == generation {
			e.renew()
			e.scheduleRenewal()
		}
	})
}

// renew extends the lease. When renewals have had no answer for half of it, it asks first
// whether answers arrive at all: were renewals carried out whose answers get lost, the lease would
// live on with a leader that can't be sure of it, and nobody could follow. (A leader whose
// answers from the state service were cut off kept the cluster without one for as long as
// the cut lasted.)
func (e *Elector) renew() {
	if e.renewalUnanswered && e.port.Now().Sub(e.unansweredSince) >= e.leaseTTL/2 {
		e.confirmLeadership()
		return
	}
	e.sendRenewal()
}

func (e *Elector) sendRenewal() {
	sentAt := e.port.Now()
	if !e.renewalUnanswered {
		e.renewalUnanswered, e.unansweredSince = true, sentAt
	}
	e.callStore(kvstore.Request{Op: kvstore.RenewLease, LeaseID: e.leaseID, Timeout: e.leaseTTL}, func(response kvstore.Response) {
		e.renewalUnanswered = e.renewalUnanswered && response.Outcome == kvstore.NoAnswer
		switch response.Outcome {
		case kvstore.OK:
			e.extendValidity(sentAt)
		case kvstore.NotFound:
			e.stepDown("lease has ended")
		}
	})
}

// confirmLeadership reads the leader key, and extends the lease if that is answered and the key is
// still ours.
func (e *Elector) confirmLeadership() {
	e.callStore(kvstore.Request{Op: kvstore.Get, Key: LeaderKey, Timeout: callTimeout}, func(response kvstore.Response) {
		switch {
		case response.Outcome == kvstore.OK && response.Revision == e.leaderKey.Revision:
			e.sendRenewal()
		case response.Outcome == kvstore.OK, response.Outcome == kvstore.NotFound:
			e.stepDown("the leader key is not ours")
		case response.Outcome != kvstore.NoAnswer:
			e.renewalUnanswered = false
		}
	})
}

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
	"opaldale/internal/statesvc"
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
	Term  ident.Term  `json:"term"`
	Level ident.Level `json:"level"`
}

// TermValue is what the term's key holds.
func TermValue(t ident.Term, l ident.Level) json.RawMessage {
	var v any = t
	if l > 0 {
		v = termRecord{t, l}
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// ReadTerm reads what TermValue wrote.
func ReadTerm(b []byte) (ident.Term, ident.Level, error) {
	var t ident.Term
	if json.Unmarshal(b, &t) == nil {
		return t, 0, nil
	}
	var r termRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return 0, 0, err
	}
	if r.Term == 0 || r.Level == 0 {
		return 0, 0, errors.New("term or level missing")
	}
	if r.Level > ident.NewestLevel {
		return 0, 0, fmt.Errorf("format level %d is later than this program's", r.Level)
	}
	return r.Term, r.Level, nil
}

// State is where a node stands in the election.
type State uint8

// The states of a node.
const (
	Following State = iota // watching the leader key
	Granting               // asking for a lease and the term
	Claiming               // transaction for the leader key under way
	Leading                // the key was ours when last heard
)

func (s State) String() string {
	return [...]string{"following", "granting", "claiming", "leading"}[s]
}

// drift is the part by which a lease is counted shorter: steady clocks drift
// apart by at most 0.05%.
const drift = 0.001

const (
	callTime  = time.Second
	lookAgain = 300 * time.Millisecond
	watchTime = 10 * time.Second
)

// Port is what an election needs of the world.
type Port interface {
	Now() ident.Mono
	After(time.Duration, func())
	State(statesvc.Request, func(statesvc.Reply))
}

// Events are told to the owner, one call at a time.
type Events interface {
	// Lead begins a term, with the format level in force.
	Lead(t ident.Term, l ident.Level, key statesvc.Cond)
	// Follow ends it.
	Follow(why string)
}

// record is the value of the leader key.
type record struct {
	Node  ident.NodeID `json:"node"`
	Term  ident.Term   `json:"term"`
	Nonce uint64       `json:"nonce"`
}

// Machine is a node's part in the elections.
type Machine struct {
	port   Port
	events Events
	self   ident.NodeID
	ttl    time.Duration
	nonce  uint64
	rng    *rand.Rand

	state State
	round uint64 // invalidates answers of earlier attempts
	term  ident.Term
	grant uint64
	valid ident.Mono
	rest  ident.Mono
	// waits says that no renewal since waiting has had an answer.
	waits   bool
	waiting ident.Mono

	known     record
	knownDown bool // the known leader's key is gone

	key       statesvc.Cond // the leader key, while it is ours
	preferred preference
	hesitated bool // since somebody was last known to lead
	// Hesitate returns for how long the node lets others claim first, 0 for not at all; it
	// may be nil.
	Hesitate func() time.Duration
}

// New makes the machine of a node.
func New(port Port, events Events, self ident.NodeID, ttl time.Duration, rng *rand.Rand) *Machine {
	return &Machine{port: port, events: events, self: self, ttl: ttl, nonce: rng.Uint64(), rng: rng}
}

// Start begins to follow.
func (m *Machine) Start() { m.look() }

// State returns where the node stands.
func (m *Machine) State() State { return m.state }

// Term returns the term the node leads in.
func (m *Machine) Term() ident.Term { return m.term }

// Valid says whether nobody else can be leader at this moment.
func (m *Machine) Valid() bool { return m.state == Leading && m.port.Now() < m.valid }

// Until returns when that ends, unless it is renewed.
func (m *Machine) Until() ident.Mono { return m.valid }

// Within says whether leadership was sure until at most d ago.
func (m *Machine) Within(d time.Duration) bool {
	return m.state == Leading && m.port.Now() < m.valid.Add(d)
}

// Leader returns the newest leader known, if any.
func (m *Machine) Leader() (ident.NodeID, bool) {
	if m.state == Leading {
		return m.self, true
	}
	return m.known.Node, m.known.Node != "" && !m.knownDown && m.known.Node != m.self
}

// to is the one place where the state changes.
func (m *Machine) to(s State, why string) {
	if m.state != s {
		slog.Debug("election", "from", m.state.String(), "to", s.String(), "why", why)
	}
	m.state = s
	m.round++
}

// Heard takes a sibling's word that somebody leads in a term.
func (m *Machine) Heard(node ident.NodeID, t ident.Term) {
	if m.state == Leading && t > m.term {
		m.stepDown("a later term is known")
	}
	if t > m.known.Term {
		m.known, m.knownDown = record{Node: node, Term: t}, false
	}
}

// Resign gives leadership up and takes no part for a while.
func (m *Machine) Resign(rest time.Duration, why string) {
	if m.state != Leading {
		return
	}
	m.rest = m.port.Now().Add(rest)
	m.port.State(statesvc.Request{Op: statesvc.Revoke, Grant: m.grant, Timeout: callTime}, func(statesvc.Reply) {})
	m.stepDown(why)
}

// Deposed is called by the owner when it learns that the term is over.
func (m *Machine) Deposed(why string) {
	if m.state == Leading {
		m.stepDown(why)
	}
}

func (m *Machine) stepDown(why string) {
	slog.Info("leadership ends", "term", uint64(m.term), "why", why)
	m.to(Following, why)
	m.known, m.knownDown = record{}, false
	m.events.Follow(why)
	m.look()
}

// call sends a request whose answer counts only while the state stays the same.
func (m *Machine) call(r statesvc.Request, f func(statesvc.Reply)) {
	round := m.round
	m.port.State(r, func(a statesvc.Reply) {
		if m.round == round {
			f(a)
		}
	})
}

func (m *Machine) lookLater() {
	round := m.round
	m.port.After(lookAgain+time.Duration(m.rng.Int64N(int64(lookAgain))), func() {
		if m.round == round {
			m.look()
		}
	})
}

// look reads the leader key.
func (m *Machine) look() {
	m.to(Following, "look")
	m.call(statesvc.Request{Op: statesvc.Get, Path: LeaderKey, Timeout: callTime}, func(r statesvc.Reply) {
		switch r.Outcome {
		case statesvc.OK:
			var rec record
			if err := json.Unmarshal(r.Value, &rec); err != nil {
				slog.Error("leader key is malformed", "err", err)
				m.lookLater()
				return
			}
			if rec.Node == m.self {
				// Left by an earlier process of this node, which is surely dead,
				// or by an attempt of ours whose answer was lost.
				m.campaign(r.Stamp)
				return
			}
			m.observe(rec)
			m.watch(uint64(r.Stamp))
		case statesvc.NotFound:
			m.campaign(0)
		default:
			m.lookLater()
		}
	})
}

func (m *Machine) observe(rec record) {
	m.hesitated = false
	if rec.Term >= m.known.Term {
		m.known, m.knownDown = rec, false
	}
}

// watch waits for the leader key to change.
func (m *Machine) watch(since uint64) {
	m.call(statesvc.Request{Op: statesvc.Follow, Starts: LeaderKey, Ledger: since, Block: watchTime,
		Timeout: watchTime + 2*time.Second}, func(r statesvc.Reply) {
		if r.Outcome != statesvc.OK {
			m.lookLater()
			return
		}
		gone := false
		for _, n := range r.News {
			switch {
			case n.Delete == LeaderKey:
				gone = true
			case n.Put == LeaderKey:
				gone = false
				var rec record
				if json.Unmarshal(n.Value, &rec) != nil || rec.Node == m.self {
					m.look()
					return
				}
				m.observe(rec)
			}
		}
		if gone {
			m.knownDown = true
			m.campaign(0)
			return
		}
		m.watch(max(r.Ledger, since))
	})
}

// campaign tries to put the leader key, whose stamp was seen to be over.
func (m *Machine) campaign(over ident.Stamp) {
	if wait := m.rest.Sub(m.port.Now()); wait > 0 {
		m.to(Following, "resting")
		m.lookLater()
		return
	}
	if m.standsBack() {
		return
	}
	m.to(Granting, "no leader")
	sent := m.port.Now()
	var grant uint64
	var term ident.Term
	var level ident.Level
	var stamp ident.Stamp
	left := 2
	next := func() {
		if left--; left == 0 {
			m.claim(over, grant, term+1, level, stamp, sent)
		}
	}
	m.call(statesvc.Request{Op: statesvc.Grant, TTL: m.ttl, Timeout: callTime}, func(r statesvc.Reply) {
		if r.Outcome != statesvc.OK {
			m.to(Following, "no lease")
			m.lookLater()
			return
		}
		grant = r.Grant
		next()
	})
	m.call(statesvc.Request{Op: statesvc.Get, Path: TermKey, Timeout: callTime}, func(r statesvc.Reply) {
		switch r.Outcome {
		case statesvc.OK:
			var err error
			if term, level, err = ReadTerm(r.Value); err != nil {
				slog.Error("term key is malformed", "err", err)
				m.to(Following, "no term")
				m.lookLater()
				return
			}
			stamp = r.Stamp
		case statesvc.NotFound:
		default:
			m.to(Following, "no term")
			m.lookLater()
			return
		}
		next()
	})
}

func (m *Machine) claim(over ident.Stamp, grant uint64, term ident.Term, level ident.Level, termStamp ident.Stamp, sent ident.Mono) {
	m.to(Claiming, "lease granted")
	rec, _ := json.Marshal(record{Node: m.self, Term: term, Nonce: m.nonce})
	m.call(statesvc.Request{Op: statesvc.Txn, Timeout: callTime,
		If:   []statesvc.Cond{{Path: LeaderKey, Stamp: over}, {Path: TermKey, Stamp: termStamp}},
		Then: []statesvc.Change{{Put: LeaderKey, Value: rec, Grant: grant}, {Put: TermKey, Value: TermValue(term, level)}},
	}, func(r statesvc.Reply) {
		if r.Outcome != statesvc.OK {
			// Lost: if it was carried out, look finds our own name and claims
			// again, in a later term.
			if r.Outcome == statesvc.Conflict {
				m.port.State(statesvc.Request{Op: statesvc.Revoke, Grant: grant, Timeout: callTime}, func(statesvc.Reply) {})
			}
			m.to(Following, "claim "+r.Outcome.String())
			m.lookLater()
			return
		}
		m.to(Leading, "claim carried out")
		m.term, m.grant = term, grant
		m.key = statesvc.Cond{Path: LeaderKey, Stamp: ident.Stamp(r.Ledger)}
		m.preferred, m.hesitated = preference{}, false
		m.waits = false
		m.extendValid(sent)
		m.known, m.knownDown = record{}, false
		slog.Info("leading", "term", uint64(term), "level", uint8(level))
		m.renewLater()
		m.events.Lead(term, level, m.key)
	})
}

// extendValid counts from before the renewal was sent, on our own steady clock:
// the service's lease surely lasts longer.
func (m *Machine) extendValid(sent ident.Mono) {
	m.valid = max(m.valid, sent.Add(time.Duration(float64(m.ttl)*(1-drift))))
}

func (m *Machine) renewLater() {
	round := m.round
	m.port.After(m.ttl/4, func() {
		if m.round == round {
			m.renew()
			m.renewLater()
		}
	})
}

// renew extends the lease. When renewals have had no answer for half of it, it asks first
// whether answers arrive at all: were renewals carried out whose answers get lost, the lease would
// live on with a leader that can't be sure of it, and nobody could follow. (A leader whose
// answers from the state service were cut off kept the cluster without one for as long as
// the cut lasted.)
func (m *Machine) renew() {
	if m.waits && m.port.Now().Sub(m.waiting) >= m.ttl/2 {
		m.confirm()
		return
	}
	m.extend()
}

func (m *Machine) extend() {
	sent := m.port.Now()
	if !m.waits {
		m.waits, m.waiting = true, sent
	}
	m.call(statesvc.Request{Op: statesvc.Extend, Grant: m.grant, Timeout: m.ttl}, func(r statesvc.Reply) {
		m.waits = m.waits && r.Outcome == statesvc.Lost
		switch r.Outcome {
		case statesvc.OK:
			m.extendValid(sent)
		case statesvc.NotFound:
			m.stepDown("lease has ended")
		}
	})
}

// confirm reads the leader key, and extends the lease if that is answered and the key is
// still ours.
func (m *Machine) confirm() {
	m.call(statesvc.Request{Op: statesvc.Get, Path: LeaderKey, Timeout: callTime}, func(r statesvc.Reply) {
		switch {
		case r.Outcome == statesvc.OK && r.Stamp == m.key.Stamp:
			m.extend()
		case r.Outcome == statesvc.OK, r.Outcome == statesvc.NotFound:
			m.stepDown("the leader key is not ours")
		case r.Outcome != statesvc.Lost:
			m.waits = false
		}
	})
}

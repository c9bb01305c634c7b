package election

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// stage is a state service and a clock for the machines of an election.
type stage struct {
	now    ident.Mono
	timers []stageTimer
	keys   map[string]statesvc.Pair
	ledger uint64
	grants uint64
	lose   bool // transactions on the leader key are lost
}

type stageTimer struct {
	at ident.Mono
	f  func()
}

func (s *stage) Now() ident.Mono { return s.now }
func (s *stage) After(d time.Duration, f func()) {
	s.timers = append(s.timers, stageTimer{s.now.Add(d), f})
}

func (s *stage) State(r statesvc.Request, f func(statesvc.Reply)) {
	s.After(time.Millisecond, func() {
		if a, ok := s.serve(r); ok {
			f(a)
		}
	})
}

func (s *stage) serve(r statesvc.Request) (statesvc.Reply, bool) {
	switch r.Op {
	case statesvc.Get:
		if p, ok := s.keys[r.Path]; ok {
			return statesvc.Reply{Outcome: statesvc.OK, Value: p.Value, Stamp: p.Stamp}, true
		}
		return statesvc.Reply{Outcome: statesvc.NotFound}, true
	case statesvc.Grant:
		s.grants++
		return statesvc.Reply{Outcome: statesvc.OK, Grant: s.grants}, true
	case statesvc.Txn:
		if s.lose && r.Then[0].Delete != "" {
			return statesvc.Reply{}, false
		}
		for _, c := range r.If {
			if s.keys[c.Path].Stamp != c.Stamp {
				return statesvc.Reply{Outcome: statesvc.Conflict, Failed: []string{c.Path}}, true
			}
		}
		s.ledger++
		for _, c := range r.Then {
			if c.Delete != "" {
				delete(s.keys, c.Delete)
			} else {
				s.keys[c.Put] = statesvc.Pair{Value: c.Value, Stamp: ident.Stamp(s.ledger)}
			}
		}
		return statesvc.Reply{Outcome: statesvc.OK, Ledger: s.ledger}, true
	case statesvc.Follow:
		return statesvc.Reply{}, false // followers are told by look alone
	}
	return statesvc.Reply{Outcome: statesvc.OK}, true
}

func (s *stage) pass(d time.Duration) {
	for end := s.now.Add(d); ; {
		slices.SortStableFunc(s.timers, func(a, b stageTimer) int { return int(a.at - b.at) })
		if len(s.timers) == 0 || s.timers[0].at > end {
			s.now = end
			return
		}
		next := s.timers[0]
		s.timers = s.timers[1:]
		s.now = max(s.now, next.at)
		next.f()
	}
}

type nobody struct{}

func (nobody) Lead(ident.Term, ident.Level, statesvc.Cond) {}
func (nobody) Follow(string)                               {}

func newStage() *stage { return &stage{now: ident.Mono(time.Hour), keys: map[string]statesvc.Pair{}} }

func (s *stage) node(name string) *Machine {
	return New(s, nobody{}, ident.NodeID(name), 2*time.Second, rand.New(rand.NewPCG(1, 2)))
}

// TestHandOver: the term is over with one transaction, the preferred successor claims at
// once, others only when it doesn't, and the one who gave the lead up takes no part.
func TestHandOver(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := newStage()
		old, chosen, other := s.node("a"), s.node("b"), s.node("c")
		old.Start()
		s.pass(100 * time.Millisecond)
		if !old.Valid() {
			t.Fatal("nobody leads")
		}
		chosen.Prefer("b", old.Term())
		other.Prefer("b", old.Term())
		old.HandOver(15*time.Second, "a test")
		if old.Valid() || old.State() == Leading {
			t.Fatal("it leads on")
		}
		s.pass(5 * time.Millisecond)
		if _, held := s.keys[LeaderKey]; held {
			t.Fatal("the leader key is still there")
		}
		other.Start()
		s.pass(20 * time.Millisecond)
		if other.State() != Following {
			t.Errorf("the other node is %v", other.State())
		}
		if alive {
			chosen.Start()
		}
		s.pass(2 * time.Second)
		if chosen.Valid() != alive || other.Valid() == alive || old.Valid() {
			t.Errorf("successor alive %v: it leads %v, the other %v, the old one %v", alive, chosen.Valid(), other.Valid(), old.Valid())
		}
	}
}

// TestHandOverLost: without the transaction the old leader decides nothing either, and the
// key stays until its lease ends.
func TestHandOverLost(t *testing.T) {
	s := newStage()
	old, other := s.node("a"), s.node("b")
	old.Start()
	s.pass(100 * time.Millisecond)
	s.lose = true
	old.HandOver(15*time.Second, "a test")
	s.pass(time.Second)
	other.Start()
	s.pass(time.Second)
	if old.Valid() || other.Valid() {
		t.Errorf("the old one leads %v, another %v, while the key is there", old.Valid(), other.Valid())
	}
	delete(s.keys, LeaderKey) // its lease has ended
	other.look()
	s.pass(time.Second)
	if !other.Valid() {
		t.Error("nobody follows")
	}
}

// TestPreferences: an earlier leader's word counts for nothing, and a node hesitates once.
func TestPreferences(t *testing.T) {
	s := newStage()
	m := s.node("c")
	m.Heard("a", 7)
	m.Prefer("b", 6)
	if m.preferred.node != "" {
		t.Error("an earlier leader's word counts")
	}
	hesitations := 0
	m.Hesitate = func() time.Duration { hesitations++; return time.Second }
	m.Start()
	s.pass(500 * time.Millisecond)
	if m.State() == Leading {
		t.Error("it did not hesitate")
	}
	s.pass(2 * time.Second)
	if !m.Valid() || hesitations != 1 {
		t.Errorf("it leads %v after %d hesitations", m.Valid(), hesitations)
	}
}

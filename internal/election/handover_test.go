package election

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// fakeStore is a state service and a clock for the machines of an election.
type fakeStore struct {
	now         ident.MonotonicTime
	timers      []fakeTimer
	keys        map[string]kvstore.KeyValue
	revision    ident.Revision
	leaseCount  uint64
	loseDeletes bool // transactions on the leader key are lost
}

type fakeTimer struct {
	at ident.MonotonicTime
	f  func()
}

func (s *fakeStore) Now() ident.MonotonicTime { return s.now }
func (s *fakeStore) After(d time.Duration, f func()) {
	s.timers = append(s.timers, fakeTimer{s.now.Add(d), f})
}

func (s *fakeStore) Store(r kvstore.Request, f func(kvstore.Response)) {
	s.After(time.Millisecond, func() {
		if a, ok := s.serve(r); ok {
			f(a)
		}
	})
}

func (s *fakeStore) serve(r kvstore.Request) (kvstore.Response, bool) {
	switch r.Op {
	case kvstore.Get:
		if p, ok := s.keys[r.Key]; ok {
			return kvstore.Response{Outcome: kvstore.OK, Value: p.Value, Revision: p.Revision}, true
		}
		return kvstore.Response{Outcome: kvstore.NotFound}, true
	case kvstore.GrantLease:
		s.leaseCount++
		return kvstore.Response{Outcome: kvstore.OK, LeaseID: s.leaseCount}, true
	case kvstore.Txn:
		if s.loseDeletes && r.Mutations[0].Delete != "" {
			return kvstore.Response{}, false
		}
		for _, c := range r.Compares {
			if s.keys[c.Key].Revision != c.Revision {
				return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: []string{c.Key}}, true
			}
		}
		s.revision++
		for _, c := range r.Mutations {
			if c.Delete != "" {
				delete(s.keys, c.Delete)
			} else {
				s.keys[c.Put] = kvstore.KeyValue{Value: c.Value, Revision: s.revision}
			}
		}
		return kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.revision}, true
	case kvstore.Watch:
		return kvstore.Response{}, false // followers are told by look alone
	}
	return kvstore.Response{Outcome: kvstore.OK}, true
}

func (s *fakeStore) advance(d time.Duration) {
	for end := s.now.Add(d); ; {
		slices.SortStableFunc(s.timers, func(a, b fakeTimer) int { return int(a.at - b.at) })
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

type noCallbacks struct{}

func (noCallbacks) OnStartedLeading(ident.Term, ident.FormatLevel, kvstore.Compare) {}
func (noCallbacks) OnStoppedLeading(string)                                         {}

func newFakeStore() *fakeStore {
	return &fakeStore{now: ident.MonotonicTime(time.Hour), keys: map[string]kvstore.KeyValue{}}
}

func (s *fakeStore) newElector(name string) *Elector {
	return New(s, noCallbacks{}, ident.NodeID(name), 2*time.Second, rand.New(rand.NewPCG(1, 2)))
}

// TestHandOver: the term is over with one transaction, the preferred successor claims at
// once, others only when it doesn't, and the one who gave the lead up takes no part.
func TestHandOver(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := newFakeStore()
		old, preferred, other := s.newElector("a"), s.newElector("b"), s.newElector("c")
		old.Start()
		s.advance(100 * time.Millisecond)
		if !old.LeaseValid() {
			t.Fatal("nobody leads")
		}
		preferred.PreferSuccessor("b", old.Term())
		other.PreferSuccessor("b", old.Term())
		old.HandOver(15*time.Second, "a test")
		if old.LeaseValid() || old.State() == Leading {
			t.Fatal("it leads on")
		}
		s.advance(5 * time.Millisecond)
		if _, held := s.keys[LeaderKey]; held {
			t.Fatal("the leader key is still there")
		}
		other.Start()
		s.advance(20 * time.Millisecond)
		if other.State() != Following {
			t.Errorf("the other node is %v", other.State())
		}
		if alive {
			preferred.Start()
		}
		s.advance(2 * time.Second)
		if preferred.LeaseValid() != alive || other.LeaseValid() == alive || old.LeaseValid() {
			t.Errorf("successor alive %v: it leads %v, the other %v, the old one %v", alive, preferred.LeaseValid(), other.LeaseValid(), old.LeaseValid())
		}
	}
}

// TestHandOverLost: without the transaction the old leader decides nothing either, and the
// key stays until its lease ends.
func TestHandOverLost(t *testing.T) {
	s := newFakeStore()
	old, other := s.newElector("a"), s.newElector("b")
	old.Start()
	s.advance(100 * time.Millisecond)
	s.loseDeletes = true
	old.HandOver(15*time.Second, "a test")
	s.advance(time.Second)
	other.Start()
	s.advance(time.Second)
	if old.LeaseValid() || other.LeaseValid() {
		t.Errorf("the old one leads %v, another %v, while the key is there", old.LeaseValid(), other.LeaseValid())
	}
	delete(s.keys, LeaderKey) // its lease has ended
	other.checkLeader()
	s.advance(time.Second)
	if !other.LeaseValid() {
		t.Error("nobody follows")
	}
}

// TestPreferences: an earlier leader's word counts for nothing, and a node hesitates once.
func TestPreferences(t *testing.T) {
	s := newFakeStore()
	elector := s.newElector("c")
	elector.PeerReportedLeader("a", 7)
	elector.PreferSuccessor("b", 6)
	if elector.preferred.node != "" {
		t.Error("an earlier leader's word counts")
	}
	hesitations := 0
	elector.CampaignDelay = func() time.Duration { hesitations++; return time.Second }
	elector.Start()
	s.advance(500 * time.Millisecond)
	if elector.State() == Leading {
		t.Error("it did not hesitate")
	}
	s.advance(2 * time.Second)
	if !elector.LeaseValid() || hesitations != 1 {
		t.Errorf("it leads %v after %d hesitations", elector.LeaseValid(), hesitations)
	}
}

package election

import (
	"math/rand/v2"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// fakeStore is a key-value store and a clock for the electors of a test. Responses arrive after a
// millisecond; watches never respond.
type fakeStore struct {
	*kvstoretest.MemoryStore
	now         ident.MonotonicTime
	timers      []fakeTimer
	leaseCount  uint64
	loseDeletes bool // transactions that delete a key are lost
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
		return s.Get(r.Key), true
	case kvstore.GrantLease:
		s.leaseCount++
		return kvstore.Response{Outcome: kvstore.OK, LeaseID: s.leaseCount}, true
	case kvstore.Txn:
		if s.loseDeletes && r.Mutations[0].Delete != "" {
			return kvstore.Response{}, false
		}
		if failed := s.FailedKeys(r.Compares); failed != nil {
			return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed}, true
		}
		return s.Apply(r.Mutations), true
	case kvstore.Watch:
		return kvstore.Response{}, false // followers learn of changes by checkLeader alone
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
func (noCallbacks) OnStoppedLeading(StepDownReason)                                 {}

func newFakeStore() *fakeStore {
	return &fakeStore{MemoryStore: kvstoretest.NewMemoryStore(), now: ident.MonotonicTime(time.Hour)}
}

func (s *fakeStore) newElector(name string) *Elector {
	return New(s, noCallbacks{}, ident.NodeID(name), 2*time.Second, rand.New(rand.NewPCG(1, 2)))
}

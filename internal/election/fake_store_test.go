package election

import (
	"math/rand/v2"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// fakeStore is a key-value store and a clock for the electors of a test. Responses arrive after a
// millisecond; watches never respond.
type fakeStore struct {
	now         ident.MonotonicTime
	timers      []fakeTimer
	keys        map[string]kvstore.KeyValue
	revision    ident.Revision
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
	return &fakeStore{now: ident.MonotonicTime(time.Hour), keys: map[string]kvstore.KeyValue{}}
}

func (s *fakeStore) newElector(name string) *Elector {
	return New(s, noCallbacks{}, ident.NodeID(name), 2*time.Second, rand.New(rand.NewPCG(1, 2)))
}

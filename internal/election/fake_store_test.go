package election

import (
	"math/rand/v2"
	"time"

	"opaldale/internal/clocktest"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// fakeStore is an in-memory key-value store and a clock for the electors of a test. Responses arrive after
// one millisecond; watches receive no response.
type fakeStore struct {
	*kvstoretest.MemoryStore
	clocktest.Clock
	leaseCount  uint64
	loseDeletes bool // transactions that delete a key are neither applied nor answered
}

func (s *fakeStore) Store(request kvstore.Request, onResponse func(kvstore.Response)) {
	s.After(time.Millisecond, func() {
		if response, ok := s.serve(request); ok {
			onResponse(response)
		}
	})
}

func (s *fakeStore) serve(request kvstore.Request) (kvstore.Response, bool) {
	switch request.Op {
	case kvstore.Get:
		return s.Get(request.Key), true
	case kvstore.GrantLease:
		s.leaseCount++
		return kvstore.Response{Outcome: kvstore.OK, LeaseID: s.leaseCount}, true
	case kvstore.Txn:
		if s.loseDeletes && request.Mutations[0].Delete != "" {
			return kvstore.Response{}, false
		}
		if failed := s.FailedKeys(request.Compares); failed != nil {
			return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed}, true
		}
		return s.Apply(request.Mutations), true
	case kvstore.Watch:
		return kvstore.Response{}, false // followers detect changes only by calling checkLeader
	}
	return kvstore.Response{Outcome: kvstore.OK}, true
}

type noCallbacks struct{}

func (noCallbacks) OnStartedLeading(ident.Term, ident.FormatLevel, kvstore.Compare) {}
func (noCallbacks) OnStoppedLeading(StepDownReason)                                 {}

func newFakeStore() *fakeStore {
	return &fakeStore{MemoryStore: kvstoretest.NewMemoryStore(), Clock: clocktest.Clock{Time: ident.MonotonicTime(time.Hour)}}
}

func (s *fakeStore) newElector(name string) *Elector {
	return New(s, noCallbacks{}, ident.NodeID(name), 2*time.Second, rand.New(rand.NewPCG(1, 2)))
}

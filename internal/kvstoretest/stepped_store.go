package kvstoretest

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// SteppedStore is a state service that carries everything out at once and in order, and answers, like
// timers, only when the test runs what is pending.
type SteppedStore struct {
	*MemoryStore
	Pending []func()
	now     ident.MonotonicTime
}

// NewSteppedStore makes one over a store.
func NewSteppedStore(s *MemoryStore) *SteppedStore { return &SteppedStore{MemoryStore: s} }

// Now returns the time that the timers have reached.
func (q *SteppedStore) Now() ident.MonotonicTime { return q.now }

// After has f run in its turn, and the time go on by d before that.
func (q *SteppedStore) After(d time.Duration, f func()) {
	q.Pending = append(q.Pending, func() {
		q.now = q.now.Add(d)
		f()
	})
}

// Store carries a request's changes out; the answer comes in its turn.
func (q *SteppedStore) Store(r kvstore.Request, f func(kvstore.Response)) {
	answer := q.Apply(r.Mutations)
	q.Pending = append(q.Pending, func() { f(answer) })
}

// Run runs what is pending, and what comes of it.
func (q *SteppedStore) Run() {
	for len(q.Pending) > 0 {
		f := q.Pending[0]
		q.Pending = q.Pending[1:]
		f()
	}
}

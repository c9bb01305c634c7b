package kvstoretest

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// SteppedStore provides a committer with a key-value store and a simulated clock. It applies every
// transaction immediately. Responses and timers are queued until the test runs them, in the order in which
// they were queued.
type SteppedStore struct {
	*MemoryStore
	Pending []func() // queued responses and timers
	now     ident.MonotonicTime
}

// NewSteppedStore returns a SteppedStore that holds its keys in s.
func NewSteppedStore(s *MemoryStore) *SteppedStore { return &SteppedStore{MemoryStore: s} }

// Now returns the simulated time, which is the sum of the delays of all timers that have run.
func (s *SteppedStore) Now() ident.MonotonicTime { return s.now }

// After queues f. The clock advances by d when f runs.
func (s *SteppedStore) After(d time.Duration, f func()) {
	s.Pending = append(s.Pending, func() {
		s.now = s.now.Add(d)
		f()
	})
}

// Store applies the mutations of a request without checking its compares, and queues the response.
func (s *SteppedStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	response := s.Apply(r.Mutations)
	s.Pending = append(s.Pending, func() { onResponse(response) })
}

// Run runs all queued responses and timers, including those that are queued meanwhile.
func (s *SteppedStore) Run() {
	for len(s.Pending) > 0 {
		next := s.Pending[0]
		s.Pending = s.Pending[1:]
		next()
	}
}

// flusher is implemented by committers.
type flusher interface{ Flush() }

// FlushAndRun flushes a committer, so that it writes all pending changes, and then runs all queued responses and
// timers.
func (s *SteppedStore) FlushAndRun(committer flusher) {
	committer.Flush()
	s.Run()
}

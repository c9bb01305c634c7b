package kvstoretest

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// SteppedStore is the environment of a committer with a clock and a store. It applies every
// transaction at once; responses and timers wait until the test runs them, in the order in which
// they were asked for.
type SteppedStore struct {
	*MemoryStore
	Pending []func() // responses and timers that have not run
	now     ident.MonotonicTime
}

// NewSteppedStore makes one that keeps its keys in s.
func NewSteppedStore(s *MemoryStore) *SteppedStore { return &SteppedStore{MemoryStore: s} }

// Now returns the time up to which timers have run.
func (s *SteppedStore) Now() ident.MonotonicTime { return s.now }

// After schedules f. The clock advances by d when f runs.
func (s *SteppedStore) After(d time.Duration, f func()) {
	s.Pending = append(s.Pending, func() {
		s.now = s.now.Add(d)
		f()
	})
}

// Store applies the mutations of a request, without its compares, and schedules the response.
func (s *SteppedStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	response := s.Apply(r.Mutations)
	s.Pending = append(s.Pending, func() { onResponse(response) })
}

// Run runs what is pending, including what that adds.
func (s *SteppedStore) Run() {
	for len(s.Pending) > 0 {
		next := s.Pending[0]
		s.Pending = s.Pending[1:]
		next()
	}
}

// flusher is a committer.
type flusher interface{ Flush() }

// Settle has a committer write what it holds back, and runs what is pending.
func (s *SteppedStore) Settle(committer flusher) {
	committer.Flush()
	s.Run()
}

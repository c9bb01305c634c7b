package commit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// flakyStore is a state service whose answers get lost and whose requests are carried
// out late, or twice.
type flakyStore struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events []scheduledEvent
	*kvstoretest.MemoryStore
	puts map[string][]string // the values each key went through
}

type scheduledEvent struct {
	at  time.Duration
	run func()
}

func (f *flakyStore) Now() ident.MonotonicTime { return ident.MonotonicTime(f.now) }

func (f *flakyStore) After(d time.Duration, run func()) {
	f.events = append(f.events, scheduledEvent{f.now + d, run})
}

func (f *flakyStore) Store(r kvstore.Request, done func(kvstore.Response)) {
	answer := func(a kvstore.Response) { f.After(time.Millisecond, func() { done(a) }) }
	switch f.rng.IntN(5) {
	case 0: // never carried out
		answer(kvstore.Response{Outcome: kvstore.NoAnswer})
	case 1: // carried out now, the answer lost
		f.serve(r)
		answer(kvstore.Response{Outcome: kvstore.NoAnswer})
	case 2: // carried out later
		f.After(time.Duration(f.rng.IntN(2000))*time.Millisecond, func() { f.serve(r) })
		answer(kvstore.Response{Outcome: kvstore.NoAnswer})
	case 3:
		answer(kvstore.Response{Outcome: kvstore.Unavailable})
	default:
		answer(f.serve(r))
	}
}

func (f *flakyStore) serve(r kvstore.Request) kvstore.Response {
	if r.Op == kvstore.Get {
		return f.Get(r.Key)
	}
	if failed := f.FailedKeys(r.Compares); failed != nil {
		return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed}
	}
	if len(r.Mutations) > 8 {
		f.t.Errorf("%d changes in a transaction", len(r.Mutations))
	}
	for _, c := range r.Mutations {
		if c.Put != "" {
			f.puts[c.Put] = append(f.puts[c.Put], string(c.Value))
		}
	}
	return f.Apply(r.Mutations)
}

func (f *flakyStore) run(limit time.Duration) {
	for len(f.events) > 0 {
		n := 0
		for i, e := range f.events {
			if e.at < f.events[n].at {
				n = i
			}
		}
		e := f.events[n]
		if e.at > limit {
			return
		}
		f.events = append(f.events[:n], f.events[n+1:]...)
		f.now = max(f.now, e.at)
		e.run()
	}
}

// reliableStore carries everything out at once.
type reliableStore struct{ *flakyStore }

func (s reliableStore) Store(r kvstore.Request, done func(kvstore.Response)) {
	a := s.serve(r)
	s.After(time.Millisecond, func() { done(a) })
}

// testEntry is one value of a document that has several.
type testEntry struct {
	document *Document
	index    int
	value    int
	pin      Pin
}

type testLine struct {
	Doc, N, Value int
}

func (p *testEntry) JSONLine() any       { return testLine{int(p.document.Key[2] - '0'), p.index, p.value} }
func (p *testEntry) Document() *Document { return p.document }
func (p *testEntry) Pin() *Pin           { return &p.pin }
func (p *testEntry) TextLine() (group, line string) {
	return p.document.Key, fmt.Sprint(p.index, ",", p.value)
}

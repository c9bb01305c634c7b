package commit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/clocktest"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// leaderKey is the compare on the leader key for which the leader key of the test stores is unchanged.
var leaderKey = kvstore.Compare{Key: "leader", Revision: 1}

// testLimits allow several documents in a transaction.
var testLimits = Limits{MutationsPerTxn: 8, MutationsPerSecond: 100, MaxValueBytes: 16 << 10}

// newTestCommitter returns a Committer that fails the test if its term is lost.
func newTestCommitter(t *testing.T, port Port, limits Limits) *Committer {
	t.Helper()
	return New(port, limits, leaderKey, func(err error) { t.Errorf("onTermLost called with %q, want no call", err) })
}

// runSeeds runs a test with each seed from 0 to count-1.
func runSeeds(t *testing.T, count uint64, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range count {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { test(t, seed) })
	}
}

// flakyStore is an in-memory key-value store with a clock. It loses responses, and delays or drops some
// requests.
type flakyStore struct {
	*kvstoretest.MemoryStore
	clocktest.Clock
	t    *testing.T
	rng  *rand.Rand
	puts map[string][]string // the values put to each key, in order
}

// newFlakyStore returns a store that holds the leader key and the given pairs. Each test uses its own stream of
// random numbers.
func newFlakyStore(t *testing.T, seed, stream uint64, pairs ...kvstore.KeyValue) *flakyStore {
	t.Helper()
	leader := kvstore.KeyValue{Key: leaderKey.Key, Revision: leaderKey.Revision}
	return &flakyStore{
		MemoryStore: kvstoretest.NewMemoryStore(append([]kvstore.KeyValue{leader}, pairs...)...),
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, stream)),
		puts:        map[string][]string{},
	}
}

func (f *flakyStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	switch f.rng.IntN(5) {
	case 0: // never applied
		f.respond(kvstore.Response{Outcome: kvstore.NoResponse}, onResponse)
	case 1: // applied, response lost
		f.serve(r)
		f.respond(kvstore.Response{Outcome: kvstore.NoResponse}, onResponse)
	case 2: // applied later, response lost
		f.After(time.Duration(f.rng.IntN(2000))*time.Millisecond, func() { f.serve(r) })
		f.respond(kvstore.Response{Outcome: kvstore.NoResponse}, onResponse)
	case 3:
		f.respond(kvstore.Response{Outcome: kvstore.Unavailable}, onResponse)
	default:
		f.respond(f.serve(r), onResponse)
	}
}

func (f *flakyStore) respond(response kvstore.Response, onResponse func(kvstore.Response)) {
	f.After(time.Millisecond, func() { onResponse(response) })
}

// serve applies a request.
func (f *flakyStore) serve(r kvstore.Request) kvstore.Response {
	if r.Op == kvstore.Get {
		return f.Get(r.Key)
	}
	if failed := f.FailedKeys(r.Compares); failed != nil {
		return kvstore.Response{Outcome: kvstore.Conflict, FailedKeys: failed}
	}
	if len(r.Mutations) > testLimits.MutationsPerTxn {
		f.t.Errorf("%d mutations in a transaction, want at most %d", len(r.Mutations), testLimits.MutationsPerTxn)
	}
	for _, mutation := range r.Mutations {
		if mutation.Put != "" {
			f.puts[mutation.Put] = append(f.puts[mutation.Put], string(mutation.Value))
		}
	}
	return f.Apply(r.Mutations)
}

// run runs all events that are scheduled up to a time, including events that they schedule.
func (f *flakyStore) run(until time.Duration) { f.RunUntil(ident.MonotonicTime(until)) }

// reliableStore applies every request immediately and responds to it.
type reliableStore struct{ *flakyStore }

func newReliableStore(t *testing.T, pairs ...kvstore.KeyValue) reliableStore {
	t.Helper()
	return reliableStore{newFlakyStore(t, 0, 0, pairs...)}
}

func (s reliableStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	s.respond(s.serve(r), onResponse)
}

// testEntry is an entry that holds one of several values of a document.
type testEntry struct {
	document *Document
	index    int
	value    int
	pin      Pin
}

// testLine is the JSON line of a testEntry.
type testLine struct {
	Doc, N, Value int
}

// documentNumber returns the number of the entry's document, which is the last digit of its key.
func (e *testEntry) documentNumber() int { return int(e.document.Key[len(e.document.Key)-1] - '0') }

func (e *testEntry) JSONLine() any       { return testLine{e.documentNumber(), e.index, e.value} }
func (e *testEntry) Document() *Document { return e.document }
func (e *testEntry) Pin() *Pin           { return &e.pin }
func (e *testEntry) TextLine() (group, line string) {
	return e.document.Key, fmt.Sprint(e.index, ",", e.value)
}

// name returns the name of the entry in the result of readText.
func (e *testEntry) name() string { return fmt.Sprintf("%s %d", e.document.Key, e.index) }

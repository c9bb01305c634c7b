package commit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// limitedStore is a flakyStore that rejects transactions that are too large from enforcedFrom on, and reports an
// exceeded rate limit for random transactions.
type limitedStore struct {
	*flakyStore
	maxMutations, maxValueBytes int
	enforcedFrom                ident.MonotonicTime
	rejected                    int
}

func (s *limitedStore) Store(r kvstore.Request, onResponse func(kvstore.Response)) {
	tooLarge := len(r.Mutations) > s.maxMutations
	for _, mutation := range r.Mutations {
		tooLarge = tooLarge || len(mutation.Value) > s.maxValueBytes
	}
	switch {
	case r.Op == kvstore.Txn && s.rng.IntN(20) == 0:
		s.respond(kvstore.Response{Outcome: kvstore.RateLimited}, onResponse)
	case r.Op == kvstore.Txn && s.Now() >= s.enforcedFrom && tooLarge:
		s.rejected++
		s.respond(kvstore.Response{Outcome: kvstore.Invalid, Error: "too large"}, onResponse)
	default:
		s.flakyStore.Store(r, onResponse)
	}
}

// mixedWorkload changes documents and entries at random, with a log in the text format.
type mixedWorkload struct {
	t         *testing.T
	store     *limitedStore
	committer *Committer
	documents []*Document
	values    []int
	entries   [][]*testEntry // entries of each document
	changes   int
	durable   int // number of callback calls
}

func newMixedWorkload(t *testing.T, seed uint64, documents, entries int) *mixedWorkload {
	t.Helper()
	store := &limitedStore{
		flakyStore:    newFlakyStore(t, seed, 3),
		maxMutations:  2,
		maxValueBytes: 400,
		enforcedFrom:  ident.MonotonicTime(10 * time.Second),
	}
	limits := testLimits
	limits.MaxValueBytes = 4096
	w := &mixedWorkload{
		t:         t,
		store:     store,
		committer: newTestCommitter(t, store, limits),
		values:    make([]int, documents),
		entries:   make([][]*testEntry, documents),
	}
	w.committer.log.format = textFormat{} // UseTextFormat would also apply the expected limits
	for d := range documents {
		document := &Document{Key: fmt.Sprintf("d/%d", d), MustNotExist: []string{fmt.Sprintf("x/%d", d)}}
		document.Render = func() json.RawMessage { return json.RawMessage(fmt.Sprint(w.values[d])) }
		w.documents = append(w.documents, document)
		for n := range entries {
			w.entries[d] = append(w.entries[d], &testEntry{document: document, index: n})
		}
	}
	return w
}

// change changes a random document or one of its entries.
func (w *mixedWorkload) change() {
	rng := w.store.rng
	d := rng.IntN(len(w.documents))
	w.changes++
	if rng.IntN(3) == 0 {
		w.values[d]++
		w.committer.MarkDirty(w.documents[d], func() { w.durable++ })
	} else {
		entry := w.entries[d][rng.IntN(len(w.entries[d]))]
		entry.value++
		w.committer.Append(entry, func() { w.durable++ })
	}
	w.committer.Flush()
}

// check checks the stored content of all documents and entries.
func (w *mixedWorkload) check() {
	w.t.Helper()
	stored := readText(w.t, w.store.flakyStore)
	for d, document := range w.documents {
		if got := string(w.store.Entries[document.Key].Value); w.values[d] > 0 && got != fmt.Sprint(w.values[d]) {
			w.t.Errorf("%s: final stored value %s, want %d", document.Key, got, w.values[d])
		}
		for _, entry := range w.entries[d] {
			if entry.value > 0 && stored[entry.name()] != entry.value {
				w.t.Errorf("%s: final stored value %d, want %d", entry.name(), stored[entry.name()], entry.value)
			}
		}
	}
}

// TestLowerLimits checks that neither the term nor any content is lost if the store enforces stricter limits
// without notice, whether they were expected or not. Responses are lost and transactions are applied late, so
// that a copy of a rejected transaction that was sent earlier may still be applied.
func TestLowerLimits(t *testing.T) {
	runSeeds(t, 40, func(t *testing.T, seed uint64) {
		w := newMixedWorkload(t, seed, 6, 10)
		expected := seed%2 == 0
		if expected {
			w.committer.ExpectLimits(Limits{MutationsPerTxn: 2, MutationsPerSecond: 50, MaxValueBytes: 400})
		}
		for range 600 {
			w.store.After(time.Duration(w.store.rng.IntN(25_000))*time.Millisecond, w.change)
		}
		w.store.run(10 * time.Minute)
		if w.durable != w.changes {
			t.Errorf("%d changes reported durable, want %d", w.durable, w.changes)
		}
		// The first response with an exceeded rate limit already applies the expected limits, so that no
		// transaction need be rejected.
		if !expected && w.store.rejected == 0 {
			t.Error("the store rejected 0 transactions, want at least 1 so that the stricter limits are tested")
		}
		w.check()
	})
}

// TestRejectionPause checks that the pause doubles from two seconds up to maxRejectionPause.
func TestRejectionPause(t *testing.T) {
	for _, tc := range []struct {
		name       string
		rejections int
		want       time.Duration
	}{
		{"first", 1, 2 * time.Second},
		{"second", 2, 4 * time.Second},
		{"last below the longest", 5, 32 * time.Second},
		{"longest", 6, time.Minute},
		{"many", 1000, time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := rejectionPause(tc.rejections); got != tc.want {
				t.Errorf("pause after %d rejections is %v, want %v", tc.rejections, got, tc.want)
			}
		})
	}
}

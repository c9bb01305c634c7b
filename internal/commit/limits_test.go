package commit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// limitedStore is a flaky state service that refuses what is too large, from some moment on,
// and now and then answers that the rate is too high.
type limitedStore struct {
	*flakyStore
	maxMutations, maxValueBytes int
	enforcedFrom                time.Duration
	rejected                    int
}

func (s *limitedStore) Store(r kvstore.Request, done func(kvstore.Response)) {
	large := len(r.Mutations) > s.maxMutations
	for _, c := range r.Mutations {
		large = large || len(c.Value) > s.maxValueBytes
	}
	switch {
	case r.Op == kvstore.Txn && s.rng.IntN(20) == 0:
		s.After(time.Millisecond, func() { done(kvstore.Response{Outcome: kvstore.RateLimited}) })
	case r.Op == kvstore.Txn && s.now >= s.enforcedFrom && large:
		s.rejected++
		s.After(time.Millisecond, func() { done(kvstore.Response{Outcome: kvstore.Invalid, Error: "too large"}) })
	default:
		s.flakyStore.Store(r, done)
	}
}

// TestLowerLimits: limits that fall without notice, beside answers that get lost and
// transactions that are carried out late, cost neither the term nor any content, with
// the next limits announced or not. What came before a 400 may still be carried out.
func TestLowerLimits(t *testing.T) {
	for seed := range uint64(40) {
		f := &limitedStore{flakyStore: &flakyStore{t: t, rng: rand.New(rand.NewPCG(seed, 3)), MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 1}),
			puts: map[string][]string{}}, maxMutations: 2, maxValueBytes: 400, enforcedFrom: 10 * time.Second}
		c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 100, MaxValueBytes: 4096}, kvstore.Compare{Key: "leader", Revision: 1},
			func(err error) { t.Errorf("seed %d: term lost: %v", seed, err) })
		c.log.format = textFormat{}
		if seed%2 == 0 {
			c.ExpectLimits(Limits{MutationsPerTxn: 2, MutationsPerSecond: 50, MaxValueBytes: 400})
		}
		const docs, parts = 6, 10
		values := make([]int, docs)
		var all [docs][parts]*testEntry
		var list [docs]*Document
		for d := range docs {
			list[d] = &Document{Key: fmt.Sprintf("d/%d", d), MustNotExist: []string{fmt.Sprintf("x/%d", d)}}
			list[d].Render = func() json.RawMessage { return json.RawMessage(fmt.Sprint(values[d])) }
			for n := range parts {
				all[d][n] = &testEntry{document: list[d], index: n}
			}
		}
		want, called := 0, 0
		for range 600 {
			f.After(time.Duration(f.rng.IntN(25_000))*time.Millisecond, func() {
				d := f.rng.IntN(docs)
				want++
				if f.rng.IntN(3) == 0 {
					values[d]++
					c.MarkDirty(list[d], func() { called++ })
				} else {
					p := all[d][f.rng.IntN(parts)]
					p.value++
					c.Append(p, func() { called++ })
				}
				c.Flush()
			})
		}
		f.run(10 * time.Minute)
		if called != want {
			t.Errorf("seed %d: %d of %d called back", seed, called, want)
		}
		if seed%2 == 1 && f.rejected == 0 { // else the first 429 is warning enough
			t.Errorf("seed %d: nothing was refused: the test shows nothing", seed)
		}
		got := readText(f.flakyStore)
		for d := range docs {
			if s := string(f.Entries[list[d].Key].Value); values[d] > 0 && s != fmt.Sprint(values[d]) {
				t.Errorf("seed %d: %s ends as %s, want %d", seed, list[d].Key, s, values[d])
			}
			for n, p := range all[d] {
				if have := got[fmt.Sprintf("%s %d", list[d].Key, n)]; p.value > 0 && have != p.value {
					t.Errorf("seed %d: %s/%d ends as %d, want %d", seed, list[d].Key, n, have, p.value)
				}
			}
		}
	}
}

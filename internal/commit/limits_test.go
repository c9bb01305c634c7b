package commit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
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

// readText is what the records of the log say, the newest of each line.
func readText(f *flakyStore) map[string]int {
	type rec struct {
		N uint64 `json:"n"`
		T string `json:"t"`
	}
	out, newest := map[string]int{}, map[string]uint64{}
	for k, p := range f.Entries {
		var r rec
		if !strings.HasPrefix(k, LogPrefix) || json.Unmarshal(p.Value, &r) != nil {
			continue
		}
		ParseText(r.T, func(group, line string) error {
			var n, v int
			fmt.Sscanf(line, "%d,%d", &n, &v)
			key := fmt.Sprintf("%s %d", group, n)
			if r.N > newest[key] {
				newest[key], out[key] = r.N, v
			}
			return nil
		})
	}
	return out
}

// TestPackedLog: with records in the log's own format, the newest line of each entry is
// always in some record, though slots are used again and a long log is written anew;
// entries that are released hold nothing.
func TestPackedLog(t *testing.T) {
	for seed := range uint64(2) {
		f := &flakyStore{t: t, rng: rand.New(rand.NewPCG(seed, 4)), MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 1}),
			puts: map[string][]string{}}
		c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 200, MaxValueBytes: 256}, kvstore.Compare{Key: "leader", Revision: 1},
			func(err error) { t.Errorf("seed %d: term lost: %v", seed, err) })
		c.UseTextFormat()
		var all []*testEntry
		for d := range 40 {
			doc := &Document{Key: fmt.Sprintf("d/%d", d)}
			for n := range 30 {
				all = append(all, &testEntry{document: doc, index: n})
			}
		}
		for range 4000 {
			f.After(time.Duration(f.rng.IntN(100_000))*time.Millisecond, func() {
				p := all[f.rng.IntN(len(all))]
				p.value++
				v, key := p.value, fmt.Sprintf("%s %d", p.document.Key, p.index)
				c.Append(p, func() {
					if v%4 > 0 {
						return
					}
					if have := readText(f)[key]; have < v {
						t.Errorf("seed %d: %s is called durable at %d, is %d", seed, key, v, have)
					}
				})
				c.Flush()
			})
		}
		f.run(10 * time.Minute)
		got := readText(f)
		for _, p := range all {
			if have := got[fmt.Sprintf("%s %d", p.document.Key, p.index)]; have != p.value {
				t.Errorf("seed %d: %s/%d ends as %d, want %d", seed, p.document.Key, p.index, have, p.value)
			}
			if p.value > 0 && !p.pin.Held() {
				t.Errorf("seed %d: nothing holds the line of %s/%d", seed, p.document.Key, p.index)
			}
		}
		held := c.log.slots.live
		for _, p := range all {
			c.Release(&p.pin)
		}
		if c.log.slots.live != 0 || held == 0 || c.log.slots.pinnedEntries != 0 {
			t.Errorf("seed %d: %d records held, %d after all were released", seed, held, c.log.slots.live)
		}
		for k, p := range f.Entries {
			if len(p.Value) > 256 {
				t.Errorf("seed %d: %s has %d bytes", seed, k, len(p.Value))
			}
		}
	}
}

// TestLongLogIsCompacted: records of which little is still held don't pile up.
func TestLongLogIsCompacted(t *testing.T) {
	f := reliableStore{&flakyStore{t: t, MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 1}), puts: map[string][]string{}}}
	c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 2000, MaxValueBytes: 1 << 10}, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	c.UseTextFormat()
	rng := rand.New(rand.NewPCG(1, 1))
	var idle []*testEntry // each in a record of its own, among others that change again and again
	busy := make([]*testEntry, 60)
	for i := range busy {
		busy[i] = &testEntry{document: &Document{Key: "d/0"}, index: i}
	}
	maxRecords := max(compactAfterRecords, compactAfterBytes/(1<<10))
	for i := range 2*maxRecords + 50 {
		p := &testEntry{document: &Document{Key: "d/1"}, index: i}
		idle = append(idle, p)
		c.Append(p, nil)
		for _, k := range rng.Perm(len(busy))[:30] {
			c.Append(busy[k], nil)
		}
		c.Flush()
		f.run(f.now + 20*time.Millisecond)
	}
	f.run(f.now + time.Minute)
	if c.log.slots.live > maxRecords+20 {
		t.Errorf("%d records are held, for %d lines", c.log.slots.live, c.log.slots.pinnedEntries)
	}
	for _, p := range idle {
		if !p.pin.Held() {
			t.Fatalf("the line of %d is in no record", p.index)
		}
	}
}

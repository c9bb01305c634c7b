package commit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// TestLog: what is durable of a document's parts is what the document, as last
// put, and the records of the log after it say together, however requests get
// lost or late; and a long log is folded into the documents.
func TestLog(t *testing.T) {
	const docs, parts = 5, 4
	type whole struct {
		LSN    uint64
		Values [parts]int
	}
	for seed := range uint64(5) {
		f := &flakyStore{t: t, rng: rand.New(rand.NewPCG(seed, 2)), MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 1}),
			puts: map[string][]string{}}
		c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 100, MaxValueBytes: 1024}, kvstore.Compare{Key: "leader", Revision: 1},
			func(err error) { t.Errorf("seed %d: term lost: %v", seed, err) })
		var all [docs][parts]*testEntry
		for d := range docs {
			doc := &Document{Key: fmt.Sprintf("d/%d", d)}
			for n := range parts {
				all[d][n] = &testEntry{document: doc, index: n}
			}
			doc.Render = func() json.RawMessage {
				w := whole{LSN: c.LSN()}
				for n := range parts {
					w.Values[n] = all[d][n].value
				}
				b, _ := json.Marshal(w)
				return b
			}
		}
		load := func() (out [docs]whole, records int) {
			for d := range docs {
				json.Unmarshal(f.Entries[fmt.Sprintf("d/%d", d)].Value, &out[d])
			}
			type rec struct {
				N uint64
				L []testLine
			}
			var recs []rec
			for k, p := range f.Entries {
				if strings.HasPrefix(k, LogPrefix) {
					var r rec
					json.Unmarshal(p.Value, &r)
					recs = append(recs, r)
				}
			}
			sort.Slice(recs, func(i, k int) bool { return recs[i].N < recs[k].N })
			for _, r := range recs {
				for _, l := range r.L {
					if out[l.Doc].LSN < r.N {
						out[l.Doc].Values[l.N] = l.Value
					}
				}
			}
			return out, len(recs)
		}
		called := 0
		const steps = 1500
		for range steps {
			f.After(time.Duration(f.rng.IntN(200_000))*time.Millisecond, func() {
				p := all[f.rng.IntN(docs)][f.rng.IntN(parts)]
				p.value++
				v := p.value
				c.Append(p, func() {
					called++
					if have, _ := load(); have[p.document.Key[2]-'0'].Values[p.index] < v {
						t.Errorf("seed %d: %s/%d is called durable at %d, is %v", seed, p.document.Key, p.index, v, have)
					}
				})
				if f.rng.IntN(20) == 0 {
					c.MarkDirty(p.document, nil)
				}
				c.Flush()
			})
		}
		f.run(10 * time.Minute)
		have, records := load()
		for d := range docs {
			for n := range parts {
				if have[d].Values[n] != all[d][n].value {
					t.Errorf("seed %d: %d/%d ends as %d, want %d", seed, d, n, have[d].Values[n], all[d][n].value)
				}
			}
		}
		if called != steps || records > 2*compactAfterRecords {
			t.Errorf("seed %d: %d of %d called back, %d records are left", seed, called, steps, records)
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

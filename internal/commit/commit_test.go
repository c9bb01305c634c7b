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

// TestAtMostOnce: whatever gets lost or comes late, every document ends with its
// last content, never goes through an older one again, and every callback is
// called once.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(60) {
		f := &flakyStore{t: t, rng: rand.New(rand.NewPCG(seed, 1)), MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 1}),
			puts: map[string][]string{}}
		c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 100, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Errorf("seed %d: term lost: %v", seed, err) })
		called := map[string]int{}
		values := make([]int, 12)
		docs := make([]*Document, 12)
		for i := range docs {
			docs[i] = &Document{Key: fmt.Sprintf("d/%d", i), Render: func() json.RawMessage { return json.RawMessage(fmt.Sprint(values[i])) }}
		}
		for step := 1; step <= 100; step++ {
			f.After(time.Duration(f.rng.IntN(20_000))*time.Millisecond, func() {
				i := f.rng.IntN(len(docs))
				values[i]++
				v := values[i]
				c.MarkDirty(docs[i], func() {
					called[fmt.Sprint(i, "/", v)]++
					var have int
					json.Unmarshal(f.Entries[docs[i].Key].Value, &have)
					if have < v {
						t.Errorf("seed %d: %s is called durable at %d, is %d", seed, docs[i].Key, v, have)
					}
				})
				c.Flush()
			})
		}
		f.run(10 * time.Minute)
		for i, d := range docs {
			if got := string(f.Entries[d.Key].Value); values[i] > 0 && got != fmt.Sprint(values[i]) {
				t.Errorf("seed %d: %s ends as %s, want %d", seed, d.Key, got, values[i])
			}
			if d.Revision != f.Entries[d.Key].Revision || !d.Idle() {
				t.Errorf("seed %d: %s: stamp %d, is %d", seed, d.Key, d.Revision, f.Entries[d.Key].Revision)
			}
			last := 0
			for _, p := range f.puts[d.Key] {
				var v int
				json.Unmarshal([]byte(p), &v)
				if v <= last {
					t.Errorf("seed %d: %s goes through %v", seed, d.Key, f.puts[d.Key])
				}
				last = v
			}
			for v := 1; v <= values[i]; v++ {
				if n := called[fmt.Sprint(i, "/", v)]; n != 1 {
					t.Errorf("seed %d: %d of %s called %d times", seed, v, d.Key, n)
				}
			}
		}
	}
}

// TestOtherLeader: once the leader key has changed nothing is written, and the
// term ends.
func TestOtherLeader(t *testing.T) {
	f := reliableStore{&flakyStore{t: t, MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 5}), puts: map[string][]string{}}}
	lost := 0
	c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 100, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader", Revision: 1}, func(error) { lost++ })
	c.MarkDirty(&Document{Key: "d", Render: func() json.RawMessage { return json.RawMessage("1") }}, func() { t.Error("called durable") })
	c.Flush()
	f.run(time.Minute)
	if lost != 1 || len(f.puts) != 0 {
		t.Errorf("term lost %d times, puts %v", lost, f.puts)
	}
}

// TestExists: a key that must be absent fails its own document alone; the others
// of the transaction are written.
func TestExists(t *testing.T) {
	f := reliableStore{&flakyStore{t: t, MemoryStore: kvstoretest.NewMemoryStore(kvstore.KeyValue{Key: "leader", Revision: 1}, kvstore.KeyValue{Key: "over/1", Revision: 1}), puts: map[string][]string{}}}
	c := New(f, Limits{MutationsPerTxn: 8, MutationsPerSecond: 100, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	exists, stored := 0, 0
	render := func() json.RawMessage { return json.RawMessage("1") }
	c.MarkDirty(&Document{Key: "live/1", Render: render, MustNotExist: []string{"over/1"}, OnExists: func() { exists++ }}, func() { t.Error("called durable") })
	c.MarkDirty(&Document{Key: "live/2", Render: render, MustNotExist: []string{"over/2"}}, func() { stored++ })
	c.Flush()
	f.run(time.Minute)
	if exists != 1 || stored != 1 {
		t.Errorf("exists %d, stored %d", exists, stored)
	}
}

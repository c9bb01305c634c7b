package commit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
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

// reliableStore carries everything out at once.
type reliableStore struct{ *flakyStore }

func (s reliableStore) Store(r kvstore.Request, done func(kvstore.Response)) {
	a := s.serve(r)
	s.After(time.Millisecond, func() { done(a) })
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

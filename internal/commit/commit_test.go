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
	"opaldale/internal/statesvc"
	"opaldale/internal/statetest"
)

// flaky is a state service whose answers get lost and whose requests are carried
// out late, or twice.
type flaky struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events []timed
	*statetest.Store
	puts map[string][]string // the values each key went through
}

type timed struct {
	at  time.Duration
	run func()
}

func (f *flaky) Now() ident.Mono { return ident.Mono(f.now) }

func (f *flaky) After(d time.Duration, run func()) {
	f.events = append(f.events, timed{f.now + d, run})
}

func (f *flaky) State(r statesvc.Request, done func(statesvc.Reply)) {
	answer := func(a statesvc.Reply) { f.After(time.Millisecond, func() { done(a) }) }
	switch f.rng.IntN(5) {
	case 0: // never carried out
		answer(statesvc.Reply{Outcome: statesvc.Lost})
	case 1: // carried out now, the answer lost
		f.serve(r)
		answer(statesvc.Reply{Outcome: statesvc.Lost})
	case 2: // carried out later
		f.After(time.Duration(f.rng.IntN(2000))*time.Millisecond, func() { f.serve(r) })
		answer(statesvc.Reply{Outcome: statesvc.Lost})
	case 3:
		answer(statesvc.Reply{Outcome: statesvc.Refused})
	default:
		answer(f.serve(r))
	}
}

func (f *flaky) serve(r statesvc.Request) statesvc.Reply {
	if r.Op == statesvc.Get {
		return f.Get(r.Path)
	}
	if failed := f.Failed(r.If); failed != nil {
		return statesvc.Reply{Outcome: statesvc.Conflict, Failed: failed}
	}
	if len(r.Then) > 8 {
		f.t.Errorf("%d changes in a transaction", len(r.Then))
	}
	for _, c := range r.Then {
		if c.Put != "" {
			f.puts[c.Put] = append(f.puts[c.Put], string(c.Value))
		}
	}
	return f.Apply(r.Then)
}

func (f *flaky) run(limit time.Duration) {
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
		f := &flaky{t: t, rng: rand.New(rand.NewPCG(seed, 1)), Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 1}),
			puts: map[string][]string{}}
		c := New(f, Limits{Ops: 8, PerSecond: 100, ValueBytes: 16 << 10}, statesvc.Cond{Path: "leader", Stamp: 1}, func(why string) { t.Errorf("seed %d: term lost: %s", seed, why) })
		called := map[string]int{}
		values := make([]int, 12)
		docs := make([]*Doc, 12)
		for i := range docs {
			docs[i] = &Doc{Path: fmt.Sprintf("d/%d", i), Render: func() json.RawMessage { return json.RawMessage(fmt.Sprint(values[i])) }}
		}
		for step := 1; step <= 100; step++ {
			f.After(time.Duration(f.rng.IntN(20_000))*time.Millisecond, func() {
				i := f.rng.IntN(len(docs))
				values[i]++
				v := values[i]
				c.Mark(docs[i], func() {
					called[fmt.Sprint(i, "/", v)]++
					var have int
					json.Unmarshal(f.Keys[docs[i].Path].Value, &have)
					if have < v {
						t.Errorf("seed %d: %s is called durable at %d, is %d", seed, docs[i].Path, v, have)
					}
				})
				c.Flush()
			})
		}
		f.run(10 * time.Minute)
		for i, d := range docs {
			if got := string(f.Keys[d.Path].Value); values[i] > 0 && got != fmt.Sprint(values[i]) {
				t.Errorf("seed %d: %s ends as %s, want %d", seed, d.Path, got, values[i])
			}
			if d.Stamp != f.Keys[d.Path].Stamp || !d.Idle() {
				t.Errorf("seed %d: %s: stamp %d, is %d", seed, d.Path, d.Stamp, f.Keys[d.Path].Stamp)
			}
			last := 0
			for _, p := range f.puts[d.Path] {
				var v int
				json.Unmarshal([]byte(p), &v)
				if v <= last {
					t.Errorf("seed %d: %s goes through %v", seed, d.Path, f.puts[d.Path])
				}
				last = v
			}
			for v := 1; v <= values[i]; v++ {
				if n := called[fmt.Sprint(i, "/", v)]; n != 1 {
					t.Errorf("seed %d: %d of %s called %d times", seed, v, d.Path, n)
				}
			}
		}
	}
}

// steady carries everything out at once.
type steady struct{ *flaky }

func (s steady) State(r statesvc.Request, done func(statesvc.Reply)) {
	a := s.serve(r)
	s.After(time.Millisecond, func() { done(a) })
}

// TestOtherLeader: once the leader key has changed nothing is written, and the
// term ends.
func TestOtherLeader(t *testing.T) {
	f := steady{&flaky{t: t, Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 5}), puts: map[string][]string{}}}
	lost := 0
	c := New(f, Limits{Ops: 8, PerSecond: 100, ValueBytes: 16 << 10}, statesvc.Cond{Path: "leader", Stamp: 1}, func(string) { lost++ })
	c.Mark(&Doc{Path: "d", Render: func() json.RawMessage { return json.RawMessage("1") }}, func() { t.Error("called durable") })
	c.Flush()
	f.run(time.Minute)
	if lost != 1 || len(f.puts) != 0 {
		t.Errorf("term lost %d times, puts %v", lost, f.puts)
	}
}

// TestExists: a key that must be absent fails its own document alone; the others
// of the transaction are written.
func TestExists(t *testing.T) {
	f := steady{&flaky{t: t, Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 1}, statesvc.Pair{Path: "over/1", Stamp: 1}), puts: map[string][]string{}}}
	c := New(f, Limits{Ops: 8, PerSecond: 100, ValueBytes: 16 << 10}, statesvc.Cond{Path: "leader", Stamp: 1}, func(why string) { t.Error(why) })
	exists, stored := 0, 0
	one := func() json.RawMessage { return json.RawMessage("1") }
	c.Mark(&Doc{Path: "live/1", Render: one, Absent: []string{"over/1"}, Exists: func() { exists++ }}, func() { t.Error("called durable") })
	c.Mark(&Doc{Path: "live/2", Render: one, Absent: []string{"over/2"}}, func() { stored++ })
	c.Flush()
	f.run(time.Minute)
	if exists != 1 || stored != 1 {
		t.Errorf("exists %d, stored %d", exists, stored)
	}
}

// part is one value of a document that has several.
type part struct {
	home  *Doc
	n     int
	value int
	pin   Pin
}

type partLine struct {
	Doc, N, Value int
}

func (p *part) Line() any  { return partLine{int(p.home.Path[2] - '0'), p.n, p.value} }
func (p *part) Home() *Doc { return p.home }
func (p *part) Pin() *Pin  { return &p.pin }
func (p *part) Text() (group, line string) {
	return p.home.Path, fmt.Sprint(p.n, ",", p.value)
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
		f := &flaky{t: t, rng: rand.New(rand.NewPCG(seed, 2)), Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 1}),
			puts: map[string][]string{}}
		c := New(f, Limits{Ops: 8, PerSecond: 100, ValueBytes: 1024}, statesvc.Cond{Path: "leader", Stamp: 1},
			func(why string) { t.Errorf("seed %d: term lost: %s", seed, why) })
		var all [docs][parts]*part
		for d := range docs {
			doc := &Doc{Path: fmt.Sprintf("d/%d", d)}
			for n := range parts {
				all[d][n] = &part{home: doc, n: n}
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
				json.Unmarshal(f.Keys[fmt.Sprintf("d/%d", d)].Value, &out[d])
			}
			type rec struct {
				N uint64
				L []partLine
			}
			var recs []rec
			for k, p := range f.Keys {
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
					if have, _ := load(); have[p.home.Path[2]-'0'].Values[p.n] < v {
						t.Errorf("seed %d: %s/%d is called durable at %d, is %v", seed, p.home.Path, p.n, v, have)
					}
				})
				if f.rng.IntN(20) == 0 {
					c.Mark(p.home, nil)
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
		if called != steps || records > 2*logLength {
			t.Errorf("seed %d: %d of %d called back, %d records are left", seed, called, steps, records)
		}
	}
}

package commit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"opaldale/internal/statesvc"
	"opaldale/internal/statetest"
)

// stingy is a flaky state service that refuses what is too large, from some moment on,
// and now and then answers that the rate is too high.
type stingy struct {
	*flaky
	ops, value int
	from       time.Duration
	rejected   int
}

func (s *stingy) State(r statesvc.Request, done func(statesvc.Reply)) {
	large := len(r.Then) > s.ops
	for _, c := range r.Then {
		large = large || len(c.Value) > s.value
	}
	switch {
	case r.Op == statesvc.Txn && s.rng.IntN(20) == 0:
		s.After(time.Millisecond, func() { done(statesvc.Reply{Outcome: statesvc.Limited}) })
	case r.Op == statesvc.Txn && s.now >= s.from && large:
		s.rejected++
		s.After(time.Millisecond, func() { done(statesvc.Reply{Outcome: statesvc.Bad, Error: "too large"}) })
	default:
		s.flaky.State(r, done)
	}
}

// TestLowerLimits: limits that fall without notice, beside answers that get lost and
// transactions that are carried out late, cost neither the term nor any content, with
// the next limits announced or not. What came before a 400 may still be carried out.
func TestLowerLimits(t *testing.T) {
	for seed := range uint64(40) {
		f := &stingy{flaky: &flaky{t: t, rng: rand.New(rand.NewPCG(seed, 3)), Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 1}),
			puts: map[string][]string{}}, ops: 2, value: 400, from: 10 * time.Second}
		c := New(f, Limits{Ops: 8, PerSecond: 100, ValueBytes: 4096}, statesvc.Cond{Path: "leader", Stamp: 1},
			func(why string) { t.Errorf("seed %d: term lost: %s", seed, why) })
		c.text = true
		if seed%2 == 0 {
			c.Expect(Limits{Ops: 2, PerSecond: 50, ValueBytes: 400})
		}
		const docs, parts = 6, 10
		values := make([]int, docs)
		var all [docs][parts]*part
		var list [docs]*Doc
		for d := range docs {
			list[d] = &Doc{Path: fmt.Sprintf("d/%d", d), Absent: []string{fmt.Sprintf("x/%d", d)}}
			list[d].Render = func() json.RawMessage { return json.RawMessage(fmt.Sprint(values[d])) }
			for n := range parts {
				all[d][n] = &part{home: list[d], n: n}
			}
		}
		want, called := 0, 0
		for range 600 {
			f.After(time.Duration(f.rng.IntN(25_000))*time.Millisecond, func() {
				d := f.rng.IntN(docs)
				want++
				if f.rng.IntN(3) == 0 {
					values[d]++
					c.Mark(list[d], func() { called++ })
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
		got := readText(f.flaky)
		for d := range docs {
			if s := string(f.Keys[list[d].Path].Value); values[d] > 0 && s != fmt.Sprint(values[d]) {
				t.Errorf("seed %d: %s ends as %s, want %d", seed, list[d].Path, s, values[d])
			}
			for n, p := range all[d] {
				if have := got[fmt.Sprintf("%s %d", list[d].Path, n)]; p.value > 0 && have != p.value {
					t.Errorf("seed %d: %s/%d ends as %d, want %d", seed, list[d].Path, n, have, p.value)
				}
			}
		}
	}
}

// readText is what the records of the log say, the newest of each line.
func readText(f *flaky) map[string]int {
	type rec struct {
		N uint64 `json:"n"`
		T string `json:"t"`
	}
	out, newest := map[string]int{}, map[string]uint64{}
	for k, p := range f.Keys {
		var r rec
		if !strings.HasPrefix(k, LogPrefix) || json.Unmarshal(p.Value, &r) != nil {
			continue
		}
		Unpack(r.T, func(group, line string) error {
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
		f := &flaky{t: t, rng: rand.New(rand.NewPCG(seed, 4)), Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 1}),
			puts: map[string][]string{}}
		c := New(f, Limits{Ops: 8, PerSecond: 200, ValueBytes: 256}, statesvc.Cond{Path: "leader", Stamp: 1},
			func(why string) { t.Errorf("seed %d: term lost: %s", seed, why) })
		c.Pack()
		var all []*part
		for d := range 40 {
			doc := &Doc{Path: fmt.Sprintf("d/%d", d)}
			for n := range 30 {
				all = append(all, &part{home: doc, n: n})
			}
		}
		for range 4000 {
			f.After(time.Duration(f.rng.IntN(100_000))*time.Millisecond, func() {
				p := all[f.rng.IntN(len(all))]
				p.value++
				v, key := p.value, fmt.Sprintf("%s %d", p.home.Path, p.n)
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
			if have := got[fmt.Sprintf("%s %d", p.home.Path, p.n)]; have != p.value {
				t.Errorf("seed %d: %s/%d ends as %d, want %d", seed, p.home.Path, p.n, have, p.value)
			}
			if p.value > 0 && !p.pin.Held() {
				t.Errorf("seed %d: nothing holds the line of %s/%d", seed, p.home.Path, p.n)
			}
		}
		held := c.live
		for _, p := range all {
			c.Release(&p.pin)
		}
		if c.live != 0 || held == 0 || c.pinned != 0 {
			t.Errorf("seed %d: %d records held, %d after all were released", seed, held, c.live)
		}
		for k, p := range f.Keys {
			if len(p.Value) > 256 {
				t.Errorf("seed %d: %s has %d bytes", seed, k, len(p.Value))
			}
		}
	}
}

// TestLongLogIsWrittenAnew: records of which little is still held don't pile up.
func TestLongLogIsWrittenAnew(t *testing.T) {
	f := steady{&flaky{t: t, Store: statetest.New(statesvc.Pair{Path: "leader", Stamp: 1}), puts: map[string][]string{}}}
	c := New(f, Limits{Ops: 8, PerSecond: 2000, ValueBytes: 1 << 10}, statesvc.Cond{Path: "leader", Stamp: 1}, func(why string) { t.Error(why) })
	c.Pack()
	rng := rand.New(rand.NewPCG(1, 1))
	var still []*part // each in a record of its own, among others that change again and again
	busy := make([]*part, 60)
	for i := range busy {
		busy[i] = &part{home: &Doc{Path: "d/0"}, n: i}
	}
	most := max(logLength, logBytes/(1<<10))
	for i := range 2*most + 50 {
		p := &part{home: &Doc{Path: "d/1"}, n: i}
		still = append(still, p)
		c.Append(p, nil)
		for _, k := range rng.Perm(len(busy))[:30] {
			c.Append(busy[k], nil)
		}
		c.Flush()
		f.run(f.now + 20*time.Millisecond)
	}
	f.run(f.now + time.Minute)
	if c.live > most+20 {
		t.Errorf("%d records are held, for %d lines", c.live, c.pinned)
	}
	for _, p := range still {
		if !p.pin.Held() {
			t.Fatalf("the line of %d is in no record", p.n)
		}
	}
}

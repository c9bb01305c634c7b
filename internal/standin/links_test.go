package standin

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
)

// TestRulesHoldWithLinks plays days of trouble, with links that break in one direction
// among them, with nodes that watch their links: every rule holds and all work ends.
func TestRulesHoldWithLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		w := New(Config{Seed: seed, Faults: true, Meet: seed%2 == 1, Links: true, Length: 300 * time.Second})
		w.Run()
		if len(w.Broken) > 0 || len(w.Undone) > 0 {
			t.Errorf("seed %d: %v %v\n%s", seed, w.Broken, w.Undone, w.Tail(30))
		}
		if w.Starts < 20 || w.lostOneWay == 0 {
			t.Errorf("seed %d: only %d tasks started, %d messages were lost one way", seed, w.Starts, w.lostOneWay)
		}
	}
}

// linkCase is a way in which links break, and what must come of it.
type linkCase struct {
	name   string
	nodes  int // 0: three
	old    bool
	play   func(w *World)
	took   map[string]int // what must have taken place, so often at the least
	most   map[string]int // and at the most
	seeds  uint64         // 0: three
	length time.Duration  // 0: 200 s
}

// breakAt is when the links of the cases break, and breakFor for how long.
const (
	breakAt  = 60
	breakFor = 60 * time.Second
)

// leaderAt calls f with the leader of a moment.
func (w *World) leaderAt(s float64, f func(l *node)) {
	w.when(s, func() {
		if l := w.leader(); l != nil {
			f(l)
		} else {
			w.took("no leader")
		}
	})
}

// followed notes who leads so long after a moment, and whether it is another.
func (w *World) followed(l *node, d time.Duration) {
	w.at(d, func() {
		switch n := w.leader(); {
		case n == nil:
			w.took("nobody leads")
		case n == l:
			w.took("the same leads")
		default:
			w.took("another leads")
		}
	})
}

// steadily submits and cancels work throughout.
func (w *World) steadily() {
	w.load(6)
	w.stream(20, 150, 1.5, 20*time.Second)
}

// fencedWithin notes how many machines the node that is the leader, or those that follow,
// fence within a time.
func (w *World) fencedWithin(d time.Duration) {
	var counts [8]uint64 // by node, in its present term
	var look func()
	until := w.now.Add(d)
	look = func() {
		for i, n := range w.nodes {
			if !n.alive {
				continue
			}
			fenced := n.ctl.Stats().MachinesFenced
			for range fenced - min(fenced, counts[i]) {
				w.took("fenced meanwhile")
			}
			counts[i] = fenced
		}
		if w.now < until {
			w.at(200*time.Millisecond, look)
		}
	}
	for i, n := range w.nodes {
		counts[i] = n.ctl.Stats().MachinesFenced
	}
	look()
}

// otherThan returns a node that is none of those.
func (w *World) otherThan(not ...*node) *node {
	for _, n := range w.nodes {
		found := false
		for _, o := range not {
			found = found || n == o
		}
		if !found {
			return n
		}
	}
	return nil
}

var linkCases = []linkCase{
	{
		name: "answers of the cloud are lost",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.severWay("cloud", l.name, false, breakFor)
				w.followed(l, 12*time.Second)
			})
		},
		took: map[string]int{"handover announced": 1, "another leads": 1},
		most: map[string]int{"nobody leads": 0},
	},
	{
		name: "commands reach no machine",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.severWay(l.name, machines, false, breakFor)
				w.followed(l, 12*time.Second)
				w.fencedWithin(breakFor)
			})
		},
		took: map[string]int{"handover announced": 1, "another leads": 1},
		most: map[string]int{"fenced meanwhile": 0},
	},
	{
		name: "machines reach the leader's siblings only",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.severWay(machines, l.name, false, breakFor)
				w.followed(l, 15*time.Second)
				w.fencedWithin(breakFor)
			})
		},
		took: map[string]int{"handover announced": 1, "another leads": 1},
		most: map[string]int{"fenced meanwhile": 0},
	},
	{
		name: "answers of the state service are lost",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.severWay("state", l.name, false, breakFor)
				w.followed(l, 6*time.Second)
			})
		},
		took: map[string]int{"another leads": 1},
	},
	{
		name: "a leader with machines and no state service, a sibling with the state service and no machines",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				b := w.otherThan(l)
				w.otherThan(l, b).kill(breakFor)
				w.severWay("state", l.name, false, breakFor)
				w.sever(b.name, machines, false, breakFor)
				w.followed(l, 10*time.Second)
				starts := 0
				w.at(15*time.Second, func() { starts = w.Starts })
				w.at(55*time.Second, func() {
					for range w.Starts - starts {
						w.took("started meanwhile")
					}
				})
			})
		},
		took: map[string]int{"another leads": 1, "started meanwhile": 5},
	},
	{
		name: "no controller hears machines that are running",
		play: func(w *World) {
			w.when(breakAt, func() {
				for _, n := range w.nodes {
					w.sever(n.name, machines, false, breakFor)
				}
				w.cancelNow(2, 0)
				rented := len(w.cloud.machines)
				w.at(breakFor, func() {
					for range len(w.cloud.machines) - rented {
						w.took("rented meanwhile")
					}
				})
			})
		},
		took: map[string]int{"cancelled while it ran": 1},
		most: map[string]int{"rented meanwhile": 12},
	},
	{
		name: "a slow link beside a dead one",
		play: func(w *World) {
			w.slowLinks = spell{1, second(breakAt).Add(breakFor)}
			w.leaderAt(breakAt, func(l *node) {
				w.severWay(l.name, machines, false, breakFor)
				w.followed(l, 20*time.Second)
			})
		},
		took: map[string]int{"slow link": 50, "handover announced": 1, "another leads": 1},
	},
	{
		name: "the leader freezes in the midst of its handover and wakes later",
		play: func(w *World) {
			w.onYield = func(from *node, _ ident.NodeID) {
				w.took("frozen while it yields")
				w.at(time.Millisecond, func() { from.freeze(20 * time.Second) })
				w.followed(from, 8*time.Second)
			}
			w.leaderAt(breakAt, func(l *node) { w.severWay(l.name, machines, false, breakFor) })
		},
		took: map[string]int{"frozen while it yields": 1, "another leads": 1},
	},
	{
		name: "the successor dies between the terms",
		play: func(w *World) {
			w.onYield = func(from *node, to ident.NodeID) {
				for _, n := range w.nodes {
					if n.name == string(to) {
						w.took("successor killed")
						n.kill(20 * time.Second)
					}
				}
				w.followed(from, 5*time.Second)
			}
			w.leaderAt(breakAt, func(l *node) { w.severWay(l.name, machines, false, breakFor) })
		},
		took: map[string]int{"successor killed": 1, "another leads": 1},
	},
	{
		name: "the successor is cut off between the terms",
		play: func(w *World) {
			w.onYield = func(from *node, to ident.NodeID) {
				w.took("successor cut off")
				w.sever(string(to), "state", true, 20*time.Second)
				w.followed(from, 6*time.Second)
			}
			w.leaderAt(breakAt, func(l *node) { w.severWay(l.name, machines, false, breakFor) })
		},
		took: map[string]int{"successor cut off": 1, "another leads": 1},
	},
	{
		name: "the announcement is lost",
		play: func(w *World) {
			w.onYield = func(from *node, _ ident.NodeID) {
				w.others(from, func(n *node) { w.severWay(from.name, n.name, false, 3*time.Second) })
				w.followed(from, 5*time.Second)
			}
			w.leaderAt(breakAt, func(l *node) { w.severWay(l.name, machines, false, breakFor) })
		},
		took: map[string]int{"handover announced": 1, "another leads": 1},
	},
	{
		name: "a leader that only the state service hears",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.others(l, func(n *node) { w.sever(l.name, n.name, false, breakFor) })
				w.sever(l.name, machines, false, breakFor)
				w.followed(l, 9*time.Second)
			})
		},
		took: map[string]int{"another leads": 1},
	},
	{
		name: "a follower reaches the leader by the third node only",
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				f := w.otherThan(l)
				w.severWay(f.name, l.name, false, breakFor)
				for s := 10; s < 50; s++ {
					w.at(time.Duration(s)*time.Second, func() {
						j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, time.Second)
						w.submitAt(j, f)
						if f.ctl.Healthy() {
							w.took("healthy")
						}
					})
				}
				w.at(55*time.Second, func() {
					for range f.ctl.Stats().Relayed {
						w.took("relayed")
					}
				})
			})
		},
		took: map[string]int{"relayed": 40, "healthy": 40},
	},
	{
		name: "late copies of rows", // of when the sibling was well placed
		play: func(w *World) {
			w.oldRows = 8 * time.Second
			w.leaderAt(breakAt, func(l *node) {
				w.severWay(l.name, machines, false, breakFor)
				w.others(l, func(n *node) { w.severWay(n.name, "state", false, breakFor) })
				w.followed(l, 7*time.Second)
			})
		},
		took: map[string]int{"old rows": 20, "the same leads": 1},
		most: map[string]int{"handover announced": 0},
	},
	{
		name: "two nodes", nodes: 2,
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.severWay(l.name, machines, false, breakFor)
				w.followed(l, 12*time.Second)
			})
		},
		took: map[string]int{"handover announced": 1, "another leads": 1},
	},
	{
		name: "two nodes, the link between them broken one way", nodes: 2,
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				w.severWay(l.name, w.otherThan(l).name, false, breakFor)
				w.severWay(l.name, machines, false, 20*time.Second)
				w.took("cut")
			})
		},
		took: map[string]int{"cut": 1},
	},
	{
		name: "five nodes, two dead and one cut off", nodes: 5,
		play: func(w *World) {
			w.leaderAt(breakAt, func(l *node) {
				b := w.otherThan(l)
				c := w.otherThan(l, b)
				d := w.otherThan(l, b, c)
				b.kill(breakFor)
				c.kill(breakFor)
				w.sever(d.name, "*", true, breakFor)
				w.severWay("cloud", l.name, false, breakFor)
				w.followed(l, 15*time.Second)
			})
		},
		took: map[string]int{"handover announced": 1, "another leads": 1},
	},
	{
		name: "an upgrade in which old nodes lead", old: true, length: 260 * time.Second,
		play: func(w *World) {
			w.leaderAt(70, func(l *node) { w.severWay(l.name, machines, false, 20*time.Second) })
			w.when(200, func() {
				if l := w.leader(); l != nil {
					w.severWay(l.name, machines, false, 40*time.Second)
					w.followed(l, 15*time.Second)
				}
			})
		},
		took: map[string]int{"rows sent": 20, "another leads": 1},
	},
}

func (c linkCase) run(seed uint64, m Mutation) *World {
	if c.length == 0 {
		c.length = 200 * time.Second
	}
	w := New(Config{Seed: seed, Mutation: m, Links: true, Nodes: c.nodes, Old: c.old, Quiet: true, Length: c.length})
	w.steadily()
	c.play(w)
	w.Run()
	return w
}

// TestHalfBrokenLinks plays the cases: every rule holds, all work ends, and the lead goes
// where it should.
func TestHalfBrokenLinks(t *testing.T) {
	t.Parallel()
	for _, c := range linkCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := max(c.seeds, 3)
			for seed := range seeds {
				w := c.run(seed, None)
				if len(w.Broken) > 0 || len(w.Undone) > 0 {
					t.Errorf("seed %d: %v %v\n%s", seed, w.Broken, w.Undone, w.Tail(30))
				}
				for what, n := range c.took {
					if w.seen[what] < n {
						t.Errorf("seed %d: %s: %d times, want %d: %v", seed, what, w.seen[what], n, w.seen)
					}
				}
				for what, n := range c.most {
					if w.seen[what] > n {
						t.Errorf("seed %d: %s: %d times, at the most %d", seed, what, w.seen[what], n)
					}
				}
			}
		})
	}
}

// flapping plays a link of the leader that breaks for a part of every period, for two
// minutes, and returns the changes of the lead in that time.
func flapping(t *testing.T, link int, seed uint64) int {
	w := New(Config{Seed: seed, Links: true, Length: 200 * time.Second})
	w.leaderAt(40, func(l *node) {
		var others []string
		w.others(l, func(n *node) { others = append(others, n.name) })
		k := oneWayLinks(l.name, others)[link]
		period := time.Duration(1+(link+int(seed)*2)%5) * time.Second
		w.flap(k[0], k[1], period*7/10, period, 120*time.Second)
		w.countTerms("change")
	})
	w.Run()
	if len(w.Broken) > 0 || len(w.Undone) > 0 {
		t.Errorf("%v %v\n%s", w.Broken, w.Undone, w.Tail(30))
	}
	if w.lostOneWay == 0 {
		t.Error("the link did not flap")
	}
	return w.seen["change"]
}

// TestFlapsDontMoveTheLead: one link of the leader flaps, in either direction, with any
// period: the lead moves away from it at the most, and not to and fro.
func TestFlapsDontMoveTheLead(t *testing.T) {
	t.Parallel()
	for link := range 10 {
		t.Run(fmt.Sprint("link ", link), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				if n := flapping(t, link, seed); n > 2 {
					t.Errorf("seed %d: the lead changed %d times in two minutes", seed, n)
				}
			}
		})
	}
}

// TestSiblingFlapsKeepTheLead: the link to one sibling flaps for ten minutes, while machines of
// small zones come and go. The lead stays, and submissions at that sibling pass by the third
// node. (The last command to the last machine of a zone counted against its next one, and the
// lead moved in a fifth of the days.)
func TestSiblingFlapsKeepTheLead(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		o := StudyLink(seed, true, LinkEnds{From: Leader, To: Sibling}, 10*time.Minute, 4*time.Second)
		if o.Changes > 0 || o.Late > o.Submitted/50 || o.Broken+o.Undone > 0 {
			t.Errorf("seed %d: %+v", seed, o)
		}
	}
}

// pingPong has the links of each leader to the machines break in turn, and returns the
// changes of the lead in two minutes.
func pingPong(seed uint64, m Mutation) int {
	w := New(Config{Seed: seed, Mutation: m, Links: true, Quiet: true, Length: 200 * time.Second})
	w.steadily()
	w.when(40, func() { w.countTerms("change") })
	for s := 40.0; s < 160; s += 8 {
		w.leaderAt(s, func(l *node) { w.severWay(l.name, machines, false, 8*time.Second) })
	}
	w.Run()
	if len(w.Broken) > 0 {
		return -1
	}
	return w.seen["change"]
}

// TestLeadIsKept: whoever leads is soon worse placed than another. The lead moves no more
// often than the hold allows, and without the hold this is noticed.
func TestLeadIsKept(t *testing.T) {
	t.Parallel()
	const most = 6 // 15, 15, 30 and 60 s, and what the first hold had already passed
	noticed := false
	for seed := range uint64(3) {
		if n := pingPong(seed, None); n < 1 || n > most {
			t.Errorf("seed %d: the lead changed %d times in two minutes", seed, n)
		}
		noticed = noticed || pingPong(seed, EndlessHandovers) > most
	}
	if !noticed {
		t.Error("handovers without end were not noticed")
	}
}

// TestFlappingLeaderIsReplaced: a leader that hears the state service for a part of every few
// seconds only is replaced for good, though its lease lives on. Without damping its link is as
// good as any between two breaks, and it stays.
func TestFlappingLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	noticed := false
	for seed := range uint64(3) {
		for _, m := range []Mutation{None, NoDamping} {
			w := New(Config{Seed: seed, Mutation: m, Links: true, Quiet: true, Length: 200 * time.Second})
			w.steadily()
			w.leaderAt(breakAt, func(l *node) {
				w.flap("state", l.name, 2400*time.Millisecond, 4*time.Second, 120*time.Second)
				w.followed(l, 40*time.Second)
			})
			w.Run()
			if len(w.Broken) > 0 || len(w.Undone) > 0 {
				t.Errorf("seed %d: %v %v", seed, w.Broken, w.Undone)
			}
			if m == None && w.seen["another leads"] == 0 {
				t.Errorf("seed %d: the leader is not replaced: %v", seed, w.seen)
			}
			noticed = noticed || m == NoDamping && w.seen["another leads"] == 0
		}
	}
	if !noticed {
		t.Error("no seed noticed that nothing was damped")
	}
}

// TestUndatedRowsAreNoticed: were late copies of rows taken for new ones, a leader would hand
// over to a node that can't write.
func TestUndatedRowsAreNoticed(t *testing.T) {
	t.Parallel()
	for _, c := range linkCases {
		if c.name != "late copies of rows" {
			continue
		}
		for seed := range uint64(3) {
			if w := c.run(seed, UndatedRows); w.seen["handover announced"] > 0 {
				return
			}
		}
	}
	t.Error("no seed noticed")
}

// TestCutInEachStepOfACommit breaks the leader's link to the state service, in one direction,
// around a transaction with a submission: whatever came of it, the job has one end.
func TestCutInEachStepOfACommit(t *testing.T) {
	t.Parallel()
	for step := range 12 {
		for _, way := range []bool{false, true} {
			w := New(Config{Seed: uint64(step), Links: true, Quiet: true, Length: 160 * time.Second})
			w.steadily()
			w.leaderAt(breakAt, func(l *node) {
				j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 1 }, 10*time.Second)
				w.submitAt(j, l)
				w.at(time.Duration(step)*500*time.Microsecond, func() {
					w.took("cut in a commit")
					if way {
						w.severWay(l.name, "state", step%2 == 0, 20*time.Second)
					} else {
						w.severWay("state", l.name, step%2 == 0, 20*time.Second)
					}
				})
			})
			w.Run()
			if len(w.Broken) > 0 || len(w.Undone) > 0 || w.seen["cut in a commit"] == 0 {
				t.Errorf("step %d, outbound %v: %v %v %v\n%s", step, way, w.Broken, w.Undone, w.seen, w.Tail(30))
			}
		}
	}
}

// TestWrongRows: a sibling that says of itself whatever it likes may get the lead, and no
// rule is broken by it.
func TestWrongRows(t *testing.T) {
	t.Parallel()
	w := New(Config{Seed: 2, Links: true, Quiet: true, Length: 160 * time.Second})
	w.steadily()
	w.when(breakAt, func() {
		for i := range 40 {
			w.at(time.Duration(i)*time.Second, func() {
				for _, n := range w.nodes {
					if n.alive {
						w.others(n, func(o *node) { w.lie(o, n) })
					}
				}
			})
		}
	})
	w.Run()
	if len(w.Broken) > 0 || len(w.Undone) > 0 || w.seen["lie"] < 40 {
		t.Errorf("%v %v, %d lies\n%s", w.Broken, w.Undone, w.seen["lie"], w.Tail(30))
	}
}

// lie has a node hear from another that it is the best placed of all, and the others worst.
func (w *World) lie(from, to *node) {
	w.took("lie")
	f := &mesh.Frame{Type: mesh.MsgLinkState, ID: w.newest[to.name+" "+from.name], LinkState: wrongRows(w, from)}
	to.when(to.life, func() { to.ctl.HandleFrame(ident.NodeID(from.name), f) })
}

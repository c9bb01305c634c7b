package standin

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// partition is one way in which a controller loses a part of its world.
type partition struct {
	name string
	cut  func(w *World, n *node, hold bool, d time.Duration)
}

var partitions = []partition{
	{"the network", func(w *World, n *node, hold bool, d time.Duration) { w.sever(n.name, "*", hold, d) }},
	{"the state service", func(w *World, n *node, hold bool, d time.Duration) { w.sever(n.name, "state", hold, d) }},
	{"the workers", func(w *World, n *node, hold bool, d time.Duration) { w.sever(n.name, machines, hold, d) }},
	{"the state service's consent", func(w *World, n *node, _ bool, d time.Duration) { w.store.refuses[n.name] = w.now.Add(d) }},
}

// cutTwice plays a day on which a controller loses one thing, and then another.
func cutTwice(seed uint64, leader bool, first, then partition) *World {
	w := New(Config{Seed: seed, Quiet: true, Length: 130 * time.Second})
	w.load(4)
	w.when(30, func() { w.closeLooks = spell{0.3, ident.MonotonicTime(140 * time.Second)} })
	w.stream(40.0, 120, 2, 8*time.Second)
	term := ident.Term(0)
	w.when(60, func() {
		n := w.leader()
		term = n.ctl.Election().Term()
		if !leader {
			n = w.other(n)
		}
		hold := seed%4 < 2
		first.cut(w, n, hold, 18*time.Second)
		w.at(20*time.Second, func() { then.cut(w, n, !hold, 18*time.Second) })
	})
	w.when(90, func() {
		if n := w.leader(); n != nil && n.ctl.Election().Term() > term {
			w.took("another term")
		}
	})
	w.Run()
	return w
}

// TestPartitionsFollowEachOther: a controller loses the network, only the state service,
// only the workers, or is refused by the state service alone, and then something else,
// with what was queued delivered at the end or lost; the leader as well as a follower. No
// rule breaks, jobs that come meanwhile are served, and the workers keep their leases.
func TestPartitionsFollowEachOther(t *testing.T) {
	t.Parallel()
	seeds := uint64(0)
	for _, first := range partitions {
		for _, then := range partitions {
			seeds += 2
			seed := seeds
			t.Run(fmt.Sprintf("%s, then %s", first.name, then.name), func(t *testing.T) {
				t.Parallel()
				w := cutTwice(seed, true, first, then)
				whole(t, seed, w)
				keptLeases(t, w)
				if w.seen["another term"] == 0 {
					t.Errorf("seed %d: the leader led on without %s and %s", seed, first.name, then.name)
				}
				w = cutTwice(seed+1, false, first, then)
				whole(t, seed+1, w)
				keptLeases(t, w)
			})
		}
	}
}

package simulator

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// partition is one way in which a controller loses a part of its world.
type partition struct {
	name  string
	apply func(w *Simulation, n *node, hold bool, d time.Duration)
}

var partitions = []partition{
	{"the network", func(w *Simulation, n *node, hold bool, d time.Duration) { w.disconnect(n.name, "*", hold, d) }},
	{"the state service", func(w *Simulation, n *node, hold bool, d time.Duration) { w.disconnect(n.name, "state", hold, d) }},
	{"the workers", func(w *Simulation, n *node, hold bool, d time.Duration) { w.disconnect(n.name, machines, hold, d) }},
	{"the state service's consent", func(w *Simulation, n *node, _ bool, d time.Duration) { w.store.rejectUntil[n.name] = w.now.Add(d) }},
}

// runConsecutivePartitions plays a day on which a controller loses one thing, and then another.
func runConsecutivePartitions(seed uint64, leader bool, first, then partition) *Simulation {
	w := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 130 * time.Second})
	w.submitBaseLoad(4)
	w.scheduleAt(30, func() { w.probeAfterAnswer = faultWindow{0.3, ident.MonotonicTime(140 * time.Second)} })
	w.submitStream(40.0, 120, 2, 8*time.Second)
	term := ident.Term(0)
	w.scheduleAt(60, func() {
		n := w.leader()
		term = n.controller.Election().Term()
		if !leader {
			n = w.peerOf(n)
		}
		hold := seed%4 < 2
		first.apply(w, n, hold, 18*time.Second)
		w.schedule(20*time.Second, func() { then.apply(w, n, !hold, 18*time.Second) })
	})
	w.scheduleAt(90, func() {
		if n := w.leader(); n != nil && n.controller.Election().Term() > term {
			w.countEvent("another term")
		}
	})
	w.Run()
	return w
}

// TestConsecutivePartitions: a controller loses the network, only the state service,
// only the workers, or is refused by the state service alone, and then something else,
// with what was queued delivered at the end or lost; the leader as well as a follower. No
// rule breaks, jobs that come meanwhile are served, and the workers keep their leases.
func TestConsecutivePartitions(t *testing.T) {
	t.Parallel()
	seeds := uint64(0)
	for _, first := range partitions {
		for _, then := range partitions {
			seeds += 2
			seed := seeds
			t.Run(fmt.Sprintf("%s, then %s", first.name, then.name), func(t *testing.T) {
				t.Parallel()
				w := runConsecutivePartitions(seed, true, first, then)
				requireClean(t, seed, w)
				checkNoTasksLost(t, w)
				if w.eventCounts["another term"] == 0 {
					t.Errorf("seed %d: the leader led on without %s and %s", seed, first.name, then.name)
				}
				w = runConsecutivePartitions(seed+1, false, first, then)
				requireClean(t, seed+1, w)
				checkNoTasksLost(t, w)
			})
		}
	}
}

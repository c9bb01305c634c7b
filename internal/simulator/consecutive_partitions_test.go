package simulator

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/ident"
)

// partition separates a controller from other parties, or has the store reject it.
type partition struct {
	name  string
	apply func(sim *Simulation, n *node, hold bool, d time.Duration)
}

// partitions are the partitions of which TestConsecutivePartitions tests each sequence of two.
var partitions = []partition{
	{"the network", func(sim *Simulation, n *node, hold bool, d time.Duration) { sim.disconnect(n.name, anyParty, hold, d) }},
	{"the store", func(sim *Simulation, n *node, hold bool, d time.Duration) {
		sim.disconnect(n.name, storeParty, hold, d)
	}},
	{"the workers", func(sim *Simulation, n *node, hold bool, d time.Duration) { sim.disconnect(n.name, machines, hold, d) }},
	{"acceptance by the store", func(sim *Simulation, n *node, _ bool, d time.Duration) {
		sim.store.rejectUntil[n.name] = sim.now.Add(d)
	}},
}

// runConsecutivePartitions runs a simulation in which the leader or a follower has one partition and then another.
func runConsecutivePartitions(seed uint64, leader bool, first, second partition) *Simulation {
	sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 130 * time.Second})
	sim.submitBaseLoad(4)
	sim.scheduleAt(30, func() { sim.probeAfterReply = faultWindow{0.3, ident.MonotonicTime(140 * time.Second)} })
	sim.submitStream(40.0, 120, 2, 8*time.Second)
	term := ident.Term(0)
	sim.scheduleAt(60, func() {
		n := sim.leader()
		term = n.controller.Election().Term()
		if !leader {
			n = sim.peerOf(n)
		}
		hold := seed%4 < 2
		first.apply(sim, n, hold, 18*time.Second)
		sim.schedule(20*time.Second, func() { second.apply(sim, n, !hold, 18*time.Second) })
	})
	sim.scheduleAt(90, func() {
		if n := sim.leader(); n != nil && n.controller.Election().Term() > term {
			sim.countEvent(laterTermEvent)
		}
	})
	sim.Run()
	return sim
}

// TestConsecutivePartitions guards against a controller handling the first of two partitions but not the second. The leader
// or a follower is separated from the network, the store or the workers, or rejected by the store, and then again in the same
// or another way. Blocked messages are dropped or delivered when the partition ends. No invariant is violated, jobs submitted
// meanwhile are served, and workers keep their leases.
func TestConsecutivePartitions(t *testing.T) {
	t.Parallel()
	seeds := uint64(0)
	for _, first := range partitions {
		for _, second := range partitions {
			seeds += 2
			seed := seeds
			t.Run(fmt.Sprintf("%s, then %s", first.name, second.name), func(t *testing.T) {
				t.Parallel()
				sim := runConsecutivePartitions(seed, true, first, second)
				requireClean(t, sim)
				checkNoTasksLost(t, sim)
				if sim.eventCounts[laterTermEvent] == 0 {
					t.Errorf("seed %d: no later term began within 30 s of the leader losing %s, then %s", seed, first.name,
						second.name)
				}
				sim = runConsecutivePartitions(seed+1, false, first, second)
				requireClean(t, sim)
				checkNoTasksLost(t, sim)
			})
		}
	}
}

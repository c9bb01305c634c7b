package simulator

import (
	"testing"
	"time"

	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// TestSlowMachineIsEvacuated: a machine on which tasks take four times as long is detected by the completion times of short
// tasks. No more tasks are placed on it, tasks that benefit are moved away, and it is terminated once it is empty. With some
// seeds the leader crashes meanwhile. No other machine is treated as slow.
func TestSlowMachineIsEvacuated(t *testing.T) {
	t.Parallel()
	evacuated := 0
	for seed := range uint64(4) {
		sim := slowMachineScenario(seed, settings.RebalanceMove, 1)
		var slow *worker
		sim.scheduleAt(20, func() {
			for _, w := range sim.sortedWorkers() {
				if w.slowdown > 1 {
					slow = w
				}
			}
		})
		sim.scheduleAt(30, func() {
			sim.pollMoves(100*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
				sim.checkEvacuation(m, slow)
				return false
			})
		})
		if seed%2 == 1 {
			sim.scheduleAt(100, func() { sim.crashLeader(3 * time.Second) })
		} else {
			sim.scheduleAt(30, func() { sim.checkNoStartsOn(slow) })
		}
		sim.Run()
		requireClean(t, sim)
		checkStopCounts(t, sim)
		if slow == nil {
			t.Errorf("seed %d: got no slow machine 20 s after the start, want one", seed)
			continue
		}
		if sim.eventCounts[slowMachineEvacuatedEvent] > 0 {
			evacuated++
			if !slow.dead {
				t.Errorf("seed %d: the slow machine was evacuated but not terminated", seed)
			}
		}
	}
	if evacuated < 2 {
		t.Errorf("the slow machine was evacuated in %d of 4 runs, want at least 2", evacuated)
	}
}

// checkEvacuation checks that a move to evacuate a slow machine has that machine as source, and counts an event for a move that
// arrived.
func (sim *Simulation) checkEvacuation(m controller.MoveEntry, slow *worker) {
	switch {
	case m.Source != "leaves a slow machine":
	case slow == nil || m.From != slow.id:
		sim.reportViolation("%s is moved away from %s, which is not slow", m.Task, m.From)
	case m.Reason == "arrived":
		sim.countEvent(slowMachineEvacuatedEvent)
	}
}

// checkNoStartsOn checks that no task starts on a slow machine more than 2 s after a leader reports a slow machine.
func (sim *Simulation) checkNoStartsOn(w *worker) {
	checkFrom := ident.Never
	sim.every(200*time.Millisecond, func() bool {
		if l := sim.leader(); checkFrom == ident.Never && l != nil && l.controller.Stats().SlowMachines > 0 {
			checkFrom = sim.now.Add(2 * time.Second)
		}
		for id, attempts := range w.tasks {
			for _, t := range attempts {
				if t.startedAt > checkFrom {
					sim.reportViolation("%s starts on %s, which is slow", id, w.id)
				}
			}
		}
		return true
	})
}

// TestUniformMachinesAreNotSlow guards against different run times of tasks being attributed to machines: with machines of the
// same speed, none is reported as slow.
func TestUniformMachinesAreNotSlow(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim := slowMachineScenario(seed, settings.RebalanceMove, 0)
		for s := 20.0; s < 150; s += 5 {
			sim.scheduleAt(s, func() {
				if l := sim.leader(); l != nil && l.controller.Stats().SlowMachines > 0 {
					sim.reportViolation("a leader reports a slow machine, but all have the same speed")
				}
			})
		}
		sim.Run()
		requireClean(t, sim)
	}
}

package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// Times of the scenario in which moves pay.
const (
	// firstTaskDuration is how long the first task of a job runs, and taskDurationStep how much longer each
	// further one does.
	firstTaskDuration = 28 * time.Second
	taskDurationStep  = 60 * time.Second
	wideTaskDuration  = 25 * time.Second
	// wideTasksAt is when the wide tasks come, once the first tasks have left.
	wideTasksAt = 50.0
)

// rebalancingConfig sets up a small fleet that can't grow, whose nodes move running tasks.
func rebalancingConfig(seed uint64) Config {
	return Config{Seed: seed, Rebalance: settings.RebalanceMove, NoArrivals: true, ZoneCapacity: 2, Teams: equalTeams(100, 200),
		ActiveDuration: 150 * time.Second}
}

// fragmentFleet fills the machines with jobs of four tasks, of which one ends early, and then asks
// for room for wide tasks: each machine has room for half of one.
func (sim *Simulation) fragmentFleet(wide int) {
	sim.checkReservations()
	sim.scheduleAt(2, func() {
		for range 4 * sim.cfg.ZoneCapacity {
			j := sim.submitJob(sim.makeNarrow, firstTaskDuration)
			j.durationStep = taskDurationStep
		}
	})
	sim.scheduleAt(wideTasksAt, func() {
		for range wide {
			sim.submitJob(func(s *api.Spec) {
				sim.makeNarrow(s)
				s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 1, 4, 0, wideTaskDuration.Seconds()
			}, wideTaskDuration)
		}
	})
}

// submitWideTasks submits a wide task every few seconds of a run.
func (sim *Simulation) submitWideTasks(from, to float64) {
	const pace = 4
	for s := from; s < to; s += pace {
		sim.scheduleAt(s, func() {
			sim.submitJob(func(s *api.Spec) {
				sim.makeNarrow(s)
				s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 1, float64(3+sim.rng.IntN(4)), 0, 12
			}, 12*time.Second)
		})
	}
}

// makeNarrow makes a job of four tasks of 2 CPUs that save when they are stopped.
func (sim *Simulation) makeNarrow(s *api.Spec) {
	s.Tasks, s.VCPUs, s.Spot, s.Image = 4, 2, true, "img-0"
	s.CheckpointEveryS, s.CheckpointS = 5, 1
	s.RuntimeS = (firstTaskDuration + 3*taskDurationStep).Seconds()
}

// checkReservations checks, now and then, that no room is kept for longer than for a move.
func (sim *Simulation) checkReservations() {
	if l := sim.leader(); l != nil {
		if s := l.controller.Stats(); s.Reservations > s.MovesActive {
			sim.reportViolation("room is kept on %d machines for %d moves", s.Reservations, s.MovesActive)
		}
	}
	sim.schedule(time.Second, sim.checkReservations)
}

// activeMoves lists the moves that a leader knows of.
func activeMoves(n *node) (out []controller.MoveEntry) {
	if n == nil || !n.alive || !n.controller.Election().LeaseValid() {
		return nil
	}
	n.controller.MoveReport(func(r controller.MoveReport) {
		if r.Leader {
			out = r.Moves
		}
	})
	return out
}

// onMoveState calls f once, as soon as a leader has a move in a state.
func (sim *Simulation) onMoveState(state migration.State, f func(l *node, m controller.MoveEntry)) {
	sim.pollMoves(time.Millisecond, func(l *node, m controller.MoveEntry) bool {
		if m.State != state.String() {
			return false
		}
		sim.countEvent(moveStateEvent(m.State))
		f(l, m)
		return true
	})
}

// pollMoves looks at the leader's moves again and again until f says that it has seen enough.
func (sim *Simulation) pollMoves(every time.Duration, f func(l *node, m controller.MoveEntry) bool) {
	l := sim.leader()
	for _, m := range activeMoves(l) {
		if f(l, m) {
			return
		}
	}
	sim.schedule(every, func() { sim.pollMoves(every, f) })
}

// countMoveOutcomes notes how the moves of each leader end.
func (sim *Simulation) countMoveOutcomes() {
	type key struct {
		node string
		life int
		task string
		from ident.MachineID
	}
	seen := map[key]bool{}
	sim.pollMoves(100*time.Millisecond, func(l *node, m controller.MoveEntry) bool {
		k := key{l.name, l.incarnation, m.Task, m.From}
		if m.Reason != "" && !seen[k] {
			seen[k] = true
			sim.countEvent(moveEndEvent(m.Reason))
		}
		return false
	})
}

// workerByID returns the worker of a name, nil if it is gone.
func (sim *Simulation) workerByID(h ident.MachineID) *worker { return sim.workers[h] }

// submitShortTasks submits arrays of short tasks that differ by half in either direction, every two
// seconds of a run.
func (sim *Simulation) submitShortTasks(from, to float64) {
	const pace = 2
	for s := from; s < to; s += pace {
		sim.scheduleAt(s, func() {
			j := sim.submitJob(func(s *api.Spec) {
				sim.makeNarrow(s)
				s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 8, 1, 0, 10
			}, 6*time.Second)
			j.durationStep = time.Second
		})
	}
}

// longTaskDuration is how long the long tasks of a day with a slow machine take elsewhere.
const longTaskDuration = 160 * time.Second

// slowMachineScenario sets up a fleet with one slow machine, and the work by which it is found.
func slowMachineScenario(seed uint64, mode settings.Rebalance, slow int) *Simulation {
	sim := New(slowConfig(seed, mode, slow))
	sim.workBesideSlow()
	return sim
}

// slowConfig sets up a small fleet of which some machines are slow.
func slowConfig(seed uint64, mode settings.Rebalance, slow int) Config {
	cfg := rebalancingConfig(seed)
	cfg.Rebalance, cfg.SlowMachines, cfg.QuiescentDuration = mode, slow, 700*time.Second
	return cfg
}

// workBesideSlow submits long tasks beside room on most machines, and arrays of short tasks by
// which a slow machine is found.
func (sim *Simulation) workBesideSlow() {
	sim.scheduleAt(2, func() {
		for range 6 {
			sim.submitJob(func(s *api.Spec) {
				sim.makeNarrow(s)
				s.Tasks, s.VCPUs, s.RuntimeS = 2, 3, longTaskDuration.Seconds()
			}, longTaskDuration)
		}
	})
	sim.submitShortTasks(8, 140)
}

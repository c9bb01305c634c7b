package simulator

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// Times of the scenario in which moving running tasks pays off.
const (
	// firstTaskDuration is the run time of the first task of a job. Each further task runs taskDurationStep longer than
	// the one before it.
	firstTaskDuration = 28 * time.Second
	taskDurationStep  = 60 * time.Second
	wideTaskDuration  = 25 * time.Second
	// wideTasksAt is when the wide tasks are submitted, in seconds. The first tasks of the narrow jobs have ended by then.
	wideTasksAt = 50.0
)

// rebalancingConfig returns a configuration with a small fleet that cannot grow and nodes that move running tasks.
func rebalancingConfig(seed uint64) Config {
	return Config{
		Seed:           seed,
		Rebalance:      settings.RebalanceMove,
		NoArrivals:     true,
		ZoneCapacity:   2,
		Teams:          equalTeams(100, 200),
		ActiveDuration: 150 * time.Second,
	}
}

// fragmentFleet fills the machines with jobs of four tasks. One task of each job ends early, which leaves each machine with
// free capacity for half of a wide task. Then it submits wide tasks.
func (sim *Simulation) fragmentFleet(wide int) {
	sim.checkReservations()
	sim.scheduleAt(2, func() {
		for range 4 * sim.cfg.ZoneCapacity {
			j := sim.submitJob(makeNarrow, firstTaskDuration)
			j.durationStep = taskDurationStep
		}
	})
	sim.scheduleAt(wideTasksAt, func() {
		for range wide {
			sim.submitJob(func(s *api.Spec) {
				makeWide(s, 4, wideTaskDuration.Seconds())
			}, wideTaskDuration)
		}
	})
}

// submitWideTasks submits a wide task every four seconds.
func (sim *Simulation) submitWideTasks(from, to float64) {
	const intervalSeconds = 4
	for s := from; s < to; s += intervalSeconds {
		sim.scheduleAt(s, func() {
			sim.submitJob(func(s *api.Spec) {
				makeWide(s, float64(3+sim.rng.IntN(4)), 12)
			}, 12*time.Second)
		})
	}
}

// makeNarrow turns a job into an array of four tasks of 2 CPUs each that checkpoint when they are stopped.
func makeNarrow(s *api.Spec) {
	s.Tasks, s.VCPUs, s.Spot, s.Image = 4, 2, true, "img-0"
	s.CheckpointEveryS, s.CheckpointS = 5, 1
	s.RuntimeS = (firstTaskDuration + 3*taskDurationStep).Seconds()
}

// makeWide turns a job into one with a single task that never checkpoints.
func makeWide(s *api.Spec, cpus, runtimeS float64) {
	makeNarrow(s)
	s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 1, cpus, 0, runtimeS
}

// checkReservations checks every second that the leader reserves no capacity without an active move.
func (sim *Simulation) checkReservations() {
	if l := sim.leader(); l != nil {
		if s := l.controller.Stats(); s.Reservations > s.MovesActive {
			sim.reportViolation("capacity is reserved on %d machines for %d active moves", s.Reservations, s.MovesActive)
		}
	}
	sim.schedule(time.Second, sim.checkReservations)
}

// activeMoves returns the moves that a node reports, or none if the node is not the leader.
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

// onMoveState calls f once, as soon as a leader reports a move in the given state.
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

// pollMoves calls f for each move that the leader reports, at each interval, until f returns true.
func (sim *Simulation) pollMoves(every time.Duration, f func(l *node, m controller.MoveEntry) bool) {
	l := sim.leader()
	for _, m := range activeMoves(l) {
		if f(l, m) {
			return
		}
	}
	sim.schedule(every, func() { sim.pollMoves(every, f) })
}

// countMoveOutcomes counts the moves of each leader by the reason for which they end.
func (sim *Simulation) countMoveOutcomes() {
	type key struct {
		node        string
		incarnation int
		task        string
		from        ident.MachineID
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

// workerByID returns the worker of a machine, or nil if the machine does not run.
func (sim *Simulation) workerByID(id ident.MachineID) *worker { return sim.workers[id] }

// submitShortTasks submits an array of short tasks of different run times every two seconds.
func (sim *Simulation) submitShortTasks(from, to float64) {
	const intervalSeconds = 2
	for s := from; s < to; s += intervalSeconds {
		sim.scheduleAt(s, func() {
			j := sim.submitJob(func(s *api.Spec) {
				makeNarrow(s)
				s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 8, 1, 0, 10
			}, 6*time.Second)
			j.durationStep = time.Second
		})
	}
}

// longTaskDuration is the run time of the long tasks on machines of normal speed, in runs with slow machines.
const longTaskDuration = 160 * time.Second

// slowMachineScenario returns a simulation of a fleet with slow machines, and with tasks by which they are detected.
func slowMachineScenario(seed uint64, mode settings.Rebalance, slow int) *Simulation {
	sim := New(slowFleetConfig(seed, mode, slow))
	sim.submitSlowMachineLoad()
	return sim
}

// slowFleetConfig returns a configuration with a small fleet of which some machines are slow.
func slowFleetConfig(seed uint64, mode settings.Rebalance, slow int) Config {
	cfg := rebalancingConfig(seed)
	cfg.Rebalance, cfg.SlowMachines, cfg.QuiescentDuration = mode, slow, 700*time.Second
	return cfg
}

// submitSlowMachineLoad submits long tasks that leave free capacity on most machines, and arrays of short tasks whose run
// times reveal a slow machine.
func (sim *Simulation) submitSlowMachineLoad() {
	sim.scheduleAt(2, func() {
		for range 6 {
			sim.submitJob(func(s *api.Spec) {
				makeNarrow(s)
				s.Tasks, s.VCPUs, s.RuntimeS = 2, 3, longTaskDuration.Seconds()
			}, longTaskDuration)
		}
	})
	sim.submitShortTasks(8, 140)
}

package simulator

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// runMoveScenario plays days of one kind and checks each; it returns how many moves were recorded.
func runMoveScenario(t *testing.T, seeds uint64, inject func(sim *Simulation)) (moves int) {
	t.Helper()
	for seed := range seeds {
		sim := New(rebalancingConfig(seed))
		inject(sim)
		sim.Run()
		requireClean(t, sim)
		checkStopCounts(t, sim)
		moves += sim.Moves
	}
	return moves
}

// tuneForFrequentMoves has moves made as often as can be.
func tuneForFrequentMoves(t *settings.Tuning) {
	t.PlanInterval = time.Second
	t.Migration.LeaderSettleTime, t.Migration.MinTaskWait, t.Migration.MinRunTime = time.Second, 500*time.Millisecond, 0
	t.Migration.Cluster, t.Migration.Zone, t.Migration.Team, t.Migration.MinGainFactor = 20, 20, 20, 1
}

// TestMovesUnderFaults plays days on which moves pay amid faults of all kinds, several at
// once, with jobs that come and are cancelled: every rule holds, no job is moved a third time,
// and all work ends.
func TestMovesUnderFaults(t *testing.T) {
	t.Parallel()
	moves := 0
	for seed := range uint64(24) {
		cfg := rebalancingConfig(seed)
		cfg.ZoneCapacity = 4 // with fewer, arrays may wait beside the room that is kept for services
		cfg.Faults, cfg.ConcurrentFaults, cfg.LinkMonitoring, cfg.NoArrivals = true, seed%2 == 1, seed%4 > 1, false
		if seed%3 > 0 {
			cfg.Tune = tuneForFrequentMoves
		}
		cfg.ActiveDuration, cfg.QuiescentDuration = 200*time.Second, 450*time.Second // the long tasks may begin anew late
		if cfg.SlowMachines = int(seed % 2); cfg.SlowMachines > 0 {
			cfg.QuiescentDuration = 20 * time.Minute // or end on the slow machine
		}
		sim := New(cfg)
		sim.fragmentFleet(4)
		sim.submitWideTasks(wideTasksAt, 180)
		sim.submitShortTasks(30, 150)
		sim.Run()
		requireClean(t, sim)
		moves += sim.Moves
	}
	t.Logf("%d moves", moves)
	if moves < 60 {
		t.Errorf("only %d moves in all: the test shows little", moves)
	}
}

const (
	// convergenceTime is within what time of a flood's beginning the load must have evened out, and
	// maxImbalance what imbalance counts as even then, on average over half a minute.
	convergenceTime = time.Minute
	maxImbalance    = 0.45
)

// TestLoadConverges: fifty machines, one team that floods while the others submit small and
// large work, with the settings of deploy/moves.sexp: within a minute the load has evened out,
// though a controller dies meanwhile, and no job is moved more than twice.
func TestLoadConverges(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		cfg := floodConfig(seed, settings.RebalanceMove)
		cfg.LinkMonitoring = true
		sim := New(cfg)
		sim.submitSteadyLoad()
		sim.schedule(floodStart, func() { sim.flood(sim.now.Add(floodDuration)) })
		sim.schedule(floodStart+10*time.Second, func() { sim.crashLeader(4 * time.Second) })
		sum, n := 0.0, 0
		for d := convergenceTime; d < convergenceTime+30*time.Second; d += time.Second {
			sim.schedule(floodStart+d, func() {
				sum += sim.imbalance()
				n++
			})
		}
		sim.Run()
		requireClean(t, sim)
		if mean := sum / float64(n); mean > maxImbalance {
			t.Errorf("seed %d: imbalance %.2f a minute after the flood began", seed, mean)
		}
	}
}

// TestFloodEndsAsMovesBegin: the flood ends at the moment in which the first move begins.
// Whatever was not stopped yet stays where it is, and nothing swings back.
func TestFloodEndsAsMovesBegin(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim := New(rebalancingConfig(seed))
		sim.fragmentFleet(0)
		var wide []*userJob
		sim.scheduleAt(wideTasksAt, func() {
			for range 6 {
				wide = append(wide, sim.submitJob(func(s *api.Spec) {
					makeNarrow(s)
					s.Team, s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = "red", 2, 4, 0, wideTaskDuration.Seconds()
				}, wideTaskDuration))
			}
			sim.onMoveState(migration.Proposed, func(*node, controller.MoveEntry) {
				for _, j := range wide {
					sim.cancelWhenAccepted(j, nil)
				}
				sim.countEvent(loadCancelledEvent)
			})
		})
		recorded := 0
		sim.scheduleAt(wideTasksAt+20, func() { recorded = sim.Moves })
		sim.Run()
		requireClean(t, sim)
		checkStopCounts(t, sim)
		if sim.eventCounts[loadCancelledEvent] == 0 || sim.Moves > recorded {
			t.Errorf("seed %d: %d moves, %d of them later, %v", seed, sim.Moves, sim.Moves-recorded, sim.eventCounts)
		}
	}
}

// TestNoMovesWithoutGain: where no move can pay, nothing is moved.
func TestNoMovesWithoutGain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		play func(sim *Simulation)
	}{
		{"all machines are hot", func(sim *Simulation) {
			sim.scheduleAt(2, func() {
				for range 4 * sim.cfg.ZoneCapacity {
					sim.submitJob(makeNarrow, 150*time.Second)
				}
			})
			sim.scheduleAt(wideTasksAt, func() {
				for range 4 {
					sim.submitJob(func(s *api.Spec) { makeNarrow(s); s.Tasks, s.VCPUs = 1, 4 }, wideTaskDuration)
				}
			})
		}},
		{"tasks that never save have run for long", func(sim *Simulation) {
			sim.scheduleAt(2, func() {
				for range 4 * sim.cfg.ZoneCapacity {
					j := sim.submitJob(func(s *api.Spec) {
						makeNarrow(s)
						s.CheckpointEveryS, s.RuntimeS = 0, 150
					}, firstTaskDuration)
					j.durationStep = taskDurationStep
				}
			})
			sim.scheduleAt(100, func() {
				sim.submitJob(func(s *api.Spec) { makeNarrow(s); s.Tasks, s.VCPUs = 1, 6 }, wideTaskDuration)
			})
		}},
		{"the wide job fails everywhere", func(sim *Simulation) {
			sim.fragmentFleet(0)
			sim.scheduleAt(wideTasksAt, func() {
				j := sim.submitJob(func(s *api.Spec) {
					makeNarrow(s)
					s.Tasks, s.VCPUs, s.CheckpointEveryS = 1, 2, 0
				}, wideTaskDuration)
				j.alwaysFails = true
				sim.schedule(60*time.Second, func() { sim.cancelWhenAccepted(j, nil) })
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if n := runMoveScenario(t, 2, c.play); n > 0 {
				t.Errorf("%d moves", n)
			}
		})
	}
}

// TestPulsingLoadDoesNotOscillate: wide work comes and goes at the period of the planner, with estimates that
// are wrong by half in either direction. No job is moved more than twice, and no task comes
// back to a machine that a move took it from.
func TestPulsingLoadDoesNotOscillate(t *testing.T) {
	t.Parallel()
	moves := runMoveScenario(t, 6, func(sim *Simulation) {
		sim.scheduleAt(2, func() {
			for i := range 4 * sim.cfg.ZoneCapacity {
				factor := []float64{0.5, 1, 1.5}[(i+int(sim.cfg.Seed))%3]
				j := sim.submitJob(func(s *api.Spec) { makeNarrow(s); s.RuntimeS *= factor }, firstTaskDuration)
				j.durationStep = taskDurationStep
			}
		})
		for s := wideTasksAt; s < 130; s += settings.DefaultTuning().PlanInterval.Seconds() {
			sim.scheduleAt(s, func() {
				sim.submitJob(func(s *api.Spec) { makeNarrow(s); s.Tasks, s.VCPUs, s.RuntimeS = 1, 4, 3 }, 6*time.Second)
			})
		}
		left := map[string]map[ident.MachineID]bool{}
		sim.scheduleAt(wideTasksAt, func() {
			sim.pollMoves(200*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
				if left[m.Task] == nil {
					left[m.Task] = map[ident.MachineID]bool{}
				}
				left[m.Task][m.From] = true
				if m.To != "" && left[m.Task][m.To] {
					sim.reportViolation("%s goes back to %s", m.Task, m.To)
				}
				return false
			})
		})
	})
	if moves == 0 {
		t.Error("no move at all: the test shows nothing")
	}
}

// TestMoveLimitHoldsAcrossTerms: jobs that were moved twice in earlier terms are not moved by the next leader,
// and those that were moved once are moved once more.
func TestMoveLimitHoldsAcrossTerms(t *testing.T) {
	t.Parallel()
	for before, moves := range map[int]bool{0: true, 1: true, 2: false} {
		for seed := range uint64(3) {
			sim := New(rebalancingConfig(seed))
			sim.fragmentFleet(4)
			sim.scheduleAt(30, func() {
				var r migration.Record
				for n := range before {
					r.Moves = append(r.Moves, migration.Entry{Index: n, Attempt: 1, From: "host-a", To: "host-b"})
				}
				for _, id := range sim.jobOrder {
					if before > 0 {
						sim.store.apply([]kvstore.Mutation{{Put: migration.Key(id), Value: api.JSON(r)}})
					}
				}
				sim.Moves = 0
				sim.crashLeader(2 * time.Second)
			})
			sim.Run()
			requireClean(t, sim)
			checkStopCounts(t, sim)
			if moves != (sim.Moves > 0) || sim.eventCounts[newTermEvent] == 0 {
				t.Errorf("seed %d, %d moves before: %d moves, %v", seed, before, sim.Moves, sim.eventCounts)
			}
		}
	}
}

// TestEveryNodeReportsMoves: the leader tells of a move under way, and each other node of what is
// on record of it.
func TestEveryNodeReportsMoves(t *testing.T) {
	t.Parallel()
	sim := New(rebalancingConfig(1))
	sim.fragmentFleet(4)
	sim.scheduleAt(wideTasksAt, func() {
		sim.onMoveState(migration.Stopping, func(l *node, m controller.MoveEntry) {
			sim.forEachPeer(l, func(n *node) {
				n.controller.MoveReport(func(r controller.MoveReport) {
					for _, e := range r.Moves {
						if !r.Leader && e.Task == m.Task && e.From == m.From && e.To == m.To && e.For == m.For &&
							e.State == "recorded" {
							sim.countEvent(moveReportedByPeerEvent)
						}
					}
				})
			})
		})
	})
	sim.Run()
	requireClean(t, sim)
	if sim.eventCounts[moveReportedByPeerEvent] != 2 {
		t.Errorf("%v", sim.eventCounts)
	}
}

// TestNoMovesSoonAfterElection: a leader moves nothing until it has led for as long as the settings
// say, and does so then.
func TestNoMovesSoonAfterElection(t *testing.T) {
	t.Parallel()
	moves := 0
	for seed := range uint64(3) {
		cfg := rebalancingConfig(seed)
		cfg.Tune = func(t *settings.Tuning) { t.Migration.MinRunTime, t.Migration.LeaderSettleTime = 0, 25*time.Second }
		sim := New(cfg)
		sim.fragmentFleet(4)
		sim.scheduleAt(wideTasksAt+3, func() { sim.crashLeader(2 * time.Second) })
		early := 0
		sim.scheduleAt(wideTasksAt+3+25, func() { early = sim.Moves })
		sim.Run()
		requireClean(t, sim)
		moves += sim.Moves
		if early > 0 || sim.eventCounts[newTermEvent] == 0 {
			t.Errorf("seed %d: %d moves, %d of them early, %v", seed, sim.Moves, early, sim.eventCounts)
		}
	}
	if moves == 0 {
		t.Error("no move at all: the test shows nothing")
	}
}

// TestReservedCapacityGoesToItsTask: while small tasks that would fit into the room that a move
// makes come all the time, the task that it was made for gets it.
func TestReservedCapacityGoesToItsTask(t *testing.T) {
	t.Parallel()
	arrived := 0
	for seed := range uint64(4) {
		sim := New(rebalancingConfig(seed))
		sim.fragmentFleet(4)
		for s := wideTasksAt; s < wideTasksAt+40; s += 0.7 {
			sim.scheduleAt(s, func() {
				sim.submitJob(func(s *api.Spec) {
					makeNarrow(s)
					s.Tasks, s.CheckpointEveryS, s.RuntimeS = 1, 0, 5
				}, 5*time.Second)
			})
		}
		gains := sim.collectFinishedMoves()
		sim.Run()
		requireClean(t, sim)
		for _, m := range *gains {
			if m.Reason != migration.Arrived.String() {
				continue
			}
			arrived++
			if *m.RealisedGainS < 0 {
				t.Errorf("seed %d: %s was moved for %s, which did not get the room", seed, m.Task, m.For)
			}
		}
	}
	if arrived == 0 {
		t.Error("no move arrived: the test shows nothing")
	}
}

// TestImagesEvictEachOther: the machines hold two images and the work has four, so that a move
// fetches an image and costs another one its place. Nothing is moved to and fro for it.
func TestImagesEvictEachOther(t *testing.T) {
	t.Parallel()
	moves := runMoveScenario(t, 4, func(sim *Simulation) {
		image := func(s *api.Spec, n int) { s.Image = fmt.Sprintf("img-%d", n%4) }
		sim.scheduleAt(2, func() {
			for n := range 4 * sim.cfg.ZoneCapacity {
				j := sim.submitJob(func(s *api.Spec) { makeNarrow(s); image(s, n) }, firstTaskDuration)
				j.durationStep = taskDurationStep
			}
		})
		for s := wideTasksAt; s < 110; s += 6 {
			sim.scheduleAt(s, func() {
				sim.submitJob(func(s *api.Spec) {
					makeNarrow(s)
					image(s, sim.lastJobNumber)
					s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 1, 4, 0, wideTaskDuration.Seconds()
				}, wideTaskDuration)
			})
		}
	})
	if moves == 0 {
		t.Error("no move at all: the test shows nothing")
	}
}

// TestUnreadableMoveRecord: a record of moves that can't be read keeps its job from being moved, and
// the leader leads on.
func TestUnreadableMoveRecord(t *testing.T) {
	t.Parallel()
	sim := New(rebalancingConfig(1))
	sim.fragmentFleet(4)
	sim.scheduleAt(40, func() {
		for _, id := range sim.jobOrder {
			sim.store.keys[migration.Key(id)] = &entry{value: []byte(`{"moves":"many"}`), revision: sim.store.revision}
		}
		l := sim.leader()
		l.crash(time.Second)
	})
	sim.scheduleAt(wideTasksAt+30, func() {
		if sim.leader() != nil {
			sim.countEvent(leaderContinuesEvent)
		}
	})
	sim.Run()
	requireClean(t, sim)
	if sim.Moves > 0 || sim.eventCounts[leaderContinuesEvent] == 0 {
		t.Errorf("%d moves, %v", sim.Moves, sim.eventCounts)
	}
	for path := range sim.store.keys {
		if id, ok := jobOfMoveKey(path); ok && sim.store.keys["live/"+id] == nil {
			t.Errorf("%s is left", path)
		}
	}
}

// TestMoveRecordsAreDeleted: the records of jobs that are over are deleted, by later terms as well,
// and by none before.
func TestMoveRecordsAreDeleted(t *testing.T) {
	t.Parallel()
	moves := 0
	for seed := range uint64(3) {
		sim := New(rebalancingConfig(seed))
		sim.fragmentFleet(4)
		sim.scheduleAt(wideTasksAt+25, func() { sim.crashLeader(2 * time.Second) })
		sim.Run()
		requireClean(t, sim)
		moves += sim.Moves
		for path := range sim.store.keys {
			if id, ok := jobOfMoveKey(path); ok {
				t.Errorf("seed %d: the moves of %s are left", seed, id)
			}
		}
	}
	if moves == 0 {
		t.Error("no move at all: the test shows nothing")
	}
}

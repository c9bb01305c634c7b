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

// runMoveScenario runs a scenario with each seed, checks the runs, and returns the number of recorded moves.
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

// tuneForFrequentMoves has moves made as often as possible.
func tuneForFrequentMoves(t *settings.Tuning) {
	t.PlanInterval = time.Second
	t.Migration.LeaderSettleTime, t.Migration.MinTaskWait, t.Migration.MinRunTime = time.Second, 500*time.Millisecond, 0
	t.Migration.Cluster, t.Migration.Zone, t.Migration.Team, t.Migration.MinGainFactor = 20, 20, 20, 1
}

// TestMovesUnderFaults runs moves during faults of all kinds, several at once, with jobs that arrive and are cancelled:
// every invariant holds, no job is moved a third time, and all work ends.
func TestMovesUnderFaults(t *testing.T) {
	t.Parallel()
	moves := 0
	for seed := range uint64(24) {
		cfg := rebalancingConfig(seed)
		cfg.ZoneCapacity = 4 // with fewer, arrays may wait for the capacity that is kept for services
		cfg.Faults, cfg.ConcurrentFaults, cfg.LinkMonitoring, cfg.NoArrivals = true, seed%2 == 1, seed%4 > 1, false
		if seed%3 > 0 {
			cfg.Tune = tuneForFrequentMoves
		}
		cfg.ActiveDuration, cfg.QuiescentDuration = 200*time.Second, 450*time.Second // long tasks may restart late
		if cfg.SlowMachines = int(seed % 2); cfg.SlowMachines > 0 {
			cfg.QuiescentDuration = 20 * time.Minute // or complete on the slow machine
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
		t.Errorf("only %d moves in all: the test proves little", moves)
	}
}

const (
	// convergenceTime is how long after the start of a flood the load must have evened out: the mean imbalance of the next
	// half a minute is at most maxImbalance.
	convergenceTime = time.Minute
	maxImbalance    = 0.45
)

// TestLoadConverges: on fifty machines one team floods while the others submit small and large tasks, with the settings
// of deploy/moves.sexp. Within a minute the load has evened out, though the leader crashes meanwhile, and no job is
// moved more than twice.
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

// TestFloodEndsAsMovesBegin: the flood ends as the first move begins. Tasks that were not stopped yet stay where they
// are, and nothing moves back.
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

// TestNoMovesWithoutGain: where no move can gain, nothing is moved.
func TestNoMovesWithoutGain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		inject func(sim *Simulation)
	}{
		{"all machines are loaded", func(sim *Simulation) {
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
		{"tasks without checkpoints have run for long", func(sim *Simulation) {
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
		{"the wide job fails on every machine", func(sim *Simulation) {
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
			if n := runMoveScenario(t, 2, c.inject); n > 0 {
				t.Errorf("%d moves", n)
			}
		})
	}
}

// TestPulsingLoadDoesNotOscillate: wide tasks arrive and end at the interval of the planner, with estimates that are
// wrong by half in either direction. No job is moved more than twice, and no task returns to a machine that a move took
// it from.
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
		t.Error("no move at all: the test proves nothing")
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

// TestEveryNodeReportsMoves: the leader reports a move under way, and the other nodes report its record.
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

// TestNoMovesSoonAfterElection: a leader moves nothing until it has led for LeaderSettleTime, and does so afterwards.
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
		t.Error("no move at all: the test proves nothing")
	}
}

// TestReservedCapacityGoesToItsTask: small tasks that would fit into the capacity freed by a move arrive all the time,
// and the task that it was freed for gets it.
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
			if *m.RealizedGainS < 0 {
				t.Errorf("seed %d: %s was moved for %s, which did not get the capacity", seed, m.Task, m.For)
			}
		}
	}
	if arrived == 0 {
		t.Error("no move arrived: the test proves nothing")
	}
}

// TestImagesEvictEachOther: machines hold two images and there are four, so that a move fetches an image and evicts
// another. Nothing moves back and forth for it.
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
		t.Error("no move at all: the test proves nothing")
	}
}

// TestUnreadableMoveRecord: a record of moves that cannot be decoded keeps its job from being moved, and the leader
// continues.
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

// TestMoveRecordsAreDeleted: the records of ended jobs are deleted, by later terms as well, and none before.
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
				t.Errorf("seed %d: the record of moves of %s is left", seed, id)
			}
		}
	}
	if moves == 0 {
		t.Error("no move at all: the test proves nothing")
	}
}

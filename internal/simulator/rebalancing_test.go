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
func runMoveScenario(t *testing.T, seeds uint64, inject func(w *Simulation)) (moves int) {
	t.Helper()
	for seed := range seeds {
		w := New(rebalancingConfig(seed))
		inject(w)
		w.Run()
		requireClean(t, seed, w)
		checkStopCounts(t, seed, w)
		moves += w.Moves
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
		w := New(cfg)
		w.fragmentFleet(4)
		w.submitWideTasks(wideTasksAt, 180)
		w.submitShortTasks(30, 150)
		w.Run()
		requireClean(t, seed, w)
		moves += w.Moves
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
		w := New(cfg)
		w.submitSteadyLoad()
		w.schedule(floodStart, func() { w.flood(w.now.Add(floodDuration)) })
		w.schedule(floodStart+10*time.Second, func() { w.crashLeader(4 * time.Second) })
		sum, n := 0.0, 0
		for d := convergenceTime; d < convergenceTime+30*time.Second; d += time.Second {
			w.schedule(floodStart+d, func() {
				sum += w.imbalance()
				n++
			})
		}
		w.Run()
		requireClean(t, seed, w)
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
		w := New(rebalancingConfig(seed))
		w.fragmentFleet(0)
		var wide []*userJob
		w.scheduleAt(wideTasksAt, func() {
			for range 6 {
				wide = append(wide, w.submitJob(func(s *api.Spec) {
					w.makeNarrow(s)
					s.Team, s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = "red", 2, 4, 0, wideTaskDuration.Seconds()
				}, wideTaskDuration))
			}
			w.onMoveState(migration.Proposed, func(*node, controller.MoveEntry) {
				for _, j := range wide {
					w.cancelWhenAccepted(j, nil)
				}
				w.countEvent("cooled")
			})
		})
		recorded := 0
		w.scheduleAt(wideTasksAt+20, func() { recorded = w.Moves })
		w.Run()
		requireClean(t, seed, w)
		checkStopCounts(t, seed, w)
		if w.eventCounts["cooled"] == 0 || w.Moves > recorded {
			t.Errorf("seed %d: %d moves, %d of them later, %v", seed, w.Moves, w.Moves-recorded, w.eventCounts)
		}
	}
}

// TestNoMovesWithoutGain: where no move can pay, nothing is moved.
func TestNoMovesWithoutGain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		play func(w *Simulation)
	}{
		{"all machines are hot", func(w *Simulation) {
			w.scheduleAt(2, func() {
				for range 4 * w.cfg.ZoneCapacity {
					w.submitJob(w.makeNarrow, 150*time.Second)
				}
			})
			w.scheduleAt(wideTasksAt, func() {
				for range 4 {
					w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.Tasks, s.VCPUs = 1, 4 }, wideTaskDuration)
				}
			})
		}},
		{"tasks that never save have run for long", func(w *Simulation) {
			w.scheduleAt(2, func() {
				for range 4 * w.cfg.ZoneCapacity {
					j := w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.CheckpointEveryS, s.RuntimeS = 0, 150 }, firstTaskDuration)
					j.durationStep = taskDurationStep
				}
			})
			w.scheduleAt(100, func() { w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.Tasks, s.VCPUs = 1, 6 }, wideTaskDuration) })
		}},
		{"the wide job fails everywhere", func(w *Simulation) {
			w.fragmentFleet(0)
			w.scheduleAt(wideTasksAt, func() {
				j := w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.Tasks, s.VCPUs, s.CheckpointEveryS = 1, 2, 0 }, wideTaskDuration)
				j.alwaysFails = true
				w.schedule(60*time.Second, func() { w.cancelWhenAccepted(j, nil) })
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
	moves := runMoveScenario(t, 6, func(w *Simulation) {
		w.scheduleAt(2, func() {
			for i := range 4 * w.cfg.ZoneCapacity {
				factor := []float64{0.5, 1, 1.5}[(i+int(w.cfg.Seed))%3]
				j := w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.RuntimeS *= factor }, firstTaskDuration)
				j.durationStep = taskDurationStep
			}
		})
		for s := wideTasksAt; s < 130; s += settings.DefaultTuning().PlanInterval.Seconds() {
			w.scheduleAt(s, func() {
				w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.Tasks, s.VCPUs, s.RuntimeS = 1, 4, 3 }, 6*time.Second)
			})
		}
		left := map[string]map[ident.MachineID]bool{}
		w.scheduleAt(wideTasksAt, func() {
			w.pollMoves(200*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
				if left[m.Task] == nil {
					left[m.Task] = map[ident.MachineID]bool{}
				}
				left[m.Task][m.From] = true
				if m.To != "" && left[m.Task][m.To] {
					w.reportViolation("%s goes back to %s", m.Task, m.To)
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
			w := New(rebalancingConfig(seed))
			w.fragmentFleet(4)
			w.scheduleAt(30, func() {
				var r migration.Record
				for n := range before {
					r.Moves = append(r.Moves, migration.Entry{Index: n, Attempt: 1, From: "host-a", To: "host-b"})
				}
				for _, id := range w.jobOrder {
					if before > 0 {
						w.store.apply([]kvstore.Mutation{{Put: migration.Key(id), Value: api.JSON(r)}})
					}
				}
				w.Moves = 0
				w.crashLeader(2 * time.Second)
			})
			w.Run()
			requireClean(t, seed, w)
			checkStopCounts(t, seed, w)
			if moves != (w.Moves > 0) || w.eventCounts["new term"] == 0 {
				t.Errorf("seed %d, %d moves before: %d moves, %v", seed, before, w.Moves, w.eventCounts)
			}
		}
	}
}

// TestEveryNodeReportsMoves: the leader tells of a move under way, and each other node of what is
// on record of it.
func TestEveryNodeReportsMoves(t *testing.T) {
	t.Parallel()
	w := New(rebalancingConfig(1))
	w.fragmentFleet(4)
	w.scheduleAt(wideTasksAt, func() {
		w.onMoveState(migration.Stopping, func(l *node, m controller.MoveEntry) {
			w.forEachPeer(l, func(n *node) {
				n.controller.MoveReport(func(r controller.MoveReport) {
					for _, e := range r.Moves {
						if !r.Leader && e.Task == m.Task && e.From == m.From && e.To == m.To && e.For == m.For && e.State == "recorded" {
							w.countEvent("shown by another")
						}
					}
				})
			})
		})
	})
	w.Run()
	requireClean(t, 1, w)
	if w.eventCounts["shown by another"] != 2 {
		t.Errorf("%v", w.eventCounts)
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
		w := New(cfg)
		w.fragmentFleet(4)
		w.scheduleAt(wideTasksAt+3, func() { w.crashLeader(2 * time.Second) })
		early := 0
		w.scheduleAt(wideTasksAt+3+25, func() { early = w.Moves })
		w.Run()
		requireClean(t, seed, w)
		moves += w.Moves
		if early > 0 || w.eventCounts["new term"] == 0 {
			t.Errorf("seed %d: %d moves, %d of them early, %v", seed, w.Moves, early, w.eventCounts)
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
		w := New(rebalancingConfig(seed))
		w.fragmentFleet(4)
		for s := wideTasksAt; s < wideTasksAt+40; s += 0.7 {
			w.scheduleAt(s, func() {
				w.submitJob(func(s *api.Spec) { w.makeNarrow(s); s.Tasks, s.CheckpointEveryS, s.RuntimeS = 1, 0, 5 }, 5*time.Second)
			})
		}
		gains := w.collectFinishedMoves()
		w.Run()
		requireClean(t, seed, w)
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
	moves := runMoveScenario(t, 4, func(w *Simulation) {
		image := func(s *api.Spec, n int) { s.Image = fmt.Sprintf("img-%d", n%4) }
		w.scheduleAt(2, func() {
			for n := range 4 * w.cfg.ZoneCapacity {
				j := w.submitJob(func(s *api.Spec) { w.makeNarrow(s); image(s, n) }, firstTaskDuration)
				j.durationStep = taskDurationStep
			}
		})
		for s := wideTasksAt; s < 110; s += 6 {
			w.scheduleAt(s, func() {
				w.submitJob(func(s *api.Spec) {
					w.makeNarrow(s)
					image(s, w.lastJobNumber)
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
	w := New(rebalancingConfig(1))
	w.fragmentFleet(4)
	w.scheduleAt(40, func() {
		for _, id := range w.jobOrder {
			w.store.keys[migration.Key(id)] = &entry{value: []byte(`{"moves":"many"}`), revision: w.store.revision}
		}
		l := w.leader()
		l.crash(time.Second)
	})
	w.scheduleAt(wideTasksAt+30, func() {
		if w.leader() != nil {
			w.countEvent("leads on")
		}
	})
	w.Run()
	requireClean(t, 1, w)
	if w.Moves > 0 || w.eventCounts["leads on"] == 0 {
		t.Errorf("%d moves, %v", w.Moves, w.eventCounts)
	}
	for path := range w.store.keys {
		if id, ok := jobOfMoveKey(path); ok && w.store.keys["live/"+id] == nil {
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
		w := New(rebalancingConfig(seed))
		w.fragmentFleet(4)
		w.scheduleAt(wideTasksAt+25, func() { w.crashLeader(2 * time.Second) })
		w.Run()
		requireClean(t, seed, w)
		moves += w.Moves
		for path := range w.store.keys {
			if id, ok := jobOfMoveKey(path); ok {
				t.Errorf("seed %d: the moves of %s are left", seed, id)
			}
		}
	}
	if moves == 0 {
		t.Error("no move at all: the test shows nothing")
	}
}

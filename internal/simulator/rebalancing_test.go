package simulator

import (
	"flag"
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

// runMoveScenario runs a scenario with seeds from 0 on, checks the runs, and returns the number of recorded moves.
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

// tuneForFrequentMoves removes most of the limits on how often tasks are moved.
func tuneForFrequentMoves(t *settings.Tuning) {
	t.PlanInterval = time.Second
	t.Migration.LeaderSettleTime, t.Migration.MinTaskWait, t.Migration.MinRunTime = time.Second, 500*time.Millisecond, 0
	t.Migration.Cluster, t.Migration.Zone, t.Migration.Team, t.Migration.MinGainFactor = 20, 20, 20, 1
}

// Flags of TestMovesUnderFaults.
var (
	movesFirst = flag.Uint64("moves.first", 0, "first seed of TestMovesUnderFaults")
	movesSeeds = flag.Uint64("moves.seeds", 24, "number of seeds of TestMovesUnderFaults")
)

// minMovesPerSeed is the least mean number of moves with which TestMovesUnderFaults is valid.
const minMovesPerSeed = 2.5

// TestMovesUnderFaults runs moves during random faults, with some seeds several at once, while jobs arrive and are cancelled:
// every invariant holds, no job is moved a third time, and all work ends.
func TestMovesUnderFaults(t *testing.T) {
	t.Parallel()
	moves := 0
	for seed := *movesFirst; seed < *movesFirst+*movesSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := runMovesUnderFaults(seed)
			requireClean(t, sim)
			moves += sim.Moves
		})
	}
	t.Logf("%d moves", moves)
	if want := minMovesPerSeed * float64(*movesSeeds); float64(moves) < want {
		t.Errorf("got %d moves over all seeds, want at least %v", moves, want)
	}
}

// runMovesUnderFaults runs one seed of TestMovesUnderFaults.
func runMovesUnderFaults(seed uint64) *Simulation {
	cfg := rebalancingConfig(seed)
	cfg.ZoneCapacity = 4 // with less, arrays may wait for the capacity that is reserved for services
	cfg.Faults, cfg.ConcurrentFaults, cfg.LinkMonitoring, cfg.NoArrivals = true, seed%2 == 1, seed%4 > 1, false
	if seed%3 > 0 {
		cfg.Tune = tuneForFrequentMoves
	}
	cfg.ActiveDuration, cfg.QuiescentDuration = 200*time.Second, 450*time.Second // long tasks may restart near the end
	if cfg.SlowMachines = int(seed % 2); cfg.SlowMachines > 0 {
		cfg.QuiescentDuration = 20 * time.Minute // long tasks may complete on the slow machine
	}
	sim := New(cfg)
	sim.fragmentFleet(4)
	sim.submitWideTasks(wideTasksAt, 180)
	sim.submitShortTasks(30, 150)
	sim.Run()
	return sim
}

const (
	// convergenceTime is the time from the start of a flood until the load must be balanced.
	convergenceTime = time.Minute
	// maxImbalance bounds the mean imbalance in the 30 s after convergenceTime. Imbalance is the coefficient of variation of
	// the machines' CPU utilization.
	maxImbalance = 0.45
)

// TestLoadConverges: on fifty machines, one team floods the cluster while the others submit small and large tasks, with the
// settings of deploy/moves.sexp. Within a minute the load is balanced, although the leader crashes meanwhile, and no job is
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
			t.Errorf("seed %d: got imbalance %.2f a minute after the flood began, want at most %.2f", seed, mean, maxImbalance)
		}
	}
}

// TestFloodEndsAsMovesBegin guards against moves that are no longer needed: the jobs for which tasks would be moved are cancelled
// as soon as the first move is proposed. Tasks that were not stopped by then stay on their machines, and none is moved back.
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
		movesInTime := 0
		sim.scheduleAt(wideTasksAt+20, func() { movesInTime = sim.Moves })
		sim.Run()
		requireClean(t, sim)
		checkStopCounts(t, sim)
		if sim.eventCounts[loadCancelledEvent] == 0 || sim.Moves > movesInTime {
			t.Errorf("seed %d: got %d moves, %d of them more than 20 s after the load began, events %v; want no late ones and %q",
				seed, sim.Moves, sim.Moves-movesInTime, sim.eventCounts, loadCancelledEvent)
		}
	}
}

// TestNoMovesWithoutGain: no task is moved if no move can have a gain, as no machine has free capacity, a restart would lose
// too much work, or the waiting job fails anyway.
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
				t.Errorf("got %d moves, want none", n)
			}
		})
	}
}

// TestPulsingLoadDoesNotOscillate guards against moves back and forth: wide tasks arrive at the interval of the planner, and
// run time estimates are wrong by up to half in either direction. No job is moved more than twice, and no task returns to a
// machine that it was moved from.
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
		sources := map[string]map[ident.MachineID]bool{}
		sim.scheduleAt(wideTasksAt, func() {
			sim.pollMoves(200*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
				if sources[m.Task] == nil {
					sources[m.Task] = map[ident.MachineID]bool{}
				}
				sources[m.Task][m.From] = true
				if m.To != "" && sources[m.Task][m.To] {
					sim.reportViolation("%s is moved back to %s", m.Task, m.To)
				}
				return false
			})
		})
	})
	if moves == 0 {
		t.Error("got no move over all seeds, want at least one")
	}
}

// TestMoveLimitHoldsAcrossTerms guards against a new leader restarting the count of moves at zero: jobs that were moved twice in
// earlier terms are not moved again, and jobs that were moved once may be moved once more.
func TestMoveLimitHoldsAcrossTerms(t *testing.T) {
	t.Parallel()
	for movesBefore, wantMoves := range map[int]bool{0: true, 1: true, 2: false} {
		for seed := range uint64(3) {
			sim := New(rebalancingConfig(seed))
			sim.fragmentFleet(4)
			sim.scheduleAt(30, func() {
				var r migration.Record
				for n := range movesBefore {
					r.Moves = append(r.Moves, migration.Entry{Index: n, Attempt: 1, From: "host-a", To: "host-b"})
				}
				for _, id := range sim.jobOrder {
					if movesBefore > 0 {
						sim.store.apply([]kvstore.Mutation{{Put: migration.Key(id), Value: api.JSON(r)}})
					}
				}
				sim.Moves = 0
				sim.crashLeader(2 * time.Second)
			})
			sim.Run()
			requireClean(t, sim)
			checkStopCounts(t, sim)
			if wantMoves != (sim.Moves > 0) || sim.eventCounts[newTermEvent] == 0 {
				t.Errorf("seed %d, %d moves before: got %d moves and events %v, want moves: %v, and %q", seed, movesBefore,
					sim.Moves, sim.eventCounts, wantMoves, newTermEvent)
			}
		}
	}
}

// TestEveryNodeReportsMoves: while the leader carries out a move, the two other nodes report its record from the store.
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
		t.Errorf("got events %v, want %q twice", sim.eventCounts, moveReportedByPeerEvent)
	}
}

// TestNoMovesSoonAfterElection: a leader moves no tasks until it has led for LeaderSettleTime, and moves some after that.
func TestNoMovesSoonAfterElection(t *testing.T) {
	t.Parallel()
	moves := 0
	for seed := range uint64(3) {
		cfg := rebalancingConfig(seed)
		cfg.Tune = func(t *settings.Tuning) { t.Migration.MinRunTime, t.Migration.LeaderSettleTime = 0, 25*time.Second }
		sim := New(cfg)
		sim.fragmentFleet(4)
		sim.scheduleAt(wideTasksAt+3, func() { sim.crashLeader(2 * time.Second) })
		earlyMoves := 0
		sim.scheduleAt(wideTasksAt+3+25, func() { earlyMoves = sim.Moves })
		sim.Run()
		requireClean(t, sim)
		moves += sim.Moves
		if earlyMoves > 0 || sim.eventCounts[newTermEvent] == 0 {
			t.Errorf("seed %d: got %d moves, %d of them early, and events %v, want no early moves and %q", seed, sim.Moves,
				earlyMoves, sim.eventCounts, newTermEvent)
		}
	}
	if moves == 0 {
		t.Error("got no move over all seeds, want at least one")
	}
}

// TestReservedCapacityGoesToItsTask guards against other tasks taking the capacity that a move frees: small tasks that would fit
// arrive all the time, and the task for which the capacity was freed still gets it.
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
				t.Errorf("seed %d: %s was moved for %s, which did not get the capacity: realized gain is negative", seed, m.Task,
					m.For)
			}
		}
	}
	if arrived == 0 {
		t.Error("got no move that arrived over all seeds, want at least one")
	}
}

// TestImagesEvictEachOther: machines cache two of four images, so that a move fetches one image and evicts another. No job is
// moved more than twice because of that.
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
		t.Error("got no move over all seeds, want at least one")
	}
}

// TestUnreadableMoveRecord guards against a leader failing on a record of moves that it cannot decode: it does not move the job
// and keeps leading. Once the job has ended, the record is deleted.
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
		t.Errorf("got %d moves and events %v, want no moves and %q", sim.Moves, sim.eventCounts, leaderContinuesEvent)
	}
	for path := range sim.store.keys {
		if id, ok := jobOfMoveKey(path); ok && sim.store.keys["live/"+id] == nil {
			t.Errorf("%s is still stored after its job has ended", path)
		}
	}
}

// TestMoveRecordsAreDeleted: move records are deleted once their jobs have ended, also by leaders of later terms. The simulator
// reports a deletion before the end as a violation.
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
				t.Errorf("seed %d: the move record of %s is still stored at the end", seed, id)
			}
		}
	}
	if moves == 0 {
		t.Error("got no move over all seeds, want at least one")
	}
}

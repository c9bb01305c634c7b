package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
)

// checkStopCounts checks that workers stopped the tasks of no job more often than these may be moved. It uses the record of the
// simulated workers, not that of the controllers.
func checkStopCounts(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, id := range sim.jobOrder {
		if n := sim.jobs[id].stopCount(); n > maxMovesPerJob {
			t.Errorf("seed %d: tasks of %s were stopped %d times, want at most %d", sim.cfg.Seed, id, n, maxMovesPerJob)
		}
	}
}

// TestMovesFreeCapacity: tasks of 4 CPUs that fit on no machine are placed after running tasks are moved away. No job is moved
// more than twice, and all work ends.
func TestMovesFreeCapacity(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(rebalancingConfig(seed))
		sim.fragmentFleet(4)
		sim.scheduleAt(wideTasksAt, sim.countMoveOutcomes)
		sim.Run()
		requireClean(t, sim)
		checkStopCounts(t, sim)
		if sim.Moves == 0 || sim.eventCounts[moveEndEvent(migration.Arrived.String())] == 0 {
			t.Errorf("seed %d: got %d moves and events %v, want moves that arrive", seed, sim.Moves, sim.eventCounts)
		}
	}
}

// moveFault is a fault during a move.
type moveFault struct {
	name           string
	linkMonitoring bool // the nodes monitor their links
	legacyNodes    int  // number of nodes that run the version in production
	inject         func(sim *Simulation, l *node, m controller.MoveEntry)
	expectedEvents []eventName // at least once each
	// stopsOtherTasks means that the fault also stops tasks that are not moved, so that their stops do not count moves.
	stopsOtherTasks bool
}

// moveEndpoints returns the source and destination workers of a move, or any worker in place of one that no longer exists.
func (sim *Simulation) moveEndpoints(m controller.MoveEntry) (from, to *worker) {
	from, to = sim.workerByID(m.From), sim.workerByID(m.To)
	if from == nil {
		from = sim.anyWorker()
	}
	if to == nil {
		to = sim.anyWorker()
	}
	return from, to
}

// jobOf returns the job of a move's task.
func (sim *Simulation) jobOf(m controller.MoveEntry) *userJob {
	id, _, _ := strings.Cut(m.Task, "/")
	return sim.jobs[ident.JobID(id)]
}

// countNewLeader counts an event once a node other than l leads.
func (sim *Simulation) countNewLeader(l *node) { sim.onNextLeader(l, func(*node) {}) }

// countNewTerm counts an event once a term after that of l has begun.
func (sim *Simulation) countNewTerm(l *node) {
	sim.afterTerm(l.controller.Election().Term(), func() { sim.countEvent(newTermEvent) })
}

// reclaimMachine has the cloud reclaim a machine: at once if notice is 0, otherwise that long after a reclaim notice.
func (sim *Simulation) reclaimMachine(w *worker, notice time.Duration) {
	if notice > 0 {
		w.announceReclaim(notice)
	}
	sim.schedule(notice, func() {
		sim.countEvent(machineReclaimedEvent)
		sim.cloud.terminate(w.machine)
	})
}

// longerThanLease is longer than the lease of a worker, which is 20 s.
const longerThanLease = 26 * time.Second

// moveFaults are the faults that TestMovesWithFaultInEachState injects in each state of a move.
var moveFaults = []moveFault{
	{
		name:           "leader and another node crash",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.peerOf(l).crash(12 * time.Second)
			sim.countNewLeader(l)
			l.crash(9 * time.Second)
		},
	},
	{
		name:           "leader restarts within a second",
		expectedEvents: []eventName{newTermEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewTerm(l)
			sim.peerOf(l).crash(700 * time.Millisecond)
			l.crash(300 * time.Millisecond)
		},
	},
	{
		name:           "leader paused",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewLeader(l)
			l.pauseFor(15 * time.Second)
		},
	},
	{
		name:           "leader loses the store alone",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewLeader(l)
			sim.disconnect(l.name, storeParty, sim.cfg.Seed%2 == 0, 15*time.Second)
		},
	},
	{
		name:           "leader rejected by the store alone",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewLeader(l)
			sim.store.rejectUntil[l.name] = sim.now.Add(14 * time.Second)
		},
	},
	{
		name:           "leader partitioned, another node crashes",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewLeader(l)
			sim.peerOf(l).crash(20 * time.Second)
			sim.disconnect(l.name, anyParty, sim.cfg.Seed%2 == 0, 18*time.Second)
		},
	},
	{
		name:           "handover",
		linkMonitoring: true,
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewLeader(l)
			sim.disconnect(l.name, machines, sim.cfg.Seed%2 == 0, 25*time.Second)
		},
	},
	{
		name:           "all nodes crash and one restarts",
		expectedEvents: []eventName{newTermEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.countNewTerm(l)
			for i, n := range sim.nodes {
				n.crash(time.Duration(1+15*i) * time.Second)
			}
		},
	},
	{
		name:           "legacy node becomes leader",
		legacyNodes:    2,
		expectedEvents: []eventName{leaderReplacedEvent, legacyNodeLeadsEvent},
		inject: func(sim *Simulation, l *node,
			_ controller.MoveEntry) {
			sim.onNextLeader(l, func(n *node) {
				if n.env.legacy {
					sim.countEvent(legacyNodeLeadsEvent)
				}
			})
			l.crash(12 * time.Second)
		},
	},
	{name: "store down", inject: func(sim *Simulation, _ *node, _ controller.MoveEntry) {
		sim.store.downUntil = sim.now.Add(10 * time.Second)
	}},
	{name: "source hangs", inject: func(sim *Simulation, _ *node, m controller.MoveEntry) {
		from, _ := sim.moveEndpoints(m)
		from.hangFor(longerThanLease)
	}},
	{name: "destination hangs", inject: func(sim *Simulation, _ *node, m controller.MoveEntry) {
		_, to := sim.moveEndpoints(m)
		to.hangFor(longerThanLease)
	}},
	{
		name:           "source and destination partitioned, leader crashes",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, m controller.MoveEntry) {
			from, to := sim.moveEndpoints(m)
			sim.disconnect(string(from.id), anyParty, sim.cfg.Seed%2 == 0, 12*time.Second)
			sim.disconnect(string(to.id), anyParty, sim.cfg.Seed%2 == 1, longerThanLease)
			sim.countNewLeader(l)
			l.crash(5 * time.Second)
		},
	},
	{
		name:           "source cannot receive, leader changes",
		expectedEvents: []eventName{leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, m controller.MoveEntry) {
			from, _ := sim.moveEndpoints(m)
			sim.inboundBlockedUntil[string(from.id)] = sim.now.Add(longerThanLease)
			sim.countNewLeader(l)
			sim.schedule(2*time.Second, func() { l.crash(3 * time.Second) })
		},
	},
	{name: "source cannot send", inject: func(sim *Simulation, _ *node, m controller.MoveEntry) {
		from, _ := sim.moveEndpoints(m)
		sim.blockOutbound(from, longerThanLease)
	}},
	{name: "destination reclaimed, leader crashes",
		expectedEvents: []eventName{machineReclaimedEvent, leaderReplacedEvent},
		inject: func(sim *Simulation, l *node, m controller.MoveEntry) {
			_, to := sim.moveEndpoints(m)
			sim.reclaimMachine(to, 0)
			sim.countNewLeader(l)
			l.crash(4 * time.Second)
		}},
	{
		name:            "source gets a reclaim notice",
		stopsOtherTasks: true,
		expectedEvents:  []eventName{machineReclaimedEvent},
		inject: func(sim *Simulation, _ *node, m controller.MoveEntry) {
			from, _ := sim.moveEndpoints(m)
			sim.reclaimMachine(from, 5*time.Second)
		},
	},
	{
		name:           "job cancelled",
		expectedEvents: []eventName{jobCancelledEvent},
		inject: func(sim *Simulation, _ *node, m controller.MoveEntry) {
			sim.cancelWhenAccepted(sim.jobOf(m), nil)
			sim.countEvent(jobCancelledEvent)
		},
	},
	{name: "cancelled at the next leader, then an outage",
		expectedEvents: []eventName{leaderReplacedEvent, cancellationConfirmedEvent},
		inject:         cancelThenOutage},
	{
		name:           "writes delayed, leader changes",
		expectedEvents: []eventName{leaderReplacedEvent, lateWriteEvent},
		inject: func(sim *Simulation, l *node,
			_ controller.MoveEntry) {
			sim.delayedWrites = faultWindow{0.5, sim.now.Add(6 * time.Second)}
			sim.submitBurst(sim.now.Sub(0).Seconds(), sim.now.Sub(0).Seconds()+2)
			sim.countNewLeader(l)
			sim.schedule(1500*time.Millisecond, func() { l.crash(3 * time.Second) })
		},
	},
	{
		name:           "replies to writes lost, leader changes",
		expectedEvents: []eventName{leaderReplacedEvent, replyDroppedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.droppedReplies = faultWindow{0.7, sim.now.Add(4 * time.Second)}
			sim.submitBurst(sim.now.Sub(0).Seconds(), sim.now.Sub(0).Seconds()+1)
			sim.countNewLeader(l)
			sim.schedule(1500*time.Millisecond, func() { l.crash(3 * time.Second) })
		},
	},
	{
		name:           "heartbeats from before the move reach the next leader",
		expectedEvents: []eventName{leaderReplacedEvent, heldHeartbeatDeliveredEvent},
		inject: func(sim *Simulation, l *node,
			_ controller.MoveEntry) {
			sim.holdHeartbeatsForNextLeader(0.8, 8*time.Second)
			sim.delayedHeartbeats = faultWindow{0.3, sim.now.Add(8 * time.Second)}
			sim.countNewLeader(l)
			sim.schedule(4*time.Second, func() { l.crash(6 * time.Second) })
		},
	},
	{name: "commands delayed, leader restarts within a second",
		expectedEvents: []eventName{newTermEvent, commandDelayedEvent},
		inject: func(sim *Simulation, l *node, _ controller.MoveEntry) {
			sim.delayedCommands = faultWindow{0.6, sim.now.Add(10 * time.Second)}
			sim.submitBurst(sim.now.Sub(0).Seconds(), sim.now.Sub(0).Seconds()+1)
			sim.countNewTerm(l)
			sim.schedule(2*time.Second, func() { l.crash(300 * time.Millisecond) })
		}},
	{
		name:            "preemption by critical services",
		stopsOtherTasks: true,
		expectedEvents:  []eventName{urgentJobsEvent},
		inject: func(sim *Simulation, _ *node, _ controller.MoveEntry) {
			for range 6 {
				sim.submitJob(func(s *api.Spec) {
					s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Image = api.Service, api.Critical, true, 0, 2, 1,
						"img-0"
				}, 0)
			}
			sim.countEvent(urgentJobsEvent)
		},
	},
}

// cancelThenOutage has the store reject only the leader, cancels the moved job at the next leader, and then stops the store for
// longer than a cancellation may take.
func cancelThenOutage(sim *Simulation, l *node, m controller.MoveEntry) {
	sim.store.rejectUntil[l.name] = sim.now.Add(14 * time.Second)
	j := sim.jobOf(m)
	sim.redirectHeartbeats(j, l)
	sim.onNextLeader(l, func(n *node) {
		sim.onceServing(n, func() {
			sim.cancelWhenAccepted(j, n)
			sim.schedule(250*time.Millisecond, func() {
				if j.cancelConfirmedAt > 0 {
					sim.countEvent(cancellationConfirmedEvent)
				}
				sim.store.downUntil = sim.now.Add(seconds(sim.settings.Workers.CancelS) + 8*time.Second)
			})
		})
	})
}

// delayPlacementAfterStop delays the placement of the next task that is stopped for a move, by having the store reject the
// leader's writes for 1.8 s.
func (sim *Simulation) delayPlacementAfterStop() {
	sim.onMoveState(migration.Stopping, func(l *node, _ controller.MoveEntry) {
		sim.store.rejectUntil[l.name] = sim.now.Add(1800 * time.Millisecond)
		j := sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 5*time.Second)
		sim.resubmitAt(j, l)
	})
}

// runMoveFault runs a simulation with a fault that is injected as soon as a move is in a state.
func runMoveFault(f moveFault, state migration.State, seed uint64) *Simulation {
	cfg := rebalancingConfig(seed)
	cfg.LinkMonitoring, cfg.LegacyNodes = f.linkMonitoring, f.legacyNodes
	sim := New(cfg)
	sim.fragmentFleet(4)
	if f.legacyNodes > 0 {
		sim.scheduleAt(20, sim.crashUntilNewVersionLeads)
		sim.scheduleAt(120, func() { sim.rollingUpgrade(sim.settings.Nodes - f.legacyNodes) })
	}
	sim.scheduleAt(wideTasksAt, func() {
		if state == migration.Stopped {
			sim.delayPlacementAfterStop()
		}
		sim.onMoveState(state, func(l *node, m controller.MoveEntry) { f.inject(sim, l, m) })
		sim.countMoveOutcomes()
	})
	sim.Run()
	return sim
}

// crashUntilNewVersionLeads crashes legacy leaders until a node with the new version leads.
func (sim *Simulation) crashUntilNewVersionLeads() {
	l := sim.leader()
	if l != nil && !l.env.legacy {
		return
	}
	if l != nil {
		l.crash(4 * time.Second)
	}
	sim.schedule(3*time.Second, sim.crashUntilNewVersionLeads)
}

// TestMovesWithFaultInEachState guards against tasks being lost, run twice or moved too often when a fault interrupts a move.
// In each state of a move, controllers crash, pause, are partitioned or hand over, machines hang or are reclaimed, writes and
// heartbeats are late, or jobs are cancelled. No invariant is violated, no job is moved a third time, and all work ends.
func TestMovesWithFaultInEachState(t *testing.T) {
	t.Parallel()
	for _, f := range moveFaults {
		for _, state := range []migration.State{migration.Proposed, migration.Stopping, migration.Stopped, migration.Placing} {
			t.Run(fmt.Sprintf("%s/%s", f.name, state), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					sim := runMoveFault(f, state, seed)
					requireClean(t, sim)
					if !f.stopsOtherTasks {
						checkStopCounts(t, sim)
					}
					requireEvents(t, sim, moveStateEvent(state.String()))
					requireEvents(t, sim, f.expectedEvents...)
				}
			})
		}
	}
}

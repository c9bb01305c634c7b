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

// checkStopCounts checks, by the workers' own record, that no job which nothing else stops was
// stopped more often than it may be moved.
func checkStopCounts(t *testing.T, seed uint64, w *Simulation) {
	t.Helper()
	for _, id := range w.jobOrder {
		if n := w.jobs[id].stopCount(); n > maxMovesPerJob {
			t.Errorf("seed %d: tasks of %s were stopped %d times", seed, id, n)
		}
	}
}

// TestMovesFreeCapacity: wide tasks that find no room on any machine get it by moves, no job is
// moved more than twice, and all work ends.
func TestMovesFreeCapacity(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(rebalancingConfig(seed))
		w.fragmentFleet(4)
		w.scheduleAt(wideTasksAt, w.countMoveOutcomes)
		w.Run()
		requireClean(t, seed, w)
		checkStopCounts(t, seed, w)
		if w.Moves == 0 || w.eventCounts["ended: arrived"] == 0 {
			t.Errorf("seed %d: %d moves, %v", seed, w.Moves, w.eventCounts)
		}
	}
}

// moveFault is what goes wrong in the midst of a move.
type moveFault struct {
	name           string
	links          bool // the nodes watch their links
	legacyNodes    int  // nodes of the version in production
	inject         func(w *Simulation, l *node, m controller.MoveEntry)
	expectedEvents []string // what must have come of it
	// stopsOtherTasks says that tasks are stopped for other reasons as well.
	stopsOtherTasks bool
}

// from and to return the machines of a move; one that is gone already is replaced by any.
func (w *Simulation) moveEndpoints(m controller.MoveEntry) (from, to *worker) {
	from, to = w.workerByID(m.From), w.workerByID(m.To)
	if from == nil {
		from = w.anyWorker()
	}
	if to == nil {
		to = w.anyWorker()
	}
	return from, to
}

// jobOf returns the job of a move's task.
func (w *Simulation) jobOf(m controller.MoveEntry) *userJob {
	id, _, _ := strings.Cut(m.Task, "/")
	return w.jobs[ident.JobID(id)]
}

// expectNewLeader notes that another node leads than before.
func (w *Simulation) expectNewLeader(l *node) { w.onNextLeader(l, func(*node) {}) }

// expectNewTerm notes that another term has begun.
func (w *Simulation) expectNewTerm(l *node) {
	term := l.controller.Election().Term()
	w.waitUntil(func() bool { n := w.leader(); return n != nil && n.controller.Election().Term() > term }, func() { w.countEvent("new term") })
}

// reclaimMachine has the cloud take a machine, after a notice if there is time for one.
func (w *Simulation) reclaimMachine(k *worker, notice time.Duration) {
	if notice > 0 {
		k.announceReclaim(notice)
	}
	w.schedule(notice, func() {
		w.countEvent("machine taken")
		w.cloud.terminate(k.machine)
	})
}

const longerThanLease = 26 * time.Second // longer than a worker's lease

var moveFaults = []moveFault{
	{name: "leader killed with a second node down", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.peerOf(l).crash(12 * time.Second)
		w.expectNewLeader(l)
		l.crash(9 * time.Second)
	}},
	{name: "leader back within a second", expectedEvents: []string{"new term"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewTerm(l)
		w.peerOf(l).crash(700 * time.Millisecond)
		l.crash(300 * time.Millisecond)
	}},
	{name: "leader stands still", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewLeader(l)
		l.pauseFor(15 * time.Second)
	}},
	{name: "leader cut from the state service alone", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewLeader(l)
		w.disconnect(l.name, "state", w.cfg.Seed%2 == 0, 15*time.Second)
	}},
	{name: "leader refused by the state service alone", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewLeader(l)
		w.store.rejectUntil[l.name] = w.now.Add(14 * time.Second)
	}},
	{name: "leader cut from everything, a second node down", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewLeader(l)
		w.peerOf(l).crash(20 * time.Second)
		w.disconnect(l.name, "*", w.cfg.Seed%2 == 0, 18*time.Second)
	}},
	{name: "lead handed over", links: true, expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewLeader(l)
		w.disconnect(l.name, machines, w.cfg.Seed%2 == 0, 25*time.Second)
	}},
	{name: "all nodes end and one is back", expectedEvents: []string{"new term"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.expectNewTerm(l)
		for i, n := range w.nodes {
			n.crash(time.Duration(1+15*i) * time.Second)
		}
	}},
	{name: "the version in production takes the lead", legacyNodes: 2, expectedEvents: []string{"another leads", "old version leads"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.onNextLeader(l, func(n *node) {
			if n.env.legacy {
				w.countEvent("old version leads")
			}
		})
		l.crash(12 * time.Second)
	}},
	{name: "state service down", inject: func(w *Simulation, _ *node, _ controller.MoveEntry) {
		w.store.downUntil = w.now.Add(10 * time.Second)
	}},
	{name: "source hangs", inject: func(w *Simulation, _ *node, m controller.MoveEntry) {
		from, _ := w.moveEndpoints(m)
		from.hangFor(longerThanLease)
	}},
	{name: "destination hangs", inject: func(w *Simulation, _ *node, m controller.MoveEntry) {
		_, to := w.moveEndpoints(m)
		to.hangFor(longerThanLease)
	}},
	{name: "source and destination cut off, and the leader killed", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, m controller.MoveEntry) {
		from, to := w.moveEndpoints(m)
		w.disconnect(string(from.id), "*", w.cfg.Seed%2 == 0, 12*time.Second)
		w.disconnect(string(to.id), "*", w.cfg.Seed%2 == 1, longerThanLease)
		w.expectNewLeader(l)
		l.crash(5 * time.Second)
	}},
	{name: "source hears nobody, and the lead changes", expectedEvents: []string{"another leads"}, inject: func(w *Simulation, l *node, m controller.MoveEntry) {
		from, _ := w.moveEndpoints(m)
		w.inboundBlockedUntil[string(from.id)] = w.now.Add(longerThanLease)
		w.expectNewLeader(l)
		w.schedule(2*time.Second, func() { l.crash(3 * time.Second) })
	}},
	{name: "source reaches nobody", inject: func(w *Simulation, _ *node, m controller.MoveEntry) {
		from, _ := w.moveEndpoints(m)
		w.blockOutbound(from, longerThanLease)
	}},
	{name: "destination taken back, and the leader killed", expectedEvents: []string{"machine taken", "another leads"}, inject: func(w *Simulation, l *node, m controller.MoveEntry) {
		_, to := w.moveEndpoints(m)
		w.reclaimMachine(to, 0)
		w.expectNewLeader(l)
		l.crash(4 * time.Second)
	}},
	{name: "source gets a spot notice", stopsOtherTasks: true, expectedEvents: []string{"machine taken"}, inject: func(w *Simulation, _ *node, m controller.MoveEntry) {
		from, _ := w.moveEndpoints(m)
		w.reclaimMachine(from, 5*time.Second)
	}},
	{name: "job cancelled", expectedEvents: []string{"cancelled"}, inject: func(w *Simulation, _ *node, m controller.MoveEntry) {
		w.cancelWhenAccepted(w.jobOf(m), nil)
		w.countEvent("cancelled")
	}},
	{name: "cancelled at another node, then nobody is served", expectedEvents: []string{"another leads", "confirmed by another"}, inject: cancelThenOutage},
	{name: "records late, after newer ones, and the lead changes", expectedEvents: []string{"another leads", "late write after newer ones"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.delayedWrites = faultWindow{0.5, w.now.Add(6 * time.Second)}
		w.submitBurst(w.now.Sub(0).Seconds(), w.now.Sub(0).Seconds()+2)
		w.expectNewLeader(l)
		w.schedule(1500*time.Millisecond, func() { l.crash(3 * time.Second) })
	}},
	{name: "answers to records lost, and the lead changes", expectedEvents: []string{"another leads", "lost answer"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.droppedReplies = faultWindow{0.7, w.now.Add(4 * time.Second)}
		w.submitBurst(w.now.Sub(0).Seconds(), w.now.Sub(0).Seconds()+1)
		w.expectNewLeader(l)
		w.schedule(1500*time.Millisecond, func() { l.crash(3 * time.Second) })
	}},
	{name: "reports of before the move come to the next leader", expectedEvents: []string{"another leads", "copy for the next leader"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.holdHeartbeatsForNextLeader(0.8, 8*time.Second)
		w.delayedHeartbeats = faultWindow{0.3, w.now.Add(8 * time.Second)}
		w.expectNewLeader(l)
		w.schedule(4*time.Second, func() { l.crash(6 * time.Second) })
	}},
	{name: "commands held up, and the leader back within a second", expectedEvents: []string{"new term", "held order"}, inject: func(w *Simulation, l *node, _ controller.MoveEntry) {
		w.delayedCommands = faultWindow{0.6, w.now.Add(10 * time.Second)}
		w.submitBurst(w.now.Sub(0).Seconds(), w.now.Sub(0).Seconds()+1)
		w.expectNewTerm(l)
		w.schedule(2*time.Second, func() { l.crash(300 * time.Millisecond) })
	}},
	{name: "work of higher priority wants the room", stopsOtherTasks: true, expectedEvents: []string{"urgent work"}, inject: func(w *Simulation, _ *node, _ controller.MoveEntry) {
		for range 6 {
			w.submitJob(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Image = api.Service, api.Critical, true, 0, 2, 1, "img-0"
			}, 0)
		}
		w.countEvent("urgent work")
	}},
}

// cancelThenOutage has the leader refused alone, the moved job cancelled at the next leader, and then
// the state service down for all for longer than a cancellation may take.
func cancelThenOutage(w *Simulation, l *node, m controller.MoveEntry) {
	w.store.rejectUntil[l.name] = w.now.Add(14 * time.Second)
	j := w.jobOf(m)
	w.redirectHeartbeats(j, l)
	w.onNextLeader(l, func(n *node) {
		w.onceServing(n, func() {
			w.cancelWhenAccepted(j, n)
			w.schedule(250*time.Millisecond, func() {
				if j.cancelConfirmedAt > 0 {
					w.countEvent("confirmed by another")
				}
				w.store.downUntil = w.now.Add(seconds(w.settings.Workers.CancelS) + 8*time.Second)
			})
		})
	})
}

// delayPlacementAfterStop keeps the next move that stops its task from being placed for a while: what the
// leader writes is refused, and it knows that.
func (w *Simulation) delayPlacementAfterStop() {
	w.onMoveState(migration.Stopping, func(l *node, _ controller.MoveEntry) {
		w.store.rejectUntil[l.name] = w.now.Add(1800 * time.Millisecond)
		j := w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 5*time.Second)
		w.resubmitAt(j, l)
	})
}

// runMoveFault plays a day on which something goes wrong in a state of a move.
func runMoveFault(f moveFault, state migration.State, seed uint64) *Simulation {
	cfg := rebalancingConfig(seed)
	cfg.LinkMonitoring, cfg.LegacyNodes = f.links, f.legacyNodes
	w := New(cfg)
	w.fragmentFleet(4)
	if f.legacyNodes > 0 {
		w.scheduleAt(20, w.crashUntilNewVersionLeads)
		w.scheduleAt(120, func() { w.rollingUpgrade(w.settings.Nodes - f.legacyNodes) })
	}
	w.scheduleAt(wideTasksAt, func() {
		if state == migration.Stopped {
			w.delayPlacementAfterStop()
		}
		w.onMoveState(state, func(l *node, m controller.MoveEntry) { f.inject(w, l, m) })
		w.countMoveOutcomes()
	})
	w.Run()
	return w
}

// crashUntilNewVersionLeads kills old nodes that lead until a new one does.
func (w *Simulation) crashUntilNewVersionLeads() {
	l := w.leader()
	if l != nil && !l.env.legacy {
		return
	}
	if l != nil {
		l.crash(4 * time.Second)
	}
	w.schedule(3*time.Second, w.crashUntilNewVersionLeads)
}

// TestMovesWithFaultInEachState: in each state of a move controllers end, stand still, are cut off or
// hand over, machines stop answering or go, records and reports come late, and jobs are
// cancelled. No task runs twice, none is lost, no job is moved a third time, and all work ends.
func TestMovesWithFaultInEachState(t *testing.T) {
	t.Parallel()
	for _, f := range moveFaults {
		for _, state := range []migration.State{migration.Proposed, migration.Stopping, migration.Stopped, migration.Placing} {
			t.Run(fmt.Sprintf("%s/%s", f.name, state), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					w := runMoveFault(f, state, seed)
					requireClean(t, seed, w)
					if !f.stopsOtherTasks {
						checkStopCounts(t, seed, w)
					}
					for _, what := range append([]string{"move " + state.String()}, f.expectedEvents...) {
						if w.eventCounts[what] == 0 {
							t.Errorf("seed %d: %q did not take place: %v", seed, what, w.eventCounts)
						}
					}
				}
			})
		}
	}
}

package simulator

import (
	"slices"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// saturateTeams keeps every team at its limit, with further work waiting. After 58 s it counts an event for each team that is
// near its limit.
func (sim *Simulation) saturateTeams() {
	sim.submitBaseLoad(12)
	for s := 4.0; s < 110; s += 4 {
		sim.scheduleAt(s, func() { sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 15*time.Second) })
	}
	sim.scheduleAt(58, func() {
		used := map[string]float64{}
		for _, w := range sim.workers {
			w.forEachTask(func(t *task) {
				if t.onMachine() {
					used[sim.jobs[t.id.Job].spec.Team] += sim.jobs[t.id.Job].spec.VCPUs
				}
			})
		}
		for _, t := range sim.settings.Teams {
			if used[t.Name] > t.CPUsMax-2.5 {
				sim.countEvent(teamAtLimitEvent)
			}
		}
	})
}

// crashLeader crashes the leader, and counts an event for the next term and one if another node leads in it. A leader that
// restarts at once may lead again.
func (sim *Simulation) crashLeader(restartAfter time.Duration) {
	l := sim.leader()
	if l == nil {
		sim.countEvent(noLeaderToCrashEvent)
		return
	}
	term := l.controller.Election().Term()
	l.crash(restartAfter)
	sim.afterTerm(term, func() {
		sim.countEvent(newTermEvent)
		if sim.leader() != l {
			sim.countEvent(leaderReplacedEvent)
		}
	})
}

// afterTerm calls f as soon as there is a leader of a later term.
func (sim *Simulation) afterTerm(term ident.Term, f func()) {
	sim.waitUntil(func() bool {
		n := sim.leader()
		return n != nil && n.controller.Election().Term() > term
	}, f)
}

// anotherLeads reports whether a node other than old holds a valid leader lease.
func (sim *Simulation) anotherLeads(old *node) bool {
	return slices.ContainsFunc(sim.nodes, func(n *node) bool { return n != old && n.controller.Election().LeaseValid() })
}

// waitUntil calls f once a condition holds, which it checks every 10 ms.
func (sim *Simulation) waitUntil(condition func() bool, f func()) {
	if condition() {
		f()
		return
	}
	sim.schedule(10*time.Millisecond, func() { sim.waitUntil(condition, f) })
}

// submitBurst submits a job every 50 ms between two times, in seconds, so that placements are in progress at the end.
func (sim *Simulation) submitBurst(from, to float64) {
	for s := from; s < to; s += 0.05 {
		sim.scheduleAt(s, func() { sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 15*time.Second) })
	}
}

// onNextLeader counts an event and calls f once a node other than old leads.
func (sim *Simulation) onNextLeader(old *node, f func(n *node)) {
	sim.waitUntil(func() bool { n := sim.leader(); return n != nil && n != old }, func() {
		sim.countEvent(leaderReplacedEvent)
		f(sim.leader())
	})
}

// onceServing calls f once a leader has loaded its state and can serve requests, but not if it loses its lease before that.
func (sim *Simulation) onceServing(n *node, f func()) {
	leads := func() bool { return n.alive && n.controller.Election().LeaseValid() }
	sim.waitUntil(func() bool { return !leads() || n.controller.Stats().Jobs > 0 }, func() {
		if leads() {
			f()
		}
	})
}

// redirectHeartbeats has the workers of a job send their next heartbeats to a node, as after a failover.
func (sim *Simulation) redirectHeartbeats(j *userJob, to *node) {
	for _, w := range sim.workersOf(j) {
		w.nodeIndex = slices.Index(sim.nodes, to)
	}
}

// cancelAndConfirm cancels up to n running jobs at a node, and counts the cancellations confirmed within 250 ms.
func (sim *Simulation) cancelAndConfirm(at *node, n int) {
	for i, j := range sim.runningJobs() {
		if i == n {
			return
		}
		sim.cancelWhenAccepted(j, at)
		sim.schedule(250*time.Millisecond, func() {
			if j.cancelConfirmedAt > 0 {
				sim.countEvent(cancellationConfirmedEvent)
			}
		})
	}
}

// cancelDuringFailoverAndOutage has the store reject only the leader, cancels jobs at the next leader, and then stops the store
// for longer than a cancellation may take. The workers of these jobs still send their heartbeats to the old leader.
func cancelDuringFailoverAndOutage(sim *Simulation) {
	sim.submitBaseLoad(8)
	sim.scheduleAt(60, func() {
		old := sim.leader()
		if old == nil {
			return
		}
		sim.store.rejectUntil[old.name] = sim.now.Add(14 * time.Second)
		outage := seconds(sim.settings.Workers.CancelS) + time.Duration(6+sim.rng.IntN(8))*time.Second
		if sim.cfg.Seed%4 == 1 {
			sim.forEachPeer(old, func(n *node) { sim.disconnect(old.name, n.name, sim.cfg.Seed%8 < 4, 40*time.Second) })
		}
		sim.onNextLeader(old, func(n *node) {
			list := sim.runningJobs()
			for _, j := range list {
				sim.keepWorkersAtOldLeader(j, old, n)
			}
			sim.onceServing(n, func() {
				sim.cancelAndConfirm(n, 4)
				sim.schedule(time.Duration(60+sim.rng.IntN(240))*time.Millisecond, func() {
					sim.stopStoreAfterConfirmation(list, old, n, outage)
				})
			})
		})
	})
}

// keepWorkersAtOldLeader has the workers of a job send their heartbeats to the old leader. With even seeds, commands of the next
// leader do not reach them, so that only a reply to a heartbeat can tell them of a cancellation.
func (sim *Simulation) keepWorkersAtOldLeader(j *userJob, old, next *node) {
	sim.redirectHeartbeats(j, old)
	if sim.cfg.Seed%2 > 0 {
		return
	}
	for _, w := range sim.workersOf(j) {
		sim.disconnect(next.name, string(w.id), false, 70*time.Second)
		if sim.cfg.Seed%6 == 4 {
			w.hangFor(time.Duration(2+sim.rng.IntN(15)) * time.Second)
		}
	}
}

// stopStoreAfterConfirmation stops the store for d. With some seeds, the next leader crashes or is paused at the same time.
func (sim *Simulation) stopStoreAfterConfirmation(list []*userJob, old, next *node, d time.Duration) {
	sim.store.downUntil = sim.now.Add(d)
	sim.logf("key-value store down for %v", d)
	for _, j := range list {
		if j.cancelConfirmedAt > 0 {
			sim.countEvent(outageAfterConfirmationEvent)
			sim.redirectHeartbeats(j, old)
		}
	}
	switch sim.cfg.Seed % 5 {
	case 2:
		next.crash(300 * time.Millisecond)
	case 3:
		next.pauseFor(20 * time.Second)
	}
}

// requireClean checks that a run violated no invariant, left no work unfinished and stayed within the limits of the store. It
// stops the test on a violation or unfinished work.
func requireClean(t *testing.T, sim *Simulation) {
	t.Helper()
	if len(sim.Violations) > 0 || len(sim.Unfinished) > 0 {
		t.Fatalf("seed %d: violations %v, unfinished %v, want none\n%s", sim.cfg.Seed, sim.Violations, sim.Unfinished,
			sim.LogTail(60))
	}
	if sim.OversizedTransactions > 0 {
		t.Errorf("seed %d: got %d transactions over the lowered limits of the store, want none", sim.cfg.Seed,
			sim.OversizedTransactions)
	}
}

// requireEvents checks that each of the events took place at least once.
func requireEvents(t *testing.T, sim *Simulation, events ...eventName) {
	t.Helper()
	for _, event := range events {
		if sim.eventCounts[event] == 0 {
			t.Errorf("seed %d: event %q: got 0, want at least 1; all events: %v", sim.cfg.Seed, event, sim.eventCounts)
		}
	}
}

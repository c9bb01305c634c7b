package simulator

import (
	"time"

	"opaldale/internal/api"
)

// saturateTeams keeps every team at its limit, with more work waiting than it admits.
func (w *Simulation) saturateTeams() {
	w.submitBaseLoad(12)
	for s := 4.0; s < 110; s += 4 {
		w.scheduleAt(s, func() { w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 15*time.Second) })
	}
	w.scheduleAt(58, func() {
		used := map[string]float64{}
		for _, k := range w.workers {
			for p, tries := range k.tasks {
				for _, q := range tries {
					if q.onMachine() {
						used[w.jobs[p.Job].spec.Team] += w.jobs[p.Job].spec.VCPUs
					}
				}
			}
		}
		for _, t := range w.settings.Teams {
			if used[t.Name] > t.CPUsMax-2.5 {
				w.countEvent("team at its limit")
			}
		}
	})
}

// crashLeader has the leader killed, and notes the next term and whether another node leads
// in it: one that is back at once goes on.
func (w *Simulation) crashLeader(restartAfter time.Duration) {
	l := w.leader()
	if l == nil {
		w.countEvent("nobody to depose")
		return
	}
	term := l.controller.Election().Term()
	l.crash(restartAfter)
	w.waitUntil(func() bool { n := w.leader(); return n != nil && n.controller.Election().Term() > term }, func() {
		w.countEvent("new term")
		if w.leader() != l {
			w.countEvent("another leads")
		}
	})
}

// waitUntil calls f as soon as something is so.
func (w *Simulation) waitUntil(condition func() bool, f func()) {
	if condition() {
		f()
		return
	}
	w.schedule(10*time.Millisecond, func() { w.waitUntil(condition, f) })
}

// submitBurst submits jobs from one moment to another, so that placements are under way.
func (w *Simulation) submitBurst(from, to float64) {
	for s := from; s < to; s += 0.05 {
		w.scheduleAt(s, func() { w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 15*time.Second) })
	}
}

// onNextLeader calls f when another node than old leads.
func (w *Simulation) onNextLeader(old *node, f func(n *node)) {
	w.waitUntil(func() bool { n := w.leader(); return n != nil && n != old }, func() {
		w.countEvent("another leads")
		f(w.leader())
	})
}

// onceServing calls f once a node that leads has loaded, and can answer.
func (w *Simulation) onceServing(n *node, f func()) {
	leads := func() bool { return n.alive && n.controller.Election().LeaseValid() }
	w.waitUntil(func() bool { return !leads() || n.controller.Stats().Jobs > 0 }, func() {
		if leads() {
			f()
		}
	})
}

// redirectHeartbeats has the machines of a job report to a node, as they do after a failover.
func (w *Simulation) redirectHeartbeats(j *userJob, to *node) {
	for _, k := range w.workersOf(j) {
		for i, n := range w.nodes {
			if n == to {
				k.nodeIndex = i
			}
		}
	}
}

// cancelAndConfirm calls up to n running jobs off at a node, and notes those that it confirmed.
func (w *Simulation) cancelAndConfirm(at *node, n int) {
	for i, j := range w.runningJobs() {
		if i == n {
			return
		}
		w.cancelWhenAccepted(j, at)
		w.schedule(250*time.Millisecond, func() {
			if j.cancelConfirmedAt > 0 {
				w.countEvent("confirmed by another")
			}
		})
	}
}

// cancelDuringFailoverAndOutage is the one that was seen first: the leader alone is refused, another one confirms
// cancellations, and then nobody is served for longer than these may take. The old
// leader's workers still report to it.
func cancelDuringFailoverAndOutage(w *Simulation) {
	w.submitBaseLoad(8)
	w.scheduleAt(60, func() {
		old := w.leader()
		if old == nil {
			return
		}
		w.store.rejectUntil[old.name] = w.now.Add(14 * time.Second)
		long := seconds(w.settings.Workers.CancelS) + time.Duration(6+w.rng.IntN(8))*time.Second
		if w.cfg.Seed%4 == 1 {
			w.forEachPeer(old, func(n *node) { w.disconnect(old.name, n.name, w.cfg.Seed%8 < 4, 40*time.Second) })
		}
		w.onNextLeader(old, func(n *node) {
			list := w.runningJobs()
			for _, j := range list {
				w.redirectHeartbeats(j, old)
				if w.cfg.Seed%2 == 0 { // whoever is told by no command hears of it by reports
					for _, k := range w.workersOf(j) {
						w.disconnect(n.name, string(k.id), false, 70*time.Second)
						if w.cfg.Seed%6 == 4 {
							k.hangFor(time.Duration(2+w.rng.IntN(15)) * time.Second)
						}
					}
				}
			}
			w.onceServing(n, func() {
				w.cancelAndConfirm(n, 4)
				w.schedule(time.Duration(60+w.rng.IntN(240))*time.Millisecond, func() {
					w.store.downUntil = w.now.Add(long)
					w.logf("state service down for %v", long)
					for _, j := range list {
						if j.cancelConfirmedAt > 0 {
							w.countEvent("outage after a confirmation")
							w.redirectHeartbeats(j, old)
						}
					}
					switch w.cfg.Seed % 5 {
					case 2:
						n.crash(300 * time.Millisecond)
					case 3:
						n.pauseFor(20 * time.Second)
					}
				})
			})
		})
	})
}

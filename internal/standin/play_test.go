package standin

import (
	"time"

	"opaldale/internal/api"
)

// full keeps every team at its limit, with more work waiting than it admits.
func (w *World) full() {
	w.load(12)
	for s := 4.0; s < 110; s += 4 {
		w.when(s, func() { w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 15*time.Second) })
	}
	w.when(58, func() {
		used := map[string]float64{}
		for _, k := range w.workers {
			for p, tries := range k.pieces {
				for _, q := range tries {
					if q.onMachine() {
						used[w.jobs[p.Job].spec.Team] += w.jobs[p.Job].spec.VCPUs
					}
				}
			}
		}
		for _, t := range w.set.Teams {
			if used[t.Name] > t.CPUsMax-2.5 {
				w.took("team at its limit")
			}
		}
	})
}

// depose has the leader killed, and notes the next term and whether another node leads
// in it: one that is back at once goes on.
func (w *World) depose(back time.Duration) {
	l := w.leader()
	if l == nil {
		w.took("nobody to depose")
		return
	}
	term := l.ctl.Election().Term()
	l.kill(back)
	w.await(func() bool { n := w.leader(); return n != nil && n.ctl.Election().Term() > term }, func() {
		w.took("new term")
		if w.leader() != l {
			w.took("another leads")
		}
	})
}

// await calls f as soon as something is so.
func (w *World) await(so func() bool, f func()) {
	if so() {
		f()
		return
	}
	w.at(10*time.Millisecond, func() { w.await(so, f) })
}

// burst submits jobs from one moment to another, so that placements are under way.
func (w *World) burst(from, to float64) {
	for s := from; s < to; s += 0.05 {
		w.when(s, func() { w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 15*time.Second) })
	}
}

// next calls f when another node than old leads.
func (w *World) next(old *node, f func(n *node)) {
	w.await(func() bool { n := w.leader(); return n != nil && n != old }, func() {
		w.took("another leads")
		f(w.leader())
	})
}

// serving calls f once a node that leads has loaded, and can answer.
func (w *World) serving(n *node, f func()) {
	leads := func() bool { return n.alive && n.ctl.Election().LeaseValid() }
	w.await(func() bool { return !leads() || n.ctl.Stats().Jobs > 0 }, func() {
		if leads() {
			f()
		}
	})
}

// flock has the machines of a job report to a node, as they do after a failover.
func (w *World) flock(j *userJob, to *node) {
	for _, k := range w.hosts(j) {
		for i, n := range w.nodes {
			if n == to {
				k.node = i
			}
		}
	}
}

// confirm calls up to n running jobs off at a node, and notes those that it confirmed.
func (w *World) confirm(at *node, n int) {
	for i, j := range w.running() {
		if i == n {
			return
		}
		w.callOff(j, at)
		w.at(250*time.Millisecond, func() {
			if j.cancelTold > 0 {
				w.took("confirmed by another")
			}
		})
	}
}

// gap is the one that was seen first: the leader alone is refused, another one confirms
// cancellations, and then nobody is served for longer than these may take. The old
// leader's workers still report to it.
func gap(w *World) {
	w.load(8)
	w.when(60, func() {
		old := w.leader()
		if old == nil {
			return
		}
		w.store.refuses[old.name] = w.now.Add(14 * time.Second)
		long := seconds(w.set.Workers.CancelS) + time.Duration(6+w.rng.IntN(8))*time.Second
		if w.cfg.Seed%4 == 1 {
			w.others(old, func(n *node) { w.sever(old.name, n.name, w.cfg.Seed%8 < 4, 40*time.Second) })
		}
		w.next(old, func(n *node) {
			list := w.running()
			for _, j := range list {
				w.flock(j, old)
				if w.cfg.Seed%2 == 0 { // whoever is told by no command hears of it by reports
					for _, k := range w.hosts(j) {
						w.sever(n.name, string(k.host), false, 70*time.Second)
						if w.cfg.Seed%6 == 4 {
							k.hang(time.Duration(2+w.rng.IntN(15)) * time.Second)
						}
					}
				}
			}
			w.serving(n, func() {
				w.confirm(n, 4)
				w.at(time.Duration(60+w.rng.IntN(240))*time.Millisecond, func() {
					w.store.downUntil = w.now.Add(long)
					w.logf("state service down for %v", long)
					for _, j := range list {
						if j.cancelTold > 0 {
							w.took("outage after a confirmation")
							w.flock(j, old)
						}
					}
					switch w.cfg.Seed % 5 {
					case 2:
						n.kill(300 * time.Millisecond)
					case 3:
						n.freeze(20 * time.Second)
					}
				})
			})
		})
	})
}

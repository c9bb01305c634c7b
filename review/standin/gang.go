package main

import "time"

// mates returns the pieces of an attempt of a gang, and their workers. The caller holds the world's mutex.
func (w *world) mates(key attemptKey) (list []*piece, at []*worker) {
	for _, k := range w.all {
		if k.removed {
			continue
		}
		for other, p := range k.pieces {
			if other.job == key.job && other.try == key.try {
				list, at = append(list, p), append(at, k)
			}
		}
	}
	return list, at
}

// advanceGang lets time pass for a gang's task that waits for the others or runs.
func (k *worker) advanceGang(p *piece, now time.Time) {
	j := k.w.jobs[p.key.job]
	mates, at := k.w.mates(p.key)
	if p.status == "gathering" {
		ready := 0
		for i, m := range mates {
			if m.status == "gathering" && !at[i].hung() {
				ready++
			}
		}
		if ready == j.spec.Pieces {
			for i, m := range mates {
				m.status, m.finishAt = "running", now.Add(j.run)
				if len(j.doneTasks) > 0 {
					m.finishAt = now
				}
				at[i].changed()
			}
		} else if now.Sub(p.gatherAt) > secs(k.w.opt.gangWait) {
			k.end(p, "incomplete", "")
		}
		return
	}
	alive, told := 0, false
	for i, m := range mates {
		if (m.status == "running" || m.status == "flushing") && !at[i].hung() {
			alive++
		}
		told = told || m.status == "flushing"
	}
	if alive < j.spec.Pieces || told {
		if p.lostAt.IsZero() {
			p.lostAt = now
		}
		if now.Sub(p.lostAt) > secs(0.8*k.w.opt.gangPeer) {
			k.end(p, "mates_gone", "")
		}
		return
	}
	p.lostAt = time.Time{}
	if now.After(p.finishAt) {
		for i, m := range mates {
			at[i].end(m, "done", "")
			k.w.done(m.key)
		}
	}
}

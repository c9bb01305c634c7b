package standin

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// idleBeside checks that no job waits beside room for it, once all troubles are over.
func (w *World) idleBeside() {
	calm := ident.MonotonicTime(w.cfg.Length + faultsEnd)
	w.at(5*time.Second, w.idleBeside)
	if w.now < calm {
		return
	}
	for _, id := range w.order {
		j := w.jobs[id]
		if j.beside > 0 && w.now.Sub(j.beside) > besideWithin {
			w.broken("%s waits for %v beside room for it", id, w.now.Sub(j.beside))
			return
		}
		switch {
		case !j.accepted || j.cancelSent > 0 || finalStatus(j.told) || j.spec.Shape == api.Gang || !w.roomFor(j):
			j.beside = 0
		case j.beside == 0:
			j.beside = w.now
		}
	}
}

// besideWithin is how long a job may wait then.
const besideWithin = 90 * time.Second

// roomFor says whether a task of a job waits and could start.
func (w *World) roomFor(j *userJob) bool {
	if j.mistaken {
		return false // it could, and would fail
	}
	s := &j.spec
	on := map[int]bool{}
	cpus, sites := 0.0, map[string]int{}
	for _, k := range w.workers {
		for p, tries := range k.pieces {
			for _, q := range tries {
				if q.status == api.Ended {
					continue
				}
				t := w.jobs[p.Job]
				if t.spec.Team == s.Team {
					cpus += t.spec.VCPUs
				}
				if p.Job == s.ID {
					on[p.Index] = true
					sites[k.m.site]++
				}
			}
		}
	}
	waits := false
	for i, d := range j.done {
		waits = waits || !d && !on[i]
	}
	if !waits {
		return false
	}
	for _, t := range w.set.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && cpus+s.VCPUs > t.CPUsMax {
			return false
		}
	}
	for _, k := range w.workers {
		site := k.m.site
		if k.faulty || k.doomed > 0 || w.now < k.hung || s.Zone != nil && *s.Zone != site || k.m.standby && !s.Spot ||
			s.Spread && sites[site]+1 > (s.Tasks+1)/2 {
			continue
		}
		elsewhere := false
		for z, n := range sites {
			elsewhere = elsewhere || z != site && n > 0
		}
		if w.cloud.models[0].VCPUs-k.taken() >= s.VCPUs && !(s.OneZone && elsewhere) {
			return true
		}
	}
	return false
}

// largest lists the jobs of each class that are its largest, by CPUs in all.
func (w *World) largest() (out []*userJob) {
	most := map[string]float64{}
	size := func(j *userJob) float64 { return float64(j.spec.Tasks) * j.spec.VCPUs }
	for _, j := range w.jobs {
		most[j.spec.Class] = max(most[j.spec.Class], size(j))
	}
	for _, id := range w.order {
		if j := w.jobs[id]; j.accepted && size(j) == most[j.spec.Class] {
			out = append(out, j)
		}
	}
	return out
}

// served checks that at least half of each class, of each team and of the largest jobs
// were served, and that those began in time.
func (w *World) served() {
	type share struct{ all, ok int }
	by := map[string]*share{}
	count := func(what string, ok bool) {
		s := by[what]
		if s == nil {
			s = &share{}
			by[what] = s
		}
		s.all++
		if ok {
			s.ok++
		}
	}
	good := func(j *userJob) bool { return j.told == "done" || j.spec.Shape == api.Service && j.begunAt > 0 }
	for _, id := range w.order {
		if j := w.jobs[id]; j.accepted && j.cancelSent == 0 {
			count("class "+j.spec.Class, good(j))
			count("team "+j.spec.Team, good(j))
		}
	}
	for _, j := range w.largest() {
		if j.cancelSent > 0 {
			continue
		}
		count("largest of "+j.spec.Class, good(j))
		if j.begunAt == 0 || j.begunAt.Sub(j.sentAt) > beginWithin {
			w.undone("%s, the largest of %s, did not begin within %v", j.spec.ID, j.spec.Class, beginWithin)
		}
	}
	for what, s := range by {
		if 2*s.ok < s.all {
			w.undone("%s: %d of %d served", what, s.ok, s.all)
		}
	}
}

const calm = 260 * time.Second

// finish checks that nothing was left undone.
func (w *World) finish() {
	if !w.cfg.Crowd {
		w.served() // more is asked for there than there is room for
	}
	for _, id := range w.order {
		j := w.jobs[id]
		switch {
		case !j.accepted:
		case j.told == "cancelled" || j.told == "done":
		case j.cancelSent > 0:
			w.undone("%s: its cancellation was never confirmed", id)
		case j.spec.Shape != api.Service:
			w.undone("%s: never done, last told %q", id, j.told)
		default:
			n := 0
			for _, k := range w.workers {
				n += k.count(id)
			}
			if n != j.spec.Tasks {
				w.undone("%s: %d of %d replicas run", id, n, j.spec.Tasks)
			}
		}
	}
}

func (w *World) undone(format string, a ...any) {
	w.Undone = append(w.Undone, fmt.Sprintf(format, a...))
}

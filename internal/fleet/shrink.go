package fleet

import (
	"log/slog"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// shrink empties and returns machines that neither the waiting work nor the
// headroom needs. A machine is seldom idle by itself: tasks come and go on it,
// and replicas stay. So the one that is easiest to empty is cordoned: its tasks
// end, its replicas move, and nothing new is placed there.
func (m *Manager) shrink(l *layout, services, ordinary map[string]float64, arrays float64, now ident.MonotonicTime) {
	m.moves = maxMoves
	x := &shrinking{arrays: arrays, services: total(services), ordinary: ordinary, free: l.zones()}
	candidates, smallest, leaving := m.candidates(now)
	// What boots can't take the place of what is returned.
	booting := 0.0
	for p, v := range l.later {
		booting += v
		if !p.standby {
			x.free[p.site] -= v
		}
	}
	x.spare = round(l.spare() - leaving - booting)
	if x.spare-smallest < x.services+arrays {
		m.excess = 0
		return
	}
	sort.SliceStable(candidates, func(i, k int) bool { return dearer(candidates[i], candidates[k]) })
	excess := false
	for _, w := range candidates {
		if !x.needless(w) {
			continue
		}
		excess = true
		if m.excess == 0 {
			m.excess = now
		}
		if now.Sub(m.excess) < m.cfg.Tuning.ScaleInDelay {
			return
		}
		x.remove(w)
		slog.Info("cordoning machine", "host", string(w.ID), "tasks", len(w.Tasks), "replicas_cpus", w.ServiceVCPUs)
		w.Cordoned = true
		m.empty(w, now)
	}
	if !excess {
		m.excess = 0
	}
}

// candidates lists the machines that may be cordoned, with the CPUs of the smallest, and goes on
// emptying those that are; leaving is what work there will need elsewhere.
func (m *Manager) candidates(now ident.MonotonicTime) (list []*workers.Worker, smallest, leaving float64) {
	for _, w := range m.machine.Sorted() {
		if w.State != workers.Up || w.Type == nil || w.ReclaimAt > 0 || w.QuarantinedUntil > now || w.Slow {
			continue
		}
		if w.Cordoned {
			leaving += w.VCPUs
			m.empty(w, now)
			continue
		}
		list = append(list, w)
		if smallest == 0 || w.Type.VCPUs < smallest {
			smallest = w.Type.VCPUs
		}
	}
	return list, smallest, leaving
}

// dearer orders machines by what is saved by returning them, then by how easily they are
// emptied.
func dearer(a, b *workers.Worker) bool {
	if x, y := price(a), price(b); x != y {
		return x > y
	}
	if a.ServiceVCPUs != b.ServiceVCPUs {
		return a.ServiceVCPUs < b.ServiceVCPUs
	}
	return a.VCPUs < b.VCPUs
}

// shrinking is what is free while machines are cordoned, in CPUs, and what of it must be kept.
type shrinking struct {
	spare    float64            // on all machines
	free     map[string]float64 // on ordinary machines, by zone
	services float64            // to be kept on all machines for services
	arrays   float64            // and for arrays
	ordinary map[string]float64 // to be kept on ordinary machines, by zone
}

// needless says whether enough is left without a machine. Its replicas move, and its arrays end
// where they are; but while work goes on as it does, others come in their place. (Counting only
// what was free on it cordoned most of a fleet within a second of the end of a peak, and rented
// it again.)
func (x *shrinking) needless(w *workers.Worker) bool {
	keep := x.arrays
	if w.Spot {
		keep *= spotKeep
	}
	if x.spare-w.Type.VCPUs < x.services+keep {
		return false
	}
	return w.Spot || x.free[w.Zone]-w.Type.VCPUs >= x.ordinary[w.Zone]
}

// remove takes a machine out of what is free.
func (x *shrinking) remove(w *workers.Worker) {
	x.spare -= w.Type.VCPUs
	if !w.Spot {
		x.free[w.Zone] -= w.Type.VCPUs
	}
}

// spotKeep is how many times the room for arrays is kept before a spot machine is
// returned: idle they cost little, and a boot is paid for as well.
const spotKeep = 1.7

// price is what a machine costs at present.
func price(w *workers.Worker) float64 {
	if w.Spot {
		return w.Type.SpotPrice
	}
	return w.Type.HourlyPrice
}

// maxMoves bounds the replicas that a tick looks for another place for.
const maxMoves = 20

// settled is how long a start must last to count for the aims.
const settled = 35 * time.Second

// empty moves the replicas off a cordoned machine, once its arrays have ended,
// and returns it when nothing is left.
func (m *Manager) empty(w *workers.Worker, now ident.MonotonicTime) {
	if w.State != workers.Up {
		return
	}
	if len(w.Tasks) == 0 {
		m.Return(w, "not needed")
		return
	}
	for _, t := range m.machine.SortedTasks(w) {
		if t.Job.Spec.Shape != api.Service {
			return
		}
		if t.State != jobs.Assigned || t.RunningSince == 0 || now.Sub(t.RunningSince) < settled {
			return
		}
	}
	// One replica each time, and only while there is room for it where its image
	// is: it is gone for no longer than a command and a transaction take.
	for _, t := range m.machine.SortedTasks(w) {
		if m.moves--; m.moves < 0 {
			return
		}
		if m.cfg.Movable(t, w) {
			slog.Info("moving replica", "task", t.TaskID().String(), "host", string(w.ID))
			m.machine.StopTask(w, t, 0)
			return
		}
	}
}

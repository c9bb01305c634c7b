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

// scaleIn empties and returns machines that neither the waiting work nor the
// headroom needs. A machine is seldom idle by itself: tasks come and go on it,
// and replicas stay. So the one that is easiest to empty is cordoned: its tasks
// end, its replicas move, and nothing new is placed there.
func (m *Manager) scaleIn(capacity *capacityModel, services, onDemand map[string]float64, batch float64, now ident.MonotonicTime) {
	m.movesLeft = maxMovesPerTick
	budget := &scaleInBudget{batchHeadroom: batch, serviceHeadroom: total(services), onDemandHeadroom: onDemand, freeOnDemand: capacity.onDemandByZone()}
	candidates, smallest, displaced := m.scaleInCandidates(now)
	// What boots can't take the place of what is returned.
	booting := 0.0
	for p, v := range capacity.bootingVCPUs {
		booting += v
		if !p.spot {
			budget.freeOnDemand[p.zone] -= v
		}
	}
	budget.freeTotal = round(capacity.totalFree() - displaced - booting)
	if budget.freeTotal-smallest < budget.serviceHeadroom+batch {
		m.excessSince = 0
		return
	}
	sort.SliceStable(candidates, func(i, k int) bool { return costsMore(candidates[i], candidates[k]) })
	surplus := false
	for _, w := range candidates {
		if !budget.surplus(w) {
			continue
		}
		surplus = true
		if m.excessSince == 0 {
			m.excessSince = now
		}
		if now.Sub(m.excessSince) < m.cfg.Tuning.ScaleInDelay {
			return
		}
		budget.subtract(w)
		slog.Info("cordoning machine", "host", string(w.ID), "tasks", len(w.Tasks), "replicas_cpus", w.ServiceVCPUs)
		w.Cordoned = true
		m.drainCordoned(w, now)
	}
	if !surplus {
		m.excessSince = 0
	}
}

// scaleInCandidates lists the machines that may be cordoned, with the CPUs of the smallest, and goes on
// emptying those that are; leaving is what work there will need elsewhere.
func (m *Manager) scaleInCandidates(now ident.MonotonicTime) (list []*workers.Worker, smallest, displaced float64) {
	for _, w := range m.machines.Sorted() {
		if w.State != workers.Up || w.Type == nil || w.ReclaimAt > 0 || w.QuarantinedUntil > now || w.Slow {
			continue
		}
		if w.Cordoned {
			displaced += w.VCPUs
			m.drainCordoned(w, now)
			continue
		}
		list = append(list, w)
		if smallest == 0 || w.Type.VCPUs < smallest {
			smallest = w.Type.VCPUs
		}
	}
	return list, smallest, displaced
}

// costsMore orders machines by what is saved by returning them, then by how easily they are
// emptied.
func costsMore(a, b *workers.Worker) bool {
	if x, y := hourlyPrice(a), hourlyPrice(b); x != y {
		return x > y
	}
	if a.ServiceVCPUs != b.ServiceVCPUs {
		return a.ServiceVCPUs < b.ServiceVCPUs
	}
	return a.VCPUs < b.VCPUs
}

// scaleInBudget is what is free while machines are cordoned, in CPUs, and what of it must be kept.
type scaleInBudget struct {
	freeTotal        float64            // on all machines
	freeOnDemand     map[string]float64 // on ordinary machines, by zone
	serviceHeadroom  float64            // to be kept on all machines for services
	batchHeadroom    float64            // and for arrays
	onDemandHeadroom map[string]float64 // to be kept on ordinary machines, by zone
}

// surplus says whether enough is left without a machine. Its replicas move, and its arrays end
// where they are; but while work goes on as it does, others come in their place. (Counting only
// what was free on it cordoned most of a fleet within a second of the end of a peak, and rented
// it again.)
func (x *scaleInBudget) surplus(w *workers.Worker) bool {
	keep := x.batchHeadroom
	if w.Spot {
		keep *= spotHeadroomFactor
	}
	if x.freeTotal-w.Type.VCPUs < x.serviceHeadroom+keep {
		return false
	}
	return w.Spot || x.freeOnDemand[w.Zone]-w.Type.VCPUs >= x.onDemandHeadroom[w.Zone]
}

// subtract takes a machine out of what is free.
func (x *scaleInBudget) subtract(w *workers.Worker) {
	x.freeTotal -= w.Type.VCPUs
	if !w.Spot {
		x.freeOnDemand[w.Zone] -= w.Type.VCPUs
	}
}

// spotHeadroomFactor is how many times the room for arrays is kept before a spot machine is
// returned: idle they cost little, and a boot is paid for as well.
const spotHeadroomFactor = 1.7

// hourlyPrice is what a machine costs at present.
func hourlyPrice(w *workers.Worker) float64 {
	if w.Spot {
		return w.Type.SpotPrice
	}
	return w.Type.HourlyPrice
}

// maxMovesPerTick bounds the replicas that a tick looks for another place for.
const maxMovesPerTick = 20

// minReplicaUptime is how long a start must last to count for the aims.
const minReplicaUptime = 35 * time.Second

// drainCordoned moves the replicas off a cordoned machine, once its arrays have ended,
// and returns it when nothing is left.
func (m *Manager) drainCordoned(w *workers.Worker, now ident.MonotonicTime) {
	if w.State != workers.Up {
		return
	}
	if len(w.Tasks) == 0 {
		m.Terminate(w, workers.ReasonNotNeeded)
		return
	}
	for _, t := range m.machines.SortedTasks(w) {
		if t.Job.Spec.Shape != api.Service {
			return
		}
		if t.State != jobs.Assigned || t.RunningSince == 0 || now.Sub(t.RunningSince) < minReplicaUptime {
			return
		}
	}
	// One replica each time, and only while there is room for it where its image
	// is: it is gone for no longer than a command and a transaction take.
	for _, t := range m.machines.SortedTasks(w) {
		if m.movesLeft--; m.movesLeft < 0 {
			return
		}
		if m.cfg.Movable(t, w) {
			slog.Info("moving replica", "task", t.TaskID().String(), "host", string(w.ID))
			m.machines.StopTask(w, t, 0)
			return
		}
	}
}

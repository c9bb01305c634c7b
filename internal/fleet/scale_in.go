package fleet

import (
	"log/slog"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// spotHeadroomFactor is how many times the headroom of batch jobs is kept before a spot machine
	// is terminated: idle ones cost little, and a boot is paid for as well.
	spotHeadroomFactor = 1.7
	// maxMovesPerTick bounds the replicas for which a tick looks for another machine.
	maxMovesPerTick = 20
	// minReplicaUptime is how long a replica must run for its start to count for the objectives.
	minReplicaUptime = 35 * time.Second
)

// scaleIn empties and terminates machines that neither the waiting work nor the headroom needs.
//
// A machine is seldom idle by itself, since tasks start and end on it all the time and replicas
// stay. So the one that is easiest to empty is cordoned: its tasks end, its replicas move, and
// nothing more is placed on it.
func (r *scalingRun) scaleIn(h *headroom) {
	candidates, cordoned := r.scaleInCandidates()
	budget := r.newScaleInBudget(h, cordoned)
	for _, w := range cordoned {
		r.drainCordoned(w)
	}
	if !budget.hasExcess(candidates) {
		r.excessSince = 0
		return
	}
	sort.SliceStable(candidates, func(i, k int) bool { return cordonsBefore(candidates[i], candidates[k]) })
	r.cordonExcess(candidates, budget)
}

// cordonExcess cordons the machines that the budget spares, once it has done so for long enough.
func (r *scalingRun) cordonExcess(candidates []*workers.Worker, budget *scaleInBudget) {
	excess := false
	for _, w := range candidates {
		if !budget.spares(w) {
			continue
		}
		excess = true
		if r.excessSince == 0 {
			r.excessSince = r.now
		}
		if r.now.Sub(r.excessSince) < r.cfg.Tuning.ScaleInDelay {
			return
		}
		budget.subtract(w)
		slog.Info("cordoning machine", "machine", w.ID, "tasks", len(w.Tasks), "replica_vcpus", w.ServiceVCPUs)
		w.Cordoned = true
		r.drainCordoned(w)
	}
	if !excess {
		r.excessSince = 0
	}
}

// scaleInCandidates lists the machines that may be cordoned, and those that are.
func (r *scalingRun) scaleInCandidates() (candidates, cordoned []*workers.Worker) {
	for _, w := range r.machines.Sorted() {
		if w.State != workers.Up || w.Type == nil || w.ReclaimAt > 0 || w.QuarantinedUntil > r.now || w.Slow {
			continue
		}
		if w.Cordoned {
			cordoned = append(cordoned, w)
		} else {
			candidates = append(candidates, w)
		}
	}
	return candidates, cordoned
}

// cordonsBefore orders machines by what is saved by terminating them, then by how easily they are
// emptied.
func cordonsBefore(a, b *workers.Worker) bool {
	if x, y := hourlyPrice(a.Type, a.Spot), hourlyPrice(b.Type, b.Spot); x != y {
		return x > y
	}
	if a.ServiceVCPUs != b.ServiceVCPUs {
		return a.ServiceVCPUs < b.ServiceVCPUs
	}
	return a.VCPUs < b.VCPUs
}

// scaleInBudget is the capacity that is free while machines are cordoned, in CPUs, and the headroom
// that must be kept of it.
type scaleInBudget struct {
	freeTotal       float64            // of all machines
	freeOnDemand    map[string]float64 // of on-demand machines, by zone
	headroom        *headroom
	serviceHeadroom float64 // of all zones
}

// newScaleInBudget returns the budget of a run. What the tasks of cordoned machines will need elsewhere
// is not free, nor is capacity that still boots: it can't take the place of what is terminated.
func (r *scalingRun) newScaleInBudget(h *headroom, cordoned []*workers.Worker) *scaleInBudget {
	b := &scaleInBudget{
		freeOnDemand:    r.capacity.onDemandByZone(),
		headroom:        h,
		serviceHeadroom: h.servicesTotal(),
	}
	displaced := 0.0
	for _, w := range cordoned {
		displaced += w.VCPUs
	}
	booting := 0.0
	for p, cpus := range r.capacity.bootingVCPUs {
		booting += cpus
		if !p.spot {
			b.freeOnDemand[p.zone] -= cpus
		}
	}
	b.freeTotal = roundAmount(r.capacity.totalFree() - displaced - booting)
	return b
}

// hasExcess says whether the headroom would be kept without the smallest of the candidates.
func (b *scaleInBudget) hasExcess(candidates []*workers.Worker) bool {
	smallest := 0.0
	for _, w := range candidates {
		if smallest == 0 || w.Type.VCPUs < smallest {
			smallest = w.Type.VCPUs
		}
	}
	return b.freeTotal-smallest >= b.serviceHeadroom+b.headroom.batch
}

// spares says whether the headroom would be kept without a machine. All of its CPUs count, not only
// those that are free: its replicas move, and its batch tasks end, but while work goes on as it
// does, others start in their place.
func (b *scaleInBudget) spares(w *workers.Worker) bool {
	batch := b.headroom.batch
	if w.Spot {
		batch *= spotHeadroomFactor
	}
	if b.freeTotal-w.Type.VCPUs < b.serviceHeadroom+batch {
		return false
	}
	return w.Spot || b.freeOnDemand[w.Zone]-w.Type.VCPUs >= b.headroom.onDemand[w.Zone]
}

// subtract takes a machine out of what is free.
func (b *scaleInBudget) subtract(w *workers.Worker) {
	b.freeTotal -= w.Type.VCPUs
	if !w.Spot {
		b.freeOnDemand[w.Zone] -= w.Type.VCPUs
	}
}

// drainCordoned moves the replicas off a cordoned machine, once its batch tasks have ended, and
// terminates it when nothing is left.
func (r *scalingRun) drainCordoned(w *workers.Worker) {
	if w.State != workers.Up {
		return
	}
	if len(w.Tasks) == 0 {
		r.terminator.terminate(w, workers.ReasonNotNeeded)
		return
	}
	tasks := r.machines.SortedTasks(w)
	for _, t := range tasks {
		if !r.isSettledReplica(t) {
			return
		}
	}
	// One replica in each tick, and only while there is room for it where its image is: it is down
	// for no longer than a command and a transaction take.
	for _, t := range tasks {
		r.movesLeft--
		if r.movesLeft < 0 {
			return
		}
		if r.cfg.Movable(t, w) {
			slog.Info("moving replica off cordoned machine", "task", t.TaskID(), "machine", w.ID)
			r.machines.StopTask(w, t, 0)
			return
		}
	}
}

// isSettledReplica says whether a task is a replica that has run for long enough to be moved.
func (r *scalingRun) isSettledReplica(t *jobs.Task) bool {
	return t.Job.Spec.Shape == api.Service && t.State == jobs.Assigned &&
		t.RunningSince != 0 && r.now.Sub(t.RunningSince) >= minReplicaUptime
}

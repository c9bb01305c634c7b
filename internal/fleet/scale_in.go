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
	// spotHeadroomFactor multiplies the headroom of batch jobs that must be left before a spot
	// machine is terminated: idle ones cost little, and the time of a boot is billed as well.
	spotHeadroomFactor = 1.7
	// maxMovesPerTick bounds the replicas for which a tick searches a destination.
	maxMovesPerTick = 20
	// minReplicaUptime is how long a replica must have run before it is moved, so that its start
	// counts for the objectives.
	minReplicaUptime = 35 * time.Second
)

// scaleIn empties and terminates machines that neither the waiting work nor the headroom needs.
//
// Machines are seldom idle, since tasks start on them all the time and replicas stay. So the one that
// is easiest to empty is cordoned: nothing more is placed on it, its batch tasks end, and its
// replicas are moved.
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

// cordonExcess cordons the machines that the budget can spare, once there has been excess capacity
// for Tuning.ScaleInDelay.
func (r *scalingRun) cordonExcess(candidates []*workers.Worker, budget *scaleInBudget) {
	excess := false
	for _, w := range candidates {
		if !budget.canSpare(w) {
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

// scaleInCandidates lists the machines that may be cordoned, and those that are cordoned already.
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

// cordonsBefore reports whether a machine is cordoned before another: the more expensive one first,
// then the one with fewer CPUs used by replicas, then the one with fewer in use.
func cordonsBefore(a, b *workers.Worker) bool {
	if x, y := hourlyPrice(a.Type, a.Spot), hourlyPrice(b.Type, b.Spot); x != y {
		return x > y
	}
	if a.ServiceVCPUs != b.ServiceVCPUs {
		return a.ServiceVCPUs < b.ServiceVCPUs
	}
	return a.VCPUs < b.VCPUs
}

// scaleInBudget is the capacity that remains free as machines are cordoned, in CPUs, and the headroom
// that must be left.
type scaleInBudget struct {
	freeTotal       float64            // of all machines
	freeOnDemand    map[string]float64 // of on-demand machines, by zone
	headroom        *headroom
	serviceHeadroom float64 // of all zones
}

// newScaleInBudget returns the budget of a run. Capacity that the tasks of cordoned machines need
// elsewhere doesn't count as free, nor does booting capacity, which can't replace a machine yet.
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

// hasExcess reports whether the headroom would be left without the smallest of the candidates.
func (b *scaleInBudget) hasExcess(candidates []*workers.Worker) bool {
	smallest := 0.0
	for _, w := range candidates {
		if smallest == 0 || w.Type.VCPUs < smallest {
			smallest = w.Type.VCPUs
		}
	}
	return b.freeTotal-smallest >= b.serviceHeadroom+b.headroom.batch
}

// canSpare reports whether the headroom would be left without a machine. All of its CPUs count, not
// only the free ones: its replicas need room elsewhere, and so do the batch tasks that would have
// followed those that end.
func (b *scaleInBudget) canSpare(w *workers.Worker) bool {
	batch := b.headroom.batch
	if w.Spot {
		batch *= spotHeadroomFactor
	}
	if b.freeTotal-w.Type.VCPUs < b.serviceHeadroom+batch {
		return false
	}
	return w.Spot || b.freeOnDemand[w.Zone]-w.Type.VCPUs >= b.headroom.onDemand[w.Zone]
}

// subtract removes the capacity of a machine from the budget.
func (b *scaleInBudget) subtract(w *workers.Worker) {
	b.freeTotal -= w.Type.VCPUs
	if !w.Spot {
		b.freeOnDemand[w.Zone] -= w.Type.VCPUs
	}
}

// drainCordoned moves the replicas off a cordoned machine once its batch tasks have ended, and
// terminates it when it is empty.
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
	// One replica in each tick, and only if a machine that holds its image has room: its downtime is
	// then that of a command and a transaction.
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

// isSettledReplica reports whether a task is a replica that has run for long enough to be moved.
func (r *scalingRun) isSettledReplica(t *jobs.Task) bool {
	return t.Job.Spec.Shape == api.Service && t.State == jobs.Assigned &&
		t.RunningSince != 0 && r.now.Sub(t.RunningSince) >= minReplicaUptime
}

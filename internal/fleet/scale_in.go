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
	// spotHeadroomFactor multiplies the batch headroom that must remain when a spot machine is
	// terminated. Idle spot machines cost little, and the boot time of a replacement is billed as well.
	spotHeadroomFactor = 1.7
	// maxMovesPerTick bounds the number of replicas for which a tick searches a destination.
	maxMovesPerTick = 20
	// minReplicaUptime is how long a replica must have run before it may be moved, so that its start
	// counts towards the service-level objectives.
	minReplicaUptime = 35 * time.Second
)

// scaleIn drains and terminates machines that are needed neither for waiting jobs nor as headroom.
//
// Machines rarely become idle on their own, since new tasks start on them all the time and replicas keep
// running. Therefore the machines that are easiest to drain are cordoned: no further tasks are placed on
// them, their batch tasks run to completion, and their replicas are moved.
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

// cordonExcess cordons the machines that the budget can spare, if there has been excess capacity for at
// least Tuning.ScaleInDelay.
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

// scaleInCandidates lists the machines that may be cordoned, and those that already are.
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

// cordonsBefore reports whether machine a is cordoned before machine b. The more expensive one comes
// first, then the one with fewer CPUs used by replicas, then the one with fewer CPUs used in total.
func cordonsBefore(a, b *workers.Worker) bool {
	if x, y := hourlyPrice(a.Type, a.Spot), hourlyPrice(b.Type, b.Spot); x != y {
		return x > y
	}
	if a.ServiceVCPUs != b.ServiceVCPUs {
		return a.ServiceVCPUs < b.ServiceVCPUs
	}
	return a.VCPUs < b.VCPUs
}

// scaleInBudget holds the capacity that remains free as machines are cordoned, and the headroom that must
// remain, both in CPUs.
type scaleInBudget struct {
	freeTotal       float64            // free on all machines
	freeOnDemand    map[string]float64 // free or used by batch jobs on on-demand machines, by zone
	headroom        *headroom
	serviceHeadroom float64 // headroom for services in all zones
}

// newScaleInBudget returns the budget of a run. Capacity that the tasks of cordoned machines will need on
// other machines does not count as free. Neither does the capacity of booting machines, which can't
// replace a running machine yet.
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

// hasExcess reports whether the free capacity would still cover the headroom without the smallest
// candidate.
func (b *scaleInBudget) hasExcess(candidates []*workers.Worker) bool {
	smallest := 0.0
	for _, w := range candidates {
		if smallest == 0 || w.Type.VCPUs < smallest {
			smallest = w.Type.VCPUs
		}
	}
	return b.freeTotal-smallest >= b.serviceHeadroom+b.headroom.batch
}

// canSpare reports whether the free capacity would still cover the headroom without a machine. All of the
// machine's CPUs are subtracted, not only the free ones: its replicas need capacity elsewhere, and so
// do the batch tasks that would have replaced those that end.
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

// drainCordoned moves the replicas of a cordoned machine to other machines once its batch tasks have
// ended, and terminates the machine when it has no tasks left.
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
	// Each tick moves at most one replica of a machine, and only if another machine with free capacity
	// already holds its image. The downtime is then only that of a command and a transaction.
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

// isSettledReplica reports whether a task is a service replica that has run for at least
// minReplicaUptime, so that it may be moved.
func (r *scalingRun) isSettledReplica(t *jobs.Task) bool {
	return t.Job.Spec.Shape == api.Service && t.State == jobs.Assigned &&
		t.RunningSince != 0 && r.now.Sub(t.RunningSince) >= minReplicaUptime
}

package placement

import (
	"container/heap"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// A search collects at most maxPreemptions candidates, plus preemptionsPerTask for each waiting task
	// of the job. The cheapest of that many costs little more than the cheapest in the cluster.
	maxPreemptions     = 100
	preemptionsPerTask = 2
	// pullCostFactor is the cost of an image pull relative to the same time of work lost by preemption.
	pullCostFactor = 2
	// reclaimAfter is how long guaranteed work waits before borrowers are preempted for it. This gives
	// short running tasks time to complete, and is short compared to objectives of a few seconds.
	reclaimAfter = 500 * time.Millisecond
)

// victimSearchKey identifies a search for victims in a dispatch. Equal searches share their result.
type victimSearchKey struct {
	job          *jobs.Job
	holdersOnly  bool // search only the holders of the image
	includeGangs bool // allow the preemption of gangs
}

// preemptionHeap implements heap.Interface for preemptions, ordered by cost.
type preemptionHeap []*preemption

func (h preemptionHeap) Len() int           { return len(h) }
func (h preemptionHeap) Less(i, k int) bool { return h[i].cost < h[k].cost }
func (h preemptionHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *preemptionHeap) Push(x any)        { *h = append(*h, x.(*preemption)) }
func (h *preemptionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// preemptOnHolder preempts work for a task on a holder of its image. See preempt.
func (d *dispatch) preemptOnHolder(t *jobs.Task) bool {
	return d.preempt(t, victimSearchKey{job: t.Job, holdersOnly: true})
}

// preemptAnywhere preempts work for a task on any machine. Gangs are preempted only if the task has
// waited longer than Config.GangWait. See preempt.
func (d *dispatch) preemptAnywhere(t *jobs.Task) bool {
	waitedLong := d.now().Sub(t.StateSince) > d.config.GangWait
	return d.preempt(t, victimSearchKey{job: t.Job, includeGangs: waitedLong})
}

// preempt stops the victims of the cheapest preemption for a task and places the task on their machine.
// If a victim writes a checkpoint first, it delays the placement by preemptionRetry instead. It returns
// false if there is no preemption for the task.
func (d *dispatch) preempt(t *jobs.Task, key victimSearchKey) bool {
	if !d.hasVictims(t.Job) {
		return false
	}
	now := d.now()
	best := d.cheapestPreemption(key, now)
	if best == nil {
		return false
	}
	for _, victim := range best.victims {
		d.preemptVictim(victim, best.worker, now)
	}
	if best.needsCheckpoint() {
		t.RetryAt = now.Add(preemptionRetry)
	} else {
		d.place(t, best.worker)
	}
	// The same machine may have more victims for the job's next task.
	if again := d.preemptionOn(key, best.worker, now); again != nil {
		heap.Push(d.victimSearches[key], again)
	}
	return true
}

// preemptVictim stops a task, or all tasks of its gang.
func (p *Planner) preemptVictim(victim *jobs.Task, w *workers.Worker, now ident.MonotonicTime) {
	if victim.State != jobs.Assigned {
		return // already stopped together with its gang
	}
	p.Stats.Preempted++
	victim.PreemptedAt = now
	if victim.Job.IsGang() {
		for _, t := range victim.Job.Tasks.All() {
			t.PreemptedAt = now
		}
		p.actions.StopGang(victim.Job)
		return
	}
	p.actions.Preempt(victim, w, victim.CheckpointGracePeriod())
}

// cheapestPreemption removes the cheapest preemption from the result of a search and returns it, or nil
// if there is none left. The tasks of a job share one search per dispatch: with a search for each task,
// the limit on searched machines would be reached after a few tasks of a large job.
func (d *dispatch) cheapestPreemption(key victimSearchKey, now ident.MonotonicTime) *preemption {
	found := d.victimSearches[key]
	if found == nil {
		if d.machinesSearched >= d.searchLimit() {
			return nil
		}
		found = d.searchVictims(key, now)
		d.victimSearches[key] = found
	}
	for found.Len() > 0 {
		old := heap.Pop(found).(*preemption)
		// Placements and preemptions since the search may have changed the victims or their cost.
		current := d.preemptionOn(key, old.worker, now)
		switch {
		case current == nil:
			// The machine no longer has enough victims.
		case current.cost > old.cost+tolerance && found.Len() > 0 && current.cost > (*found)[0].cost:
			heap.Push(found, current)
		default:
			return current
		}
	}
	return nil
}

// searchLimit returns the maximum number of machines that a dispatch searches for victims.
func (d *dispatch) searchLimit() int { return max(minVictimSearch, len(d.schedulableMachines)) }

// searchVictims searches for preemptions, up to the limit of the dispatch: first on the holders of the
// image, then on the other machines, starting where the previous search stopped.
func (d *dispatch) searchVictims(key victimSearchKey, now ident.MonotonicTime) *preemptionHeap {
	found := &preemptionHeap{}
	maxCandidates := maxPreemptions + preemptionsPerTask*key.job.WaitingCount()
	search := func(w *workers.Worker) bool {
		if d.machinesSearched >= d.searchLimit() || found.Len() >= maxCandidates {
			return false
		}
		if !d.worthSearching(key, w) {
			return true
		}
		d.machinesSearched++
		if candidate := d.preemptionOn(key, w, now); candidate != nil {
			*found = append(*found, candidate)
		}
		return true
	}
	for _, w := range d.holdersOf(key.job.Spec.Image) {
		if !search(w) {
			break
		}
	}
	if !key.holdersOnly {
		d.searchNonHolders(key.job.Spec.Image, search)
	}
	heap.Init(found)
	return found
}

// searchNonHolders calls search for each machine that doesn't have an image cached, until search
// returns false. The next search of the planner starts at that machine.
func (d *dispatch) searchNonHolders(image string, search func(*workers.Worker) bool) {
	for i := range d.schedulableMachines {
		at := (d.searchFrom + i) % len(d.schedulableMachines)
		w := d.schedulableMachines[at]
		if w.HasImage(image) {
			continue
		}
		if !search(w) {
			d.searchFrom = at
			return
		}
	}
}

// worthSearching reports whether a machine may have victims for a search, by quick checks only.
func (d *dispatch) worthSearching(key victimSearchKey, w *workers.Worker) bool {
	if !mayHaveVictims(w, key.job) {
		return false
	}
	if key.holdersOnly && !w.HasImage(key.job.Spec.Image) {
		return false
	}
	return d.eligible(key.job, w)
}

// preemptionOn returns the cheapest preemption on a machine for one task of a job, or nil if there is
// none. The cost includes the image pull if the machine doesn't have the image cached.
func (d *dispatch) preemptionOn(key victimSearchKey, w *workers.Worker, now ident.MonotonicTime) *preemption {
	if !d.worthSearching(key, w) {
		return nil
	}
	spec := key.job.Spec
	found := d.chooseVictims(w, victimRequest{
		job:          key.job,
		need:         jobs.ResourcesOf(spec),
		now:          now,
		skipRecent:   key.holdersOnly,
		includeGangs: key.includeGangs,
	})
	if found != nil && !w.HasImage(spec.Image) {
		found.cost += w.ImagePullTime(spec).Seconds() * pullCostFactor * max(spec.VCPUs, 1)
	}
	return found
}

// reclaimGuarantees preempts work for batch jobs within the guarantee of their team, and work of
// borrowers for all other batch jobs that don't belong to a borrower. See canPreempt for the rules.
func (d *dispatch) reclaimGuarantees() {
	now := d.now()
	clear(d.taskCursor)
	for _, j := range d.batchJobs {
		if !j.WithinGuarantee && (d.teams.IsBorrower(j.Spec.Team) || !d.teams.BorrowersActive()) {
			continue
		}
		for j.WaitingCount() > 0 && !d.full() && d.teams.Allows(j.Spec, 1) {
			t := d.nextTask(j)
			if t == nil || now.Sub(t.StateSince) < reclaimAfter || !d.preemptAnywhere(t) {
				break
			}
		}
	}
}

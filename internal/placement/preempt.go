package placement

import (
	"container/heap"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// A search collects at most maxPreemptions candidates for a job, and preemptionsPerTask more for
	// each of its waiting tasks. The cheapest of them costs little more than the cheapest of all.
	maxPreemptions     = 100
	preemptionsPerTask = 2
	// pullCostFactor weighs the time of an image pull against work lost by preemption.
	pullCostFactor = 2
	// reclaimAfter is how long guaranteed work waits before borrowers are preempted for it: long
	// enough for running tasks to complete, short against objectives of a few seconds.
	reclaimAfter = 500 * time.Millisecond
)

// victimSearchKey identifies a search for victims within a dispatch.
type victimSearchKey struct {
	job          *jobs.Job
	holdersOnly  bool // only on machines that hold the image
	includeGangs bool // whole gangs may be preempted as well
}

// preemptionHeap is a heap.Interface of preemptions, the cheapest first.
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

// preemptOnHolder makes room for a task on a machine that holds its image, as preempt does.
func (d *dispatch) preemptOnHolder(t *jobs.Task) bool {
	return d.preempt(t, victimSearchKey{job: t.Job, holdersOnly: true})
}

// preemptAnywhere makes room for a task on any machine, as preempt does. Gangs are preempted only
// once the task has waited for Config.GangWait.
func (d *dispatch) preemptAnywhere(t *jobs.Task) bool {
	waitedLong := d.now().Sub(t.StateSince) > d.config.GangWait
	return d.preempt(t, victimSearchKey{job: t.Job, includeGangs: waitedLong})
}

// preempt makes room for a task where the least work is lost, and places it there; if a victim
// writes a checkpoint first, the task waits for that. It returns false if no room can be made.
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

// preemptVictim stops a task, or the whole gang that it belongs to.
func (p *Planner) preemptVictim(victim *jobs.Task, w *workers.Worker, now ident.MonotonicTime) {
	if victim.State != jobs.Assigned {
		return // stopped along with its gang
	}
	p.Stats.Preempted++
	victim.PreemptedAt = now
	if victim.Job.IsGang() {
		for i := range victim.Job.Tasks {
			victim.Job.Tasks[i].PreemptedAt = now
		}
		p.actions.StopGang(victim.Job)
		return
	}
	p.actions.Preempt(victim, w, victim.CheckpointGracePeriod())
}

// cheapestPreemption removes the cheapest preemption from a search and returns it, nil if there is
// none left. The tasks of a job share one search in a dispatch: with a search for each task, the
// bound on the machines searched would be reached after few tasks of a large job.
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
		// Placements and preemptions since the search may have changed it.
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

// searchLimit returns how many machines a dispatch may search for victims.
func (d *dispatch) searchLimit() int { return max(minVictimSearch, len(d.openMachines)) }

// searchVictims searches machines for victims, up to the limit of the dispatch: those that hold the
// image, then the others, starting where the previous search ended.
func (d *dispatch) searchVictims(key victimSearchKey, now ident.MonotonicTime) *preemptionHeap {
	found := &preemptionHeap{}
	enough := maxPreemptions + preemptionsPerTask*key.job.WaitingCount()
	search := func(w *workers.Worker) bool {
		if d.machinesSearched >= d.searchLimit() || found.Len() >= enough {
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

// searchNonHolders calls search for the machines that don't hold an image until it returns false.
// The next search resumes there.
func (d *dispatch) searchNonHolders(image string, search func(*workers.Worker) bool) {
	for i := range d.openMachines {
		at := (d.searchFrom + i) % len(d.openMachines)
		w := d.openMachines[at]
		if w.HasImage(image) {
			continue
		}
		if !search(w) {
			d.searchFrom = at
			return
		}
	}
}

// worthSearching reports whether a machine may have victims for a search.
func (d *dispatch) worthSearching(key victimSearchKey, w *workers.Worker) bool {
	if !mayHaveVictims(w, key.job) {
		return false
	}
	if key.holdersOnly && !w.HasImage(key.job.Spec.Image) {
		return false
	}
	return d.eligible(key.job, w)
}

// preemptionOn finds the cheapest preemption on a machine for one task of a job, nil if there is
// none. An image pull adds to its cost.
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

// reclaimGuarantees preempts work for batch jobs within their team's guarantee, and work of
// borrowers for other batch jobs: borrowers are entitled to idle capacity only. See canPreempt.
func (d *dispatch) reclaimGuarantees() {
	now := d.now()
	clear(d.taskCursor)
	for _, j := range d.batchJobs {
		if !j.WithinQuota && (d.teams.IsBorrower(j.Spec.Team) || !d.teams.BorrowersActive()) {
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

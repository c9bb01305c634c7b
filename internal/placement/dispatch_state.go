package placement

import (
	"sort"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// prepareDispatch sorts the waiting jobs and the machines for this dispatch.
func (p *Planner) prepareDispatch() (services, gangs []*jobs.Job) {
	now := p.now()
	p.teams.UpdateGuarantees(p.jobs)
	byShape, need := p.queueByShape(now)
	sortServices(byShape[api.Service])
	sortByPrecedence(byShape[api.Batch])
	sortByPrecedence(byShape[api.Gang])
	p.indexBatchJobs(byShape[api.Batch])
	p.resetDispatch(now)
	if len(p.jobs.Waiting) == 0 {
		return nil, nil
	}
	p.indexMachines(need, now)
	return jobsOf(byShape[api.Service]), jobsOf(byShape[api.Gang])
}

// queueByShape lists the jobs that wait and may be placed now, and the least that any of their
// tasks needs.
func (p *Planner) queueByShape(now ident.MonotonicTime) (map[api.Shape][]queuedJob, jobs.Resources) {
	list := map[api.Shape][]queuedJob{}
	need := jobs.UnboundedResources()
	for j := range p.jobs.Waiting {
		if now < j.RetryAt {
			continue
		}
		need.LowerTo(j.Spec)
		shape := j.Spec.Shape
		if shape != api.Service && shape != api.Gang {
			shape = api.Batch
		}
		list[shape] = append(list[shape], queuedJob{job: j, borrower: p.teams.IsBorrower(j.Spec.Team), priority: j.Spec.Priority.Level(), urgency: p.urgency(j), work: remainingWork(j)})
	}
	return list, need
}

// sortServices brings services into the order of their right: by priority, but for those that
// are overdue.
func sortServices(list []queuedJob) {
	sort.Slice(list, func(i, k int) bool {
		a, b := &list[i], &list[k]
		if a.priority != b.priority && (a.urgency == overdue) == (b.urgency == overdue) {
			return a.priority < b.priority
		}
		return a.before(b)
	})
}

func sortByPrecedence(list []queuedJob) {
	sort.Slice(list, func(i, k int) bool { return list[i].before(&list[k]) })
}

func jobsOf(list []queuedJob) []*jobs.Job {
	var out []*jobs.Job
	for i := range list {
		out = append(out, list[i].job)
	}
	return out
}

// indexBatchJobs notes the arrays in the order of their right, and by image.
func (p *Planner) indexBatchJobs(list []queuedJob) {
	p.batchJobs = p.batchJobs[:0]
	p.byImage, p.firstByImage = map[string][]int{}, map[string]int{}
	p.firstBorrower = len(list)
	for i := range list {
		j := list[i].job
		if list[i].borrower {
			p.firstBorrower = min(p.firstBorrower, i)
		}
		p.batchJobs = append(p.batchJobs, j)
		p.byImage[j.Spec.Image] = append(p.byImage[j.Spec.Image], i)
	}
}

// resetDispatch forgets what is of one dispatch only, and what is kept for jobs that need it no more.
func (p *Planner) resetDispatch(now ident.MonotonicTime) {
	p.openMachines, p.machinesWithRoom, p.plans, p.uncachedJobs = p.openMachines[:0], p.machinesWithRoom[:0], nil, nil
	p.imageCached, p.holdersByImage = map[*jobs.Job]bool{}, nil
	p.freeOnDemand = map[string]float64{}
	p.taskCursor = map[*jobs.Job]int{}
	p.placed, p.machinesSearched = 0, 0
	p.victimSearches = map[victimSearchKey]*preemptionHeap{}
	p.quotaBlocked = map[string]*jobs.Job{}
	for w, j := range p.starvationReserved {
		if j.WaitingCount() == 0 || j.AllocatedTasks > 0 || !w.Schedulable(now) {
			delete(p.starvationReserved, w)
		}
	}
	p.expireReservations(now)
}

// indexMachines lists the open machines, and those where some waiting task fits.
func (p *Planner) indexMachines(need jobs.Resources, now ident.MonotonicTime) {
	for _, w := range p.machineTable.Sorted() {
		if !w.Schedulable(now) || w.Type == nil {
			continue
		}
		p.openMachines = append(p.openMachines, w)
		if w.HasRoom(need) {
			p.machinesWithRoom = append(p.machinesWithRoom, w)
		}
		if !w.Spot {
			p.freeOnDemand[w.Zone] += w.Free().VCPUs
		}
	}
}

// holdersOf returns the open machines that hold an image.
func (p *Planner) holdersOf(image string) []*workers.Worker {
	if p.holdersByImage == nil {
		p.holdersByImage = map[string][]*workers.Worker{}
		for _, w := range p.openMachines {
			for _, cached := range w.CachedImages() {
				p.holdersByImage[cached.Name] = append(p.holdersByImage[cached.Name], w)
			}
		}
	}
	return p.holdersByImage[image]
}

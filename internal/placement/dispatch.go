package placement

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// dispatch is the state of a single dispatch or planning round: the sorted waiting jobs and machines,
// and the placements made so far.
type dispatch struct {
	*Planner

	schedulableMachines  []*workers.Worker // schedulable machines, by name
	machinesWithCapacity []*workers.Worker // schedulable machines on which some waiting task may fit
	holdersByImage       map[string][]*workers.Worker

	services []*jobs.Job // by precedence
	gangs    []*jobs.Job // by precedence

	batchJobs        []*jobs.Job      // waiting batch jobs, by precedence
	firstBorrower    int              // index in batchJobs of the first job of a borrower
	activeRange      jobRange         // the batch jobs that are being placed
	batchJobsByImage map[string][]int // indexes in batchJobs
	imageCursor      map[string]int   // index in batchJobsByImage of the first job that may have waiting tasks
	uncachedJobs     []*jobs.Job      // jobs whose image no eligible machine has cached, oldest first
	imageCached      map[*jobs.Job]bool
	taskCursor       map[*jobs.Job]int // index of the first task that may still be placed
	plans            []*planQueue      // by number of waiting tasks, descending

	victimSearches   map[victimSearchKey]*preemptionHeap
	placed           int // tasks placed
	machinesSearched int // machines searched for victims
}

// newDispatch returns a dispatch with the waiting jobs and the machines sorted.
func (p *Planner) newDispatch() *dispatch {
	now := p.now()
	p.teams.UpdateGuarantees(p.jobs)
	p.freeOnDemand = map[string]float64{}
	p.reservations.expire(now, p.quotaAllows)
	d := &dispatch{
		Planner:              p,
		schedulableMachines:  p.storage.schedulableMachines[:0],
		machinesWithCapacity: p.storage.machinesWithCapacity[:0],
		batchJobs:            p.storage.batchJobs[:0],
		imageCached:          map[*jobs.Job]bool{},
		taskCursor:           map[*jobs.Job]int{},
		victimSearches:       map[victimSearchKey]*preemptionHeap{},
	}
	queues, need := p.queueByShape(now)
	sortServices(queues[api.Service])
	sortByPrecedence(queues[api.Batch])
	sortByPrecedence(queues[api.Gang])
	d.indexBatchJobs(queues[api.Batch])
	if len(p.jobs.Waiting) > 0 {
		d.services, d.gangs = jobsOf(queues[api.Service]), jobsOf(queues[api.Gang])
		d.indexMachines(need, now)
	}
	p.storage = dispatchStorage{
		schedulableMachines:  d.schedulableMachines,
		machinesWithCapacity: d.machinesWithCapacity,
		batchJobs:            d.batchJobs,
	}
	return d
}

// dispatchStorage holds the largest slices of a dispatch, so that the next dispatch can reuse their
// memory.
type dispatchStorage struct {
	schedulableMachines, machinesWithCapacity []*workers.Worker
	batchJobs                                 []*jobs.Job
}

// run places the tasks that can be placed now: services, then gangs, then batch tasks. It returns true
// if it stopped at maxPlacedPerDispatch.
func (d *dispatch) run() bool {
	for _, j := range d.services {
		if d.full() {
			return true
		}
		d.placeService(j)
	}
	for _, j := range d.gangs {
		if d.full() {
			return true
		}
		d.placeGang(j)
	}
	if len(d.batchJobs) == 0 {
		return false
	}
	d.placeFirstTasks()
	d.fillIdleMachines()
	if !d.full() && d.hasUnplannedTask() {
		// Tasks that are in no plan can't be stolen. An extra round adds them to the plan, so that machines
		// with free capacity can steal them from holders that have none.
		d.Stats.ExtraRounds++
		d.makePlan()
		d.fillIdleMachines()
	}
	d.reclaimGuarantees()
	return d.full()
}

// full reports whether the dispatch has placed maxPlacedPerDispatch tasks.
func (d *dispatch) full() bool { return d.placed >= maxPlacedPerDispatch }

// place assigns a task to a machine.
func (d *dispatch) place(t *jobs.Task, w *workers.Worker) {
	d.recordPlacement(t, w)
	d.actions.Place(t, w)
}

// recordPlacement updates the statistics, the headroom and the reservations for a placement.
func (d *dispatch) recordPlacement(t *jobs.Task, w *workers.Worker) {
	if !w.HasImage(t.Job.Spec.Image) && !w.HasTaskWithImage(t.Job.Spec.Image) {
		d.Stats.FetchedGB += t.Job.Spec.ImageGB
	}
	if !w.Spot {
		d.freeOnDemand[w.Zone] -= t.Job.Spec.VCPUs
	}
	d.reservations.consume(w, t.Job)
	d.placed++
}

// queueByShape returns the waiting jobs that may be placed now, by shape, and the smallest amount of
// each resource that one of their tasks requests.
func (p *Planner) queueByShape(now ident.MonotonicTime) (map[api.Shape][]queuedJob, jobs.Resources) {
	queues := map[api.Shape][]queuedJob{}
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
		queues[shape] = append(queues[shape], p.newQueuedJob(j))
	}
	return queues, need
}

// jobsOf returns the jobs of a list of queued jobs, in the same order.
func jobsOf(list []queuedJob) []*jobs.Job {
	var out []*jobs.Job
	for i := range list {
		out = append(out, list[i].job)
	}
	return out
}

// indexBatchJobs stores the batch jobs of a sorted list, and indexes them by image.
func (d *dispatch) indexBatchJobs(list []queuedJob) {
	d.batchJobsByImage, d.imageCursor = map[string][]int{}, map[string]int{}
	d.firstBorrower = len(list)
	for i := range list {
		j := list[i].job
		if list[i].borrower {
			d.firstBorrower = min(d.firstBorrower, i)
		}
		d.batchJobs = append(d.batchJobs, j)
		d.batchJobsByImage[j.Spec.Image] = append(d.batchJobsByImage[j.Spec.Image], i)
	}
}

// indexMachines lists the schedulable machines and those on which some waiting task may fit, and sums
// up the free CPUs of the on-demand machines by zone.
func (d *dispatch) indexMachines(need jobs.Resources, now ident.MonotonicTime) {
	for _, w := range d.machineTable.Sorted() {
		if !w.Schedulable(now) || w.Type == nil {
			continue
		}
		d.schedulableMachines = append(d.schedulableMachines, w)
		if w.HasCapacityFor(need) {
			d.machinesWithCapacity = append(d.machinesWithCapacity, w)
		}
		if !w.Spot {
			d.freeOnDemand[w.Zone] += w.Free().VCPUs
		}
	}
}

// holdersOf returns the schedulable machines that have an image cached.
func (d *dispatch) holdersOf(image string) []*workers.Worker {
	if d.holdersByImage == nil {
		d.holdersByImage = map[string][]*workers.Worker{}
		for _, w := range d.schedulableMachines {
			for _, cached := range w.CachedImages() {
				d.holdersByImage[cached.Name] = append(d.holdersByImage[cached.Name], w)
			}
		}
	}
	return d.holdersByImage[image]
}

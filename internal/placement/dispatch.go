package placement

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// dispatch is the state of one dispatch or round of a planner: the sorted waiting jobs and
// machines, and the progress so far.
type dispatch struct {
	*Planner

	openMachines     []*workers.Worker // schedulable machines, by name
	machinesWithRoom []*workers.Worker // those of them in which some waiting task fits
	holdersByImage   map[string][]*workers.Worker

	services []*jobs.Job // by precedence
	gangs    []*jobs.Job // by precedence

	batchJobs        []*jobs.Job      // batch jobs that wait, by precedence
	firstBorrower    int              // index in batchJobs of the first job of a team without a guarantee
	activeRange      jobRange         // the batch jobs that are being placed
	batchJobsByImage map[string][]int // indexes in batchJobs
	imageCursor      map[string]int   // index in batchJobsByImage of the first job that may have waiting tasks
	uncachedJobs     []*jobs.Job      // whose image no eligible machine holds, oldest first
	imageCached      map[*jobs.Job]bool
	taskCursor       map[*jobs.Job]int // index of the first task that may still be placed
	plans            []*planQueue      // fullest first

	quotaBlocked     map[string]*jobs.Job // by team: the starved job for which the team's quota is kept
	victimSearches   map[victimSearchKey]*preemptionHeap
	placed           int // tasks placed
	machinesSearched int // machines searched for victims
}

// newDispatch sorts the waiting jobs and the machines for a dispatch.
func (p *Planner) newDispatch() *dispatch {
	now := p.now()
	p.teams.UpdateGuarantees(p.jobs)
	p.freeOnDemand = map[string]float64{}
	p.reservations.expire(now)
	d := &dispatch{
		Planner:          p,
		openMachines:     p.storage.openMachines[:0],
		machinesWithRoom: p.storage.machinesWithRoom[:0],
		batchJobs:        p.storage.batchJobs[:0],
		imageCached:      map[*jobs.Job]bool{},
		taskCursor:       map[*jobs.Job]int{},
		quotaBlocked:     map[string]*jobs.Job{},
		victimSearches:   map[victimSearchKey]*preemptionHeap{},
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
		openMachines:     d.openMachines,
		machinesWithRoom: d.machinesWithRoom,
		batchJobs:        d.batchJobs,
	}
	return d
}

// dispatchStorage is the storage of the longest lists of a dispatch, which the next dispatch reuses.
type dispatchStorage struct {
	openMachines, machinesWithRoom []*workers.Worker
	batchJobs                      []*jobs.Job
}

// run places what can be placed now. It returns true if it stopped at maxPlacedPerDispatch.
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
	if !d.full() && d.hasStrandedTask() {
		// Tasks that are in no plan can't be stolen. An extra round plans them, so that machines with
		// room can steal them from holders that are full.
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

// recordPlacement accounts for a placement.
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

// blockQuota keeps a team's quota for a starved job, unless it is kept for another one already.
// No other batch job of the team is placed in this dispatch.
func (d *dispatch) blockQuota(j *jobs.Job) {
	if d.quotaBlocked[j.Spec.Team] == nil {
		d.quotaBlocked[j.Spec.Team] = j
	}
}

// queueByShape lists the jobs that wait and may be placed now, and the least that any of their
// tasks needs.
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

// jobsOf returns the jobs of a list of queued jobs.
func jobsOf(list []queuedJob) []*jobs.Job {
	var out []*jobs.Job
	for i := range list {
		out = append(out, list[i].job)
	}
	return out
}

// indexBatchJobs lists the batch jobs by precedence, and by image.
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

// indexMachines lists the machines that take work, and those where some waiting task fits.
func (d *dispatch) indexMachines(need jobs.Resources, now ident.MonotonicTime) {
	for _, w := range d.machineTable.Sorted() {
		if !w.Schedulable(now) || w.Type == nil {
			continue
		}
		d.openMachines = append(d.openMachines, w)
		if w.HasRoom(need) {
			d.machinesWithRoom = append(d.machinesWithRoom, w)
		}
		if !w.Spot {
			d.freeOnDemand[w.Zone] += w.Free().VCPUs
		}
	}
}

// holdersOf returns the open machines that hold an image.
func (d *dispatch) holdersOf(image string) []*workers.Worker {
	if d.holdersByImage == nil {
		d.holdersByImage = map[string][]*workers.Worker{}
		for _, w := range d.openMachines {
			for _, cached := range w.CachedImages() {
				d.holdersByImage[cached.Name] = append(d.holdersByImage[cached.Name], w)
			}
		}
	}
	return d.holdersByImage[image]
}

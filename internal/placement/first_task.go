package placement

import (
	"sort"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// firstTaskPacing is the maximum number of starved jobs per team whose first task is placed ahead of
// other work within Config.MaxWait. In a backlog every job is starved. If the first tasks of all jobs
// were placed immediately, almost no capacity would remain for the other tasks, and few jobs would
// complete.
const firstTaskPacing = 24

// placeFirstTasks places the first task of each starved batch job, paced by firstTaskPacing. If the
// task can't be placed, it reserves a machine or the team's quota for the job: otherwise smaller tasks
// would take freed capacity before enough of it is free for this task. The largest jobs are served
// first, since each of them gets capacity for one task only; the rest of its tasks are placed in the
// normal order.
func (d *dispatch) placeFirstTasks() {
	for _, j := range d.starvedJobs() {
		team := j.Spec.Team
		if last, ok := d.lastFirstTask[team]; ok && d.now().Sub(last) < d.config.MaxWait/firstTaskPacing {
			continue
		}
		if !d.teams.Allows(j.Spec, 1) {
			d.reserveQuota(j)
			continue
		}
		if w := d.machineForFirstTask(j); w != nil {
			d.lastFirstTask[team] = d.now()
			d.place(d.nextTask(j), w)
			continue
		}
		if d.reservations.starvedCount() < maxStarvationReserved && !d.reservations.hasStarvedReservation(j) {
			d.reserveMostFreeMachine(j)
		}
	}
}

// starvedJobs returns the batch jobs that have waited longer than Config.MaxWait for their first task,
// largest first.
func (d *dispatch) starvedJobs() []*jobs.Job {
	var starved []*jobs.Job
	for _, j := range d.batchJobs {
		if d.starved(j) && d.nextTask(j) != nil {
			starved = append(starved, j)
		}
	}
	size := func(j *jobs.Job) float64 { return float64(j.Spec.Tasks) * j.Spec.VCPUs }
	sort.Slice(starved, func(i, k int) bool {
		if a, b := size(starved[i]), size(starved[k]); a != b {
			return a > b
		}
		return starved[i].Seq < starved[k].Seq
	})
	return starved
}

// machineForFirstTask returns a machine that the first task of a job fits on, preferably a holder of
// its image. It returns nil if there is no such machine.
func (d *dispatch) machineForFirstTask(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range d.machinesWithCapacity {
		if !d.canRunOn(j, w) {
			continue
		}
		if w.HasImage(j.Spec.Image) {
			return w
		}
		if found == nil {
			found = w
		}
	}
	return found
}

// reserveMostFreeMachine reserves a machine for a starved job: of the eligible machines on which its task fits once the
// batch tasks there have ended, the one with the most unused CPUs.
func (d *dispatch) reserveMostFreeMachine(j *jobs.Job) {
	now, need := d.now(), jobs.ResourcesOf(j.Spec)
	var best *workers.Worker
	for _, w := range d.schedulableMachines {
		if best != nil && unusedVCPUs(w) <= unusedVCPUs(best)+tolerance {
			continue
		}
		if d.reservations.canReserve(w, now) && d.eligible(j, w) && freeAfterBatch(w).Covers(need) {
			best = w
		}
	}
	if best != nil {
		d.reservations.reserveStarved(best, j, now)
	}
}

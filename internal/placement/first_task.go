package placement

import (
	"sort"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// firstTaskPacing is the number of starved jobs of a team that may get their first task ahead of
// other work within Config.MaxWait. In a backlog every job is starved; if each got its first task
// at once, hardly any room would be left for the other tasks, and few jobs would ever complete.
const firstTaskPacing = 24

// placeFirstTasks places the first task of each starved batch job, or else reserves a machine or
// the team's quota for it: smaller tasks would otherwise take any room that becomes free before it
// is enough. The largest jobs go first, since each takes room for one task only; the rest of its
// tasks are placed in the usual order.
func (d *dispatch) placeFirstTasks() {
	for _, j := range d.starvedJobs() {
		team := j.Spec.Team
		if last, ok := d.lastFirstTask[team]; ok && d.now().Sub(last) < d.config.MaxWait/firstTaskPacing {
			continue
		}
		if !d.teams.Allows(j.Spec, 1) {
			d.blockQuota(j)
			continue
		}
		if w := d.machineForFirstTask(j); w != nil {
			d.lastFirstTask[team] = d.now()
			d.place(d.nextTask(j), w)
			continue
		}
		if d.reservations.starvedCount() < maxStarvationReserved && !d.reservations.hasStarvedReservation(j) {
			d.reserveRoomiestFor(j)
		}
	}
}

// starvedJobs lists the batch jobs that have waited too long for their first task, the largest
// first.
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

// machineForFirstTask returns a machine with room for a job's first task, one that holds its image
// if there is one; nil if none has room.
func (d *dispatch) machineForFirstTask(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range d.machinesWithRoom {
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

// reserveRoomiestFor reserves the machine with the most room for a starved job.
func (d *dispatch) reserveRoomiestFor(j *jobs.Job) {
	var best *workers.Worker
	for _, w := range d.openMachines {
		if d.reservations.isReservedForStarved(w) || !d.eligible(j, w) {
			continue
		}
		if best == nil || unusedVCPUs(w) > unusedVCPUs(best)+tolerance {
			best = w
		}
	}
	if best != nil {
		d.reservations.reserveStarved(best, j)
	}
}

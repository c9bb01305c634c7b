package placement

import (
	"sort"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// placeFirstTasks gives arrays that wait too long for their first task a place for it, and
// sees to it that there is one: smaller tasks would take each time what becomes
// free, of a machine or of the team's limit, before it is enough. The largest jobs
// come first, since one task of each is all they take here; their others go in the
// usual order.
func (p *Planner) placeFirstTasks() {
	for _, j := range p.starvedJobs() {
		if begun, ok := p.lastFirstTask[j.Spec.Team]; ok && p.now().Sub(begun) < p.config.MaxWait/firstTaskPacing {
			continue
		}
		if !p.teams.Allows(j.Spec, 1) {
			if p.quotaBlocked[j.Spec.Team] == nil {
				p.quotaBlocked[j.Spec.Team] = j
			}
			continue
		}
		if w := p.machineForFirstTask(j); w != nil {
			p.lastFirstTask[j.Spec.Team] = p.now()
			p.place(p.nextTask(j), w)
			continue
		}
		if len(p.starvationReserved) < maxStarvationReserved && !p.hasReservation(j) {
			p.reserveRoomiestFor(j)
		}
	}
}

// starvedJobs lists the arrays that have waited too long for their first task, the largest
// first.
func (p *Planner) starvedJobs() []*jobs.Job {
	var starved []*jobs.Job
	for _, j := range p.batchJobs {
		if p.starved(j) && p.nextTask(j) != nil {
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

// machineForFirstTask returns a machine with room for a job's first task, one that holds its image if
// there is one; nil if none has room.
func (p *Planner) machineForFirstTask(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range p.machinesWithRoom {
		if !p.hasRoom(j, w) || !p.eligible(j, w) {
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

// reserveRoomiestFor keeps the machine with the most room for a job.
func (p *Planner) reserveRoomiestFor(j *jobs.Job) {
	var best *workers.Worker
	room := func(w *workers.Worker) float64 { return w.Type.VCPUs - w.VCPUs }
	for _, w := range p.openMachines {
		if p.starvationReserved[w] == nil && p.eligible(j, w) && (best == nil || room(w) > room(best)+tolerance) {
			best = w
		}
	}
	if best != nil {
		p.starvationReserved[best] = j
	}
}

// firstTaskPacing paces first tasks that come before all others: so many in each team
// within MaxWait. In a backlog every job waits too long; giving each its first task
// at once left hardly any room for the others, and few jobs were ever done.
const firstTaskPacing = 24

// starved says whether a job has waited too long for its first task.
func (p *Planner) starved(j *jobs.Job) bool {
	return j.AllocatedTasks+j.CompletedTasks == 0 && p.now().Sub(j.SubmittedAt) > p.config.MaxWait
}

// hasReservation says whether a machine is kept for the job already.
func (p *Planner) hasReservation(j *jobs.Job) bool {
	for _, o := range p.starvationReserved {
		if o == j {
			return true
		}
	}
	return false
}

package placement

import (
	"sort"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// begin gives arrays that wait too long for their first task a place for it, and
// sees to it that there is one: smaller tasks would take each time what becomes
// free, of a machine or of the team's limit, before it is enough. The largest jobs
// come first, since one task of each is all they take here; their others go in the
// usual order.
func (p *Planner) begin() {
	for _, j := range p.unbegunJobs() {
		if begun, ok := p.begun[j.Spec.Team]; ok && p.now().Sub(begun) < p.MaxWait/beginPart {
			continue
		}
		if !p.teams.Allows(j.Spec, 1) {
			if p.blocked[j.Spec.Team] == nil {
				p.blocked[j.Spec.Team] = j
			}
			continue
		}
		if w := p.firstMachine(j); w != nil {
			p.begun[j.Spec.Team] = p.now()
			p.place(p.next(j), w)
			continue
		}
		if len(p.reserved) < maxReserved && !p.holdsBack(j) {
			p.holdBack(j)
		}
	}
}

// unbegunJobs lists the arrays that have waited too long for their first task, the largest
// first.
func (p *Planner) unbegunJobs() []*jobs.Job {
	var late []*jobs.Job
	for _, j := range p.arrays {
		if p.unbegun(j) && p.next(j) != nil {
			late = append(late, j)
		}
	}
	size := func(j *jobs.Job) float64 { return float64(j.Spec.Tasks) * j.Spec.VCPUs }
	sort.Slice(late, func(i, k int) bool {
		if a, b := size(late[i]), size(late[k]); a != b {
			return a > b
		}
		return late[i].Seq < late[k].Seq
	})
	return late
}

// firstMachine returns a machine with room for a job's first task, one that holds its image if
// there is one; nil if none has room.
func (p *Planner) firstMachine(j *jobs.Job) *workers.Worker {
	var found *workers.Worker
	for _, w := range p.roomy {
		if !p.fits(j, w) || !p.may(j, w) {
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

// holdBack keeps the machine with the most room for a job.
func (p *Planner) holdBack(j *jobs.Job) {
	var most *workers.Worker
	room := func(w *workers.Worker) float64 { return w.Type.VCPUs - w.VCPUs }
	for _, w := range p.order {
		if p.reserved[w] == nil && p.may(j, w) && (most == nil || room(w) > room(most)+slack) {
			most = w
		}
	}
	if most != nil {
		p.reserved[most] = j
	}
}

// beginPart paces first tasks that come before all others: so many in each team
// within MaxWait. In a backlog every job waits too long; giving each its first task
// at once left hardly any room for the others, and few jobs were ever done.
const beginPart = 24

// unbegun says whether a job has waited too long for its first task.
func (p *Planner) unbegun(j *jobs.Job) bool {
	return j.AllocatedTasks+j.CompletedTasks == 0 && p.now().Sub(j.SubmittedAt) > p.MaxWait
}

// holdsBack says whether a machine is kept for the job already.
func (p *Planner) holdsBack(j *jobs.Job) bool {
	for _, o := range p.reserved {
		if o == j {
			return true
		}
	}
	return false
}

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
	for _, j := range late {
		if begun, ok := p.begun[j.Spec.Team]; ok && p.now().Sub(begun) < p.MaxWait/beginPart {
			continue
		}
		if !p.teams.Allows(j.Spec, 1) {
			if p.blocked[j.Spec.Team] == nil {
				p.blocked[j.Spec.Team] = j
			}
			continue
		}
		var fit, wait *workers.Worker
		for _, w := range p.roomy {
			if p.fits(j, w) && p.may(j, w) {
				if fit == nil || w.Holds(j.Spec.Image) {
					fit = w
				}
				if w.Holds(j.Spec.Image) {
					break
				}
			}
		}
		if fit != nil {
			p.begun[j.Spec.Team] = p.now()
			p.place(p.next(j), fit)
			continue
		}
		if len(p.reserved) >= maxReserved || p.holdsBack(j) {
			continue
		}
		for _, w := range p.order {
			if p.reserved[w] == nil && p.may(j, w) && (wait == nil || w.Kind.VCPUs-w.VCPUs > wait.Kind.VCPUs-wait.VCPUs+slack) {
				wait = w
			}
		}
		if wait != nil {
			p.reserved[wait] = j
		}
	}
}

// beginPart paces first tasks that come before all others: so many in each team
// within MaxWait. In a backlog every job waits too long; giving each its first task
// at once left hardly any room for the others, and few jobs were ever done.
const beginPart = 24

// unbegun says whether a job has waited too long for its first task.
func (p *Planner) unbegun(j *jobs.Job) bool {
	return j.Held+j.Done == 0 && p.now().Sub(j.Arrived) > p.MaxWait
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

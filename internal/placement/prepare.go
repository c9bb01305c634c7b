package placement

import (
	"sort"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// prepare sorts the waiting jobs and the machines for this dispatch.
func (p *Planner) prepare() (services, gangs []*jobs.Job) {
	now := p.now()
	p.teams.Guarantee(p.jobs)
	byShape, need := p.waitingByShape(now)
	sortServices(byShape[api.Service])
	sortByRight(byShape[api.Batch])
	sortByRight(byShape[api.Gang])
	p.indexArrays(byShape[api.Batch])
	p.reset(now)
	if len(p.jobs.Waiting) == 0 {
		return nil, nil
	}
	p.sortMachines(need, now)
	return jobsOf(byShape[api.Service]), jobsOf(byShape[api.Gang])
}

// waitingByShape lists the jobs that wait and may be placed now, and the least that any of their
// tasks needs.
func (p *Planner) waitingByShape(now ident.MonotonicTime) (map[api.Shape][]waiting, jobs.Resources) {
	list := map[api.Shape][]waiting{}
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
		list[shape] = append(list[shape], waiting{j: j, guest: p.teams.Guest(j.Spec.Team), level: j.Spec.Priority.Level(), urgency: p.urgency(j), work: work(j)})
	}
	return list, need
}

// sortServices brings services into the order of their right: by priority, but for those that
// are overdue.
func sortServices(list []waiting) {
	sort.Slice(list, func(i, k int) bool {
		a, b := &list[i], &list[k]
		if a.level != b.level && (a.urgency == overdue) == (b.urgency == overdue) {
			return a.level < b.level
		}
		return a.before(b)
	})
}

func sortByRight(list []waiting) {
	sort.Slice(list, func(i, k int) bool { return list[i].before(&list[k]) })
}

func jobsOf(list []waiting) []*jobs.Job {
	var out []*jobs.Job
	for i := range list {
		out = append(out, list[i].j)
	}
	return out
}

// indexArrays notes the arrays in the order of their right, and by image.
func (p *Planner) indexArrays(list []waiting) {
	p.arrays = p.arrays[:0]
	p.byImage, p.first = map[string][]int{}, map[string]int{}
	p.guests = len(list)
	for i := range list {
		j := list[i].j
		if list[i].guest {
			p.guests = min(p.guests, i)
		}
		p.arrays = append(p.arrays, j)
		p.byImage[j.Spec.Image] = append(p.byImage[j.Spec.Image], i)
	}
}

// reset forgets what is of one dispatch only, and what is kept for jobs that need it no more.
func (p *Planner) reset(now ident.MonotonicTime) {
	p.order, p.roomy, p.plans, p.unheld = p.order[:0], p.roomy[:0], nil, nil
	p.held, p.holders = map[*jobs.Job]bool{}, nil
	p.free = map[string]float64{}
	p.cursor = map[*jobs.Job]int{}
	p.placed, p.searched = 0, 0
	p.searches = map[searchKey]*offers{}
	p.blocked = map[string]*jobs.Job{}
	for w, j := range p.reserved {
		if j.WaitingCount() == 0 || j.AllocatedTasks > 0 || !w.Schedulable(now) {
			delete(p.reserved, w)
		}
	}
	p.expirePromises(now)
}

// sortMachines lists the open machines, and those where some waiting task fits.
func (p *Planner) sortMachines(need jobs.Resources, now ident.MonotonicTime) {
	for _, w := range p.fleet.Sorted() {
		if !w.Schedulable(now) || w.Type == nil {
			continue
		}
		p.order = append(p.order, w)
		if w.HasRoom(need) {
			p.roomy = append(p.roomy, w)
		}
		if !w.Spot {
			p.free[w.Zone] += w.Free().VCPUs
		}
	}
}

// holding returns the open machines that hold an image.
func (p *Planner) holding(bundle string) []*workers.Worker {
	if p.holders == nil {
		p.holders = map[string][]*workers.Worker{}
		for _, w := range p.order {
			for _, im := range w.CachedImages() {
				p.holders[im.Name] = append(p.holders[im.Name], w)
			}
		}
	}
	return p.holders[bundle]
}

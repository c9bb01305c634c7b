package placement

import (
	"sort"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// prepare sorts the waiting jobs and the machines for this dispatch.
func (p *Planner) prepare() (services, gangs []*jobs.Job) {
	now := p.now()
	p.teams.Guarantee(p.jobs)
	var arr, srv, gng []waiting
	need := jobs.NoNeed()
	for j := range p.jobs.Waiting {
		if now < j.RetryAt {
			continue
		}
		need.Least(j.Spec)
		w := waiting{j: j, guest: p.teams.Guest(j.Spec.Team), level: j.Spec.Priority.Level(), urgency: p.urgency(j), work: work(j)}
		switch j.Spec.Shape {
		case api.Service:
			srv = append(srv, w)
		case api.Gang:
			gng = append(gng, w)
		default:
			arr = append(arr, w)
		}
	}
	sort.Slice(srv, func(i, k int) bool {
		a, b := &srv[i], &srv[k]
		if a.level != b.level && (a.urgency == overdue) == (b.urgency == overdue) {
			return a.level < b.level
		}
		return a.before(b)
	})
	for _, list := range [][]waiting{arr, gng} {
		sort.Slice(list, func(i, k int) bool { return list[i].before(&list[k]) })
	}
	for i := range gng {
		gangs = append(gangs, gng[i].j)
	}
	for i := range srv {
		services = append(services, srv[i].j)
	}
	p.arrays = p.arrays[:0]
	p.byImage, p.first = map[string][]int{}, map[string]int{}
	p.guests = len(arr)
	for i := range arr {
		j := arr[i].j
		if arr[i].guest {
			p.guests = min(p.guests, i)
		}
		p.arrays = append(p.arrays, j)
		p.byImage[j.Spec.Image] = append(p.byImage[j.Spec.Image], i)
	}
	p.order, p.roomy, p.plans, p.unheld = p.order[:0], p.roomy[:0], nil, nil
	p.held, p.holders = map[*jobs.Job]bool{}, nil
	p.free = map[string]float64{}
	p.cursor = map[*jobs.Job]int{}
	p.placed, p.searched = 0, 0
	p.searches = map[searchKey]*offers{}
	p.blocked = map[string]*jobs.Job{}
	for w, j := range p.reserved {
		if j.Waits() == 0 || j.Held > 0 || !w.Open(now) {
			delete(p.reserved, w)
		}
	}
	p.expirePromises(now)
	if len(p.jobs.Waiting) == 0 {
		return nil, nil
	}
	for _, w := range p.fleet.Sorted() {
		if !w.Open(now) || w.Kind == nil {
			continue
		}
		p.order = append(p.order, w)
		if w.Room(need) {
			p.roomy = append(p.roomy, w)
		}
		if !w.Spot {
			p.free[w.Zone] += w.Free().VCPUs
		}
	}
	return services, gangs
}

// holding returns the open machines that hold an image.
func (p *Planner) holding(bundle string) []*workers.Worker {
	if p.holders == nil {
		p.holders = map[string][]*workers.Worker{}
		for _, w := range p.order {
			for _, im := range w.Images() {
				p.holders[im.Name] = append(p.holders[im.Name], w)
			}
		}
	}
	return p.holders[bundle]
}

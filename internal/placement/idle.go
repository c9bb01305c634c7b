package placement

import (
	"sort"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// stock is a machine's plan while others steal from it.
type stock struct {
	w    *workers.Worker
	left int
	at   int // earlier tasks of the plan are placed
}

// span is a part of the arrays that wait: from one place to before another.
type span struct{ from, to int }

// idle lets every machine with room take work. Teams without a guarantee have what the
// others leave: their tasks were local to the machines that they had filled, and took each
// place there that became free before guaranteed work, which then had to stop others.
func (p *Planner) idle() {
	p.take(span{0, p.guests})
	if p.guests < len(p.arrays) {
		p.take(span{p.guests, len(p.arrays)})
	}
}

// take lets every machine with room take work of some of the arrays, the cheap machines
// first.
func (p *Planner) take(turn span) {
	p.turn = turn
	clear(p.cursor)
	clear(p.first)
	p.unheld = p.unheld[:0]
	for _, j := range p.arrays[turn.from:turn.to] {
		if j.WaitingCount() > 0 && !p.isHeld(j) {
			p.unheld = append(p.unheld, j)
		}
	}
	sort.Slice(p.unheld, func(i, k int) bool { return p.unheld[i].Seq < p.unheld[k].Seq })
	p.stock()
	need := p.least(turn)
	// What machines with room have the images of comes first on all of them: else the
	// first one by name takes a task, and fetches, that another has the image of.
	for i, pick := range []func(*workers.Worker) (*jobs.Task, *uint64){p.local, p.pick} {
		for _, spot := range []bool{true, false} {
			if local := i == 0; local && p.Even() {
				p.takeEvenly(spot, need)
				continue
			}
			for _, w := range p.roomy {
				if w.Spot != spot {
					continue
				}
				for w.HasRoom(need) && p.placed < maxPlaced {
					t, rule := pick(w)
					if t == nil {
						break
					}
					*rule++
					p.place(t, w)
				}
			}
		}
		clear(p.cursor)
		clear(p.first)
	}
}

// least returns the least that any waiting task of some arrays needs.
func (p *Planner) least(of span) jobs.Resources {
	need := jobs.UnboundedResources()
	for _, j := range p.arrays[of.from:of.to] {
		if j.WaitingCount() > 0 && p.teams.Allows(j.Spec, 1) {
			need.LowerTo(j.Spec)
		}
	}
	return need
}

// stock sorts the plans for those who steal from them.
func (p *Planner) stock() {
	p.plans = p.plans[:0]
	for _, w := range p.order {
		n := 0
		for _, t := range w.PlannedTasks {
			if t.State == jobs.Waiting {
				n++
			}
		}
		if n > 0 {
			p.plans = append(p.plans, &stock{w: w, left: n})
		}
	}
	sort.SliceStable(p.plans, func(i, k int) bool { return p.plans[i].left > p.plans[k].left })
}

// steal finds a task for a machine in the fullest plan that has one, looking into
// so many plans at the most.
func (p *Planner) steal(w *workers.Worker) *jobs.Task {
	looked := 0
	for i := 0; i < len(p.plans) && looked < maxStocks; i++ {
		s := p.plans[i]
		if s.w == w || s.left <= 0 {
			continue
		}
		looked++
		plan := s.w.PlannedTasks
		for s.at < len(plan) && plan[s.at].State != jobs.Waiting {
			s.at++
		}
		for _, t := range plan[s.at:] {
			if !p.inTurn(t) {
				break // plans have the tasks in the order of their right
			}
			if !p.ready(t, w) {
				continue
			}
			// One less, and back to its place in the order.
			s.left--
			for k := i + 1; k < len(p.plans) && p.plans[k].left > s.left; k++ {
				p.plans[k-1], p.plans[k] = p.plans[k], s
			}
			return t
		}
	}
	return nil
}

// inTurn says whether a task's job is one of those whose turn it is, or of an earlier one.
func (p *Planner) inTurn(t *jobs.Task) bool {
	return p.turn.to > p.guests || !p.teams.Guest(t.Job.Spec.Team)
}

// ready says whether a machine may have a task now.
func (p *Planner) ready(t *jobs.Task, w *workers.Worker) bool {
	now := p.now()
	return t.State == jobs.Waiting && t.Job.Phase == jobs.Open && t.Job.PlaceableCount() > 0 && now >= t.RetryAt && now >= t.Job.RetryAt &&
		p.fits(t.Job, w) && p.may(t.Job, w) && !p.fleet.HasUnknownAttempt(t.TaskID())
}

// can says whether a machine may have any task of a job now.
func (p *Planner) can(j *jobs.Job, w *workers.Worker) bool {
	return j.WaitingCount() > 0 && p.fits(j, w) && p.may(j, w) && p.next(j) != nil
}

// local chooses an array task for a machine without a fetch: what is planned for it,
// then what it holds the image of.
func (p *Planner) local(w *workers.Worker) (*jobs.Task, *uint64) {
	if j := p.keptFor(w); j != nil {
		// Kept for a gang: that is placed as a whole. (Its first task was taken alone.)
		if t := p.next(j); t != nil && !j.IsGang() && p.ready(t, w) {
			return t, &p.Stats.Local
		}
		return nil, nil
	}
	for _, t := range w.PlannedTasks {
		if !p.inTurn(t) {
			break
		}
		if p.ready(t, w) {
			return t, &p.Stats.Planned
		}
	}
	best := p.turn.to
	for _, im := range w.CachedImages() {
		list := p.byImage[im.Name]
		at := p.first[im.Name]
		for at < len(list) && p.arrays[list[at]].WaitingCount() == 0 {
			at++
		}
		p.first[im.Name] = at
		for _, i := range list[at:] {
			if i >= best {
				break
			}
			if p.can(p.arrays[i], w) {
				best = i
			}
		}
	}
	if best < p.turn.to {
		return p.next(p.arrays[best]), &p.Stats.Local
	}
	return nil, nil
}

// pick chooses an array task for a machine: a local one, then the oldest whose image
// nobody holds, then one from the fullest plan.
func (p *Planner) pick(w *workers.Worker) (*jobs.Task, *uint64) {
	if t, rule := p.local(w); t != nil || p.keptFor(w) != nil {
		return t, rule
	}
	for _, j := range p.unheld {
		if p.can(j, w) {
			return p.next(j), &p.Stats.New
		}
	}
	// Steal. Without a plan, from the waiting tasks at large.
	if !p.asm1 {
		for _, j := range p.arrays[p.turn.from:p.turn.to] {
			if p.can(j, w) {
				return p.next(j), &p.Stats.Stolen
			}
		}
		return nil, nil
	}
	return p.steal(w), &p.Stats.Stolen
}

// stranded says whether a waiting task that is in no plan, of an image that is
// held, could be taken by a machine with room.
func (p *Planner) stranded() bool {
	if !p.asm1 {
		return false
	}
	clear(p.cursor)
	planned := map[ident.MachineID]bool{}
	for _, s := range p.plans {
		planned[s.w.ID] = true
	}
	need := p.least(span{0, len(p.arrays)})
	var room []*workers.Worker
	for _, w := range p.roomy {
		if w.HasRoom(need) {
			room = append(room, w)
		}
	}
	if len(room) == 0 {
		return false
	}
	for _, j := range p.arrays {
		if j.WaitingCount() == 0 || !p.teams.Allows(j.Spec, 1) || !p.isHeld(j) {
			continue
		}
		t := p.next(j)
		if t == nil || planned[t.PlannedMachine] {
			continue
		}
		for _, w := range room {
			if p.fits(j, w) && p.may(j, w) {
				return true
			}
		}
	}
	return false
}

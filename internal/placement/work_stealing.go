package placement

import (
	"sort"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// planQueue is a machine's plan while others steal from it.
type planQueue struct {
	owner     *workers.Worker
	remaining int
	next      int // earlier tasks of the plan are placed
}

// jobRange is a part of the arrays that wait: from one place to before another.
type jobRange struct{ from, to int }

// fillIdleMachines lets every machine with room take work. Teams without a guarantee have what the
// others leave: their tasks were local to the machines that they had filled, and took each
// place there that became free before guaranteed work, which then had to stop others.
func (p *Planner) fillIdleMachines() {
	p.fillFrom(jobRange{0, p.firstBorrower})
	if p.firstBorrower < len(p.batchJobs) {
		p.fillFrom(jobRange{p.firstBorrower, len(p.batchJobs)})
	}
}

// fillFrom lets every machine with room take work of some of the arrays, the cheap machines
// first.
func (p *Planner) fillFrom(active jobRange) {
	p.activeRange = active
	clear(p.taskCursor)
	clear(p.firstByImage)
	p.uncachedJobs = p.uncachedJobs[:0]
	for _, j := range p.batchJobs[active.from:active.to] {
		if j.WaitingCount() > 0 && !p.isImageCached(j) {
			p.uncachedJobs = append(p.uncachedJobs, j)
		}
	}
	sort.Slice(p.uncachedJobs, func(i, k int) bool { return p.uncachedJobs[i].Seq < p.uncachedJobs[k].Seq })
	p.sortPlans()
	need := p.minNeed(active)
	// What machines with room have the images of comes first on all of them: else the
	// first one by name takes a task, and fetches, that another has the image of.
	for i, choose := range []func(*workers.Worker) (*jobs.Task, *uint64){p.localTask, p.chooseTask} {
		for _, spot := range []bool{true, false} {
			if local := i == 0; local && p.SpreadLoad() {
				p.fillLeastUsedFirst(spot, need)
				continue
			}
			for _, w := range p.machinesWithRoom {
				if w.Spot != spot {
					continue
				}
				for w.HasRoom(need) && p.placed < maxPlacedPerDispatch {
					t, counter := choose(w)
					if t == nil {
						break
					}
					*counter++
					p.place(t, w)
				}
			}
		}
		clear(p.taskCursor)
		clear(p.firstByImage)
	}
}

// minNeed returns the least that any waiting task of some arrays needs.
func (p *Planner) minNeed(within jobRange) jobs.Resources {
	need := jobs.UnboundedResources()
	for _, j := range p.batchJobs[within.from:within.to] {
		if j.WaitingCount() > 0 && p.teams.Allows(j.Spec, 1) {
			need.LowerTo(j.Spec)
		}
	}
	return need
}

// sortPlans sorts the plans for those who steal from them.
func (p *Planner) sortPlans() {
	p.plans = p.plans[:0]
	for _, w := range p.openMachines {
		n := 0
		for _, t := range w.PlannedTasks {
			if t.State == jobs.Waiting {
				n++
			}
		}
		if n > 0 {
			p.plans = append(p.plans, &planQueue{owner: w, remaining: n})
		}
	}
	sort.SliceStable(p.plans, func(i, k int) bool { return p.plans[i].remaining > p.plans[k].remaining })
}

// steal finds a task for a machine in the fullest plan that has one, looking into
// so many plans at the most.
func (p *Planner) steal(w *workers.Worker) *jobs.Task {
	looked := 0
	for i := 0; i < len(p.plans) && looked < maxPlansSearched; i++ {
		queue := p.plans[i]
		if queue.owner == w || queue.remaining <= 0 {
			continue
		}
		looked++
		plan := queue.owner.PlannedTasks
		for queue.next < len(plan) && plan[queue.next].State != jobs.Waiting {
			queue.next++
		}
		for _, t := range plan[queue.next:] {
			if !p.inActiveRange(t) {
				break // plans have the tasks in the order of their right
			}
			if !p.canTakeTask(t, w) {
				continue
			}
			// One less, and back to its place in the order.
			queue.remaining--
			for k := i + 1; k < len(p.plans) && p.plans[k].remaining > queue.remaining; k++ {
				p.plans[k-1], p.plans[k] = p.plans[k], queue
			}
			return t
		}
	}
	return nil
}

// inActiveRange says whether a task's job is one of those whose turn it is, or of an earlier one.
func (p *Planner) inActiveRange(t *jobs.Task) bool {
	return p.activeRange.to > p.firstBorrower || !p.teams.IsBorrower(t.Job.Spec.Team)
}

// canTakeTask says whether a machine may have a task now.
func (p *Planner) canTakeTask(t *jobs.Task, w *workers.Worker) bool {
	now := p.now()
	return t.State == jobs.Waiting && t.Job.Phase == jobs.Open && t.Job.PlaceableCount() > 0 && now >= t.RetryAt && now >= t.Job.RetryAt &&
		p.hasRoom(t.Job, w) && p.eligible(t.Job, w) && !p.machineTable.HasUnknownAttempt(t.TaskID())
}

// canTakeAnyOf says whether a machine may have any task of a job now.
func (p *Planner) canTakeAnyOf(j *jobs.Job, w *workers.Worker) bool {
	return j.WaitingCount() > 0 && p.hasRoom(j, w) && p.eligible(j, w) && p.nextTask(j) != nil
}

// localTask chooses an array task for a machine without a fetch: what is planned for it,
// then what it holds the image of.
func (p *Planner) localTask(w *workers.Worker) (*jobs.Task, *uint64) {
	if j := p.reservedFor(w); j != nil {
		// Kept for a gang: that is placed as a whole. (Its first task was taken alone.)
		if t := p.nextTask(j); t != nil && !j.IsGang() && p.canTakeTask(t, w) {
			return t, &p.Stats.Local
		}
		return nil, nil
	}
	for _, t := range w.PlannedTasks {
		if !p.inActiveRange(t) {
			break
		}
		if p.canTakeTask(t, w) {
			return t, &p.Stats.Planned
		}
	}
	best := p.activeRange.to
	for _, image := range w.CachedImages() {
		list := p.byImage[image.Name]
		first := p.firstByImage[image.Name]
		for first < len(list) && p.batchJobs[list[first]].WaitingCount() == 0 {
			first++
		}
		p.firstByImage[image.Name] = first
		for _, i := range list[first:] {
			if i >= best {
				break
			}
			if p.canTakeAnyOf(p.batchJobs[i], w) {
				best = i
			}
		}
	}
	if best < p.activeRange.to {
		return p.nextTask(p.batchJobs[best]), &p.Stats.Local
	}
	return nil, nil
}

// chooseTask chooses an array task for a machine: a local one, then the oldest whose image
// nobody holds, then one from the fullest plan.
func (p *Planner) chooseTask(w *workers.Worker) (*jobs.Task, *uint64) {
	if t, counter := p.localTask(w); t != nil || p.reservedFor(w) != nil {
		return t, counter
	}
	for _, j := range p.uncachedJobs {
		if p.canTakeAnyOf(j, w) {
			return p.nextTask(j), &p.Stats.Uncached
		}
	}
	// Steal. Without a plan, from the waiting tasks at large.
	if !p.config.UseASM1 {
		for _, j := range p.batchJobs[p.activeRange.from:p.activeRange.to] {
			if p.canTakeAnyOf(j, w) {
				return p.nextTask(j), &p.Stats.Stolen
			}
		}
		return nil, nil
	}
	return p.steal(w), &p.Stats.Stolen
}

// hasStrandedTask says whether a waiting task that is in no plan, of an image that is
// held, could be taken by a machine with room.
func (p *Planner) hasStrandedTask() bool {
	if !p.config.UseASM1 {
		return false
	}
	clear(p.taskCursor)
	planned := map[ident.MachineID]bool{}
	for _, s := range p.plans {
		planned[s.owner.ID] = true
	}
	need := p.minNeed(jobRange{0, len(p.batchJobs)})
	var withRoom []*workers.Worker
	for _, w := range p.machinesWithRoom {
		if w.HasRoom(need) {
			withRoom = append(withRoom, w)
		}
	}
	if len(withRoom) == 0 {
		return false
	}
	for _, j := range p.batchJobs {
		if j.WaitingCount() == 0 || !p.teams.Allows(j.Spec, 1) || !p.isImageCached(j) {
			continue
		}
		t := p.nextTask(j)
		if t == nil || planned[t.PlannedMachine] {
			continue
		}
		for _, w := range withRoom {
			if p.hasRoom(j, w) && p.eligible(j, w) {
				return true
			}
		}
	}
	return false
}

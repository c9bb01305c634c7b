package placement

import (
	"sort"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// planQueue is the plan of a machine, from which other machines can steal tasks.
type planQueue struct {
	owner     *workers.Worker
	remaining int // number of waiting tasks
	next      int // index in the plan of the first task that may be waiting
}

// waiting returns the tasks of the plan from the first waiting task to the end.
func (q *planQueue) waiting() []*jobs.Task {
	plan := q.owner.PlannedTasks
	for q.next < len(plan) && plan[q.next].State != jobs.Waiting {
		q.next++
	}
	return plan[q.next:]
}

// sortPlans lists the plans that have waiting tasks, sorted by the number of these in descending order.
func (d *dispatch) sortPlans() {
	d.plans = d.plans[:0]
	for _, w := range d.schedulableMachines {
		n := 0
		for _, t := range w.PlannedTasks {
			if t.State == jobs.Waiting {
				n++
			}
		}
		if n > 0 {
			d.plans = append(d.plans, &planQueue{owner: w, remaining: n})
		}
	}
	sort.SliceStable(d.plans, func(i, k int) bool { return d.plans[i].remaining > d.plans[k].remaining })
}

// steal returns a task for a machine from the plan of another machine, or nil if there is none. It
// searches the plans with the most waiting tasks first, and at most maxPlansSearched of them.
func (d *dispatch) steal(w *workers.Worker) *jobs.Task {
	searched := 0
	for i := 0; i < len(d.plans) && searched < maxPlansSearched; i++ {
		queue := d.plans[i]
		if queue.owner == w || queue.remaining <= 0 {
			continue
		}
		searched++
		for _, t := range queue.waiting() {
			if !d.inActiveRange(t) {
				break // the tasks of a plan are ordered by precedence
			}
			if d.canTakeTask(t, w) {
				d.decrementPlan(i)
				return t
			}
		}
	}
	return nil
}

// decrementPlan decrements the number of waiting tasks of a plan, and restores the order of the plans.
func (d *dispatch) decrementPlan(i int) {
	queue := d.plans[i]
	queue.remaining--
	for k := i + 1; k < len(d.plans) && d.plans[k].remaining > queue.remaining; k++ {
		d.plans[k-1], d.plans[k] = d.plans[k], queue
	}
}

// hasUnplannedTask reports whether a machine with free capacity could run a waiting task that is in no
// plan although its image is cached on some machine.
func (d *dispatch) hasUnplannedTask() bool {
	if !d.config.UseASM1 {
		return false
	}
	clear(d.taskCursor)
	planned := map[ident.MachineID]bool{}
	for _, queue := range d.plans {
		planned[queue.owner.ID] = true
	}
	need := d.minNeed(jobRange{0, len(d.batchJobs)})
	var withCapacity []*workers.Worker
	for _, w := range d.machinesWithCapacity {
		if w.HasCapacityFor(need) {
			withCapacity = append(withCapacity, w)
		}
	}
	if len(withCapacity) == 0 {
		return false
	}
	for _, j := range d.batchJobs {
		if j.WaitingCount() == 0 || !d.teams.Allows(j.Spec, 1) || !d.isImageCached(j) {
			continue
		}
		t := d.nextTask(j)
		if t == nil || planned[t.PlannedMachine] {
			continue
		}
		if d.canRunOnAny(j, withCapacity) {
			return true
		}
	}
	return false
}

// canRunOnAny reports whether a task of a job may be placed on any of the machines and fits there.
func (d *dispatch) canRunOnAny(j *jobs.Job, machines []*workers.Worker) bool {
	for _, w := range machines {
		if d.canRunOn(j, w) {
			return true
		}
	}
	return false
}

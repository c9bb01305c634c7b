package placement

import (
	"sort"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// planQueue is a machine's plan, from which other machines steal.
type planQueue struct {
	owner     *workers.Worker
	remaining int // tasks that wait
	next      int // index in the plan; earlier tasks are placed
}

// waiting returns the plan from its first waiting task on.
func (q *planQueue) waiting() []*jobs.Task {
	plan := q.owner.PlannedTasks
	for q.next < len(plan) && plan[q.next].State != jobs.Waiting {
		q.next++
	}
	return plan[q.next:]
}

// sortPlans sorts the plans for the machines that steal from them.
func (d *dispatch) sortPlans() {
	d.plans = d.plans[:0]
	for _, w := range d.openMachines {
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

// steal finds a task for a machine in the fullest plan of another machine that has one, among the
// maxPlansSearched fullest. It returns nil if there is none.
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
				break // plans have their tasks by precedence
			}
			if d.canTakeTask(t, w) {
				d.shrinkPlan(i)
				return t
			}
		}
	}
	return nil
}

// shrinkPlan removes a task from the count of a plan, and moves the plan to its place in the order.
func (d *dispatch) shrinkPlan(i int) {
	queue := d.plans[i]
	queue.remaining--
	for k := i + 1; k < len(d.plans) && d.plans[k].remaining > queue.remaining; k++ {
		d.plans[k-1], d.plans[k] = d.plans[k], queue
	}
}

// hasStrandedTask reports whether a machine with room could take a waiting task that is in no plan and
// whose image is cached.
func (d *dispatch) hasStrandedTask() bool {
	if !d.config.UseASM1 {
		return false
	}
	clear(d.taskCursor)
	planned := map[ident.MachineID]bool{}
	for _, queue := range d.plans {
		planned[queue.owner.ID] = true
	}
	need := d.minNeed(jobRange{0, len(d.batchJobs)})
	var withRoom []*workers.Worker
	for _, w := range d.machinesWithRoom {
		if w.HasRoom(need) {
			withRoom = append(withRoom, w)
		}
	}
	if len(withRoom) == 0 {
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
		if d.canRunOnAny(j, withRoom) {
			return true
		}
	}
	return false
}

// canRunOnAny reports whether any of the machines may take a task of a job, and has room for it.
func (d *dispatch) canRunOnAny(j *jobs.Job, machines []*workers.Worker) bool {
	for _, w := range machines {
		if d.canRunOn(j, w) {
			return true
		}
	}
	return false
}

package placement

import (
	"sort"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// placementRule is the rule that selected a batch task for a machine.
type placementRule uint8

const (
	rulePlanned  placementRule = iota // the plan assigns the task to the machine
	ruleLocal                         // the machine has the image cached
	ruleUncached                      // no eligible machine has the image cached
	ruleStolen                        // stolen from the plan of another machine
)

// countBatchTask increments the counter of the rule that placed a batch task.
func (s *Stats) countBatchTask(rule placementRule) {
	switch rule {
	case rulePlanned:
		s.Planned++
	case ruleLocal:
		s.Local++
	case ruleUncached:
		s.Uncached++
	case ruleStolen:
		s.Stolen++
	}
}

// spotFirst lists the values of Worker.Spot in the order in which machines receive batch tasks: spot
// instances before on-demand machines.
var spotFirst = [...]bool{true, false}

// jobRange is the half-open range [from, to) of indexes in dispatch.batchJobs.
type jobRange struct{ from, to int }

// fillIdleMachines places batch tasks on all machines with free capacity, those of borrowers last. The
// tasks of borrowers are local to the machines that already run them. Without this order, they would
// take all capacity that becomes free there, and the work of other teams would have to preempt them.
func (d *dispatch) fillIdleMachines() {
	d.fillFromRange(jobRange{0, d.firstBorrower})
	if d.firstBorrower < len(d.batchJobs) {
		d.fillFromRange(jobRange{d.firstBorrower, len(d.batchJobs)})
	}
}

// fillFromRange places tasks of a range of the batch jobs on all machines with free capacity. The
// first pass places only tasks that need no image pull. Without this pass, the first machine by name
// could pull the image for a task that is local to another machine.
func (d *dispatch) fillFromRange(active jobRange) {
	d.activeRange = active
	d.resetCursors()
	d.listUncachedJobs()
	d.sortPlans()
	need := d.minNeed(active)
	for _, spot := range spotFirst {
		if d.SpreadLoad() {
			d.fillLeastUsedFirst(spot, need)
		} else {
			d.fillInOrder(spot, need, d.localTask)
		}
	}
	d.resetCursors()
	for _, spot := range spotFirst {
		d.fillInOrder(spot, need, d.chooseTask)
	}
	d.resetCursors()
}

// fillInOrder fills the spot instances, or else the on-demand machines, in the order of their names.
// choose returns the next task for a machine, or nil if there is none.
func (d *dispatch) fillInOrder(spot bool, need jobs.Resources, choose func(*workers.Worker) (*jobs.Task, placementRule)) {
	for _, w := range d.machinesWithCapacity {
		if w.Spot != spot {
			continue
		}
		for w.HasCapacityFor(need) && !d.full() {
			t, rule := choose(w)
			if t == nil {
				break
			}
			d.Stats.countBatchTask(rule)
			d.place(t, w)
		}
	}
}

// resetCursors makes the searches for waiting tasks start from the first task and job again.
func (d *dispatch) resetCursors() {
	clear(d.taskCursor)
	clear(d.imageCursor)
}

// listUncachedJobs sets uncachedJobs to the active jobs whose image no eligible machine has cached.
func (d *dispatch) listUncachedJobs() {
	d.uncachedJobs = d.uncachedJobs[:0]
	for _, j := range d.activeJobs() {
		if j.WaitingCount() > 0 && !d.isImageCached(j) {
			d.uncachedJobs = append(d.uncachedJobs, j)
		}
	}
	sort.Slice(d.uncachedJobs, func(i, k int) bool { return d.uncachedJobs[i].Seq < d.uncachedJobs[k].Seq })
}

// activeJobs returns the batch jobs in the active range.
func (d *dispatch) activeJobs() []*jobs.Job { return d.batchJobs[d.activeRange.from:d.activeRange.to] }

// minNeed returns, for each resource, the smallest amount that a waiting task of a range of the batch
// jobs requests. A machine with less of any resource free can run none of them.
func (d *dispatch) minNeed(within jobRange) jobs.Resources {
	need := jobs.UnboundedResources()
	for _, j := range d.batchJobs[within.from:within.to] {
		if j.WaitingCount() > 0 && d.teams.Allows(j.Spec, 1) {
			need.LowerTo(j.Spec)
		}
	}
	return need
}

// inActiveRange reports whether the job of a task is in the active range or before it.
func (d *dispatch) inActiveRange(t *jobs.Task) bool {
	return d.activeRange.to > d.firstBorrower || !d.teams.IsBorrower(t.Job.Spec.Team)
}

// canTakeTask reports whether a task may be placed on a machine now.
func (d *dispatch) canTakeTask(t *jobs.Task, w *workers.Worker) bool {
	if t.State != jobs.Waiting || t.Job.Phase != jobs.Open || t.Job.PlaceableCount() <= 0 {
		return false
	}
	now := d.now()
	if now < t.RetryAt || now < t.Job.RetryAt {
		return false
	}
	return d.canRunOn(t.Job, w) && !d.machineTable.HasUnknownAttempt(t.TaskID())
}

// canTakeAnyOf reports whether any task of a job may be placed on a machine now.
func (d *dispatch) canTakeAnyOf(j *jobs.Job, w *workers.Worker) bool {
	return j.WaitingCount() > 0 && d.canRunOn(j, w) && d.nextTask(j) != nil
}

// localTask returns a batch task that a machine can run without an image pull, or nil if there is
// none. Tasks that the plan assigns to the machine come first, then the task of the highest precedence
// whose image the machine has cached. On a reserved machine, a task of the job that it is reserved for
// comes first, whether or not the machine has its image cached.
func (d *dispatch) localTask(w *workers.Worker) (*jobs.Task, placementRule) {
	if j := d.reservations.on(w).Job; j != nil {
		if t := d.reservedTask(j, w); t != nil {
			return t, ruleLocal
		}
	}
	for _, t := range w.PlannedTasks {
		if !d.inActiveRange(t) {
			break
		}
		if d.canTakeTask(t, w) {
			return t, rulePlanned
		}
	}
	if j := d.firstCachedJob(w); j != nil {
		return d.nextTask(j), ruleLocal
	}
	return nil, ruleLocal
}

// reservedTask returns the next task of the job that a machine is reserved for, or nil if the machine
// can't run it. It returns no tasks of a gang, since these are placed together.
func (d *dispatch) reservedTask(j *jobs.Job, w *workers.Worker) *jobs.Task {
	t := d.nextTask(j)
	if t == nil || j.IsGang() || !d.canTakeTask(t, w) {
		return nil
	}
	return t
}

// firstCachedJob returns the active job of the highest precedence whose image a machine has cached and
// whose tasks may be placed there, or nil if there is none.
func (d *dispatch) firstCachedJob(w *workers.Worker) *jobs.Job {
	best := d.activeRange.to
	for _, image := range w.CachedImages() {
		indexes := d.batchJobsByImage[image.Name]
		first := d.imageCursor[image.Name]
		for first < len(indexes) && d.batchJobs[indexes[first]].WaitingCount() == 0 {
			first++
		}
		d.imageCursor[image.Name] = first
		for _, i := range indexes[first:] {
			if i >= best {
				break
			}
			if d.canTakeAnyOf(d.batchJobs[i], w) {
				best = i
			}
		}
	}
	if best == d.activeRange.to {
		return nil
	}
	return d.batchJobs[best]
}

// chooseTask returns the next batch task for a machine, or nil if there is none: a local task, else
// the oldest task whose image no eligible machine has cached, else a task stolen from the longest plan.
func (d *dispatch) chooseTask(w *workers.Worker) (*jobs.Task, placementRule) {
	if t, rule := d.localTask(w); t != nil {
		return t, rule
	}
	for _, j := range d.uncachedJobs {
		if d.canTakeAnyOf(j, w) {
			return d.nextTask(j), ruleUncached
		}
	}
	if d.config.UseASM1 {
		return d.steal(w), ruleStolen
	}
	// Without a plan, an idle machine takes tasks from the queue.
	for _, j := range d.activeJobs() {
		if d.canTakeAnyOf(j, w) {
			return d.nextTask(j), ruleStolen
		}
	}
	return nil, ruleStolen
}

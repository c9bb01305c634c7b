package placement

import (
	"sort"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// placementRule says by which rule a batch task was chosen for a machine.
type placementRule uint8

const (
	rulePlanned  placementRule = iota // the plan names the machine
	ruleLocal                         // the machine holds the image
	ruleUncached                      // no eligible machine holds the image
	ruleStolen                        // taken from the plan of another machine
)

// countBatchTask counts a batch task by the rule that placed it.
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

// spotFirst holds the values of Worker.Spot in the order in which machines are filled: spot
// instances before on-demand machines.
var spotFirst = [...]bool{true, false}

// jobRange is the half-open range [from, to) of indexes in dispatch.batchJobs.
type jobRange struct{ from, to int }

// fillIdleMachines lets every machine with room take work. Teams without a guarantee have what the
// others leave. Their tasks are local to the machines that they fill, so they would otherwise take
// all room that becomes free there, and guaranteed work would have to preempt them.
func (d *dispatch) fillIdleMachines() {
	d.fillFrom(jobRange{0, d.firstBorrower})
	if d.firstBorrower < len(d.batchJobs) {
		d.fillFrom(jobRange{d.firstBorrower, len(d.batchJobs)})
	}
}

// fillFrom lets every machine with room take tasks of a range of the batch jobs. Tasks whose image
// a machine with room holds go first on all machines: the first machine by name would otherwise
// take, and pull the image for, a task that is local to another.
func (d *dispatch) fillFrom(active jobRange) {
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

// fillInOrder lets the machines of a kind take tasks in the order of their names, each as many as
// it has room for.
func (d *dispatch) fillInOrder(spot bool, need jobs.Resources, choose func(*workers.Worker) (*jobs.Task, placementRule)) {
	for _, w := range d.machinesWithRoom {
		if w.Spot != spot {
			continue
		}
		for w.HasRoom(need) && !d.full() {
			t, rule := choose(w)
			if t == nil {
				break
			}
			d.Stats.countBatchTask(rule)
			d.place(t, w)
		}
	}
}

// resetCursors makes the searches for tasks start over.
func (d *dispatch) resetCursors() {
	clear(d.taskCursor)
	clear(d.imageCursor)
}

// listUncachedJobs lists the active jobs whose image no eligible machine holds.
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

// minNeed returns the least that any waiting task of a range of the batch jobs needs.
func (d *dispatch) minNeed(within jobRange) jobs.Resources {
	need := jobs.UnboundedResources()
	for _, j := range d.batchJobs[within.from:within.to] {
		if j.WaitingCount() > 0 && d.teams.Allows(j.Spec, 1) {
			need.LowerTo(j.Spec)
		}
	}
	return need
}

// inActiveRange reports whether a task's job is in the active range or precedes it.
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

// localTask chooses a batch task that a machine can run without an image pull: one that the plan
// assigns to the machine, else the first by precedence whose image it holds. It returns nil if there
// is none. A reserved machine takes only tasks of the job that it is reserved for.
func (d *dispatch) localTask(w *workers.Worker) (*jobs.Task, placementRule) {
	if j := d.reservations.jobOn(w); j != nil {
		return d.reservedTask(j, w), ruleLocal
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

// reservedTask returns the next task of the job that a machine is reserved for, nil if the machine
// can't take it. The tasks of a gang are placed together, never one by one.
func (d *dispatch) reservedTask(j *jobs.Job, w *workers.Worker) *jobs.Task {
	t := d.nextTask(j)
	if t == nil || j.IsGang() || !d.canTakeTask(t, w) {
		return nil
	}
	return t
}

// firstCachedJob returns the first active job by precedence whose image a machine holds and whose
// tasks it may take, nil if there is none.
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

// chooseTask chooses a batch task for a machine: a local one, then the oldest whose image no
// eligible machine holds, then one stolen from the fullest plan. It returns nil if there is none.
func (d *dispatch) chooseTask(w *workers.Worker) (*jobs.Task, placementRule) {
	if t, rule := d.localTask(w); t != nil || d.IsReserved(w) {
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
	// Without plans, an idle machine steals from the queue.
	for _, j := range d.activeJobs() {
		if d.canTakeAnyOf(j, w) {
			return d.nextTask(j), ruleStolen
		}
	}
	return nil, ruleStolen
}

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

// spotFirst lists the two kinds of machines, spot or not, as they are filled.
var spotFirst = [...]bool{true, false}

// jobRange is a range of batch jobs by precedence, from an index to before another.
type jobRange struct{ from, to int }

// fillIdleMachines lets every machine with room take work. Teams without a guarantee have what the
// others leave: since their tasks are local to the machines that they fill, they would otherwise
// take each place there that becomes free before guaranteed work, which then had to preempt.
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
	clear(d.firstByImage)
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

// activeJobs are the batch jobs whose turn it is.
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

// inActiveRange says whether a task's job is one of those whose turn it is, or precedes them.
func (d *dispatch) inActiveRange(t *jobs.Task) bool {
	return d.activeRange.to > d.firstBorrower || !d.teams.IsBorrower(t.Job.Spec.Team)
}

// canTakeTask says whether a machine may have a task now.
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

// canTakeAnyOf says whether a machine may have any task of a job now.
func (d *dispatch) canTakeAnyOf(j *jobs.Job, w *workers.Worker) bool {
	return j.WaitingCount() > 0 && d.canRunOn(j, w) && d.nextTask(j) != nil
}

// localTask chooses a batch task for a machine that need not pull its image: what is planned for
// the machine, then the first by precedence whose image it holds. It returns nil if there is none.
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
		list := d.byImage[image.Name]
		first := d.firstByImage[image.Name]
		for first < len(list) && d.batchJobs[list[first]].WaitingCount() == 0 {
			first++
		}
		d.firstByImage[image.Name] = first
		for _, i := range list[first:] {
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

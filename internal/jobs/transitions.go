package jobs

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// setState is the only function that changes a task's state, except when it is loaded.
func (tb *Table) setState(t *Task, next State) {
	from := t.State
	if from == next {
		return
	}
	if from == Completed {
		panic("a completed task is final")
	}
	j := t.Job
	j.move(from, next)
	tb.OnStateChange(t, from, next)
	t.State, t.StateSince = next, tb.now()
	tb.updateWaiting(j)
	if !next.Allocated() {
		t.setReportedStatus("", tb.now())
	}
	if next == Waiting && j.Phase == Open {
		tb.OnWaiting(t)
	}
}

// UpdateStatus sets the status that a worker reports for a task. It has no effect on a task that is
// not allocated.
func (tb *Table) UpdateStatus(t *Task, status api.TaskStatus) {
	if t.State.Allocated() && t.ReportedStatus != status {
		t.setReportedStatus(status, tb.now())
	}
}

// Place places a waiting task on a machine, in a new attempt. onDurable is called once the placement
// is durable, unless it has been superseded by then. The task must not be launched earlier.
func (tb *Table) Place(t *Task, machineID ident.MachineID, incarnation ident.Incarnation, onDurable func()) {
	tb.PlaceAttempt(t, machineID, incarnation, t.Attempt+1, onDurable)
}

// PlaceAttempt is Place in a given attempt, which must not be lower than the task's last one.
func (tb *Table) PlaceAttempt(
	t *Task, machineID ident.MachineID, incarnation ident.Incarnation, attempt ident.Attempt, onDurable func(),
) {
	if attempt < t.Attempt {
		panic("the attempt of a task is lower than its last one")
	}
	t.Attempt = attempt
	t.placements++
	t.MachineID, t.Incarnation = machineID, incarnation
	tb.setState(t, Placing)
	placement := t.placements
	tb.persistTask(t, func() {
		if t.placements != placement || t.State != Placing {
			return
		}
		tb.setState(t, Assigned)
		onDurable()
	})
}

// persistTask writes a task's state. It is written to the log: a put for each change of a task, or of
// its job, would take the whole write rate of the store while a large fleet starts.
func (tb *Table) persistTask(t *Task, onDurable func()) { tb.commits.Append(t, onDurable) }

// MarkStopping records that a task is being stopped with a grace period.
func (tb *Table) MarkStopping(t *Task, gracePeriod time.Duration) {
	t.GracePeriod = gracePeriod
	tb.setState(t, Stopping)
}

// MarkGone records that an allocated task is proven not to be on its machine: it waits to be placed
// again. onDurable, unless nil, is called once that is durable; if the task is not allocated, it is
// not called.
func (tb *Table) MarkGone(t *Task, onDurable func()) {
	if !t.State.Allocated() {
		return
	}
	tb.setState(t, Waiting)
	tb.persistTask(t, onDurable)
	tb.archiveIfDone(t.Job)
}

// Complete records that a task has completed. onDurable, unless nil, is called once that is durable.
func (tb *Table) Complete(t *Task, onDurable func()) {
	j := t.Job
	t.ConsecutiveErrors = 0
	tb.setState(t, Completed)
	j.Suspect, j.Backoff = false, 0
	if j.IsGang() && j.Phase == Open {
		tb.completeGang(j)
	}
	if j.Phase == Open && (j.IsGang() || j.allCompleted()) {
		tb.closeJob(j, Done)
	}
	tb.persistCompletion(t, onDurable)
	tb.archiveIfDone(j)
}

// persistCompletion writes a task's completion. That of a job which is done is written only as a
// whole, with the job's end: a new leader must not find part of a gang completed.
func (tb *Table) persistCompletion(t *Task, onDurable func()) {
	j := t.Job
	switch {
	case j.Phase != Done || j.storage.archived:
		tb.persistTask(t, onDurable)
	case onDurable != nil:
		j.callbacks.completed = append(j.callbacks.completed, onDurable)
	}
}

// completeGang completes the tasks of a gang of which one has completed. Those that may be on a machine
// and are not reported running stay allocated until they are proven gone: a gang whose result
// was saved by an earlier attempt completes before all its tasks have started, and the rest
// still takes room of its machines and of its team's quota.
func (tb *Table) completeGang(j *Job) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		mayStart := t.State == Assigned || t.State == Stopping
		if mayStart && !isRunning(t.ReportedStatus) {
			continue
		}
		tb.setState(t, Completed)
	}
}

// Cancel ends an open job at its user's request. onDurable is called once that is durable.
func (tb *Table) Cancel(j *Job, onDurable func()) {
	if j.Phase == Open {
		tb.closeJob(j, Cancelled)
	}
	phaseDurable := func() {
		if j.DurablePhase == Open {
			j.markPhaseDurable()
		}
		onDurable()
	}
	tb.archiveIfDone(j)
	if tb.packedLog && j.storage.format != inLog && j.SubmissionDurable && !j.storage.archived {
		// The header may be put again only when the log has the tasks.
		tb.convertJob(j, phaseDurable)
		return
	}
	tb.commits.MarkDirty(j.storage.header, phaseDurable)
}

// archiveIfDone archives a job that is over and has no allocated tasks. One transaction deletes its
// live key and writes the other, so that it is always found under one of them.
func (tb *Table) archiveIfDone(j *Job) {
	if j.Phase == Open || j.AllocatedTasks > 0 || j.storage.archived {
		return
	}
	j.storage.archived = true
	record := j.archiveRecord()
	j.storage.header.ExtraMutations = func() []kvstore.Mutation {
		return []kvstore.Mutation{{Put: ArchiveKey(j.Spec.ID), Value: api.JSON(record)}}
	}
	// A submission that is not durable yet is acknowledged only together with the job's end.
	submitted := j.callbacks.submitted
	j.callbacks.submitted = nil
	tb.commits.MarkDirty(j.storage.header, func() { tb.finishArchiving(j, record, submitted) })
}

// finishArchiving drops a job that is durably archived, and calls the callbacks that wait for that.
func (tb *Table) finishArchiving(j *Job, record ArchivedJob, submitted []func()) {
	tb.RememberArchived(j.Spec.ID, record)
	delete(tb.Jobs, j.Spec.ID)
	tb.OnArchived(j.Spec.ID)
	j.markPhaseDurable()
	callAll(&submitted)
	callAll(&j.callbacks.completed)
	callAll(&j.callbacks.converted)
	for i := range j.Tasks {
		tb.commits.Release(&j.Tasks[i].logPin)
	}
	// Segments without a header have no effect; a new leader deletes those that are left.
	for _, doc := range j.storage.segments {
		tb.commits.MarkDirty(doc, nil)
	}
}

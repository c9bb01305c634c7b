package jobs

import (
	"fmt"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// setState changes a task's state. It is the only function that does, apart from loading a task from the
// store.
func (tb *Table) setState(t *Task, next State) {
	from := t.State
	if from == next {
		return
	}
	if from == Completed {
		panic(fmt.Sprintf("task %s: state change to %s after completion", t.TaskID(), next))
	}
	j := t.Job
	j.recordTransition(from, next)
	tb.OnStateChange(t, from, next)
	t.State, t.StateSince = next, tb.now()
	tb.updateWaiting(j)
	if !next.Allocated() {
		t.setReportedStatus("", tb.now())
	}
	if next == Waiting && j.Phase == Open {
		tb.OnWaiting(j)
	}
}

// UpdateStatus sets the status that a worker reports for a task. It ignores tasks that are not allocated.
func (tb *Table) UpdateStatus(t *Task, status api.TaskStatus) {
	if t.State.Allocated() && t.ReportedStatus != status {
		t.setReportedStatus(status, tb.now())
	}
}

// Place places a waiting task on a machine, in a new attempt. onDurable is called once the placement is
// durable, unless the task's state has changed by then. The task must not be launched before that call.
func (tb *Table) Place(t *Task, machineID ident.MachineID, incarnation ident.Incarnation, onDurable func()) {
	tb.PlaceAttempt(t, machineID, incarnation, t.Attempt+1, onDurable)
}

// PlaceAttempt is like Place but uses the given attempt, which must not be lower than the task's last attempt.
func (tb *Table) PlaceAttempt(
	t *Task, machineID ident.MachineID, incarnation ident.Incarnation, attempt ident.Attempt, onDurable func(),
) {
	if attempt < t.Attempt {
		panic(fmt.Sprintf("task %s: placement in attempt %d, last attempt was %d", t.TaskID(), attempt, t.Attempt))
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

// persistTask appends a task's state to the log. Writing a separate key for each change of a task or job
// would use up the store's write rate while a large fleet starts.
func (tb *Table) persistTask(t *Task, onDurable func()) { tb.commits.Append(t, onDurable) }

// MarkStopping records that a task is being stopped with a grace period.
func (tb *Table) MarkStopping(t *Task, gracePeriod time.Duration) {
	t.GracePeriod = gracePeriod
	tb.setState(t, Stopping)
}

// MarkNotRunning records that an allocated task can no longer run on its machine. The task then waits to be placed
// again. onDurable may be nil; it is called once the change is durable. If the task is not allocated,
// MarkNotRunning does nothing and does not call onDurable.
func (tb *Table) MarkNotRunning(t *Task, onDurable func()) {
	if !t.State.Allocated() {
		return
	}
	tb.setState(t, Waiting)
	tb.persistTask(t, onDurable)
	tb.archiveIfDone(t.Job)
}

// Complete records that a task has completed. onDurable may be nil; it is called once the completion is
// durable.
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

// persistCompletion writes a task's completion to the log. If the job is done, the completions of its last
// tasks are written only when the job is archived, in one transaction: a new leader must not load a gang of
// which only some tasks have completed.
func (tb *Table) persistCompletion(t *Task, onDurable func()) {
	j := t.Job
	switch {
	case j.Phase != Done || j.storage.archived:
		tb.persistTask(t, onDurable)
	case onDurable != nil:
		j.callbacks.completed = append(j.callbacks.completed, onDurable)
	}
}

// completeGang marks the tasks of a gang as completed after one of them has completed. Tasks that may be on
// a machine but are not reported running stay allocated until they can no longer run there. A gang whose
// result was saved by an earlier attempt can complete before all its tasks have started, and a task that
// starts later still uses resources of its machine and quota of its team.
func (tb *Table) completeGang(j *Job) {
	for _, t := range j.Tasks.All() {
		mayStart := t.State == Assigned || t.State == Stopping
		if mayStart && !isRunning(t.ReportedStatus) {
			continue
		}
		tb.setState(t, Completed)
	}
}

// Cancel ends an open job at the user's request. onDurable is called once the cancellation is durable.
func (tb *Table) Cancel(j *Job, onDurable func()) {
	if j.Phase == Open {
		tb.closeJob(j, Cancelled)
	}
	tb.archiveIfDone(j)
	if tb.packedLog && j.storage.format != inLog && j.SubmissionDurable && !j.storage.archived {
		// A header written from now on has no tasks, so the log must have them first.
		tb.convertJob(j, onDurable)
		return
	}
	tb.commits.MarkDirty(j.storage.header, onDurable)
}

// archiveIfDone archives a job that has ended and has no allocated tasks. A single transaction deletes the
// live key and writes the archive key, so that the job is always found under exactly one of them.
func (tb *Table) archiveIfDone(j *Job) {
	if j.Phase == Open || j.AllocatedTasks > 0 || j.storage.archived {
		return
	}
	j.storage.archived = true
	record := j.archiveRecord()
	j.storage.header.ExtraMutations = func() []kvstore.Mutation {
		return []kvstore.Mutation{{Put: ArchiveKey(j.Spec.ID), Value: api.JSON(record)}}
	}
	tb.commits.MarkDirty(j.storage.header, func() { tb.finishArchiving(j, record) })
}

// finishArchiving removes a job whose archive record is durable, and calls the callbacks that wait for it.
func (tb *Table) finishArchiving(j *Job, record ArchivedJob) {
	tb.RememberArchived(j.Spec.ID, record)
	delete(tb.Jobs, j.Spec.ID)
	tb.OnArchived(j.Spec.ID)
	callAll(&j.callbacks.completed)
	callAll(&j.callbacks.converted)
	for t := range j.Tasks.Created() {
		tb.commits.Release(&t.logPin)
	}
	// Segments without a header have no effect. A new leader deletes any that remain.
	for _, doc := range j.storage.segments {
		tb.commits.MarkDirty(doc, nil)
	}
}

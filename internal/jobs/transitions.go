package jobs

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// NoteFailure notes that a task of a job has failed: it is to be seen whether that is the job's
// own fault.
func (tb *Table) NoteFailure(j *Job) { tb.unexplainedFailures[j] = true }

// ProvenHealthy says whether the job has shown that it can run: a task of it has completed, or has
// run for a while. Its failures are rather its machines' fault.
func (j *Job) ProvenHealthy() bool { return j.provenHealthy || j.CompletedTasks > 0 }

// ClearProvenHealthy looks at the jobs of which tasks have failed: one that has run for a while shows
// that it was not their fault.
func (tb *Table) ClearProvenHealthy() {
	for j := range tb.unexplainedFailures {
		if j.Phase != Open {
			delete(tb.unexplainedFailures, j)
			continue
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if t.State == Assigned && t.SeenRunning() && tb.now().Sub(t.RunningSince) > provenHealthyAfter {
				j.provenHealthy, j.Suspect, j.Backoff = true, false, 0
				delete(tb.unexplainedFailures, j)
				break
			}
		}
	}
}

// provenHealthyAfter is how long that is. What is submitted with a mistake mostly fails within
// seconds.
const provenHealthyAfter = 10 * time.Second

// setState is the one place where a task changes its state.
func (tb *Table) setState(t *Task, next State) {
	from := t.State
	if from == next {
		return
	}
	j := t.Job
	if from.Allocated() && !next.Allocated() {
		j.AllocatedTasks--
	}
	if !from.Allocated() && next.Allocated() {
		j.AllocatedTasks++
	}
	if next == Completed {
		j.CompletedTasks++
	}
	if from == Completed {
		panic("a finished task is final")
	}
	tb.OnStateChange(t, from, next)
	t.State, t.StateSince = next, tb.now()
	tb.updateWaiting(j)
	if !next.Allocated() {
		t.setReportedStatus(tb, "")
	}
	if next == Waiting && j.Phase == Open {
		tb.OnWaiting(t)
	}
}

// isRunning says whether a task with that status has started and not ended.
func isRunning(s api.TaskStatus) bool { return s == api.Running || s == api.Flushing }

// setReportedStatus notes the newest reported status.
func (t *Task) setReportedStatus(tb *Table, status api.TaskStatus) {
	if isRunning(t.ReportedStatus) {
		t.Job.RunningTasks--
	}
	if isRunning(status) {
		t.Job.RunningTasks++
		if !isRunning(t.ReportedStatus) {
			t.RunningSince = tb.now()
			slog.Debug("task runs", "task", t.TaskID().String(), "host", string(t.MachineID), "try", uint64(t.Attempt),
				"placed_s", t.StateSince.Sub(0).Seconds(), "job_age_s", t.RunningSince.Sub(t.Job.SubmittedAt).Seconds())
		}
	}
	t.ReportedStatus = status
}

// UpdateStatus notes what a worker reports of a task that is on it.
func (tb *Table) UpdateStatus(t *Task, status api.TaskStatus) {
	if t.State.Allocated() && t.ReportedStatus != status {
		t.setReportedStatus(tb, status)
	}
}

// Place chooses a machine for a waiting task; then is called once that is
// durable, if it still holds. Only then may the task be launched: a successor
// must find every task that may be on a machine.
func (tb *Table) Place(t *Task, machineID ident.MachineID, incarnation ident.Incarnation, onDurable func()) {
	tb.PlaceAttempt(t, machineID, incarnation, t.Attempt+1, onDurable)
}

// PlaceAttempt is Place in an attempt whose number is given.
func (tb *Table) PlaceAttempt(t *Task, machineID ident.MachineID, incarnation ident.Incarnation, attempt ident.Attempt, onDurable func()) {
	if attempt < t.Attempt {
		panic("attempts are never numbered back")
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

// MarkStopping notes that a task was told to stop.
func (tb *Table) MarkStopping(t *Task, gracePeriod time.Duration) {
	t.GracePeriod = gracePeriod
	tb.setState(t, Stopping)
}

// MarkGone notes that a task that counted on its machine is proven not to be there.
// then is called once that is durable.
func (tb *Table) MarkGone(t *Task, onDurable func()) {
	if !t.State.Allocated() {
		return
	}
	tb.setState(t, Waiting)
	tb.persistTask(t, onDurable)
	tb.archiveIfDone(t.Job)
}

// Complete notes that a task has completed; then is called once it is durable.
func (tb *Table) Complete(t *Task, onDurable func()) {
	t.ConsecutiveErrors = 0
	tb.setState(t, Completed)
	j := t.Job
	j.Suspect, j.Backoff = false, 0
	if j.IsGang() && j.Phase == Open {
		tb.finishGang(j)
	}
	if j.Phase == Open && (j.CompletedTasks == len(j.Tasks) || j.IsGang()) && j.Spec.Shape != api.Service {
		tb.closeJob(j, Done)
	}
	if j.Phase == Done && !j.archived {
		// The job goes over as a whole, and its segments go with it: a successor must not
		// find a part of a gang done.
		if onDurable != nil {
			j.onSubmitted = append(j.onSubmitted, onDurable)
		}
	} else {
		tb.persistTask(t, onDurable)
	}
	tb.archiveIfDone(j)
}

// finishGang finishes the tasks of a gang of which one is done: they end together. Those
// that were not seen to run still count on their machines until they are proven gone. (When
// a gang's result is kept from an earlier attempt, each task ends as soon as it has its
// image: the room of those that had not was given to others, and a team was over its limit
// when they got it.)
func (tb *Table) finishGang(j *Job) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.State == Completed:
		case t.State.Allocated() && t.State != Placing && !isRunning(t.ReportedStatus):
		default:
			tb.setState(t, Completed)
		}
	}
}

// Cancel ends a job at its user's wish; then is called once that is durable.
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
	if tb.packedLog && j.storage != inLog && j.SubmissionDurable && !j.archived {
		// Its header can't be put again before the log has its tasks.
		tb.convertJob(j, phaseDurable)
		return
	}
	tb.commits.MarkDirty(j.headerDoc, phaseDurable)
}

// archiveIfDone moves a job that needs no machine any more to the jobs that are over:
// in one transaction, so that it is always found in one of both places.
func (tb *Table) archiveIfDone(j *Job) {
	if j.Phase == Open || j.AllocatedTasks > 0 || j.archived {
		return
	}
	j.archived = true
	archived := ArchivedJob{Phase: j.Phase, Tasks: len(j.Tasks), CompletedTasks: j.CompletedTasks}
	if j.Phase == Done {
		archived.CompletedTasks = archived.Tasks
	}
	j.headerDoc.ExtraMutations = func() []kvstore.Mutation {
		return []kvstore.Mutation{{Put: ArchiveKey(j.Spec.ID), Value: api.JSON(archived)}}
	}
	onSubmitted := j.onSubmitted
	j.onSubmitted = nil
	tb.commits.MarkDirty(j.headerDoc, func() {
		tb.RememberArchived(j.Spec.ID, archived)
		delete(tb.Jobs, j.Spec.ID)
		tb.OnArchived(j.Spec.ID)
		j.markPhaseDurable()
		for _, f := range append(onSubmitted, j.onConverted...) {
			f()
		}
		j.onConverted = nil
		for i := range j.Tasks {
			tb.commits.Release(&j.Tasks[i].logPin)
		}
		// Segments without a header mean nothing; a successor drops them too.
		for _, doc := range j.segmentDocs {
			tb.commits.MarkDirty(doc, nil)
		}
	})
}

package jobs

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Task is one task of a job.
type Task struct {
	Job   *Job
	Index int // in Job.Tasks

	// The stored state of a task. Its machine and incarnation are stored while it is allocated.
	State       State
	Attempt     ident.Attempt     // of its newest placement, 0 if it was never placed
	MachineID   ident.MachineID   // of its newest placement
	Incarnation ident.Incarnation // of the machine's worker when the task was placed

	// The state that is kept for this term only.
	ReportedStatus    api.TaskStatus // newest one of the present attempt, "" if there is none
	StateSince        ident.MonotonicTime
	RunningSince      ident.MonotonicTime // when it was first reported running
	RetryAt           ident.MonotonicTime // it is not placed earlier
	PreemptedAt       ident.MonotonicTime // when it was last stopped to make room; 0: never
	ConsecutiveErrors int                 // failures since it last completed or was started anew
	GracePeriod       time.Duration       // with which it is stopping
	PlannedMachine    ident.MachineID     // scratch space of the planner: machine in the current plan

	placements uint64 // number of its placements in this term; an attempt of a gang may have several
	logPin     commit.Pin
}

// TaskID returns the task's ID.
func (t *Task) TaskID() ident.TaskID { return ident.TaskID{Job: t.Job.Spec.ID, Index: t.Index} }

// PlacedThisTerm reports whether the task was placed in this term.
func (t *Task) PlacedThisTerm() bool { return t.placements > 0 }

// SeenRunning reports whether the task was reported running since it entered its state.
func (t *Task) SeenRunning() bool { return t.RunningSince > t.StateSince }

// CheckpointGracePeriod returns the grace period that a task needs to save a checkpoint when it
// is stopped alone; 0 if it saves none.
func (t *Task) CheckpointGracePeriod() time.Duration {
	if !t.Job.Spec.CanCheckpoint() {
		return 0
	}
	return t.Job.CheckpointTime()
}

// setReportedStatus sets the newest reported status, and updates the job's number of running tasks.
func (t *Task) setReportedStatus(status api.TaskStatus, now ident.MonotonicTime) {
	wasRunning := isRunning(t.ReportedStatus)
	t.ReportedStatus = status
	switch {
	case isRunning(status) && !wasRunning:
		t.Job.RunningTasks++
		t.RunningSince = now
		t.logRunning()
	case !isRunning(status) && wasRunning:
		t.Job.RunningTasks--
	}
}

func (t *Task) logRunning() {
	slog.Debug("task running", "task", t.TaskID().String(), "machine", string(t.MachineID), "attempt", uint64(t.Attempt),
		"placed_at_s", t.StateSince.Sub(0).Seconds(), "job_age_s", t.RunningSince.Sub(t.Job.SubmittedAt).Seconds())
}

// isRunning reports whether a task with that status has started and not ended.
func isRunning(s api.TaskStatus) bool { return s == api.Running || s == api.Flushing }

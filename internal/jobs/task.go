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
	Index int // index in Job.Tasks

	// Stored state. The machine and incarnation are stored only while the task is allocated.
	State       State
	Attempt     ident.Attempt     // attempt of the latest placement; 0: never placed
	MachineID   ident.MachineID   // machine of the latest placement
	Incarnation ident.Incarnation // incarnation of the machine's worker when the task was placed

	// State of this term only, which is not stored.
	ReportedStatus    api.TaskStatus      // latest reported status of the current attempt; "": none
	StateSince        ident.MonotonicTime // when the task entered its state
	RunningSince      ident.MonotonicTime // when the reported status last changed to running; 0: never
	RetryAt           ident.MonotonicTime // the task is not placed before this time
	PreemptedAt       ident.MonotonicTime // when the task was last preempted; 0: never
	ConsecutiveErrors int                 // failures and rejections since the task last completed
	GracePeriod       time.Duration       // grace period in state Stopping
	PlannedMachine    ident.MachineID     // scratch space of the planner: machine in the current plan

	placements uint64 // number of placements in this term; a gang may place a task several times in one attempt
	logPin     commit.Pin
}

// TaskID returns the task's ID.
func (t *Task) TaskID() ident.TaskID { return ident.TaskID{Job: t.Job.Spec.ID, Index: t.Index} }

// PlacedThisTerm reports whether the task was placed in this term.
func (t *Task) PlacedThisTerm() bool { return t.placements > 0 }

// SeenRunning reports whether the task was first reported running after it entered its current state.
func (t *Task) SeenRunning() bool { return t.RunningSince > t.StateSince }

// CheckpointGracePeriod returns the grace period that the task needs to save a checkpoint when only this
// task is stopped. It returns 0 if the job does not save checkpoints.
func (t *Task) CheckpointGracePeriod() time.Duration {
	if !t.Job.Spec.CanCheckpoint() {
		return 0
	}
	return t.Job.CheckpointTime()
}

// setReportedStatus sets the reported status and updates the job's number of running tasks.
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

// isRunning reports whether a task with this status has started and not ended yet.
func isRunning(s api.TaskStatus) bool { return s == api.Running || s == api.Flushing }

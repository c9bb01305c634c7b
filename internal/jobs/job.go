package jobs

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// Job is an accepted job that is not archived.
type Job struct {
	Spec          *api.Spec
	Seq           uint64 // order of submission
	SubmittedAtMS int64  // wall clock time of the submission
	SubmittedAt   ident.MonotonicTime
	Tasks         []Task
	TaskCounts

	Phase             Phase               // in memory
	ClosedAt          ident.MonotonicTime // when it left phase Open; assumedClosedFor ago if in an earlier term
	DurablePhase      Phase               // known to be in the store
	SubmissionDurable bool                // the job is known to be in the store
	callbacks         callbacks
	storage           storage

	// The state of retries, which the owner of the table keeps.
	AvoidedMachines map[ident.MachineID]bool // where a task of the job ended with an error
	RetryAt         ident.MonotonicTime      // no task is placed earlier
	Backoff         time.Duration            // by which RetryAt was last set
	// Suspect is set when tasks have failed on several machines and none has completed since: the
	// job is more likely at fault than the machines. One task is then placed at a time.
	Suspect       bool
	provenHealthy bool // a task has run for provenHealthyAfter

	// AllocatedByZone holds the numbers of allocated tasks, for a job whose zones matter. The owner
	// of the table keeps it.
	AllocatedByZone map[string]int
	// WithinQuota reports whether the job fits into its team's guarantee along with the team's earlier
	// open jobs. The planner keeps it.
	WithinQuota bool
	// AcceptsReplacements reports whether lost tasks of a gang may be replaced in its present attempt.
	// Package gang keeps it.
	AcceptsReplacements bool
}

// TaskCounts holds the numbers of a job's tasks by state.
type TaskCounts struct {
	AllocatedTasks int // placed on a machine and not proven to be gone from it
	CompletedTasks int
	RunningTasks   int // reported running
}

// move counts the change of a task's state.
func (c *TaskCounts) move(from, to State) {
	c.add(from, -1)
	c.add(to, 1)
}

func (c *TaskCounts) add(s State, n int) {
	switch {
	case s.Allocated():
		c.AllocatedTasks += n
	case s == Completed:
		c.CompletedTasks += n
	}
}

// callbacks holds the functions to call once a change of a job is durable.
type callbacks struct {
	submitted    []func() // the submission
	phaseDurable []func() // the end of phase Open
	completed    []func() // the end of a job that is done, for the tasks that completed last
	converted    []func() // the conversion to the packed log
}

// callAll calls the functions of a list, and empties it.
func callAll(list *[]func()) {
	pending := *list
	*list = nil
	for _, f := range pending {
		f()
	}
}

// IsGang reports whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == api.Gang }

// CheckpointTime returns the time that a task of the job takes to save a checkpoint, rounded up.
func (j *Job) CheckpointTime() time.Duration {
	return time.Duration(j.Spec.CheckpointS*float64(time.Second)) + time.Millisecond
}

// ReadyToLaunch reports whether durable placements of the job may be launched. Those of a gang may
// only if the placements of all tasks in the same attempt are durable.
func (j *Job) ReadyToLaunch() bool {
	if !j.IsGang() {
		return true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State != Assigned || t.Attempt != j.Tasks[0].Attempt {
			return false
		}
	}
	return true
}

// HighestAttempt returns the highest attempt in which any task was placed.
func (j *Job) HighestAttempt() ident.Attempt {
	var highest ident.Attempt
	for i := range j.Tasks {
		highest = max(highest, j.Tasks[i].Attempt)
	}
	return highest
}

// WaitingCount returns how many tasks wait to be placed.
func (j *Job) WaitingCount() int {
	if j.Phase != Open {
		return 0
	}
	return len(j.Tasks) - j.AllocatedTasks - j.CompletedTasks
}

// WaitingTasks returns the first tasks that wait to be placed, up to a limit.
func (j *Job) WaitingTasks(limit int) []*Task {
	var list []*Task
	for i := range j.Tasks {
		if len(list) >= limit {
			break
		}
		if t := &j.Tasks[i]; t.State == Waiting {
			list = append(list, t)
		}
	}
	return list
}

// PlaceableCount returns how many tasks may be placed now.
func (j *Job) PlaceableCount() int {
	if j.Suspect {
		return min(j.WaitingCount(), max(0, 1-j.AllocatedTasks))
	}
	return j.WaitingCount()
}

// ProvenHealthy reports whether the job has shown that it can run: a task has completed, or has run
// for provenHealthyAfter. Its failures are then more likely the fault of machines.
func (j *Job) ProvenHealthy() bool { return j.provenHealthy || j.CompletedTasks > 0 }

// allCompleted reports whether all tasks have completed. It is false for a service, which runs until
// it is cancelled.
func (j *Job) allCompleted() bool {
	return j.Spec.Shape != api.Service && j.CompletedTasks == len(j.Tasks)
}

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
	SubmittedAtMS int64  // wall clock time of the submission, in Unix milliseconds
	SubmittedAt   ident.MonotonicTime
	Tasks         TaskList
	TaskCounts

	Phase             Phase               // current phase, which may not be durable yet
	ClosedAt          ident.MonotonicTime // when the job left phase Open; see assumedClosedFor for earlier terms
	DurablePhase      Phase               // phase known to be in the store
	SubmissionDurable bool                // the job is known to be in the store
	callbacks         callbacks
	storage           storage

	// Retry state, maintained by the owner of the table.
	AvoidedMachines map[ident.MachineID]bool // machines where a task of the job ended with an error
	LastErrorAt     ident.MonotonicTime      // when a task of the job last ended with an error
	RetryAt         ident.MonotonicTime      // no task is placed before this time
	Backoff         time.Duration            // current backoff, by which RetryAt was last set
	// Suspect is set when tasks have failed on several machines and none has completed since: the
	// job is more likely at fault than the machines. Its tasks are then placed one at a time.
	Suspect       bool
	provenHealthy bool // a task has run for provenHealthyAfter

	// AllocatedByZone holds the number of allocated tasks in each zone, for a job whose placement depends
	// on zones. It is maintained by the owner of the table.
	AllocatedByZone map[string]int
	// WithinGuarantee reports whether the job fits into its team's guarantee along with the team's
	// earlier open jobs. It is maintained by the planner.
	WithinGuarantee bool
	// AcceptsReplacements reports whether lost tasks of a gang may be replaced in its current attempt. It is
	// maintained by package gang.
	AcceptsReplacements bool
}

// TaskCounts holds the number of a job's tasks in certain states.
type TaskCounts struct {
	AllocatedTasks int // placed on a machine; they may still run there
	CompletedTasks int
	RunningTasks   int // reported as running
}

// recordTransition updates the counts after a task's state has changed.
func (c *TaskCounts) recordTransition(from, to State) {
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

// callbacks holds the functions to call once a certain change of a job is durable.
type callbacks struct {
	completed []func() // when a job in phase Done is archived; for the tasks that completed last
	converted []func() // when the conversion to the packed log is durable
}

// callAll empties a list of functions and calls each of them.
func callAll(list *[]func()) {
	pending := *list
	*list = nil
	for _, f := range pending {
		f()
	}
}

// IsGang reports whether the job is a gang, whose tasks must all run at the same time.
func (j *Job) IsGang() bool { return j.Spec.Shape == api.Gang }

// CheckpointTime returns how long a task of the job takes to save a checkpoint, rounded up by up to 1 ms.
func (j *Job) CheckpointTime() time.Duration {
	return time.Duration(j.Spec.CheckpointS*float64(time.Second)) + time.Millisecond
}

// ReadyToLaunch reports whether tasks of the job with a durable placement may be launched. The tasks of a
// gang may be launched only once all of them have a durable placement in the same attempt.
func (j *Job) ReadyToLaunch() bool {
	if !j.IsGang() {
		return true
	}
	for _, t := range j.Tasks.All() {
		if t.State != Assigned || t.Attempt != j.Tasks.At(0).Attempt {
			return false
		}
	}
	return true
}

// HighestAttempt returns the highest attempt of any task of the job.
func (j *Job) HighestAttempt() ident.Attempt {
	var highest ident.Attempt
	for t := range j.Tasks.Created() {
		highest = max(highest, t.Attempt)
	}
	return highest
}

// WaitingCount returns the number of tasks that wait to be placed, 0 if the job is not open.
func (j *Job) WaitingCount() int {
	if j.Phase != Open {
		return 0
	}
	return j.Tasks.Len() - j.AllocatedTasks - j.CompletedTasks
}

// WaitingTasks returns up to limit tasks that wait to be placed, in order of their index.
func (j *Job) WaitingTasks(limit int) []*Task {
	var list []*Task
	for i := range j.Tasks.Len() {
		if len(list) >= limit {
			break
		}
		if t := j.Tasks.At(i); t.State == Waiting {
			list = append(list, t)
		}
	}
	return list
}

// PlaceableCount returns how many tasks may be placed now. A suspect job may have only one allocated task.
func (j *Job) PlaceableCount() int {
	if j.Suspect {
		return min(j.WaitingCount(), max(0, 1-j.AllocatedTasks))
	}
	return j.WaitingCount()
}

// ProvenHealthy reports whether the job has shown that it can run: one of its tasks has completed or has
// run for provenHealthyAfter. If tasks of such a job fail, the machines are more likely at fault.
func (j *Job) ProvenHealthy() bool { return j.provenHealthy || j.CompletedTasks > 0 }

// allCompleted reports whether all tasks of the job have completed. It is always false for a service, which
// runs until it is cancelled.
func (j *Job) allCompleted() bool {
	return j.Spec.Shape != api.Service && j.CompletedTasks == j.Tasks.Len()
}

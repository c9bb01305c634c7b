package jobs

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Task is one piece of a job.
type Task struct {
	Job         *Job
	Index       int
	State       State
	Attempt     ident.Attempt
	MachineID   ident.MachineID
	Incarnation ident.Incarnation

	// What follows is not durable.
	ReportedStatus    api.TaskStatus // newest report of this try, "" if none
	placements        uint64         // counts its placements: an attempt of a gang may place it twice
	logPin            commit.Pin
	StateSince        ident.MonotonicTime // when it entered its state
	RunningSince      ident.MonotonicTime // when it was first seen running
	RetryAt           ident.MonotonicTime // not placed earlier
	ConsecutiveErrors int                 // errors in a row
	GracePeriod       time.Duration       // with which it was told to stop
	PreemptedAt       ident.MonotonicTime // when it was last stopped to make room; 0: never
	PlannedMachine    ident.MachineID     // machine of the current plan
}

// PlacedThisTerm says whether the task was placed in this term.
func (t *Task) PlacedThisTerm() bool { return t.placements > 0 }

// SeenRunning says whether the task was seen to run since it entered its state.
func (t *Task) SeenRunning() bool { return t.RunningSince > t.StateSince }

// CheckpointGracePeriod is what a task that is stopped by itself gets to save; 0: it never does.
func (t *Task) CheckpointGracePeriod() time.Duration {
	s := t.Job.Spec
	if !s.CanCheckpoint() {
		return 0
	}
	return time.Duration(s.CheckpointS*float64(time.Second)) + time.Millisecond
}

// TaskID names the task.
func (t *Task) TaskID() ident.TaskID { return ident.TaskID{Job: t.Job.Spec.ID, Index: t.Index} }

// Job is an accepted job that is not yet over.
type Job struct {
	Spec              *api.Spec
	Seq               uint64 // order of arrival
	SubmittedAtMS     int64  // time of day of the arrival
	SubmittedAt       ident.MonotonicTime
	Phase             Phase               // in memory
	DurablePhase      Phase               // known to be in the state service
	SubmissionDurable bool                // the submission is durable
	ClosedAt          ident.MonotonicTime // when it left its open phase; long ago if in an earlier term
	Tasks             []Task

	AllocatedTasks, CompletedTasks, RunningTasks int // tasks that count on a machine, that completed, that were seen running

	// AllocatedByZone counts the held tasks by zone, for jobs that care.
	AllocatedByZone map[string]int

	// AvoidedMachines holds machines where a task of the job ended with an error.
	AvoidedMachines map[ident.MachineID]bool
	RetryAt         ident.MonotonicTime // the job backs off until then
	Backoff         time.Duration
	// Suspect says that its tasks failed on several machines and none has completed
	// since: the fault is rather its own. It is tried with one task at a time.
	Suspect       bool
	provenHealthy bool // a task of it has run for a while

	// WithinQuota says whether the job fits into its team's guarantee along with the
	// team's earlier unfinished jobs; the planner keeps it.
	WithinQuota bool

	// AcceptsReplacements says whether a lost task of a gang may still be replaced in its present
	// attempt; the gang's own duty keeps it.
	AcceptsReplacements bool

	headerDoc       *commit.Document
	segmentDocs     []*commit.Document // of larger jobs; nil for tasks kept in the header
	tasksPerSegment int
	storage         storageFormat
	onConverted     []func() // called once the log alone has its tasks, and the header says so
	archived        bool
	onSubmitted     []func() // called once the submission is durable
	onPhaseDurable  []func() // called once its end is
}

// IsGang says whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == api.Gang }

// ReadyToLaunch says whether the job's tasks may be launched: of a gang all must be durable.
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

// HighestAttempt returns the highest number of an attempt that any task was placed in.
func (j *Job) HighestAttempt() ident.Attempt {
	highest := ident.Attempt(0)
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

// WaitingTasks returns the first tasks that wait, up to so many.
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

// PlaceableCount returns how many tasks may be placed at the most.
func (j *Job) PlaceableCount() int {
	if j.Suspect {
		return min(j.WaitingCount(), max(0, 1-j.AllocatedTasks))
	}
	return j.WaitingCount()
}

// View is the user's view; only durable phases are told.
func (j *Job) View() api.JobView {
	v := api.JobView{ID: j.Spec.ID, Status: api.StatusQueued, Done: j.CompletedTasks, Running: j.RunningTasks}
	switch {
	case j.DurablePhase == Done:
		v.Status, v.Done, v.Running = api.StatusDone, len(j.Tasks), 0
	case j.DurablePhase == Cancelled:
		v.Status, v.Running = api.StatusCancelled, 0
	case j.RunningTasks > 0:
		v.Status = api.StatusRunning
	}
	return v
}

// ArchivedJob is what is kept for ever of a job that is over.
type ArchivedJob struct {
	Phase          Phase `json:"phase"`
	Tasks          int   `json:"pieces"`
	CompletedTasks int   `json:"done"`
}

// View is the user's view of a job that is over.
func (e ArchivedJob) View(id ident.JobID) api.JobView {
	return api.JobView{ID: id, Status: e.Phase.Status(), Done: e.CompletedTasks}
}

// ViewSettled says whether the job's view is what any node would tell.
func (j *Job) ViewSettled() bool {
	return j.SubmissionDurable && (j.Phase == j.DurablePhase || !j.headerDoc.OutcomeUnknown())
}

// WhenViewSettled calls f once the job's view is what any node would tell, and that is at once
// but while its submission or its end is being written: another node may then read what
// this one can't tell yet. (The answer to a cancellation's transaction was lost; a sibling
// read that the job is cancelled, and after that the leader called it running.)
func (j *Job) WhenViewSettled(f func()) {
	switch {
	case !j.SubmissionDurable:
		j.onSubmitted = append(j.onSubmitted, func() { j.WhenViewSettled(f) })
	case !j.ViewSettled():
		j.onPhaseDurable = append(j.onPhaseDurable, f)
	default:
		f()
	}
}

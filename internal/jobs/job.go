package jobs

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Task is one piece of a job.
type Task struct {
	Job     *Job
	Index   int
	State   State
	Attempt ident.Attempt
	Host    ident.MachineID
	Session ident.Incarnation

	// What follows is not durable.
	Seen     api.TaskStatus // newest report of this try, "" if none
	placed   uint64         // counts its placements: an attempt of a gang may place it twice
	pin      commit.Pin
	Since    ident.MonotonicTime // when it entered its state
	RunsAt   ident.MonotonicTime // when it was first seen running
	RetryAt  ident.MonotonicTime // not placed earlier
	Fails    int                 // errors in a row
	WindDown time.Duration       // with which it was told to stop
	GaveWay  ident.MonotonicTime // when it was last stopped to make room; 0: never
	Planned  ident.MachineID     // machine of the current plan
}

// PlacedNow says whether the task was placed in this term.
func (t *Task) PlacedNow() bool { return t.placed > 0 }

// SeenRunning says whether the task was seen to run since it entered its state.
func (t *Task) SeenRunning() bool { return t.RunsAt > t.Since }

// SaveTime is what a task that is stopped by itself gets to save; 0: it never does.
func (t *Task) SaveTime() time.Duration {
	s := t.Job.Spec
	if !s.Saves() {
		return 0
	}
	return time.Duration(s.SnapshotS*float64(time.Second)) + time.Millisecond
}

// TaskID names the task.
func (t *Task) TaskID() ident.TaskID { return ident.TaskID{Job: t.Job.Spec.ID, Index: t.Index} }

// Job is an accepted job that is not yet over.
type Job struct {
	Spec    *api.Spec
	Seq     uint64 // order of arrival
	AtMS    int64  // time of day of the arrival
	Arrived ident.MonotonicTime
	Phase   Phase               // in memory
	Durable Phase               // known to be in the state service
	Known   bool                // the submission is durable
	Ended   ident.MonotonicTime // when it left its open phase; long ago if in an earlier term
	Tasks   []Task

	Held, Done, Runs int // tasks that count on a machine, that completed, that were seen running

	// Zones counts the held tasks by zone, for jobs that care.
	Zones map[string]int

	// Shunned holds machines where a task of the job ended with an error.
	Shunned map[ident.MachineID]bool
	RetryAt ident.MonotonicTime // the job backs off until then
	Backoff time.Duration
	// Suspect says that its tasks failed on several machines and none has completed
	// since: the fault is rather its own. It is tried with one task at a time.
	Suspect bool
	sound   bool // a task of it has run for a while

	// Within says whether the job fits into its team's guarantee along with the
	// team's earlier unfinished jobs; the planner keeps it.
	Within bool

	// Joinable says whether a lost task of a gang may still be replaced in its present
	// attempt; the gang's own duty keeps it.
	Joinable bool

	head   *commit.Document
	segs   []*commit.Document // of larger jobs; nil for tasks kept in the header
	perSeg int
	form   form
	moved  []func() // called once the log alone has its tasks, and the header says so
	over   bool
	wants  []func() // called once the submission is durable
	clears []func() // called once its end is
}

// Gang says whether the job's tasks run together or not at all.
func (j *Job) Gang() bool { return j.Spec.Shape == api.Gang }

// Ready says whether the job's tasks may be launched: of a gang all must be durable.
func (j *Job) Ready() bool {
	if !j.Gang() {
		return true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State != Assigned || t.Attempt != j.Tasks[0].Attempt {
			return false
		}
	}
	return true
}

// LastTry returns the highest number of an attempt that any task was placed in.
func (j *Job) LastTry() ident.Attempt {
	last := ident.Attempt(0)
	for i := range j.Tasks {
		last = max(last, j.Tasks[i].Attempt)
	}
	return last
}

// Waits returns how many tasks wait to be placed.
func (j *Job) Waits() int {
	if j.Phase != Open {
		return 0
	}
	return len(j.Tasks) - j.Held - j.Done
}

// WaitingTasks returns the first tasks that wait, up to so many.
func (j *Job) WaitingTasks(most int) []*Task {
	var list []*Task
	for i := range j.Tasks {
		if len(list) >= most {
			break
		}
		if t := &j.Tasks[i]; t.State == Waiting {
			list = append(list, t)
		}
	}
	return list
}

// Wants returns how many tasks may be placed at the most.
func (j *Job) Wants() int {
	if j.Suspect {
		return min(j.Waits(), max(0, 1-j.Held))
	}
	return j.Waits()
}

// View is the user's view; only durable phases are told.
func (j *Job) View() api.View {
	v := api.View{ID: j.Spec.ID, Status: "queued", Done: j.Done, Running: j.Runs}
	switch {
	case j.Durable == Done:
		v.Status, v.Done, v.Running = "done", len(j.Tasks), 0
	case j.Durable == Cancelled:
		v.Status, v.Running = "cancelled", 0
	case j.Runs > 0:
		v.Status = "running"
	}
	return v
}

// Ended is what is kept for ever of a job that is over.
type Ended struct {
	Phase Phase `json:"phase"`
	Tasks int   `json:"pieces"`
	Done  int   `json:"done"`
}

// View is the user's view of a job that is over.
func (e Ended) View(id ident.JobID) api.View {
	return api.View{ID: id, Status: e.Phase.String(), Done: e.Done}
}

// Clear says whether the job's view is what any node would tell.
func (j *Job) Clear() bool { return j.Known && (j.Phase == j.Durable || !j.head.OutcomeUnknown()) }

// WhenClear calls f once the job's view is what any node would tell, and that is at once
// but while its submission or its end is being written: another node may then read what
// this one can't tell yet. (The answer to a cancellation's transaction was lost; a sibling
// read that the job is cancelled, and after that the leader called it running.)
func (j *Job) WhenClear(f func()) {
	switch {
	case !j.Known:
		j.wants = append(j.wants, func() { j.WhenClear(f) })
	case !j.Clear():
		j.clears = append(j.clears, f)
	default:
		f()
	}
}

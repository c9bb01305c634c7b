// Package jobs keeps the state of jobs and their tasks: what users have submitted, what of it is
// durable in the store, and all changes of the states of tasks.
//
// A change is made in memory first and written by the committer. Users and workers learn of it only
// once it is durable: a task is launched only when its placement is durable, so that a new leader
// knows every task that may be on a machine.
package jobs

import (
	"slices"
	"sort"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Table holds all jobs that are not archived, for one term. It is not safe for concurrent use: all
// calls come from the node's event loop.
type Table struct {
	Jobs map[ident.JobID]*Job
	Seq  uint64 // of the newest job

	// Indexes of the jobs whose submission is durable: those with waiting tasks, and the open jobs
	// of each team. They spare the planner an iteration over all jobs.
	Waiting map[*Job]struct{}
	Teams   map[string]*Team

	unexplainedFailures map[*Job]bool            // jobs of which tasks failed for an unknown reason
	archive             *RecentJobs[ArchivedJob] // jobs that are over; the store has all of them

	commits         *commit.Committer
	now             func() ident.MonotonicTime
	wallClock       func() int64 // in milliseconds
	tasksPerSegment int
	maxInlineTasks  int  // in a header; those of larger jobs are in segments
	maxValueBytes   int  // the lowest limit on the size of values, at any time
	packedLog       bool // the tasks of new jobs are in the log alone

	// OnWaiting is called when a task begins to wait for a machine.
	OnWaiting func(*Task)
	// OnStateChange is called before each change of a task's state. It updates the task's machine
	// and team.
	OnStateChange func(t *Task, from, to State)
	// OnArchived is called when a job is durably archived.
	OnArchived func(ident.JobID)
}

// Team is the open jobs of a team.
type Team struct {
	OpenJobs         []*Job // in the order of submission
	ChangedSincePlan bool   // OpenJobs has changed since the planner last reset this
}

// maxArchived bounds the number of archived jobs that are kept in memory.
const maxArchived = 20_000

// NewTable makes an empty table. Values in the store have up to valueBytes bytes; now is the
// monotonic clock and wallClock the time of day in milliseconds.
func NewTable(commits *commit.Committer, valueBytes int, now func() ident.MonotonicTime, wallClock func() int64) *Table {
	return &Table{
		Jobs:                map[ident.JobID]*Job{},
		Waiting:             map[*Job]struct{}{},
		Teams:               map[string]*Team{},
		unexplainedFailures: map[*Job]bool{},
		archive:             NewRecentJobs[ArchivedJob](maxArchived),
		commits:             commits,
		now:                 now,
		wallClock:           wallClock,
		tasksPerSegment:     max(1, (valueBytes-segmentReserveBytes)/maxRecordBytes),
		maxInlineTasks:      max(0, (valueBytes-HeaderSpecBytes)/maxRecordBytes),
		maxValueBytes:       valueBytes,
		OnWaiting:           func(*Task) {},
		OnStateChange:       func(*Task, State, State) {},
		OnArchived:          func(ident.JobID) {},
	}
}

// LimitValueBytes lowers the limit on the size of values, in bytes, to one that is announced.
func (tb *Table) LimitValueBytes(valueBytes int) {
	tb.maxValueBytes = min(tb.maxValueBytes, valueBytes)
}

// Add adds a submitted job. One of the functions is called: onDurable once the job is durable, or
// onDuplicate if a job of that ID turns out to be archived.
func (tb *Table) Add(s *api.Spec, onDurable, onDuplicate func()) *Job {
	tb.Seq++
	j := &Job{Spec: s, Seq: tb.Seq, SubmittedAtMS: tb.wallClock(), SubmittedAt: tb.now()}
	tb.initStorage(j)
	header := j.storage.header
	header.MustNotExist = []string{ArchiveKey(s.ID)}
	header.OnExists = func() {
		delete(tb.Jobs, s.ID)
		onDuplicate()
	}
	j.callbacks.submitted = append(j.callbacks.submitted, onDurable)
	tb.Jobs[s.ID] = j
	tb.commits.MarkDirty(header, func() { tb.markSubmissionDurable(j) })
	return j
}

func (tb *Table) markSubmissionDurable(j *Job) {
	j.SubmissionDurable = true
	tb.addToIndexes(j)
	callAll(&j.callbacks.submitted)
	for i := range j.Tasks {
		tb.OnWaiting(&j.Tasks[i])
	}
}

// addToIndexes adds a job to the indexes of the planner.
func (tb *Table) addToIndexes(j *Job) {
	if j.Phase != Open {
		return
	}
	team := tb.Teams[j.Spec.Team]
	if team == nil {
		team = &Team{}
		tb.Teams[j.Spec.Team] = team
	}
	i := len(team.OpenJobs)
	for i > 0 && team.OpenJobs[i-1].Seq > j.Seq {
		i--
	}
	team.OpenJobs = slices.Insert(team.OpenJobs, i, j)
	team.ChangedSincePlan = true
	tb.updateWaiting(j)
}

// closeJob is the only function by which a job leaves phase Open.
func (tb *Table) closeJob(j *Job, phase Phase) {
	j.Phase, j.ClosedAt = phase, tb.now()
	if team := tb.Teams[j.Spec.Team]; team != nil {
		if i := slices.Index(team.OpenJobs, j); i >= 0 {
			team.OpenJobs = slices.Delete(team.OpenJobs, i, i+1)
			team.ChangedSincePlan = true
		}
	}
	tb.updateWaiting(j)
}

// updateWaiting adds a job to the index of those with waiting tasks, or removes it.
func (tb *Table) updateWaiting(j *Job) {
	if j.SubmissionDurable && j.WaitingCount() > 0 {
		tb.Waiting[j] = struct{}{}
	} else {
		delete(tb.Waiting, j)
	}
}

// LookupArchived returns the record of an archived job, and whether it is in memory. Only the newest
// maxArchived jobs are.
func (tb *Table) LookupArchived(id ident.JobID) (ArchivedJob, bool) { return tb.archive.Get(id) }

// RememberArchived keeps the record of an archived job for LookupArchived.
func (tb *Table) RememberArchived(id ident.JobID, archived ArchivedJob) { tb.archive.Put(id, archived) }

// Sorted returns the jobs in the order of submission.
func (tb *Table) Sorted() []*Job {
	out := make([]*Job, 0, len(tb.Jobs))
	for _, j := range tb.Jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Seq < out[k].Seq })
	return out
}

// FinishLoading is called once all keys are loaded. It indexes the jobs, and archives those that
// an earlier term could not.
func (tb *Table) FinishLoading() {
	for _, j := range tb.Sorted() {
		tb.addToIndexes(j)
		if j.Phase == Open && j.allCompleted() {
			tb.closeJob(j, Done)
		}
		tb.archiveIfDone(j)
	}
}

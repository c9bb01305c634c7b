// Package jobs owns the jobs and their tasks: what users asked for, what is
// durable of it, and every change of a task's state.
package jobs

import (
	"slices"
	"sort"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Table holds all jobs that are not over. It lives for one term.
type Table struct {
	Jobs map[ident.JobID]*Job
	Seq  uint64 // of the newest job

	unexplainedFailures map[*Job]bool // of which tasks failed, and nobody knows yet why

	// Waiting holds the jobs with tasks to be placed, and Teams the open jobs of
	// each team: what decides about placing must not walk over everything else.
	Waiting map[*Job]struct{}
	Teams   map[string]*Team

	// Ended remembers jobs that went over in this term, for as long as it has
	// room; the state service has them all.
	archive *RecentJobs[ArchivedJob]

	commits         *commit.Committer
	now             func() ident.MonotonicTime
	wallClock       func() int64 // time of day in milliseconds
	tasksPerSegment int
	maxInlineTasks  int
	maxValueBytes   int  // bytes of a value, at any time
	packedLog       bool // the tasks of new jobs are in the log alone

	// OnWaiting is called when a task begins to wait for a machine.
	OnWaiting func(*Task)
	// OnStateChange is called before every change of a task's state, so that machines
	// and teams are kept in step.
	OnStateChange func(t *Task, from, to State)
	// OnArchived is called once the end of a job is durable, and it needs no machine any more.
	OnArchived func(ident.JobID)
}

// Team is what a team has open.
type Team struct {
	OpenJobs         []*Job // in the order of arrival
	ChangedSincePlan bool   // since the planner looked at it
}

// maxArchived bounds the memory kept for jobs that are over.
const maxArchived = 20_000

// NewTable makes an empty table.
func NewTable(commits *commit.Committer, valueBytes int, now func() ident.MonotonicTime, wallClock func() int64) *Table {
	return &Table{Jobs: map[ident.JobID]*Job{}, Waiting: map[*Job]struct{}{}, Teams: map[string]*Team{}, unexplainedFailures: map[*Job]bool{},
		archive: NewRecentJobs[ArchivedJob](maxArchived), commits: commits, now: now, wallClock: wallClock,
		maxValueBytes: valueBytes, tasksPerSegment: max(1, (valueBytes-64)/maxRecordBytes), maxInlineTasks: max(0, (valueBytes-HeaderSpecBytes)/maxRecordBytes),
		OnStateChange: func(*Task, State, State) {}, OnWaiting: func(*Task) {}, OnArchived: func(ident.JobID) {}}
}

// LimitValueBytes tells how long values may be at the most, at any later time.
func (tb *Table) LimitValueBytes(valueBytes int) {
	tb.maxValueBytes = min(tb.maxValueBytes, valueBytes)
}

// Add takes in a new job; then is called once it is durable, taken if a job of
// that name turns out to be over already.
func (tb *Table) Add(s *api.Spec, onDurable, onDuplicate func()) *Job {
	tb.Seq++
	j := &Job{Spec: s, Seq: tb.Seq, SubmittedAtMS: tb.wallClock(), SubmittedAt: tb.now()}
	tb.initStorage(j)
	j.headerDoc.MustNotExist = []string{ArchiveKey(s.ID)}
	j.headerDoc.OnExists = func() {
		delete(tb.Jobs, s.ID)
		onDuplicate()
	}
	j.onSubmitted = append(j.onSubmitted, onDurable)
	tb.Jobs[s.ID] = j
	tb.commits.MarkDirty(j.headerDoc, func() {
		j.SubmissionDurable = true
		tb.addToIndexes(j)
		for _, f := range j.onSubmitted {
			f()
		}
		j.onSubmitted = nil
		for i := range j.Tasks {
			tb.OnWaiting(&j.Tasks[i])
		}
	})
	return j
}

// addToIndexes takes a job into the indexes.
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

// closeJob is the one place where a job leaves its open phase.
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

// updateWaiting keeps Waiting in step with a job.
func (tb *Table) updateWaiting(j *Job) {
	if j.SubmissionDurable && j.WaitingCount() > 0 {
		tb.Waiting[j] = struct{}{}
	} else {
		delete(tb.Waiting, j)
	}
}

// persistTask makes a task's state durable. A put for each change of a task, or of its
// job, would take all puts there are while a large fleet starts.
func (tb *Table) persistTask(t *Task, onDurable func()) { tb.commits.Append(t, onDurable) }

// LookupArchived returns a job that is known to be over.
func (tb *Table) LookupArchived(id ident.JobID) (ArchivedJob, bool) { return tb.archive.Get(id) }

// RememberArchived notes a job that was read to be over.
func (tb *Table) RememberArchived(id ident.JobID, archived ArchivedJob) { tb.archive.Put(id, archived) }

// Sorted returns the jobs in the order of arrival.
func (tb *Table) Sorted() []*Job {
	out := make([]*Job, 0, len(tb.Jobs))
	for _, j := range tb.Jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Seq < out[k].Seq })
	return out
}

// FinishLoading is called after the last Load: jobs that need nothing more go over.
func (tb *Table) FinishLoading() {
	for _, j := range tb.Sorted() {
		tb.addToIndexes(j)
		if j.Phase == Open && j.Spec.Shape != api.Service && j.CompletedTasks == len(j.Tasks) {
			tb.closeJob(j, Done)
		}
		tb.archiveIfDone(j)
	}
}

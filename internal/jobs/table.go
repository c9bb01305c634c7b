// Package jobs holds the state of jobs and their tasks, applies all state transitions of tasks, and encodes
// jobs and tasks for the key-value store.
//
// A change is made in memory first and then written to the store by the committer (package commit). It
// becomes visible to users and workers only when it is durable. In particular, a task is launched only
// when its placement is durable, so that a new leader knows every task that may run on a machine.
package jobs

import (
	"slices"
	"sort"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Table holds all jobs of one term that are not archived. It is not safe for concurrent use: all calls
// come from the node's event loop.
type Table struct {
	Jobs map[ident.JobID]*Job
	Seq  uint64 // sequence number of the newest job

	// Indexes of the jobs whose submission is durable: jobs with waiting tasks, and the open jobs of each
	// team. With them the planner does not have to iterate over all jobs.
	Waiting map[*Job]struct{}
	Teams   map[string]*Team

	unexplainedFailures map[*Job]bool            // jobs whose tasks failed for an unknown reason
	archive             *RecentJobs[ArchivedJob] // recently archived jobs; the store has all archived jobs

	commits         *commit.Committer
	now             func() ident.MonotonicTime
	wallClock       func() int64 // Unix time in milliseconds
	tasksPerSegment int
	maxInlineTasks  int  // maximum number of tasks in a header; larger jobs use segments
	maxValueBytes   int  // limit on the size of values: the lowest one enforced or announced
	packedLog       bool // the tasks of new jobs are stored only in the log

	// OnWaiting is called when tasks of a job start to wait for placement.
	OnWaiting func(*Job)
	// OnStateChange is called before each change of a task's state. The callback updates the accounts of the
	// task's machine and team.
	OnStateChange func(t *Task, from, to State)
	// OnArchived is called when a job's archive record is durable.
	OnArchived func(ident.JobID)
}

// Team holds the open jobs of a team.
type Team struct {
	OpenJobs         []*Job // in the order of submission
	ChangedSincePlan bool   // OpenJobs has changed since the planner last reset this
}

// maxArchived is the maximum number of archived jobs that are kept in memory.
const maxArchived = 20_000

// NewTable returns an empty table. valueBytes is the store's limit on the size of values, now the monotonic
// clock, and wallClock the Unix time in milliseconds.
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
		OnWaiting:           func(*Job) {},
		OnStateChange:       func(*Task, State, State) {},
		OnArchived:          func(ident.JobID) {},
	}
}

// LimitValueBytes lowers the limit on the size of values, in bytes, to one that the store has announced.
func (tb *Table) LimitValueBytes(valueBytes int) {
	tb.maxValueBytes = min(tb.maxValueBytes, valueBytes)
}

// Add adds a submitted job and starts to store it. It calls onDurable once the job is durable, or onDuplicate
// if the store already has an archived job with the same ID.
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
	tb.Jobs[s.ID] = j
	tb.commits.MarkDirty(header, func() {
		tb.addToIndexes(j)
		onDurable()
		tb.OnWaiting(j)
	})
	return j
}

// addToIndexes adds an open job to the indexes Teams and Waiting.
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

// closeJob moves an open job to a final phase. It is the only function by which a job leaves phase Open.
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

// updateWaiting adds a job to the index of jobs with waiting tasks or removes it, depending on its state.
func (tb *Table) updateWaiting(j *Job) {
	if j.SubmissionDurable && j.WaitingCount() > 0 {
		tb.Waiting[j] = struct{}{}
	} else {
		delete(tb.Waiting, j)
	}
}

// LookupArchived returns the record of an archived job, and whether the record is in memory. Only the
// maxArchived records that were added last are.
func (tb *Table) LookupArchived(id ident.JobID) (ArchivedJob, bool) { return tb.archive.Get(id) }

// RememberArchived caches the record of an archived job for LookupArchived.
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

// FinishLoading completes loading after all keys were loaded. It indexes the jobs, and closes and archives
// those that have ended but that an earlier term did not archive.
func (tb *Table) FinishLoading() {
	for _, j := range tb.Sorted() {
		tb.addToIndexes(j)
		if j.Phase == Open && j.allCompleted() {
			tb.closeJob(j, Done)
		}
		tb.archiveIfDone(j)
	}
}

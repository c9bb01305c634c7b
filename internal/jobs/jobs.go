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

	doubted map[*Job]bool // of which tasks failed, and nobody knows yet why

	// Waiting holds the jobs with tasks to be placed, and Teams the open jobs of
	// each team: what decides about placing must not walk over everything else.
	Waiting map[*Job]struct{}
	Teams   map[string]*Team

	// Ended remembers jobs that went over in this term, for as long as it has
	// room; the state service has them all.
	ended *Recent[Ended]

	commits *commit.Committer
	now     func() ident.MonotonicTime
	wall    func() int64 // time of day in milliseconds
	perSeg  int
	inline  int
	most    int  // bytes of a value, at any time
	packed  bool // the tasks of new jobs are in the log alone

	// OnWaiting is called when a task begins to wait for a machine.
	OnWaiting func(*Task)
	// OnMove is called before every change of a task's state, so that machines
	// and teams are kept in step.
	OnMove func(t *Task, from, to State)
	// OnOver is called once the end of a job is durable, and it needs no machine any more.
	OnOver func(ident.JobID)
}

// Team is what a team has open.
type Team struct {
	Jobs    []*Job // in the order of arrival
	Changed bool   // since the planner looked at it
}

// maxEnded bounds the memory kept for jobs that are over.
const maxEnded = 20_000

// NewTable makes an empty table.
func NewTable(commits *commit.Committer, valueBytes int, now func() ident.MonotonicTime, wall func() int64) *Table {
	return &Table{Jobs: map[ident.JobID]*Job{}, Waiting: map[*Job]struct{}{}, Teams: map[string]*Team{}, doubted: map[*Job]bool{},
		ended: NewRecent[Ended](maxEnded), commits: commits, now: now, wall: wall,
		most: valueBytes, perSeg: max(1, (valueBytes-64)/recordBytes), inline: max(0, (valueBytes-HeaderBytes)/recordBytes),
		OnMove: func(*Task, State, State) {}, OnWaiting: func(*Task) {}, OnOver: func(ident.JobID) {}}
}

// Expect tells how long values may be at the most, at any later time.
func (tb *Table) Expect(valueBytes int) { tb.most = min(tb.most, valueBytes) }

// Add takes in a new job; then is called once it is durable, taken if a job of
// that name turns out to be over already.
func (tb *Table) Add(s *api.Spec, then, taken func()) *Job {
	tb.Seq++
	j := &Job{Spec: s, Seq: tb.Seq, AtMS: tb.wall(), Arrived: tb.now()}
	tb.shape(j)
	j.head.MustNotExist = []string{OverKey(s.ID)}
	j.head.OnExists = func() {
		delete(tb.Jobs, s.ID)
		taken()
	}
	j.wants = append(j.wants, then)
	tb.Jobs[s.ID] = j
	tb.commits.MarkDirty(j.head, func() {
		j.Known = true
		tb.open(j)
		for _, f := range j.wants {
			f()
		}
		j.wants = nil
		for i := range j.Tasks {
			tb.OnWaiting(&j.Tasks[i])
		}
	})
	return j
}

// open takes a job into the indexes.
func (tb *Table) open(j *Job) {
	if j.Phase != Open {
		return
	}
	t := tb.Teams[j.Spec.Team]
	if t == nil {
		t = &Team{}
		tb.Teams[j.Spec.Team] = t
	}
	i := len(t.Jobs)
	for i > 0 && t.Jobs[i-1].Seq > j.Seq {
		i--
	}
	t.Jobs = slices.Insert(t.Jobs, i, j)
	t.Changed = true
	tb.index(j)
}

// close is the one place where a job leaves its open phase.
func (tb *Table) close(j *Job, p Phase) {
	j.Phase, j.Ended = p, tb.now()
	if t := tb.Teams[j.Spec.Team]; t != nil {
		if i := slices.Index(t.Jobs, j); i >= 0 {
			t.Jobs = slices.Delete(t.Jobs, i, i+1)
			t.Changed = true
		}
	}
	tb.index(j)
}

// index keeps Waiting in step with a job.
func (tb *Table) index(j *Job) {
	if j.Known && j.Waits() > 0 {
		tb.Waiting[j] = struct{}{}
	} else {
		delete(tb.Waiting, j)
	}
}

// save makes a task's state durable. A put for each change of a task, or of its
// job, would take all puts there are while a large fleet starts.
func (tb *Table) save(t *Task, then func()) { tb.commits.Append(t, then) }

// Ended returns a job that is known to be over.
func (tb *Table) Ended(id ident.JobID) (Ended, bool) { return tb.ended.Get(id) }

// Remember notes a job that was read to be over.
func (tb *Table) Remember(id ident.JobID, e Ended) { tb.ended.Put(id, e) }

// Sorted returns the jobs in the order of arrival.
func (tb *Table) Sorted() []*Job {
	out := make([]*Job, 0, len(tb.Jobs))
	for _, j := range tb.Jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Seq < out[k].Seq })
	return out
}

// Loaded is called after the last Load: jobs that need nothing more go over.
func (tb *Table) Loaded() {
	for _, j := range tb.Sorted() {
		tb.open(j)
		if j.Phase == Open && j.Spec.Shape != api.Service && j.Done == len(j.Tasks) {
			tb.close(j, Done)
		}
		tb.settle(j)
	}
}

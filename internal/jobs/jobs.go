// Package jobs owns the jobs and their tasks: what users asked for, what is
// durable of it, and every change of a task's state.
package jobs

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// Phase is a job's course as its user sees it.
type Phase uint8

// The phases of a job. Done and Cancelled are final.
const (
	Open Phase = iota
	Cancelled
	Done
)

var phaseNames = [...]string{"open", "cancelled", "done"}

func (p Phase) String() string { return phaseNames[p] }

// MarshalText writes the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase's name.
func (p *Phase) UnmarshalText(b []byte) error {
	for i, n := range phaseNames {
		if n == string(b) {
			*p = Phase(i)
			return nil
		}
	}
	return fmt.Errorf("unknown phase %q", b)
}

// State is where a task stands.
type State uint8

// The states of a task. From Placing to Stopping it counts on its machine.
const (
	Waiting  State = iota // to be placed
	Placing               // a machine was chosen, not yet durable
	Assigned              // durable: may be on its machine
	Stopping              // told to stop, may be on its machine
	Finished              // completed
)

func (s State) String() string {
	return [...]string{"waiting", "placing", "assigned", "stopping", "finished"}[s]
}

// Held says whether a task in this state counts on its machine.
func (s State) Held() bool { return s == Placing || s == Assigned || s == Stopping }

// Task is one piece of a job.
type Task struct {
	Job    *Job
	Index  int
	State  State
	Try    ident.Try
	Host   ident.HostID
	Tenure ident.Tenure

	// What follows is not durable.
	Seen     api.PieceStatus // newest report of this try, "" if none
	placed   uint64          // counts its placements: an attempt of a gang may place it twice
	pin      commit.Pin
	Since    ident.Mono    // when it entered its state
	RunsAt   ident.Mono    // when it was first seen running
	RetryAt  ident.Mono    // not placed earlier
	Fails    int           // errors in a row
	WindDown time.Duration // with which it was told to stop
	GaveWay  ident.Mono    // when it was last stopped to make room; 0: never
	Planned  ident.HostID  // machine of the current plan
}

// Piece names the task.
func (t *Task) Piece() ident.Piece { return ident.Piece{Job: t.Job.Spec.ID, Index: t.Index} }

// Job is an accepted job that is not yet over.
type Job struct {
	Spec    *api.Spec
	Seq     uint64 // order of arrival
	AtMS    int64  // time of day of the arrival
	Arrived ident.Mono
	Phase   Phase      // in memory
	Durable Phase      // known to be in the state service
	Known   bool       // the submission is durable
	Ended   ident.Mono // when it left its open phase; long ago if in an earlier term
	Tasks   []Task

	Held, Done, Runs int // tasks that count on a machine, that completed, that were seen running

	// Zones counts the held tasks by zone, for jobs that care.
	Zones map[string]int

	// Shunned holds machines where a task of the job ended with an error.
	Shunned map[ident.HostID]bool
	RetryAt ident.Mono // the job backs off until then
	Backoff time.Duration
	// Suspect says that its tasks failed on several machines and none has completed
	// since: the fault is rather its own. It is tried with one task at a time.
	Suspect bool

	// Within says whether the job fits into its team's guarantee along with the
	// team's earlier unfinished jobs; the planner keeps it.
	Within bool

	// Joinable says whether a lost task of a gang may still be replaced in its present
	// attempt; the gang's own duty keeps it.
	Joinable bool

	head   *commit.Doc
	segs   []*commit.Doc // of larger jobs; nil for tasks kept in the header
	perSeg int
	form   form
	moved  []func() // called once the log alone has its tasks, and the header says so
	over   bool
	wants  []func() // called once the submission is durable
	clears []func() // called once its end is
}

// form says where a job's tasks are in the state service. All but the last are of the
// first format, and go with it: so do segments, a header's tasks and LSN, Convert, and a
// task's Line and Home.
type form uint8

const (
	whole  form = iota // in its header or its segments, and in the log since
	moving             // on their way to the log alone
	logged             // in the log alone
)

// Need is what a task takes of its machine.
type Need struct{ VCPUs, Cards, MemoryGB float64 }

// NeedOf returns what a task of a job takes.
func NeedOf(s *api.Spec) Need { return Need{s.VCPUs, s.Cards, s.MemoryGB} }

// NoNeed is where Least begins: more than anything takes.
func NoNeed() Need { return Need{math.Inf(1), math.Inf(1), math.Inf(1)} }

// Least lowers each amount to what a task of the job needs.
func (n *Need) Least(s *api.Spec) {
	n.VCPUs, n.Cards, n.MemoryGB = min(n.VCPUs, s.VCPUs), min(n.Cards, s.Cards), min(n.MemoryGB, s.MemoryGB)
}

// Places returns how many tasks of a job find room in as much.
func (n Need) Places(s *api.Spec) int {
	k := math.MaxInt32
	for _, x := range [][2]float64{{n.VCPUs, s.VCPUs}, {n.Cards, s.Cards}, {n.MemoryGB, s.MemoryGB}} {
		if x[1] > 0 {
			k = min(k, int((x[0]+slack)/x[1]))
		}
	}
	return k
}

// slack forgives rounding in sums of amounts.
const slack = 1e-6

// Gang says whether the job's tasks run together or not at all.
func (j *Job) Gang() bool { return j.Spec.Shape == api.Gang }

// Ready says whether the job's tasks may be launched: of a gang all must be durable.
func (j *Job) Ready() bool {
	if !j.Gang() {
		return true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State != Assigned || t.Try != j.Tasks[0].Try {
			return false
		}
	}
	return true
}

// LastTry returns the highest number of an attempt that any task was placed in.
func (j *Job) LastTry() ident.Try {
	last := ident.Try(0)
	for i := range j.Tasks {
		last = max(last, j.Tasks[i].Try)
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

// Wants returns how many tasks may be placed at the most.
func (j *Job) Wants() int {
	if j.Suspect {
		return min(j.Waits(), max(0, 1-j.Held))
	}
	return j.Waits()
}

// Acquit looks at the suspect jobs that wait: a task that has run for a while shows that
// it was not their fault.
func (tb *Table) Acquit() {
	for j := range tb.Waiting {
		if !j.Suspect {
			continue
		}
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.State == Assigned && t.RunsAt > t.Since && tb.now().Sub(t.RunsAt) > acquitAfter {
				j.Suspect, j.Backoff = false, 0
				break
			}
		}
	}
}

// acquitAfter is how long that is. What is submitted with a mistake mostly fails within
// seconds.
const acquitAfter = 10 * time.Second

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
	Phase  Phase `json:"phase"`
	Pieces int   `json:"pieces"`
	Done   int   `json:"done"`
}

// View is the user's view of a job that is over.
func (e Ended) View(id ident.JobID) api.View {
	return api.View{ID: id, Status: e.Phase.String(), Done: e.Done}
}

// The keys of jobs.
const (
	LivePrefix = "live/"
	OverPrefix = "over/"
)

// LiveKey is the key of an unfinished job's header.
func LiveKey(id ident.JobID) string { return LivePrefix + string(id) }

// OverKey is the key of a job that is over.
func OverKey(id ident.JobID) string { return OverPrefix + string(id) }

// header is the value of a live key.
type header struct {
	Spec  *api.Spec `json:"spec"`
	Seq   uint64    `json:"seq"`
	AtMS  int64     `json:"at_ms"`
	Phase Phase     `json:"phase"`
	LSN   uint64    `json:"lsn,omitempty"` // records of the log up to it are part of this
	Tasks []record  `json:"tasks,omitempty"`
	// Logged says that the log alone has the tasks: one without a line was never placed.
	Logged bool `json:"logged,omitempty"`
}

// segment is the value of a segment's key, of the first format.
type segment struct {
	LSN   uint64   `json:"lsn,omitempty"`
	Tasks []record `json:"tasks"`
}

// line is a task's change in the log, of the first format.
type line struct {
	Job   ident.JobID `json:"j"`
	Index int         `json:"i,omitempty"`
	record
}

// record is a task in the state service. A task that was never placed is empty.
type record struct {
	Try    ident.Try    `json:"t,omitempty"`
	Host   ident.HostID `json:"h,omitempty"`
	Tenure ident.Tenure `json:"n,omitempty"`
	Done   bool         `json:"d,omitempty"`
}

// recordBytes bounds a record's size in JSON, commas included.
const recordBytes = 110

// HeaderBytes is the room left for the specification in a header with tasks.
const HeaderBytes = 4 << 10

// spareBytes is the room left for what may still change in a header without.
const spareBytes = 64

// Table holds all jobs that are not over. It lives for one term.
type Table struct {
	Jobs map[ident.JobID]*Job
	Seq  uint64 // of the newest job

	// Waiting holds the jobs with tasks to be placed, and Teams the open jobs of
	// each team: what decides about placing must not walk over everything else.
	Waiting map[*Job]struct{}
	Teams   map[string]*Team

	// Ended remembers jobs that went over in this term, for as long as it has
	// room; the state service has them all.
	ended *Recent[Ended]

	commits *commit.Committer
	now     func() ident.Mono
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
}

// Team is what a team has open.
type Team struct {
	Jobs    []*Job // in the order of arrival
	Changed bool   // since the planner looked at it
}

// maxEnded bounds the memory kept for jobs that are over.
const maxEnded = 20_000

// NewTable makes an empty table.
func NewTable(commits *commit.Committer, valueBytes int, now func() ident.Mono, wall func() int64) *Table {
	return &Table{Jobs: map[ident.JobID]*Job{}, Waiting: map[*Job]struct{}{}, Teams: map[string]*Team{}, ended: NewRecent[Ended](maxEnded), commits: commits, now: now, wall: wall,
		most: valueBytes, perSeg: max(1, (valueBytes-64)/recordBytes), inline: max(0, (valueBytes-HeaderBytes)/recordBytes),
		OnMove: func(*Task, State, State) {}, OnWaiting: func(*Task) {}}
}

// Expect tells how long values may be at the most, at any later time.
func (tb *Table) Expect(valueBytes int) { tb.most = min(tb.most, valueBytes) }

// Pack has tasks kept in the log alone from now on. Jobs on record in the form of
// before follow one by one, see Convert.
func (tb *Table) Pack() { tb.packed = true }

// Size returns how long a job's header would be, and how long it may be.
func (tb *Table) Size(s *api.Spec) (bytes, most int) {
	return len(api.JSON(header{Spec: s, Seq: 1 << 62, AtMS: 1 << 62, Logged: true})) + spareBytes, tb.most
}

// Convert moves jobs to the form in which the log alone has their tasks, for up to n
// lines and headers, but one at the least, and says whether more are left. Nothing
// needs it at once: it is for the time between an upgrade and the next change of a job's
// header.
func (tb *Table) Convert(n int) (more bool) {
	if !tb.packed {
		return false
	}
	for _, j := range tb.Sorted() {
		if j.form != whole || !j.Known || j.over || !tb.fits(j) {
			continue
		}
		if n <= 0 {
			return true
		}
		n -= 1 + tb.convert(j, nil)
	}
	return false
}

// fits says whether a job's header without tasks is short enough to be put again. One
// taken in under other limits stays as it is until the job is over or cancelled.
func (tb *Table) fits(j *Job) bool {
	n, most := tb.Size(j.trimmed())
	return n <= most
}

// trimmed is the specification without what a cancelled job has no use for, if it is
// cancelled.
func (j *Job) trimmed() *api.Spec {
	if j.Phase == Open {
		return j.Spec
	}
	s := *j.Spec
	s.Models, s.Site, s.Lane, s.Bundle = nil, nil, "", ""
	return &s
}

// convert writes what is known of a job's tasks to the log, and once that is durable
// the header without them; then is called when that is. It returns how many lines that
// takes.
func (tb *Table) convert(j *Job, then func()) int {
	if then != nil {
		j.moved = append(j.moved, then)
	}
	if j.form == moving {
		return 0
	}
	j.form = moving
	left, lines := 1, 0
	done := func() {
		if left--; left > 0 || j.over {
			return
		}
		j.form = logged
		tb.commits.Mark(j.head, func() {
			for _, f := range j.moved {
				f()
			}
			j.moved = nil
		})
		for _, d := range j.segs {
			tb.commits.MarkLazy(d, nil) // means nothing any more
		}
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Try > 0 && !t.pin.Held() {
			left++
			lines++
			tb.commits.Append(t, done)
		}
	}
	done()
	return lines
}

// Add takes in a new job; then is called once it is durable, taken if a job of
// that name turns out to be over already.
func (tb *Table) Add(s *api.Spec, then, taken func()) *Job {
	tb.Seq++
	j := &Job{Spec: s, Seq: tb.Seq, AtMS: tb.wall(), Arrived: tb.now()}
	tb.shape(j)
	j.head.Absent = []string{OverKey(s.ID)}
	j.head.Exists = func() {
		delete(tb.Jobs, s.ID)
		taken()
	}
	j.wants = append(j.wants, then)
	tb.Jobs[s.ID] = j
	tb.commits.Mark(j.head, func() {
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
	t := tb.Teams[j.Spec.Desk]
	if t == nil {
		t = &Team{}
		tb.Teams[j.Spec.Desk] = t
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
	if t := tb.Teams[j.Spec.Desk]; t != nil {
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

// Clear says whether the job's view is what any node would tell.
func (j *Job) Clear() bool { return j.Known && (j.Phase == j.Durable || !j.head.Open()) }

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

// durable notes that the job's phase is.
func (j *Job) durable() {
	j.Durable = j.Phase
	fs := j.clears
	j.clears = nil
	for _, f := range fs {
		f()
	}
}

// shape makes the job's tasks and documents.
func (tb *Table) shape(j *Job) {
	id := j.Spec.ID
	now := tb.now()
	j.Tasks = make([]Task, j.Spec.Pieces)
	for i := range j.Tasks {
		j.Tasks[i] = Task{Job: j, Index: i, Since: now}
	}
	j.head = &commit.Doc{Path: LiveKey(id)}
	j.head.Render = func() json.RawMessage {
		if j.over {
			return nil
		}
		h := header{Spec: j.Spec, Seq: j.Seq, AtMS: j.AtMS, Phase: j.Phase}
		if j.form == logged {
			h.Spec, h.Logged = j.trimmed(), true
			return api.JSON(h)
		}
		h.LSN = tb.commits.LSN()
		if len(j.segs) == 0 {
			h.Tasks = records(j.Tasks)
		}
		return api.JSON(h)
	}
	if tb.packed {
		j.form = logged
		return
	}
	if len(j.Tasks) > tb.inline {
		tb.divide(j, tb.perSeg)
	}
}

// divide makes the documents of a job whose tasks are in segments.
func (tb *Table) divide(j *Job, per int) {
	j.perSeg, j.segs = per, nil
	for at := 0; at < len(j.Tasks); at += per {
		part := j.Tasks[at:min(at+per, len(j.Tasks))]
		d := &commit.Doc{Path: segKey(j.Spec.ID, at/per)}
		d.Render = func() json.RawMessage {
			if j.over || j.form == logged {
				return nil
			}
			return api.JSON(segment{LSN: tb.commits.LSN(), Tasks: records(part)})
		}
		j.segs = append(j.segs, d)
	}
}

func segKey(id ident.JobID, n int) string { return fmt.Sprintf("%s/%05d", LiveKey(id), n) }

func records(tasks []Task) []record {
	out := make([]record, len(tasks))
	for i := range tasks {
		out[i] = tasks[i].record()
	}
	return out
}

func (t *Task) record() record {
	r := record{Try: t.Try, Done: t.State == Finished}
	if t.State.Held() {
		r.Host, r.Tenure = t.Host, t.Tenure
	}
	return r
}

// Line is the task in the log of changes.
func (t *Task) Line() any { return line{t.Job.Spec.ID, t.Index, t.record()} }

// Text is the task in the log's own format: its index, its try, and if it counts on a
// machine that one and its session, or a mark if it has completed.
func (t *Task) Text() (group, line string) {
	r := t.record()
	b := strconv.AppendInt(nil, int64(t.Index), 10)
	b = append(b, ',')
	b = strconv.AppendUint(b, uint64(r.Try), 10)
	switch {
	case r.Done:
		b = append(b, ",+"...)
	case r.Host != "":
		b = append(b, ',')
		b = append(b, url.QueryEscape(string(r.Host))...)
		b = append(b, ',')
		b = strconv.AppendUint(b, uint64(r.Tenure), 10)
	}
	return string(t.Job.Spec.ID), string(b)
}

// parseLine reads what Text wrote.
func parseLine(text string) (index int, r record, err error) {
	f := strings.Split(text, ",")
	if len(f) < 2 || len(f) > 4 {
		return 0, r, fmt.Errorf("malformed line %q", text)
	}
	index, err = strconv.Atoi(f[0])
	num := func(s string) uint64 {
		n, bad := strconv.ParseUint(s, 10, 64)
		if bad != nil {
			err = bad
		}
		return n
	}
	r.Try = ident.Try(num(f[1]))
	switch {
	case len(f) == 3 && f[2] == "+":
		r.Done = true
	case len(f) == 3:
		return 0, r, fmt.Errorf("malformed line %q", text)
	case len(f) == 4:
		host, bad := url.QueryUnescape(f[2])
		if bad != nil || host == "" {
			return 0, r, fmt.Errorf("malformed line %q", text)
		}
		r.Host, r.Tenure = ident.HostID(host), ident.Tenure(num(f[3]))
	}
	if err != nil || index < 0 {
		return 0, r, fmt.Errorf("malformed line %q", text)
	}
	return index, r, nil
}

// Pin is the task's hold on the record of the log with its newest line.
func (t *Task) Pin() *commit.Pin { return &t.pin }

// Home is the document that holds the task.
func (t *Task) Home() *commit.Doc {
	if len(t.Job.segs) == 0 {
		return t.Job.head
	}
	return t.Job.segs[t.Index/t.Job.perSeg]
}

// save makes a task's state durable. A put for each change of a task, or of its
// job, would take all puts there are while a large fleet starts.
func (tb *Table) save(t *Task, then func()) { tb.commits.Append(t, then) }

// to is the one place where a task changes its state.
func (tb *Table) to(t *Task, s State) {
	from := t.State
	if from == s {
		return
	}
	j := t.Job
	if from.Held() && !s.Held() {
		j.Held--
	}
	if !from.Held() && s.Held() {
		j.Held++
	}
	if s == Finished {
		j.Done++
	}
	if from == Finished {
		panic("a finished task is final")
	}
	tb.OnMove(t, from, s)
	t.State, t.Since = s, tb.now()
	tb.index(j)
	if !s.Held() {
		t.see(tb, "")
	}
	if s == Waiting && j.Phase == Open {
		tb.OnWaiting(t)
	}
}

// see notes the newest reported status.
func (t *Task) see(tb *Table, s api.PieceStatus) {
	runs := func(s api.PieceStatus) bool { return s == api.Running || s == api.Flushing }
	if runs(t.Seen) {
		t.Job.Runs--
	}
	if runs(s) {
		t.Job.Runs++
		if !runs(t.Seen) {
			t.RunsAt = tb.now()
			slog.Debug("task runs", "piece", t.Piece().String(), "host", string(t.Host), "try", uint64(t.Try),
				"placed_s", t.Since.Sub(0).Seconds(), "job_age_s", t.RunsAt.Sub(t.Job.Arrived).Seconds())
		}
	}
	t.Seen = s
}

// Observe notes what a worker reports of a task that is on it.
func (tb *Table) Observe(t *Task, s api.PieceStatus) {
	if t.State.Held() && t.Seen != s {
		t.see(tb, s)
	}
}

// Place chooses a machine for a waiting task; then is called once that is
// durable, if it still holds. Only then may the task be launched: a successor
// must find every task that may be on a machine.
func (tb *Table) Place(t *Task, h ident.HostID, tenure ident.Tenure, then func()) {
	tb.PlaceAs(t, h, tenure, t.Try+1, then)
}

// PlaceAs is Place in an attempt whose number is given.
func (tb *Table) PlaceAs(t *Task, h ident.HostID, tenure ident.Tenure, try ident.Try, then func()) {
	if try < t.Try {
		panic("attempts are never numbered back")
	}
	t.Try = try
	t.placed++
	t.Host, t.Tenure = h, tenure
	tb.to(t, Placing)
	placed := t.placed
	tb.save(t, func() {
		if t.placed != placed || t.State != Placing {
			return
		}
		tb.to(t, Assigned)
		then()
	})
}

// Stop notes that a task was told to stop.
func (tb *Table) Stop(t *Task, windDown time.Duration) {
	t.WindDown = windDown
	tb.to(t, Stopping)
}

// Gone notes that a task that counted on its machine is proven not to be there.
// then is called once that is durable.
func (tb *Table) Gone(t *Task, then func()) {
	if !t.State.Held() {
		return
	}
	tb.to(t, Waiting)
	tb.save(t, then)
	tb.settle(t.Job)
}

// Complete notes that a task has completed; then is called once it is durable.
func (tb *Table) Complete(t *Task, then func()) {
	t.Fails = 0
	tb.to(t, Finished)
	j := t.Job
	j.Suspect, j.Backoff = false, 0
	if j.Gang() {
		// If one is done, all are: they end together.
		for i := range j.Tasks {
			if o := &j.Tasks[i]; o.State != Finished && j.Phase == Open {
				tb.to(o, Finished)
			}
		}
	}
	if j.Phase == Open && j.Done == len(j.Tasks) && j.Spec.Shape != api.Service {
		tb.close(j, Done)
		// The job goes over as a whole, and its segments go with it.
		if then != nil {
			j.wants = append(j.wants, then)
		}
	} else {
		tb.save(t, then)
	}
	tb.settle(j)
}

// Cancel ends a job at its user's wish; then is called once that is durable.
func (tb *Table) Cancel(j *Job, then func()) {
	if j.Phase == Open {
		tb.close(j, Cancelled)
	}
	durable := func() {
		if j.Durable == Open {
			j.durable()
		}
		then()
	}
	tb.settle(j)
	if tb.packed && j.form != logged && j.Known && !j.over {
		// Its header can't be put again before the log has its tasks.
		tb.convert(j, durable)
		return
	}
	tb.commits.Mark(j.head, durable)
}

// settle moves a job that needs no machine any more to the jobs that are over:
// in one transaction, so that it is always found in one of both places.
func (tb *Table) settle(j *Job) {
	if j.Phase == Open || j.Held > 0 || j.over {
		return
	}
	j.over = true
	end := Ended{Phase: j.Phase, Pieces: len(j.Tasks), Done: j.Done}
	j.head.Also = func() []statesvc.Change {
		return []statesvc.Change{{Put: OverKey(j.Spec.ID), Value: api.JSON(end)}}
	}
	wants := j.wants
	j.wants = nil
	tb.commits.Mark(j.head, func() {
		tb.Remember(j.Spec.ID, end)
		delete(tb.Jobs, j.Spec.ID)
		j.durable()
		for _, f := range append(wants, j.moved...) {
			f()
		}
		j.moved = nil
		for i := range j.Tasks {
			tb.commits.Release(&j.Tasks[i].pin)
		}
		// Segments without a header mean nothing; a successor drops them too.
		for _, d := range j.segs {
			tb.commits.Mark(d, nil)
		}
	})
}

// Ended returns a job that is known to be over.
func (tb *Table) Ended(id ident.JobID) (Ended, bool) { return tb.ended.Get(id) }

// Remember notes a job that was read to be over.
func (tb *Table) Remember(id ident.JobID, e Ended) { tb.ended.Put(id, e) }

// Load takes in what an earlier term left. Pairs come in the order of keys, so a
// header comes before its segments.
func (tb *Table) Load(path string, value json.RawMessage, stamp ident.Stamp) error {
	name := strings.TrimPrefix(path, LivePrefix)
	id, seg, isSeg := strings.Cut(name, "/")
	if !isSeg {
		var h header
		if err := json.Unmarshal(value, &h); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if h.Spec == nil || LiveKey(h.Spec.ID) != path {
			return fmt.Errorf("%s: not a job", path)
		}
		age := time.Duration(max(0, tb.wall()-h.AtMS)) * time.Millisecond
		j := &Job{Spec: h.Spec, Seq: h.Seq, AtMS: h.AtMS, Arrived: tb.now().Add(-age), Phase: h.Phase, Durable: h.Phase, Known: true}
		if j.Phase != Open {
			j.Ended = tb.now().Add(-time.Hour) // nobody knows, long enough
		}
		tb.shape(j)
		j.form = whole
		if h.Logged {
			if !tb.packed {
				return fmt.Errorf("%s: of a later format", path)
			}
			j.form = logged
		} else if len(h.Tasks) == 0 && len(j.Tasks) > 0 {
			tb.divide(j, tb.perSeg)
		} else {
			j.segs = nil
		}
		j.head.Stamp, j.head.LSN = stamp, h.LSN
		tb.commits.Seen(h.LSN)
		tb.Jobs[h.Spec.ID] = j
		tb.Seq = max(tb.Seq, h.Seq)
		return tb.restore(j, 0, h.Tasks)
	}
	j := tb.Jobs[ident.JobID(id)]
	if j == nil || j.form == logged {
		d := &commit.Doc{Path: path, Stamp: stamp, Render: func() json.RawMessage { return nil }}
		tb.commits.Mark(d, nil)
		return nil
	}
	var s segment
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	n, err := strconv.Atoi(seg)
	if err != nil || n < 0 {
		return fmt.Errorf("%s: no such segment", path)
	}
	switch per := perSegment(n, len(s.Tasks), len(j.Tasks), j.perSeg); {
	case per == 0:
		return fmt.Errorf("%s: %d tasks of %d", path, len(s.Tasks), len(j.Tasks))
	case per != j.perSeg:
		// Divided under another limit: the segment says how.
		for _, d := range j.segs {
			if d.Stamp != 0 {
				return fmt.Errorf("%s: its segments are divided in two ways", path)
			}
		}
		tb.divide(j, per)
	}
	if n >= len(j.segs) {
		return fmt.Errorf("%s: no such segment", path)
	}
	j.segs[n].Stamp, j.segs[n].LSN = stamp, s.LSN
	tb.commits.Seen(s.LSN)
	return tb.restore(j, n*j.perSeg, s.Tasks)
}

// perSegment works out how many tasks each segment has from the n-th, which has so
// many of all, if it isn't as many as thought.
func perSegment(n, has, all, thought int) int {
	can := func(per int) bool { return per > 0 && n*per < all && has == min(per, all-n*per) }
	switch {
	case can(thought), has == 0:
		return thought
	case n > 0 && can((all-has)/n): // the last one, which is shorter
		return (all - has) / n
	case can(has):
		return has
	}
	return 0
}

func (tb *Table) restore(j *Job, at int, recs []record) error {
	if at+len(recs) > len(j.Tasks) {
		return fmt.Errorf("%s: more tasks than pieces", j.Spec.ID)
	}
	for i, r := range recs {
		j.Tasks[at+i].restore(r)
	}
	return nil
}

// restore sets a task to what was durable of it.
func (t *Task) restore(r record) {
	j := t.Job
	if t.State == Finished {
		j.Done--
	}
	if t.State.Held() {
		j.Held--
	}
	t.Try, t.State, t.Host, t.Tenure = r.Try, Waiting, "", 0
	switch {
	case r.Done:
		t.State = Finished
		j.Done++
	case r.Host != "":
		t.Host, t.Tenure, t.State = r.Host, r.Tenure, Assigned
		j.Held++
	}
}

// LoadLog takes in the records of the log, after all jobs.
func (tb *Table) LoadLog(pairs []statesvc.Pair) error {
	type rec struct {
		LSN   uint64 `json:"n"`
		Lines []line `json:"l"`
		Text  string `json:"t"`
	}
	recs := make([]rec, len(pairs))
	order := make([]int, len(pairs))
	for i, p := range pairs {
		order[i] = i
		if err := json.Unmarshal(p.Value, &recs[i]); err != nil {
			return fmt.Errorf("%s: %w", p.Path, err)
		}
	}
	// Slots are used again in any order.
	sort.Slice(order, func(i, k int) bool { return recs[order[i]].LSN < recs[order[k]].LSN })
	for _, i := range order {
		r := recs[i]
		var homes []*commit.Doc
		var entries []commit.Entry
		apply := func(id ident.JobID, index int, rec record) {
			j := tb.Jobs[id]
			if j == nil || index >= len(j.Tasks) {
				return // over since
			}
			t := &j.Tasks[index]
			// Numbers of records were once given out twice, see Committer.LSN: what was
			// written after its home has not been taken over by it.
			if d := t.Home(); j.form != logged && d.LSN >= r.LSN {
				if d.Stamp >= pairs[i].Stamp {
					return
				}
				d.LSN = r.LSN - 1
			}
			t.restore(rec)
			homes = append(homes, t.Home())
			entries = append(entries, t)
		}
		for _, l := range r.Lines {
			apply(l.Job, l.Index, l.record)
		}
		err := commit.Unpack(r.Text, func(group, text string) error {
			index, rec, err := parseLine(text)
			if err == nil {
				apply(ident.JobID(group), index, rec)
			}
			return err
		})
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", pairs[i].Path, err)
		case tb.packed:
			tb.commits.RestoreText(pairs[i].Path, pairs[i].Stamp, r.LSN, entries)
		case r.Text != "":
			return fmt.Errorf("%s: of a later format", pairs[i].Path)
		default:
			tb.commits.Restore(pairs[i].Path, pairs[i].Stamp, r.LSN, homes)
		}
	}
	return nil
}

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

// ReadLive is the view of a job as a live key has it: for nodes that don't lead.
func ReadLive(value json.RawMessage) (api.View, error) {
	var h header
	if err := json.Unmarshal(value, &h); err != nil {
		return api.View{}, err
	}
	if h.Spec == nil {
		return api.View{}, fmt.Errorf("not a job")
	}
	v := api.View{ID: h.Spec.ID, Status: "queued"}
	for _, t := range h.Tasks {
		if t.Done {
			v.Done++
		} else if t.Host != "" {
			v.Running++
		}
	}
	switch {
	case h.Phase != Open:
		v.Status, v.Running = h.Phase.String(), 0
	case v.Running > 0:
		v.Status = "running"
	}
	return v, nil
}

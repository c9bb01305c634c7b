// Package gang owns the attempts of gangs: jobs whose tasks run together or not at
// all. An attempt's tasks share a number by which they find each other; it is launched
// once all are durable, and over as soon as one of them is lost after its start.
package gang

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// State is an attempt's course.
type State uint8

// The states of an attempt.
const (
	Placed    State = iota // machines were chosen, not yet durable for all tasks
	Gathering              // launched: the tasks fetch their image and wait for each other
	Running                // all were seen running
	Saving                 // all were told to save and stop
	Ending                 // a task is gone or the rest is not wanted: all are told to stop
)

func (s State) String() string {
	return [...]string{"placed", "gathering", "running", "saving", "ending"}[s]
}

// attempt is one try of a gang at running.
type attempt struct {
	job   *jobs.Job
	try   ident.Attempt
	state State
	since ident.MonotonicTime
	began ident.MonotonicTime // when its machines were chosen
	gap   ident.MonotonicTime // since when a task is missing, 0: none is
	ours  bool                // of this term: all machines that it ever was on are known
	used  map[ident.MachineID]bool
	sent  map[int]ident.MachineID // where its tasks were launched
}

// Pick is a machine chosen for a task.
type Pick struct {
	Task   *jobs.Task
	Worker *workers.Worker
}

// Config holds the times of gangs.
type Config struct {
	Wait   time.Duration // a task waits so long for the others
	Peer   time.Duration // within which the others notice that one is gone
	Report time.Duration // between two reports of a worker
}

// Table holds all attempts. It lives for one term.
type Table struct {
	cfg     Config
	now     func() ident.MonotonicTime
	valid   func() bool // whether launches may be sent
	jobs    *jobs.Table
	workers *workers.Table
	open    map[*jobs.Job]*attempt
	touched []*jobs.Job

	Started, Lost, Replaced, Stopped uint64
}

// NewTable makes a term's table.
func NewTable(j *jobs.Table, w *workers.Table, now func() ident.MonotonicTime, valid func() bool, cfg Config) *Table {
	return &Table{cfg: cfg, now: now, valid: valid, jobs: j, workers: w, open: map[*jobs.Job]*attempt{}}
}

const (
	// joinTime is how long the others keep their room for a task that is to be replaced.
	joinTime = 3 * time.Second
	// overrun is how long an orderly stop may take beyond the time it was given.
	overrun = 2 * time.Second
)

// to is the one place where an attempt changes its state.
func (tb *Table) to(a *attempt, s State, why string) {
	if a.state == s {
		return
	}
	now := tb.now()
	slog.Debug("gang", "id", string(a.job.Spec.ID), "try", uint64(a.try), "from", a.state.String(), "to", s.String(), "why", why,
		"age_s", now.Sub(a.job.Arrived).Seconds(), "placed_s", now.Sub(a.began).Seconds())
	a.state, a.since = s, now
}

// Touch notes that a task of a gang has changed. What follows from it waits for
// Settle, when the change is complete.
func (tb *Table) Touch(j *jobs.Job) {
	if j.Gang() && !slices.Contains(tb.touched, j) {
		tb.touched = append(tb.touched, j)
	}
}

// Settle draws the consequences of what has changed.
func (tb *Table) Settle() {
	for len(tb.touched) > 0 {
		list := tb.touched
		tb.touched = nil
		for _, j := range list {
			tb.step(j)
		}
	}
}

// Tick looks at what only time changes.
func (tb *Table) Tick() {
	tb.touched = slices.SortedFunc(maps.Keys(tb.open), func(a, b *jobs.Job) int { return cmp.Compare(a.Seq, b.Seq) })
	tb.Settle()
}

// Adopt takes over a gang of the term before. A whole attempt goes on; of a part
// nobody knows whether it was ever launched, or what became of the rest.
func (tb *Table) Adopt(j *jobs.Job) {
	if !j.Gang() || j.Held == 0 || j.Phase != jobs.Open {
		return
	}
	now := tb.now()
	a := &attempt{job: j, try: j.LastTry(), state: Gathering, since: now, began: now, used: map[ident.MachineID]bool{}, sent: map[int]ident.MachineID{}}
	tb.open[j] = a
	for i := range j.Tasks {
		a.sent[i] = j.Tasks[i].Host // if it never was, the answer to a report does it
	}
	if !j.Ready() {
		tb.end(a, "a part was left of it")
	}
}

// Place begins an attempt, or replaces its lost tasks, with all that wait.
func (tb *Table) Place(j *jobs.Job, picks []Pick) {
	now := tb.now()
	a := tb.open[j]
	if a == nil {
		a = &attempt{job: j, try: j.LastTry() + 1, state: Placed, since: now, began: now, ours: true, used: map[ident.MachineID]bool{},
			sent: map[int]ident.MachineID{}}
		tb.open[j] = a
	} else {
		tb.Replaced += uint64(len(picks))
	}
	j.Joinable = false
	a.gap = 0
	for _, p := range picks {
		a.used[p.Worker.Host] = true
		tb.jobs.PlaceAs(p.Task, p.Worker.Host, p.Worker.Session, a.try, func() { tb.Touch(j) })
	}
}

// Used says whether a task of the gang's present attempt was on a machine: another
// one may not come there with the same number, since an old report would say that it
// has ended.
func (tb *Table) Used(j *jobs.Job, h ident.MachineID) bool {
	a := tb.open[j]
	return a != nil && a.used[h]
}

// count is what there is of an attempt.
type count struct{ placing, stopping, runs int }

func counted(j *jobs.Job) (n count) {
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.State {
		case jobs.Placing:
			n.placing++
		case jobs.Stopping:
			n.stopping++
		case jobs.Assigned:
			if t.Seen == api.Running {
				n.runs++
			}
		}
	}
	return n
}

// step moves a gang's attempt on.
func (tb *Table) step(j *jobs.Job) {
	a := tb.open[j]
	if a == nil {
		return
	}
	if j.Phase != jobs.Open || j.Held == 0 {
		// Over, or every task is proven gone: the next attempt may begin.
		delete(tb.open, j)
		j.Joinable = false
		return
	}
	now := tb.now()
	n := counted(j)
	missing := j.Held < len(j.Tasks)
	switch a.state {
	case Placed, Gathering:
		switch {
		case n.stopping > 0:
			tb.end(a, "a task was stopped")
		case missing:
			tb.gap(a, n)
		case n.placing > 0:
		case a.state == Placed || tb.moved(a):
			tb.to(a, Gathering, "durable")
			tb.launch(a)
		case n.runs == len(j.Tasks):
			tb.Started++
			tb.to(a, Running, "all run")
		}
	case Running:
		if missing || n.stopping > 0 {
			tb.end(a, "a task is gone")
		}
	case Saving:
		if now.Sub(a.since) > tb.windDown(j)+overrun {
			tb.end(a, "saving takes too long")
		}
	case Ending:
		tb.stop(a, 0)
	}
}

// moved says whether a task of the attempt was placed where it has not been launched.
func (tb *Table) moved(a *attempt) bool {
	for i := range a.job.Tasks {
		if a.sent[i] != a.job.Tasks[i].Host {
			return true
		}
	}
	return false
}

// gap handles a task lost before the start: it is replaced if that is still in time.
func (tb *Table) gap(a *attempt, n count) {
	now := tb.now()
	if a.gap == 0 {
		a.gap = now
	}
	switch {
	case !a.ours:
		tb.end(a, "a task is gone, and the machines that it was on are not all known")
	case n.runs > 0:
		tb.end(a, "a task is gone after the start")
	case now.Sub(a.began) > tb.cfg.Wait/2, now.Sub(a.gap) > joinTime:
		tb.end(a, "a task is gone, and none can replace it in time")
	default:
		a.job.Joinable = true
	}
}

// launch sends the tasks that are durable and not yet launched where they are.
func (tb *Table) launch(a *attempt) {
	for i := range a.job.Tasks {
		t := &a.job.Tasks[i]
		if a.sent[i] == t.Host {
			continue
		}
		a.sent[i] = t.Host
		w := tb.workers.Workers[t.Host]
		if w == nil || w.State == workers.Returning || w.State == workers.Gone || !tb.valid() {
			continue // the answer to its next report launches it, if there is one
		}
		tb.workers.Launch(w, t)
	}
}

// end gives an attempt up: what is left of it makes no progress any more.
func (tb *Table) end(a *attempt, why string) {
	if a.state != Ending {
		tb.Lost++
		slog.Info("gang attempt ends", "id", string(a.job.Spec.ID), "try", uint64(a.try), "state", a.state.String(), "why", why)
	}
	a.job.Joinable = false
	tb.to(a, Ending, why)
	tb.stop(a, 0)
}

func (tb *Table) stop(a *attempt, windDown time.Duration) {
	for i := range a.job.Tasks {
		if t := &a.job.Tasks[i]; t.State.Held() {
			tb.workers.StopTask(tb.workers.Workers[t.Host], t, windDown)
		}
	}
}

// windDown is the time that tasks of a gang get to save: their own, and that for which
// they then wait for each other.
func (tb *Table) windDown(j *jobs.Job) time.Duration {
	return time.Duration(j.Spec.SnapshotS*float64(time.Second)) + tb.cfg.Peer + time.Millisecond
}

// Stoppable says whether a gang could be stopped now without losing more than it has
// not saved: all its machines were heard lately, so that each is told in time.
func (tb *Table) Stoppable(j *jobs.Job) bool {
	a := tb.open[j]
	if a == nil || a.state != Running && a.state != Gathering || !j.Ready() {
		return false
	}
	for i := range j.Tasks {
		if !tb.workers.Hears(j.Tasks[i].Host, tb.cfg.Report*3/2) {
			return false
		}
	}
	return true
}

// Stop stops a whole gang in order, if that can be done.
func (tb *Table) Stop(j *jobs.Job, why string) bool {
	if !tb.Stoppable(j) {
		return false
	}
	a := tb.open[j]
	tb.Stopped++
	slog.Info("gang is stopped", "id", string(j.Spec.ID), "why", why)
	if a.state == Gathering || !j.Spec.Saves() {
		tb.end(a, why) // nothing to save
		return true
	}
	tb.to(a, Saving, why)
	tb.stop(a, tb.windDown(j))
	return true
}

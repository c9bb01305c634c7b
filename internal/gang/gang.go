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
	Placed        State = iota // machines were chosen, not yet durable for all tasks
	Gathering                  // launched: the tasks fetch their image and wait for each other
	Running                    // all were seen running
	Checkpointing              // all were told to save and stop
	Stopping                   // a task is gone or the rest is not wanted: all are told to stop
)

func (s State) String() string {
	return [...]string{"placed", "gathering", "running", "saving", "ending"}[s]
}

// attempt is one try of a gang at running.
type attempt struct {
	job            *jobs.Job
	number         ident.Attempt
	state          State
	stateSince     ident.MonotonicTime
	placedAt       ident.MonotonicTime // when its machines were chosen
	missingSince   ident.MonotonicTime // since when a task is missing, 0: none is
	placedThisTerm bool                // of this term: all machines that it ever was on are known
	usedMachines   map[ident.MachineID]bool
	launchedOn     map[int]ident.MachineID // where its tasks were launched
}

// Placement is a machine chosen for a task.
type Placement struct {
	Task   *jobs.Task
	Worker *workers.Worker
}

// Config holds the times of gangs.
type Config struct {
	GatherTimeout     time.Duration // a task waits so long for the others
	PeerLossTimeout   time.Duration // within which the others notice that one is gone
	HeartbeatInterval time.Duration // between two reports of a worker
}

// Table holds all attempts. It lives for one term.
type Table struct {
	cfg       Config
	now       func() ident.MonotonicTime
	mayLaunch func() bool // whether launches may be sent
	jobs      *jobs.Table
	workers   *workers.Table
	attempts  map[*jobs.Job]*attempt
	changed   []*jobs.Job

	Started, Lost, Replaced, Stopped uint64
}

// NewTable makes a term's table.
func NewTable(j *jobs.Table, w *workers.Table, now func() ident.MonotonicTime, mayLaunch func() bool, cfg Config) *Table {
	return &Table{cfg: cfg, now: now, mayLaunch: mayLaunch, jobs: j, workers: w, attempts: map[*jobs.Job]*attempt{}}
}

const (
	// replacementWindow is how long the others keep their room for a task that is to be replaced.
	replacementWindow = 3 * time.Second
	// stopOverrun is how long an orderly stop may take beyond the time it was given.
	stopOverrun = 2 * time.Second
)

// setState is the one place where an attempt changes its state.
func (tb *Table) setState(a *attempt, next State, reason Reason) {
	if a.state == next {
		return
	}
	now := tb.now()
	slog.Debug("gang state changed", "job", string(a.job.Spec.ID), "attempt", uint64(a.number),
		"from", a.state.String(), "to", next.String(), "reason", string(reason),
		"age_s", now.Sub(a.job.SubmittedAt).Seconds(), "placed_s", now.Sub(a.placedAt).Seconds())
	a.state, a.stateSince = next, now
}

// MarkChanged notes that a task of a gang has changed. What follows from it waits for
// Settle, when the change is complete.
func (tb *Table) MarkChanged(j *jobs.Job) {
	if j.IsGang() && !slices.Contains(tb.changed, j) {
		tb.changed = append(tb.changed, j)
	}
}

// ProcessChanges draws the consequences of what has changed.
func (tb *Table) ProcessChanges() {
	for len(tb.changed) > 0 {
		list := tb.changed
		tb.changed = nil
		for _, j := range list {
			tb.advance(j)
		}
	}
}

// Tick looks at what only time changes.
func (tb *Table) Tick() {
	tb.changed = slices.SortedFunc(maps.Keys(tb.attempts), func(a, b *jobs.Job) int { return cmp.Compare(a.Seq, b.Seq) })
	tb.ProcessChanges()
}

// Adopt takes over a gang of the term before. A whole attempt goes on; of a part
// nobody knows whether it was ever launched, or what became of the rest.
func (tb *Table) Adopt(j *jobs.Job) {
	if !j.IsGang() || j.AllocatedTasks == 0 || j.Phase != jobs.Open {
		return
	}
	now := tb.now()
	a := &attempt{job: j, number: j.HighestAttempt(), state: Gathering, stateSince: now, placedAt: now, usedMachines: map[ident.MachineID]bool{}, launchedOn: map[int]ident.MachineID{}}
	tb.attempts[j] = a
	for i := range j.Tasks {
		a.launchedOn[i] = j.Tasks[i].MachineID // if it never was, the answer to a report does it
	}
	if !j.ReadyToLaunch() {
		tb.abort(a, reasonPartial)
	}
}

// Place begins an attempt, or replaces its lost tasks, with all that wait.
func (tb *Table) Place(j *jobs.Job, placements []Placement) {
	now := tb.now()
	a := tb.attempts[j]
	if a == nil {
		a = &attempt{job: j, number: j.HighestAttempt() + 1, state: Placed, stateSince: now, placedAt: now, placedThisTerm: true, usedMachines: map[ident.MachineID]bool{},
			launchedOn: map[int]ident.MachineID{}}
		tb.attempts[j] = a
	} else {
		tb.Replaced += uint64(len(placements))
	}
	j.AcceptsReplacements = false
	a.missingSince = 0
	for _, placement := range placements {
		a.usedMachines[placement.Worker.ID] = true
		tb.jobs.PlaceAttempt(placement.Task, placement.Worker.ID, placement.Worker.Incarnation, a.number, func() { tb.MarkChanged(j) })
	}
}

// HasUsed says whether a task of the gang's present attempt was on a machine: another
// one may not come there with the same number, since an old report would say that it
// has ended.
func (tb *Table) HasUsed(j *jobs.Job, machineID ident.MachineID) bool {
	a := tb.attempts[j]
	return a != nil && a.usedMachines[machineID]
}

// taskCounts is what there is of an attempt.
type taskCounts struct{ placing, stopping, running int }

func countTasks(j *jobs.Job) (counts taskCounts) {
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.State {
		case jobs.Placing:
			counts.placing++
		case jobs.Stopping:
			counts.stopping++
		case jobs.Assigned:
			if t.ReportedStatus == api.Running {
				counts.running++
			}
		}
	}
	return counts
}

// advance moves a gang's attempt on.
func (tb *Table) advance(j *jobs.Job) {
	a := tb.attempts[j]
	if a == nil {
		return
	}
	if j.Phase != jobs.Open || j.AllocatedTasks == 0 {
		// Over, or every task is proven gone: the next attempt may begin.
		delete(tb.attempts, j)
		j.AcceptsReplacements = false
		return
	}
	now := tb.now()
	counts := countTasks(j)
	missing := j.AllocatedTasks < len(j.Tasks)
	switch a.state {
	case Placed, Gathering:
		switch {
		case counts.stopping > 0:
			tb.abort(a, reasonTaskStopped)
		case missing:
			tb.handleMissingTask(a, counts)
		case counts.placing > 0:
		case a.state == Placed || tb.hasUnlaunched(a):
			tb.setState(a, Gathering, reasonDurable)
			tb.launchPlaced(a)
		case counts.running == len(j.Tasks):
			tb.Started++
			tb.setState(a, Running, reasonAllRunning)
		}
	case Running:
		if missing || counts.stopping > 0 {
			tb.abort(a, reasonTaskLost)
		}
	case Checkpointing:
		if now.Sub(a.stateSince) > tb.checkpointGracePeriod(j)+stopOverrun {
			tb.abort(a, reasonCheckpointTimeout)
		}
	case Stopping:
		tb.stopTasks(a, 0)
	}
}

// hasUnlaunched says whether a task of the attempt was placed where it has not been launched.
func (tb *Table) hasUnlaunched(a *attempt) bool {
	for i := range a.job.Tasks {
		if a.launchedOn[i] != a.job.Tasks[i].MachineID {
			return true
		}
	}
	return false
}

// handleMissingTask handles a task lost before the start: it is replaced if that is still in time.
func (tb *Table) handleMissingTask(a *attempt, counts taskCounts) {
	now := tb.now()
	if a.missingSince == 0 {
		a.missingSince = now
	}
	switch {
	case !a.placedThisTerm:
		tb.abort(a, reasonMachinesUnknown)
	case counts.running > 0:
		tb.abort(a, reasonLostAfterStart)
	case now.Sub(a.placedAt) > tb.cfg.GatherTimeout/2, now.Sub(a.missingSince) > replacementWindow:
		tb.abort(a, reasonReplacementTimeout)
	default:
		a.job.AcceptsReplacements = true
	}
}

// launchPlaced sends the tasks that are durable and not yet launched where they are.
func (tb *Table) launchPlaced(a *attempt) {
	for i := range a.job.Tasks {
		t := &a.job.Tasks[i]
		if a.launchedOn[i] == t.MachineID {
			continue
		}
		a.launchedOn[i] = t.MachineID
		w := tb.workers.Workers[t.MachineID]
		if w == nil || w.State == workers.Terminating || w.State == workers.Terminated || !tb.mayLaunch() {
			continue // the answer to its next report launches it, if there is one
		}
		tb.workers.Launch(w, t)
	}
}

// abort gives an attempt up: what is left of it makes no progress any more.
func (tb *Table) abort(a *attempt, reason Reason) {
	if a.state != Stopping {
		tb.Lost++
		slog.Info("gang attempt aborted", "job", string(a.job.Spec.ID), "attempt", uint64(a.number),
			"state", a.state.String(), "reason", string(reason))
	}
	a.job.AcceptsReplacements = false
	tb.setState(a, Stopping, reason)
	tb.stopTasks(a, 0)
}

func (tb *Table) stopTasks(a *attempt, gracePeriod time.Duration) {
	for i := range a.job.Tasks {
		if t := &a.job.Tasks[i]; t.State.Allocated() {
			tb.workers.StopTask(tb.workers.Workers[t.MachineID], t, gracePeriod)
		}
	}
}

// checkpointGracePeriod is the time that tasks of a gang get to save: their own, and that for which
// they then wait for each other.
func (tb *Table) checkpointGracePeriod(j *jobs.Job) time.Duration {
	return time.Duration(j.Spec.CheckpointS*float64(time.Second)) + tb.cfg.PeerLossTimeout + time.Millisecond
}

// CanStop says whether a gang could be stopped now without losing more than it has
// not saved: all its machines were heard lately, so that each is told in time.
func (tb *Table) CanStop(j *jobs.Job) bool {
	a := tb.attempts[j]
	if a == nil || a.state != Running && a.state != Gathering || !j.ReadyToLaunch() {
		return false
	}
	for i := range j.Tasks {
		if !tb.workers.Reachable(j.Tasks[i].MachineID, tb.cfg.HeartbeatInterval*3/2) {
			return false
		}
	}
	return true
}

// Stop stops a whole gang in order, if that can be done.
func (tb *Table) Stop(j *jobs.Job, reason Reason) bool {
	if !tb.CanStop(j) {
		return false
	}
	a := tb.attempts[j]
	tb.Stopped++
	slog.Info("gang stopping", "job", string(j.Spec.ID), "reason", string(reason))
	if a.state == Gathering || !j.Spec.CanCheckpoint() {
		tb.abort(a, reason) // nothing to save
		return true
	}
	tb.setState(a, Checkpointing, reason)
	tb.stopTasks(a, tb.checkpointGracePeriod(j))
	return true
}

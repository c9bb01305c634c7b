// Package gang controls the attempts of gangs: jobs whose tasks run at the same time or not at
// all. The tasks of an attempt find each other by its number. An attempt is launched once the
// placements of all tasks are durable, and ends as soon as a task is lost after its start.
package gang

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// Placement is a machine that was chosen for a task.
type Placement struct {
	Task   *jobs.Task
	Worker *workers.Worker
}

// Config holds the times of the workers' protocol that matter to gangs.
type Config struct {
	GatherTimeout     time.Duration // for which a launched task waits for the others to start
	PeerLossTimeout   time.Duration // within which the other tasks notice that one is gone
	HeartbeatInterval time.Duration // between two heartbeats of a worker
}

const (
	// replacementWindow is the time for which the tasks of an attempt keep their room while one that
	// was lost before the start may be replaced.
	replacementWindow = 3 * time.Second
	// replacementDivisor gives the part of the gather timeout within which a lost task may be
	// replaced: the replacement needs the rest to start.
	replacementDivisor = 2
	// stopOverrun is the time that a graceful stop may take beyond its grace period.
	stopOverrun = 2 * time.Second
)

// Table holds the attempts of all gangs, for one term. It is not safe for concurrent use: all calls
// come from the node's event loop.
type Table struct {
	cfg       Config
	now       func() ident.MonotonicTime
	mayLaunch func() bool // whether launches may be sent now
	jobs      *jobs.Table
	workers   *workers.Table
	attempts  map[*jobs.Job]*attempt
	changed   []*jobs.Job // whose attempts ProcessChanges advances

	Started  uint64 // attempts of which all tasks ran
	Lost     uint64 // attempts that were aborted
	Replaced uint64 // tasks that were replaced before the start
	Stopped  uint64 // attempts that were stopped gracefully
}

// NewTable makes the table of a term. now is the monotonic clock; mayLaunch reports whether launches may
// be sent at present.
func NewTable(
	jobTable *jobs.Table, workerTable *workers.Table, now func() ident.MonotonicTime, mayLaunch func() bool, cfg Config,
) *Table {
	return &Table{
		cfg:       cfg,
		now:       now,
		mayLaunch: mayLaunch,
		jobs:      jobTable,
		workers:   workerTable,
		attempts:  map[*jobs.Job]*attempt{},
	}
}

// MarkChanged marks a job of which a task has changed, for ProcessChanges.
func (tb *Table) MarkChanged(j *jobs.Job) {
	if j.IsGang() && !slices.Contains(tb.changed, j) {
		tb.changed = append(tb.changed, j)
	}
}

// ProcessChanges advances the attempts of the gangs that have changed. It is called at the end of an
// event, once all of its changes are made.
func (tb *Table) ProcessChanges() {
	for len(tb.changed) > 0 {
		changed := tb.changed
		tb.changed = nil
		for _, j := range changed {
			tb.advance(j)
		}
	}
}

// Tick advances all attempts, since some transitions depend on the time alone.
func (tb *Table) Tick() {
	tb.changed = slices.SortedFunc(maps.Keys(tb.attempts), func(a, b *jobs.Job) int { return cmp.Compare(a.Seq, b.Seq) })
	tb.ProcessChanges()
}

// Adopt restores the attempt of a gang that an earlier term has placed. It continues if the placements
// of all tasks are known. An incomplete one is aborted: it may have been launched.
func (tb *Table) Adopt(j *jobs.Job) {
	if !j.IsGang() || j.AllocatedTasks == 0 || j.Phase != jobs.Open {
		return
	}
	a := newAttempt(j, j.HighestAttempt(), Gathering, tb.now())
	tb.attempts[j] = a
	for i := range j.Tasks {
		// Assumed. A task that was not launched counts as lost once a heartbeat shows that.
		a.launchedOn[i] = j.Tasks[i].MachineID
	}
	if !j.ReadyToLaunch() {
		tb.abort(a, reasonPartial)
	}
}

// Place begins an attempt, or replaces lost tasks of one, with placements for all waiting tasks.
func (tb *Table) Place(j *jobs.Job, placements []Placement) {
	a := tb.attempts[j]
	if a == nil {
		a = newAttempt(j, j.HighestAttempt()+1, Placed, tb.now())
		a.placedThisTerm = true
		tb.attempts[j] = a
	} else {
		tb.Replaced += uint64(len(placements))
	}
	j.AcceptsReplacements = false
	a.missingSince = 0
	for _, placement := range placements {
		w := placement.Worker
		a.usedMachines[w.ID] = true
		tb.jobs.PlaceAttempt(placement.Task, w.ID, w.Incarnation(), a.number, func() { tb.MarkChanged(j) })
	}
}

// HasUsed reports whether a task of the gang's present attempt was placed on a machine. No other task of
// the attempt may be placed there: a late heartbeat could say that it has ended.
func (tb *Table) HasUsed(j *jobs.Job, machineID ident.MachineID) bool {
	a := tb.attempts[j]
	return a != nil && a.usedMachines[machineID]
}

// advance moves a gang's attempt to the state that follows from those of its tasks.
func (tb *Table) advance(j *jobs.Job) {
	a := tb.attempts[j]
	if a == nil {
		return
	}
	if j.Phase != jobs.Open || j.AllocatedTasks == 0 {
		// The job is over, or all tasks are proven gone, so that the next attempt may begin.
		delete(tb.attempts, j)
		j.AcceptsReplacements = false
		return
	}
	counts := countTasks(j)
	switch a.state {
	case Placed, Gathering:
		tb.advanceToStart(a, counts)
	case Running:
		if counts.missing > 0 || counts.stopping > 0 {
			tb.abort(a, reasonTaskLost)
		}
	case Checkpointing:
		if tb.now().Sub(a.stateSince) > tb.checkpointGracePeriod(j)+stopOverrun {
			tb.abort(a, reasonCheckpointTimeout)
		}
	case Stopping:
		tb.workers.StopAllocated(j, 0)
	}
}

// advanceToStart is advance for an attempt that has not started.
func (tb *Table) advanceToStart(a *attempt, counts taskCounts) {
	switch {
	case counts.stopping > 0:
		tb.abort(a, reasonTaskStopped)
	case counts.missing > 0:
		tb.awaitReplacement(a, counts)
	case counts.placing > 0:
		// Wait until all placements are durable.
	case a.state == Placed || a.hasUnlaunched():
		tb.setState(a, Gathering, reasonDurable)
		tb.launchPlaced(a)
	case counts.running == len(a.job.Tasks):
		tb.Started++
		tb.setState(a, Running, reasonAllRunning)
	}
}

// awaitReplacement lets tasks that were lost before the start be replaced for a limited time, and
// aborts an attempt that cannot have replacements or had none in that time.
func (tb *Table) awaitReplacement(a *attempt, counts taskCounts) {
	now := tb.now()
	if a.missingSince == 0 {
		a.missingSince = now
	}
	tooLate := now.Sub(a.placedAt) > tb.cfg.GatherTimeout/replacementDivisor ||
		now.Sub(a.missingSince) > replacementWindow
	switch {
	case !a.placedThisTerm:
		tb.abort(a, reasonMachinesUnknown)
	case counts.running > 0:
		tb.abort(a, reasonLostAfterStart)
	case tooLate:
		tb.abort(a, reasonReplacementTimeout)
	default:
		a.job.AcceptsReplacements = true
	}
}

// launchPlaced launches the tasks that were not launched on their present machines.
func (tb *Table) launchPlaced(a *attempt) {
	for i := range a.job.Tasks {
		t := &a.job.Tasks[i]
		if a.launchedOn[i] == t.MachineID {
			continue
		}
		a.launchedOn[i] = t.MachineID
		w := tb.workers.Workers[t.MachineID]
		if w == nil || w.State == workers.Terminating || w.State == workers.Terminated || !tb.mayLaunch() {
			continue // launched by the response to the machine's next heartbeat, if there is one
		}
		tb.workers.Launch(w, t)
	}
}

// abort ends an attempt without a grace period: its remaining tasks make no progress alone.
func (tb *Table) abort(a *attempt, reason Reason) {
	if a.state != Stopping {
		tb.Lost++
		slog.Info("gang attempt aborted", "job", string(a.job.Spec.ID), "attempt", uint64(a.number),
			"state", a.state.String(), "reason", string(reason))
	}
	a.job.AcceptsReplacements = false
	tb.setState(a, Stopping, reason)
	tb.workers.StopAllocated(a.job, 0)
}

// checkpointGracePeriod returns the grace period for a whole gang to save a checkpoint: the time that
// each task takes, and the time for which tasks then wait for each other.
func (tb *Table) checkpointGracePeriod(j *jobs.Job) time.Duration {
	return j.CheckpointTime() + tb.cfg.PeerLossTimeout
}

// maxContactAge returns the greatest age of the newest heartbeat of a machine that counts as reachable:
// one and a half intervals.
func (tb *Table) maxContactAge() time.Duration { return tb.cfg.HeartbeatInterval * 3 / 2 }

// CanStop reports whether a gang can be stopped now such that it loses no more than the progress since
// its last checkpoint: all its machines must be reachable, so that all tasks stop in time.
func (tb *Table) CanStop(j *jobs.Job) bool {
	a := tb.attempts[j]
	if a == nil || a.state != Running && a.state != Gathering || !j.ReadyToLaunch() {
		return false
	}
	for i := range j.Tasks {
		if !tb.workers.Reachable(j.Tasks[i].MachineID, tb.maxContactAge()) {
			return false
		}
	}
	return true
}

// Stop stops a whole gang gracefully. It returns false if that is not possible, see CanStop.
func (tb *Table) Stop(j *jobs.Job, reason Reason) bool {
	if !tb.CanStop(j) {
		return false
	}
	a := tb.attempts[j]
	tb.Stopped++
	slog.Info("gang stopping", "job", string(j.Spec.ID), "reason", string(reason))
	if a.state == Gathering || !j.Spec.CanCheckpoint() {
		tb.abort(a, reason) // there is nothing to save
		return true
	}
	tb.setState(a, Checkpointing, reason)
	tb.workers.StopAllocated(j, tb.checkpointGracePeriod(j))
	return true
}

// Package gang controls the attempts to run gangs. A gang is a job whose tasks must all run at the same
// time. The tasks of an attempt identify each other by the attempt number. An attempt is launched once
// the placements of all its tasks are durable. After it has started, the loss of any task aborts it.
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

// Placement is a task and the machine to run it on.
type Placement struct {
	Task   *jobs.Task
	Worker *workers.Worker
}

// Config holds the intervals and timeouts of the worker protocol that gangs depend on.
type Config struct {
	GatherTimeout     time.Duration // how long a launched task waits for the other tasks to start
	PeerLossTimeout   time.Duration // how long the other tasks take at most to detect that a task is lost
	HeartbeatInterval time.Duration // time between two heartbeats of a worker
}

const (
	// replacementWindow is how long an attempt that lost a task before its start waits for a replacement.
	// The other tasks keep their machines during that time.
	replacementWindow = 3 * time.Second
	// replacementDivisor sets the deadline for replacements: the gather timeout divided by
	// replacementDivisor, from the first placement on. The replacement needs the remaining time to start.
	replacementDivisor = 2
	// stopOverrun is the time beyond its grace period that a graceful stop may need.
	stopOverrun = 2 * time.Second
)

// Table holds the attempts of all gangs during one term. It is not safe for concurrent use: all calls
// must come from the event loop of the node.
type Table struct {
	cfg       Config
	now       func() ident.MonotonicTime
	mayLaunch func() bool // reports whether launch commands may be sent now
	jobs      *jobs.Table
	workers   *workers.Table
	attempts  map[*jobs.Job]*attempt
	changed   []*jobs.Job // jobs whose attempts ProcessChanges must advance

	Started  uint64 // attempts whose tasks all ran at the same time
	Lost     uint64 // aborted attempts
	Replaced uint64 // tasks replaced before the start of their attempt
	Stopped  uint64 // attempts stopped on request
}

// NewTable returns an empty table for a term. now is the monotonic clock. mayLaunch reports whether launch
// commands may be sent now.
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

// MarkChanged records that a task of a job has changed, so that ProcessChanges advances the job's attempt.
func (tb *Table) MarkChanged(j *jobs.Job) {
	if j.IsGang() && !slices.Contains(tb.changed, j) {
		tb.changed = append(tb.changed, j)
	}
}

// ProcessChanges advances the attempts of the gangs that have changed. The event loop calls it at the end
// of each event, after all changes of the event.
func (tb *Table) ProcessChanges() {
	for len(tb.changed) > 0 {
		changed := tb.changed
		tb.changed = nil
		for _, j := range changed {
			tb.advance(j)
		}
	}
}

// Tick advances all attempts. It is called periodically, since some transitions depend only on time.
func (tb *Table) Tick() {
	tb.changed = slices.SortedFunc(maps.Keys(tb.attempts), func(a, b *jobs.Job) int { return cmp.Compare(a.Seq, b.Seq) })
	tb.ProcessChanges()
}

// Adopt restores the attempt of a gang that was placed in an earlier term. The attempt continues if the
// placements of all tasks are known. Otherwise it is aborted, since some of its tasks may have been
// launched.
func (tb *Table) Adopt(j *jobs.Job) {
	if !j.IsGang() || j.AllocatedTasks == 0 || j.Phase != jobs.Open {
		return
	}
	a := newAttempt(j, j.HighestAttempt(), Gathering, tb.now())
	tb.attempts[j] = a
	for i, t := range j.Tasks.All() {
		// Assume that the task was launched. If it was not, a heartbeat will show that, and the task
		// counts as lost.
		a.launchedOn[i] = t.MachineID
	}
	if !j.ReadyToLaunch() {
		tb.abort(a, reasonIncomplete)
	}
}

// Place begins an attempt of a gang, or replaces the lost tasks of the current attempt. The placements
// must cover all waiting tasks.
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

// HasUsed reports whether a task of the gang's current attempt was placed on a machine. Replacements must
// not be placed there: a late heartbeat of the machine could report the end of the earlier task, which
// would be taken for the end of the replacement.
func (tb *Table) HasUsed(j *jobs.Job, machineID ident.MachineID) bool {
	a := tb.attempts[j]
	return a != nil && a.usedMachines[machineID]
}

// advance changes the state of a gang's attempt according to the states of its tasks.
func (tb *Table) advance(j *jobs.Job) {
	a := tb.attempts[j]
	if a == nil {
		return
	}
	if j.Phase != jobs.Open || j.AllocatedTasks == 0 {
		// The job has ended, or all tasks are confirmed to have stopped, so the next attempt may begin.
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

// advanceToStart implements advance for an attempt that has not started.
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
	case counts.running == a.job.Tasks.Len():
		tb.Started++
		tb.setState(a, Running, reasonAllRunning)
	}
}

// awaitReplacement allows the replacement of tasks that were lost before the start, for a limited time.
// It aborts the attempt if replacements are not possible or the time has elapsed.
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

// launchPlaced launches the tasks that have not been launched on their current machines.
func (tb *Table) launchPlaced(a *attempt) {
	for i, t := range a.job.Tasks.All() {
		if a.launchedOn[i] == t.MachineID {
			continue
		}
		a.launchedOn[i] = t.MachineID
		w := tb.workers.Workers[t.MachineID]
		if w == nil || w.State == workers.Terminating || w.State == workers.Terminated || !tb.mayLaunch() {
			continue // the response to the machine's next heartbeat, if any, launches the task
		}
		tb.workers.Launch(w, t)
	}
}

// abort stops the remaining tasks of an attempt without a grace period, since they can't make progress
// without the others.
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

// checkpointGracePeriod returns the grace period for saving a checkpoint of a gang: the checkpoint time of
// a task plus the time for which the tasks then wait for each other.
func (tb *Table) checkpointGracePeriod(j *jobs.Job) time.Duration {
	return j.CheckpointTime() + tb.cfg.PeerLossTimeout
}

// maxHeartbeatAge returns the maximum age of the last heartbeat of a machine that counts as reachable: one
// and a half heartbeat intervals.
func (tb *Table) maxHeartbeatAge() time.Duration { return tb.cfg.HeartbeatInterval * 3 / 2 }

// CanStop reports whether a gang can be stopped now without losing more than the progress since its last
// checkpoint. All its machines must be reachable, so that all tasks stop in time.
func (tb *Table) CanStop(j *jobs.Job) bool {
	a := tb.attempts[j]
	if a == nil || a.state != Running && a.state != Gathering || !j.ReadyToLaunch() {
		return false
	}
	for _, t := range j.Tasks.All() {
		if !tb.workers.Reachable(t.MachineID, tb.maxHeartbeatAge()) {
			return false
		}
	}
	return true
}

// Stop stops all tasks of a gang, with a grace period if they can save a checkpoint. It does nothing and
// returns false if CanStop returns false.
func (tb *Table) Stop(j *jobs.Job, reason Reason) bool {
	if !tb.CanStop(j) {
		return false
	}
	a := tb.attempts[j]
	tb.Stopped++
	slog.Info("gang stopping", "job", string(j.Spec.ID), "reason", string(reason))
	if a.state == Gathering || !j.Spec.CanCheckpoint() {
		tb.abort(a, reason) // there is no progress that a checkpoint could save
		return true
	}
	tb.setState(a, Checkpointing, reason)
	tb.workers.StopAllocated(j, tb.checkpointGracePeriod(j))
	return true
}

package simulator

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// gangAttempt simulates one attempt to run a gang, whose tasks start, checkpoint and end together.
type gangAttempt struct {
	sim              *Simulation
	job              *userJob
	attempt          ident.Attempt
	members          map[int]*member
	started          bool
	finished         bool // the attempt has started, and a task has exited since
	finishedAt       ident.MonotonicTime
	progress         float64             // completed run time in seconds
	stopRequestedAt  ident.MonotonicTime // time of the first request to checkpoint and stop; 0: none
	stopRequested    map[int]bool        // by task index
	checkpointFailed bool
	checkpointed     bool // a task has exited with a stored checkpoint
}

// member is a task of a gang attempt on a machine.
type member struct {
	worker            *worker
	task              *task
	incarnation       ident.Incarnation
	unresponsiveSince ident.MonotonicTime // when it was first found to be gone or hung; 0: it responds
}

// gangKey identifies an attempt of a gang.
type gangKey struct {
	job     ident.JobID
	attempt ident.Attempt
}

// gang returns the given attempt of a gang and creates it if necessary.
func (sim *Simulation) gang(j *userJob, attempt ident.Attempt) *gangAttempt {
	k := gangKey{j.spec.ID, attempt}
	g := sim.gangs[k]
	if g == nil {
		g = &gangAttempt{sim: sim, job: j, attempt: attempt, members: map[int]*member{}, stopRequested: map[int]bool{}}
		sim.gangs[k] = g
		sim.schedule(gangTick, g.tick)
	}
	return g
}

// gangTick is the interval at which gang attempts make progress.
const gangTick = 250 * time.Millisecond

// present reports whether the task has not exited and its machine still runs the same worker incarnation.
func (m *member) present() bool {
	return !m.worker.dead && m.worker.incarnation == m.incarnation && m.task.status != api.Ended
}

// responsive reports whether a member is present and its machine does not hang.
func (m *member) responsive() bool { return m.present() && m.worker.sim.now >= m.worker.hungUntil }

// join adds a task to the attempt after its image was pulled.
func (g *gangAttempt) join(w *worker, t *task) {
	sim := g.sim
	t.status = api.Gathering
	w.expediteHeartbeat()
	sim.checkTaskStart(w, t)
	i := t.id.Index
	if g.job.done[i] {
		w.scheduleStep(t, time.Millisecond, func() { w.endTask(t, api.CauseDone) })
		return
	}
	for o := range sim.gangs {
		if o.job == g.job.spec.ID && o.attempt > g.attempt && sim.gangs[o].started {
			sim.reportViolation("attempt %d of %s starts a task after attempt %d ran", g.attempt, g.job.spec.ID, o.attempt)
		}
	}
	if m := g.members[i]; m != nil && m.worker == w && m.incarnation == w.incarnation {
		sim.reportViolation("attempt %d of %s starts twice on %s", g.attempt, t.id, w.id)
	}
	if g.finished && sim.now.Sub(g.finishedAt).Seconds() > 4*sim.settings.Workers.LeaseS {
		sim.reportViolation("attempt %d of %s starts again long after the attempt ended", g.attempt, t.id)
	}
	g.members[i] = &member{worker: w, task: t, incarnation: w.incarnation}
	w.scheduleStep(t, seconds(sim.settings.Workers.GangWaitS), func() {
		if t.status == api.Gathering {
			w.endTask(t, api.CauseGangIncomplete)
		}
	})
	g.start()
}

// start starts the gang once all of its tasks have joined and are still waiting.
func (g *gangAttempt) start() {
	if g.started || len(g.members) < g.job.spec.Tasks {
		return
	}
	for _, m := range g.members {
		if !m.responsive() || m.task.status != api.Gathering {
			return
		}
	}
	g.started = true
	g.progress = g.job.checkpointedSeconds
	for _, m := range g.sorted() {
		m.task.status = api.Running
		m.worker.expediteHeartbeat()
		if g.job.alwaysFails {
			g.job.failures++
			m.worker.scheduleStep(m.task, time.Second, func() { m.worker.endTask(m.task, api.CauseError) })
		}
	}
	g.sim.logf("gang %s: attempt %d starts at progress %.0f s", g.job.spec.ID, g.attempt, g.progress)
	g.sim.GangRuns++
}

// sorted returns the members in the order of their task index.
func (g *gangAttempt) sorted() []*member {
	out := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return a.task.id.Index - b.task.id.Index })
	return out
}

// kill handles the command to stop a task. The task checkpoints first if the grace period is long enough.
func (g *gangAttempt) kill(w *worker, t *task, gracePeriod float64) {
	s := &g.job.spec
	if t.status != api.Running || !s.CanCheckpoint() || gracePeriod < s.CheckpointS {
		if g.stopRequestedAt > 0 && !g.checkpointed {
			g.checkpointFailed = true
		}
		w.endTask(t, api.CauseStopped)
		return
	}
	if g.stopRequestedAt == 0 {
		g.stopRequestedAt = g.sim.now
		g.sim.GangStops++
	}
	g.stopRequested[t.id.Index] = true
	t.status = api.Flushing
	w.expediteHeartbeat()
	w.scheduleStep(t, seconds(s.CheckpointS), func() { g.finishCheckpoint(w, t) })
}

// finishCheckpoint ends a task that has written its checkpoint, once all other tasks of the gang were asked to checkpoint
// too. If they are not asked in time, the task ends without a stored checkpoint.
func (g *gangAttempt) finishCheckpoint(w *worker, t *task) {
	switch {
	case !g.checkpointFailed && len(g.stopRequested) == g.job.spec.Tasks:
		g.checkpointed = true
		g.job.checkpointedSeconds = g.progress
		t.checkpointStored = true
		w.endTask(t, api.CauseStopped)
	case g.checkpointFailed || g.sim.now.Sub(g.stopRequestedAt).Seconds() > g.sim.settings.Workers.GangPeerS:
		w.endTask(t, api.CauseStopped)
	default:
		w.scheduleStep(t, gangTick, func() { g.finishCheckpoint(w, t) })
	}
}

// tick advances the attempt by one interval and schedules the next tick until all members are gone.
func (g *gangAttempt) tick() {
	present, complete := g.countMembers()
	if g.started && present == 0 {
		g.finish()
		return
	}
	g.sim.schedule(gangTick, g.tick)
	if !g.started {
		return
	}
	if !complete && !g.finished {
		g.finish()
	}
	switch {
	case g.checkpointOverdue():
		g.failCheckpoint(complete)
	case g.stopRequestedAt > 0:
	case complete:
		g.advance()
	default:
		g.endIfMemberLost()
	}
}

// countMembers returns the number of present members, and whether all members are responsive. It updates
// unresponsiveSince of each member.
func (g *gangAttempt) countMembers() (present int, complete bool) {
	complete = true
	for _, m := range g.sorted() {
		if m.responsive() {
			m.unresponsiveSince = 0
			present++
			continue
		}
		complete = false
		if m.present() {
			present++
		}
		if m.unresponsiveSince == 0 {
			m.unresponsiveSince = g.sim.now
		}
	}
	return present, complete
}

// finish records that a member of a started attempt has exited.
func (g *gangAttempt) finish() { g.finished, g.finishedAt = true, g.sim.now }

// peerTimeout returns how long members wait for each other.
func (g *gangAttempt) peerTimeout() time.Duration { return seconds(g.sim.settings.Workers.GangPeerS) }

// checkpointOverdue reports whether the checkpoint timed out because some members were not asked to stop in time.
func (g *gangAttempt) checkpointOverdue() bool {
	return g.stopRequestedAt > 0 && !g.checkpointed && !g.checkpointFailed && len(g.stopRequested) < g.job.spec.Tasks &&
		g.sim.now.Sub(g.stopRequestedAt) > g.peerTimeout()
}

// failCheckpoint ends the members that were not asked to stop. Without faults, all of them must have been asked.
func (g *gangAttempt) failCheckpoint(complete bool) {
	g.checkpointFailed = true
	if complete && g.sim.quiescentFor(g.peerTimeout()) {
		g.sim.reportViolation("only %d of %d tasks of %s were asked to stop in time", len(g.stopRequested), g.job.spec.Tasks,
			g.job.spec.ID)
	}
	for _, m := range g.sorted() {
		if m.responsive() && !g.stopRequested[m.task.id.Index] {
			m.worker.endTask(m.task, api.CauseGangMemberLost)
		}
	}
}

// endIfMemberLost ends the attempt once a member has been unresponsive for the peer timeout.
func (g *gangAttempt) endIfMemberLost() {
	lost := false
	for _, m := range g.members {
		lost = lost || m.unresponsiveSince > 0 && g.sim.now.Sub(m.unresponsiveSince) >= g.peerTimeout()
	}
	if !lost {
		return
	}
	for _, m := range g.sorted() {
		if m.responsive() {
			m.worker.endTask(m.task, api.CauseGangMemberLost)
		}
	}
}

// advance adds one interval to the progress of a complete gang, and ends the gang once it has run for its duration.
func (g *gangAttempt) advance() {
	g.progress += gangTick.Seconds()
	if interval := g.job.spec.CheckpointEveryS; interval > 0 {
		g.job.checkpointedSeconds = max(g.job.checkpointedSeconds, math.Floor(g.progress/interval)*interval)
	}
	if g.progress < g.job.duration.Seconds() {
		return
	}
	for i := range g.job.done {
		g.job.done[i] = true
	}
	for _, m := range g.sorted() {
		m.worker.endTask(m.task, api.CauseDone)
	}
	g.finish()
}

// quiescentFor reports whether all faults have been over for longer than d.
func (sim *Simulation) quiescentFor(d time.Duration) bool {
	return !sim.cfg.Faults || sim.now.Sub(ident.MonotonicTime(sim.cfg.ActiveDuration+faultDrainTime)) > d
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

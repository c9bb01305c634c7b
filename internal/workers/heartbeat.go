package workers

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// HandleHeartbeat applies a worker's heartbeat and returns the response to it, which renews the
// worker's lease. It returns nil if there must be no response.
func (tb *Table) HandleHeartbeat(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	w := tb.Workers[heartbeat.MachineID]
	if w == nil {
		return tb.handleUnknownMachine(heartbeat)
	}
	if w.State == Terminated {
		return nil // delayed until its machine was terminated
	}
	switch tb.applyHeartbeat(w, heartbeat) {
	case heartbeatDeposed:
		return nil
	case heartbeatStale:
		return tb.respondToStale(w, heartbeat)
	}
	response := tb.renewLease(w, heartbeat, tb.reconcile(w, heartbeat))
	if response != nil {
		w.fencing.sent = response.FencingToken
	}
	return response
}

// respondToStale responds to a heartbeat that is not newer than the newest known one. It has no
// effect here, but the response renews the lease, and so has to kill what must end.
func (tb *Table) respondToStale(w *Worker, heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	if heartbeat.Incarnation < w.order.incarnation {
		return nil
	}
	return tb.renewLease(w, heartbeat, unwantedTaskKills(w, heartbeat))
}

// handleUnknownMachine responds to a heartbeat of a machine that is not known. It may be a late
// copy of one from a machine that is terminated, so the worker is probed before it counts.
func (tb *Table) handleUnknownMachine(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	if heartbeat.FencingToken.Term() > tb.cfg.Term {
		tb.cfg.OnDeposed()
		return nil
	}
	token := ident.MakeFencingToken(tb.cfg.Term, 0)
	if !tb.probedUnknown[heartbeat.MachineID] && len(tb.probedUnknown) < tb.unknownProbeLimit() {
		tb.probeUnknownMachine(heartbeat, token)
	}
	return &api.HeartbeatResponse{FencingToken: token, Commands: []api.Command{}}
}

// probeUnknownMachine asks the worker that has sent a heartbeat for its state.
func (tb *Table) probeUnknownMachine(heartbeat *api.Heartbeat, token ident.FencingToken) {
	tb.probedUnknown[heartbeat.MachineID] = true
	call := CommandCall{
		Addr: heartbeat.Addr,
		Zone: heartbeat.Zone,
		Body: api.CommandRequest{
			FencingToken: token,
			Incarnation:  heartbeat.Incarnation,
			Commands:     []api.Command{},
		},
	}
	tb.port.Worker(call, func(result CommandResult) { tb.handleUnknownProbe(heartbeat, result) })
}

// handleUnknownProbe adds an unknown machine whose worker has responded to the probe.
func (tb *Table) handleUnknownProbe(heartbeat *api.Heartbeat, result CommandResult) {
	if tb.closed {
		return
	}
	delete(tb.probedUnknown, heartbeat.MachineID)
	if result.Heartbeat == nil || result.Heartbeat.MachineID != heartbeat.MachineID {
		return
	}
	slog.Info("unknown machine registered", "machine", string(heartbeat.MachineID))
	w := tb.Add(MachineInfo{
		ID:        heartbeat.MachineID,
		Model:     heartbeat.Model,
		Zone:      heartbeat.Zone,
		Spot:      heartbeat.Spot,
		CreatedAt: tb.port.Now(),
	})
	if w.State != Terminated {
		tb.applyCommandResponse(w, result.Heartbeat)
	}
}

// The unknown machines that are probed at a time are at most minUnknownProbes, or the fleet's size
// divided by unknownProbesDivisor if that is more.
const (
	minUnknownProbes     = 100
	unknownProbesDivisor = 10
)

func (tb *Table) unknownProbeLimit() int {
	return max(minUnknownProbes, len(tb.sorted)/unknownProbesDivisor)
}

// heartbeatOutcome is the result of applyHeartbeat.
type heartbeatOutcome uint8

const (
	heartbeatApplied heartbeatOutcome = iota
	heartbeatStale                    // not newer than the newest known one
	heartbeatDeposed                  // the worker has seen a later term: this node is not the leader any more
)

// applyHeartbeat updates the worker and its tasks from a heartbeat.
func (tb *Table) applyHeartbeat(w *Worker, heartbeat *api.Heartbeat) heartbeatOutcome {
	if w.order.isStale(heartbeat) {
		tb.StaleHeartbeats++
		return heartbeatStale
	}
	if heartbeat.FencingToken.Term() > tb.cfg.Term {
		tb.cfg.OnDeposed()
		return heartbeatDeposed
	}
	tb.checkFencingToken(w, heartbeat.FencingToken)
	tb.updateAddress(w, heartbeat.Addr)
	now := tb.port.Now()
	if heartbeat.Incarnation > w.order.incarnation {
		tb.beginIncarnation(w, heartbeat.Incarnation, now)
	}
	tb.dropEarlierIncarnations(w, heartbeat)
	w.order.sequence = heartbeat.SequenceNumber
	tb.updateReachability(w, heartbeat, now)
	tb.updateReclaimNotice(w, heartbeat.ReclaimNoticeS, now)
	tb.clearUnknownAttempts(w)
	for _, report := range heartbeat.Tasks {
		tb.applyTaskReport(w, report)
	}
	return heartbeatApplied
}

// checkFencingToken raises the worker's token above one that is newer than any issued, which is
// not possible within a term.
func (tb *Table) checkFencingToken(w *Worker, token ident.FencingToken) {
	if token <= tb.fencingToken(w) {
		return
	}
	slog.Error("fencing token newer than any issued", "machine", string(w.ID), "token", uint64(token))
	w.fencing.raiseAbove(token, tb.cfg.Term)
}

// updateAddress persists a worker's address when it is new, and looks its type up if the catalog
// did not list it before.
func (tb *Table) updateAddress(w *Worker, addr string) {
	if w.Addr == addr && w.Type != nil {
		return
	}
	w.Addr = addr
	w.Type = tb.cfg.Catalog(w.Model)
	tb.cfg.Persist(w)
}

// beginIncarnation updates a worker that has begun a new incarnation: it has killed all tasks of
// earlier ones and refuses commands for them.
func (tb *Table) beginIncarnation(w *Worker, incarnation ident.Incarnation, now ident.MonotonicTime) {
	w.order.raiseIncarnation(incarnation)
	w.commands.discard()
	w.imageCache.clear()
	tb.clearUnknownAttempts(w)
	// The lease of an incarnation runs from its start, which was not later than now, even if
	// no heartbeat of it has had a response. A task placed in it must not count as lost
	// because the lease of the incarnation before has expired.
	w.lease.renew(now)
}

// dropEarlierIncarnations drops the tasks that were placed in earlier incarnations. A new leader
// may load them beside tasks of the present one, by which it knows that already: the end of
// the former was not durable when the placement of the latter was.
func (tb *Table) dropEarlierIncarnations(w *Worker, heartbeat *api.Heartbeat) {
	earlier := func(t *jobs.Task) bool {
		return t.Incarnation < heartbeat.Incarnation && !reportsAttempt(heartbeat, attemptOf(t))
	}
	found := false
	for _, t := range w.Tasks {
		found = found || earlier(t)
	}
	if !found {
		return
	}
	for _, t := range tb.SortedTasks(w) {
		if earlier(t) {
			tb.markTaskLost(w, t, reasonNewIncarnation)
		}
	}
}

// updateReachability records that a heartbeat was received. Its token shows whether the worker
// receives responses and commands.
func (tb *Table) updateReachability(w *Worker, heartbeat *api.Heartbeat, now ident.MonotonicTime) {
	w.reachability.heartbeatReceived(heartbeat.FencingToken, w.fencing.sent, now)
	if tb.hasCurrentToken(w, heartbeat) {
		w.reachability.unresponsive = false
	}
	if w.State == Booting || w.State == Unreachable {
		tb.setState(w, Up, ReasonHeartbeat)
		w.commands.probePending = false
		tb.cfg.OnCapacityChanged()
	}
}

// updateReclaimNotice sets the time at which the provider reclaims a machine; noticeSeconds is nil
// while that is not announced.
func (tb *Table) updateReclaimNotice(w *Worker, noticeSeconds *float64, now ident.MonotonicTime) {
	if noticeSeconds == nil {
		w.ReclaimAt = 0
		return
	}
	reclaimAt := now.Add(time.Duration(*noticeSeconds * float64(time.Second)))
	if w.ReclaimAt == 0 {
		slog.Info("machine reclaim notice", "machine", string(w.ID), "in_s", *noticeSeconds)
		tb.cfg.OnCapacityChanged()
	}
	w.ReclaimAt = max(reclaimAt, 1) // 0 stands for none
}

// applyTaskReport updates a task from its report in a heartbeat.
func (tb *Table) applyTaskReport(w *Worker, report api.TaskReport) {
	t := w.reportedTask(report)
	if t == nil {
		if report.Status != api.Ended {
			tb.addUnknownAttempt(w, attemptIn(report))
		}
		return
	}
	if provesImage(report) {
		w.recordImageUse(t.Job.Spec)
	}
	if report.Status != api.Ended {
		tb.jobs.UpdateStatus(t, report.Status)
		return
	}
	tb.handleTaskEnd(w, t, report)
}

// provesImage reports whether a task in this state has its image.
func provesImage(report api.TaskReport) bool {
	switch report.Status {
	case api.Running, api.Flushing, api.Gathering:
		return true
	}
	return report.Cause == api.CauseDone
}

// handleTaskEnd updates a task that has ended. Its attempt is cleared from the worker only once that
// is durable: otherwise a new leader would launch it again.
func (tb *Table) handleTaskEnd(w *Worker, t *jobs.Task, report api.TaskReport) {
	tb.logTaskEnd(w, t, report.Cause)
	attempt := attemptIn(report)
	w.endsNotDurable[attempt] = true
	onDurable := func() {
		if tb.closed {
			return
		}
		delete(w.endsNotDurable, attempt)
		tb.Enqueue(w, newClearCommand(attempt))
	}
	if report.Cause == api.CauseDone {
		tb.completeTask(w, t, onDurable)
		return
	}
	tb.cfg.OnTaskFailed(t, w, report.Cause)
	if report.Cause == api.CauseError && !t.Job.Suspect {
		w.failures.add(t.Job)
	}
	tb.jobs.MarkGone(t, onDurable)
}

// completeTask completes a task, and the other tasks of a gang with it.
func (tb *Table) completeTask(w *Worker, t *jobs.Task, onDurable func()) {
	w.failures.clearUnlessFailed(t.Job)
	tb.cfg.OnTaskCompleted(t, w)
	tb.jobs.Complete(t, onDurable)
	if t.Job.IsGang() {
		tb.StopAllocated(t.Job, 0)
	}
}

func (tb *Table) logTaskEnd(w *Worker, t *jobs.Task, cause api.Cause) {
	if t.RunningSince == 0 {
		return
	}
	now := tb.port.Now()
	slog.Debug("task ended", "task", t.TaskID().String(), "cause", string(cause), "machine", string(w.ID),
		"ran_s", now.Sub(t.RunningSince).Seconds(), "job_age_s", now.Sub(t.Job.SubmittedAt).Seconds(),
		"runtime_s", t.Job.Spec.RuntimeS)
}

package workers

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// HandleHeartbeat applies a worker's heartbeat and returns the response, which renews the worker's
// lease. It returns nil if no response may be sent.
func (tb *Table) HandleHeartbeat(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	w := tb.Workers[heartbeat.MachineID]
	if w == nil {
		return tb.handleUnknownMachine(heartbeat)
	}
	if w.State == Terminated {
		return nil // a heartbeat that was delayed until after the machine's termination
	}
	switch tb.applyHeartbeat(w, heartbeat) {
	case heartbeatLaterTerm:
		return nil
	case heartbeatStale:
		return tb.respondToStale(w, heartbeat)
	}
	response := tb.renewLease(w, heartbeat, tb.reconcile(w, heartbeat))
	if response != nil {
		w.fencing.lastSent = response.FencingToken
	}
	return response
}

// respondToStale responds to a heartbeat that is not newer than the newest one received. The heartbeat
// is not applied, but the response renews the lease and so must also kill the tasks that must not run.
func (tb *Table) respondToStale(w *Worker, heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	if heartbeat.Incarnation < w.order.incarnation {
		return nil
	}
	return tb.renewLease(w, heartbeat, unwantedTaskKills(w, heartbeat))
}

// heartbeatOutcome is the result of applyHeartbeat.
type heartbeatOutcome uint8

const (
	heartbeatApplied   heartbeatOutcome = iota
	heartbeatStale                      // not newer than the newest heartbeat received
	heartbeatLaterTerm                  // the worker has seen a later term: this node is no longer the leader
)

// applyHeartbeat updates a worker and its tasks from a heartbeat, unless the heartbeat is stale.
func (tb *Table) applyHeartbeat(w *Worker, heartbeat *api.Heartbeat) heartbeatOutcome {
	if w.order.isStale(heartbeat) {
		tb.StaleHeartbeats++
		return heartbeatStale
	}
	if heartbeat.FencingToken.Term() > tb.cfg.Term {
		tb.cfg.OnLaterTerm()
		return heartbeatLaterTerm
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
	previous := tb.takeUnknownAttempts(w)
	for _, report := range heartbeat.Tasks {
		tb.applyTaskReport(w, report)
	}
	if len(w.unknownAttempts) > 0 {
		tb.recordNewUnknownAttempts(w, heartbeat, previous)
	}
	return heartbeatApplied
}

// checkFencingToken logs a reported fencing token that is newer than any token issued to the worker, and
// raises the worker's token above it. This cannot happen within a term unless there is a bug.
func (tb *Table) checkFencingToken(w *Worker, token ident.FencingToken) {
	if token <= tb.FencingToken(w) {
		return
	}
	slog.Error("fencing token newer than any issued", "machine", string(w.ID), "token", uint64(token))
	w.fencing.adopt(token, tb.cfg.Term)
	tb.raiseToken(w)
}

// updateAddress sets a worker's address if it has changed, and looks up the machine type if the catalog
// did not list it before. It persists the machine in both cases.
func (tb *Table) updateAddress(w *Worker, addr string) {
	if w.Addr == addr && w.Type != nil {
		return
	}
	w.Addr = addr
	w.Type = tb.cfg.Catalog(w.Model)
	tb.cfg.Persist(w)
}

// beginIncarnation updates a worker that has started a new incarnation. Such a worker has killed all
// tasks of its earlier incarnations and rejects commands addressed to them.
func (tb *Table) beginIncarnation(w *Worker, incarnation ident.Incarnation, now ident.MonotonicTime) {
	w.order.raiseIncarnation(incarnation)
	w.commands.discard()
	w.fencing.forgetLaunches()
	w.imageCache.clear()
	tb.clearUnknownAttempts(w)
	// The lease of a new incarnation runs from its start, which is not later than now, even if none of
	// its heartbeats has been answered yet. Otherwise a task placed in the new incarnation would be
	// considered lost when the lease of the previous incarnation expires.
	w.lease.renew(now)
}

// dropEarlierIncarnations marks the tasks as lost that were placed in earlier incarnations and that the
// heartbeat does not list. This is done for every heartbeat, not only for the first of an incarnation:
// if the placement of a task in the current incarnation became durable before the loss of the earlier
// tasks did, a new leader loads both, and knows the current incarnation from the newer placement.
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

// updateReachability records that a heartbeat was received. Its fencing token shows whether the worker
// receives responses and commands.
func (tb *Table) updateReachability(w *Worker, heartbeat *api.Heartbeat, now ident.MonotonicTime) {
	w.reachability.heartbeatReceived(heartbeat.FencingToken, w.fencing.lastSent, now)
	if tb.hasCurrentToken(w, heartbeat) {
		w.reachability.unresponsive = false
	}
	if w.State == Booting || w.State == Unreachable {
		tb.setState(w, Up, ReasonHeartbeat)
		w.commands.probePending = false
		tb.cfg.OnCapacityChanged()
	}
}

// updateReclaimNotice sets the time at which the provider reclaims a machine. noticeSeconds is the time
// left until then, or nil if no reclaim is announced.
func (tb *Table) updateReclaimNotice(w *Worker, noticeSeconds *float64, now ident.MonotonicTime) {
	if noticeSeconds == nil {
		w.ReclaimAt = 0
		return
	}
	reclaimAt := now.Add(time.Duration(*noticeSeconds * float64(time.Second)))
	if w.ReclaimAt == 0 {
		slog.Info("provider announced machine reclaim", "machine", string(w.ID), "in_s", *noticeSeconds)
		tb.cfg.OnCapacityChanged()
	}
	w.ReclaimAt = max(reclaimAt, 1) // 0 would mean that no reclaim is announced
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
	if hasPulledImage(report) {
		w.recordImageUse(t.Job.Spec)
	}
	if report.Status != api.Ended {
		tb.jobs.UpdateStatus(t, report.Status)
		return
	}
	tb.handleTaskEnd(w, t, report)
}

// hasPulledImage reports whether a task in this state must have pulled its image.
func hasPulledImage(report api.TaskReport) bool {
	switch report.Status {
	case api.Running, api.Flushing, api.Gathering:
		return true
	}
	return report.Cause == api.CauseDone
}

// handleTaskEnd records that a task has ended. The command to clear the attempt is sent to the worker only
// once the end is durable. Otherwise neither the store nor the worker might have it when a new leader takes
// over, and the task would be started again.
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
	tb.jobs.MarkNotRunning(t, onDurable)
}

// completeTask records that a task completed. When one task of a gang completes, the whole gang does,
// and its tasks that are still allocated are stopped.
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

package workers

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// HandleHeartbeat takes a worker's report and returns the answer to it, nil for a
// report that is not newer than what is known.
func (tb *Table) HandleHeartbeat(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	w := tb.Workers[heartbeat.MachineID]
	if w == nil || w.State == Terminated {
		if w != nil {
			// Held up on its way while its machine was being returned.
			return nil
		}
		return tb.handleUnknownMachine(heartbeat)
	}
	if !tb.applyHeartbeat(w, heartbeat) {
		// No effect, but its lease is renewed by any answer, and so each must end what
		// has to be gone.
		if tb.closed || heartbeat.Incarnation < w.Incarnation {
			return nil
		}
		return tb.renewLease(w, heartbeat, unwantedTaskKills(w, heartbeat))
	}
	response := tb.renewLease(w, heartbeat, tb.reconcile(w, heartbeat))
	if response != nil {
		w.sentToken = response.FencingToken
	}
	return response
}

// handleUnknownMachine answers a report of a machine that we don't know. It may be a late
// copy, from one long returned; so the machine is asked before it counts.
func (tb *Table) handleUnknownMachine(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	if heartbeat.FencingToken.Term() > tb.cfg.Term {
		tb.cfg.OnDeposed()
		return nil
	}
	token := ident.MakeFencingToken(tb.cfg.Term, 0)
	if !tb.verifying[heartbeat.MachineID] && len(tb.verifying) < tb.unknownProbeLimit() {
		tb.verifying[heartbeat.MachineID] = true
		tb.port.Worker(CommandCall{Addr: heartbeat.Addr, Zone: heartbeat.Zone, Body: api.CommandRequest{FencingToken: token, Incarnation: heartbeat.Incarnation, Commands: []api.Command{}}}, func(result CommandResult) {
			if tb.closed {
				return
			}
			delete(tb.verifying, heartbeat.MachineID)
			if result.Heartbeat == nil || result.Heartbeat.MachineID != heartbeat.MachineID {
				return
			}
			slog.Info("unexpected machine", "host", string(heartbeat.MachineID))
			w := tb.Add(MachineInfo{
				ID: heartbeat.MachineID, Model: heartbeat.Model, Zone: heartbeat.Zone, Spot: heartbeat.Spot, CreatedAt: tb.port.Now()})
			if w.State != Terminated && tb.applyHeartbeat(w, result.Heartbeat) && !tb.closed {
				tb.killUnwanted(w, result.Heartbeat)
			}
		})
	}
	return &api.HeartbeatResponse{FencingToken: token, Commands: []api.Command{}}
}

// The bound on the unknown machines that are asked at a time: so many, or a part of the
// fleet where it is larger.
const (
	minUnknownProbes     = 100
	unknownProbesDivisor = 10
)

func (tb *Table) unknownProbeLimit() int {
	return max(minUnknownProbes, len(tb.sorted)/unknownProbesDivisor)
}

// RenewLeaseOnly answers a report without taking anything from it, for a leader that may not be
// one any more, but whose workers had better keep their tasks. Nothing starts by that;
// what must be gone is stopped.
func (tb *Table) RenewLeaseOnly(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	w := tb.Workers[heartbeat.MachineID]
	if w == nil || w.State == Terminated || heartbeat.FencingToken > tb.fencingToken(w) || heartbeat.Incarnation < w.Incarnation {
		// One that has seen a successor's token would have to drop our answer, and
		// stay with us until its lease is over.
		return nil
	}
	response := tb.renewLease(w, heartbeat, unwantedTaskKills(w, heartbeat))
	if response != nil {
		w.lastContact = w.leaseRenewedAt
	}
	return response
}

// renewLease answers a report, which renews the worker's lease, unless a task of a job that
// was cancelled longer ago than the grace may yet come to run there, from a command that
// is still on its way: that must be over with the lease. The worker is then told the
// newest token, with which its next report shows that nothing can come any more.
func (tb *Table) renewLease(w *Worker, heartbeat *api.Heartbeat, commands []api.Command) *api.HeartbeatResponse {
	// With the newest token, and no command under way, nothing can come late.
	if heartbeat.FencingToken != tb.fencingToken(w) || w.sending || heartbeat.SequenceNumber < w.lastSequence {
		for _, t := range w.Tasks {
			j := t.Job
			if j.Phase == jobs.Cancelled && tb.port.Now().Sub(j.ClosedAt) > tb.cfg.LeaderGrace && !reportsAttempt(heartbeat, taskAttempt{t.TaskID(), t.Attempt}) {
				tb.Probe(w)
				return nil
			}
		}
	}
	w.leaseRenewedAt, w.leaseRenewed = tb.port.Now(), true
	return &api.HeartbeatResponse{FencingToken: tb.fencingToken(w), Commands: commands}
}

// reportsAttempt says whether a report has an attempt.
func reportsAttempt(heartbeat *api.Heartbeat, attempt taskAttempt) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(report api.TaskReport) bool {
		return report.TaskID == attempt.task && report.Attempt == attempt.attempt
	})
}

// unwantedTaskKills returns the orders that stop the tasks in a report which nobody wants any
// more: those of cancelled jobs, and what doesn't count on the machine. A kill is safe
// at any time, whoever leads.
func unwantedTaskKills(w *Worker, heartbeat *api.Heartbeat) []api.Command {
	commands := []api.Command{}
	for _, report := range heartbeat.Tasks {
		t := w.Tasks[report.TaskID]
		if report.Status != api.Ended && (t == nil || t.Attempt != report.Attempt || t.Job.Phase == jobs.Cancelled) {
			commands = append(commands, KillCommand(report.TaskID, report.Attempt))
		}
	}
	return commands
}

// applyHeartbeat notes what a report says of the worker itself. It returns false for a
// report that is not newer than the newest seen.
func (tb *Table) applyHeartbeat(w *Worker, heartbeat *api.Heartbeat) bool {
	if heartbeat.Incarnation < w.Incarnation || heartbeat.Incarnation == w.Incarnation && heartbeat.SequenceNumber <= w.lastSequence {
		tb.StaleHeartbeats++
		return false
	}
	now := tb.port.Now()
	if heartbeat.FencingToken.Term() > tb.cfg.Term {
		tb.cfg.OnDeposed()
		return false
	}
	if heartbeat.FencingToken > tb.fencingToken(w) {
		// A token of ours that we don't remember: not possible within a term.
		slog.Error("worker has seen a token from the future", "host", string(w.ID))
		w.fenceCount = uint32(heartbeat.FencingToken-ident.MakeFencingToken(tb.cfg.Term, 0)) + 1
	}
	if w.Addr != heartbeat.Addr || w.Type == nil {
		w.Addr = heartbeat.Addr
		w.Type = tb.cfg.Catalog(w.Model)
		tb.cfg.Persist(w)
	}
	if heartbeat.Incarnation > w.Incarnation {
		tb.beginIncarnation(w, heartbeat.Incarnation, now)
	}
	tb.dropEarlierIncarnations(w, heartbeat)
	w.lastSequence, w.lastContact = heartbeat.SequenceNumber, now
	tb.updateReachability(w, heartbeat, now)
	tb.updateReclaimNotice(w, heartbeat.ReclaimNoticeS, now)
	tb.clearUnknownAttempts(w)
	for _, report := range heartbeat.Tasks {
		tb.applyTaskReport(w, report)
	}
	return true
}

// beginIncarnation notes that the worker has killed and forgotten all tasks of earlier sessions, and
// that orders for them are refused.
func (tb *Table) beginIncarnation(w *Worker, incarnation ident.Incarnation, now ident.MonotonicTime) {
	w.Incarnation = incarnation
	w.queued = nil
	w.cachedImages = nil
	tb.clearUnknownAttempts(w)
	// Its lease has its full time from when the session began, which was not
	// after this: nobody need have answered it yet. (A placement learned of by
	// a probe was thought lost with the lease before, and ran twice.)
	w.leaseRenewedAt, w.leaseRenewed = now, true
}

// updateReachability notes that a machine is heard, and whether it hears us.
func (tb *Table) updateReachability(w *Worker, heartbeat *api.Heartbeat, now ident.MonotonicTime) {
	// To hear a machine is no proof that it hears us: our answers and commands may
	// be lost on the way there. A token that we gave it is.
	switch {
	case heartbeat.FencingToken >= w.sentToken:
		w.missedResponses, w.cannotReceiveSince = 0, 0
	case w.cannotReceiveSince == 0:
		w.cannotReceiveSince = now
	}
	if heartbeat.FencingToken == tb.fencingToken(w) {
		w.unresponsive = false
	}
	if w.State == Booting || w.State == Unreachable {
		tb.setState(w, Up, ReasonHeartbeat)
		w.probePending = false
		tb.cfg.OnCapacityChanged()
	}
}

// updateReclaimNotice notes when the cloud takes a machine, nil if that is not announced.
func (tb *Table) updateReclaimNotice(w *Worker, noticeSeconds *float64, now ident.MonotonicTime) {
	if noticeSeconds == nil {
		w.ReclaimAt = 0
		return
	}
	reclaimAt := now.Add(time.Duration(*noticeSeconds * float64(time.Second)))
	if w.ReclaimAt == 0 {
		slog.Info("machine will be taken", "host", string(w.ID), "in_s", *noticeSeconds)
		tb.cfg.OnCapacityChanged()
	}
	w.ReclaimAt = max(reclaimAt, 1)
}

// applyTaskReport notes what a report says of one task.
func (tb *Table) applyTaskReport(w *Worker, report api.TaskReport) {
	t := w.Tasks[report.TaskID]
	known := t != nil && t.Attempt == report.Attempt
	if !known {
		if report.Status != api.Ended {
			tb.addUnknownAttempt(w, report.TaskID, report.Attempt)
		}
		return
	}
	if report.Status == api.Running || report.Status == api.Flushing || report.Status == api.Gathering || report.Cause == api.CauseDone {
		w.noteImageUse(t.Job.Spec.Image, t.Job.Spec.ImageGB)
	}
	if report.Status != api.Ended {
		tb.jobs.UpdateStatus(t, report.Status)
		return
	}
	tb.handleTaskEnd(w, t, report)
}

// dropEarlierIncarnations drops the tasks of sessions before the report's. A successor may find them
// beside newer ones, by which it knows the session already: their end was not durable yet
// when what took their room was. (It launched them in the new session, and a team was over
// its limit.)
func (tb *Table) dropEarlierIncarnations(w *Worker, heartbeat *api.Heartbeat) {
	earlier := func(t *jobs.Task) bool {
		return t.Incarnation < heartbeat.Incarnation && !reportsAttempt(heartbeat, taskAttempt{t.TaskID(), t.Attempt})
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

// handleTaskEnd handles a task that exited. Its attempt is cleared from the worker only
// when that is durable: else a successor would start it again.
func (tb *Table) handleTaskEnd(w *Worker, t *jobs.Task, report api.TaskReport) {
	attempt := taskAttempt{report.TaskID, report.Attempt}
	if now := tb.port.Now(); t.RunningSince > 0 {
		slog.Debug("task ended", "task", report.TaskID.String(), "cause", string(report.Cause), "host", string(w.ID),
			"ran_s", now.Sub(t.RunningSince).Seconds(), "job_age_s", now.Sub(t.Job.SubmittedAt).Seconds(), "runtime_s", t.Job.Spec.RuntimeS)
	}
	w.endsNotDurable[attempt] = true
	onDurable := func() {
		if tb.closed {
			return
		}
		delete(w.endsNotDurable, attempt)
		tb.Enqueue(w, api.Command{Verb: api.Clear, TaskID: attempt.task, Attempt: attempt.attempt})
	}
	if report.Cause == api.CauseDone {
		w.recordSuccess(t.Job)
		tb.cfg.OnTaskCompleted(t, w)
		tb.jobs.Complete(t, onDurable)
		if t.Job.IsGang() {
			tb.stopRemainingTasks(t.Job)
		}
		return
	}
	tb.cfg.OnTaskFailed(t, w, report.Cause)
	if report.Cause == api.CauseError && !t.Job.Suspect {
		w.RecordFailure(t.Job)
	}
	tb.jobs.MarkGone(t, onDurable)
}

// stopRemainingTasks stops what is left on machines of a gang that is done.
func (tb *Table) stopRemainingTasks(j *jobs.Job) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Allocated() {
			tb.StopTask(tb.Workers[t.MachineID], t, 0)
		}
	}
}

// reconcile finds what the report of a checkin proves to be gone, and the
// orders that are missing on the worker.
func (tb *Table) reconcile(w *Worker, heartbeat *api.Heartbeat) []api.Command {
	commands := []api.Command{}
	// What a command under way or queued names is left to it: a launch repeated
	// here could be carried out, end and be cleared before the command's own
	// comes and starts the task again.
	inFlight := func(attempt taskAttempt) bool {
		named := func(command api.Command) bool {
			return command.TaskID == attempt.task && command.Attempt == attempt.attempt
		}
		return slices.ContainsFunc(w.inFlight, named) || slices.ContainsFunc(w.queued, named)
	}
	for _, report := range heartbeat.Tasks {
		attempt := taskAttempt{report.TaskID, report.Attempt}
		t := w.Tasks[report.TaskID]
		known := t != nil && t.Attempt == report.Attempt
		switch {
		case known && t.State == jobs.Stopping && t.Job.Phase == jobs.Cancelled && report.Status != api.Ended:
			// A command that says so may be lost, and this answer renews the lease.
			commands = append(commands, killAttempt(attempt, 0))
		case inFlight(attempt):
		case report.Status == api.Ended:
			if !known && !w.endsNotDurable[attempt] {
				commands = append(commands, api.Command{Verb: api.Clear, TaskID: report.TaskID, Attempt: report.Attempt})
			}
		case !known:
			commands = append(commands, killAttempt(attempt, 0))
		case t.State == jobs.Stopping:
			commands = append(commands, killAttempt(attempt, tb.remainingGracePeriod(t)))
		}
	}
	// What an earlier term has placed is not launched: that term may have given its room,
	// or its zone, to others, and only that may have become durable. It is lost and
	// placed anew.
	// Without the newest token, a command of before may still be on its way to
	// the worker, so what is missing is not proven to be gone. Reports follow one
	// another: an order in the answer to an earlier one was carried out before
	// this report was sent, or never will be.
	tokenCurrent := heartbeat.FencingToken == tb.fencingToken(w)
	for _, t := range tb.SortedTasks(w) {
		attempt := taskAttempt{t.TaskID(), t.Attempt}
		if reportsAttempt(heartbeat, attempt) || inFlight(attempt) {
			continue
		}
		switch {
		case t.State == jobs.Assigned && t.ReportedStatus == "" && t.PlacedThisTerm():
			if w.State == Up && t.Job.Phase == jobs.Open && t.Job.ReadyToLaunch() {
				commands = append(commands, launchCommand(t))
			}
		case t.State == jobs.Assigned && tokenCurrent:
			tb.markTaskLost(w, t, reasonNotReported)
		case t.State == jobs.Stopping && tokenCurrent:
			tb.markTaskLost(w, t, reasonNeverStarted)
		}
	}
	return commands
}

// remainingGracePeriod gives a stopping task the rest of its time to save.
func (tb *Table) remainingGracePeriod(t *jobs.Task) time.Duration {
	remaining := t.GracePeriod - tb.port.Now().Sub(t.StateSince)
	if t.GracePeriod == 0 || remaining <= 0 {
		return 0
	}
	return t.GracePeriod
}

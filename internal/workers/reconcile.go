package workers

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// unwantedTaskKills returns kill commands for the tasks in a heartbeat that must not run: tasks of
// cancelled jobs and unknown attempts. Killing them is safe even if this node is no longer the leader.
func unwantedTaskKills(w *Worker, heartbeat *api.Heartbeat) []api.Command {
	commands := []api.Command{}
	for _, report := range heartbeat.Tasks {
		t := w.reportedTask(report)
		if report.Status != api.Ended && (t == nil || t.Job.Phase == jobs.Cancelled) {
			commands = append(commands, newKillCommand(attemptIn(report), 0))
		}
	}
	return commands
}

// reconcile compares the tasks in a heartbeat with the tasks allocated on the machine. It returns the
// commands that bring the worker to the desired state, and marks tasks as lost that the heartbeat shows to
// be missing. A task that a queued or in-flight command addresses is not launched again: it could end and be
// cleared before the first launch arrives, which would then start the task again.
func (tb *Table) reconcile(w *Worker, heartbeat *api.Heartbeat) []api.Command {
	commands := []api.Command{}
	for _, report := range heartbeat.Tasks {
		if command, needed := tb.commandForReported(w, report); needed {
			commands = append(commands, command)
		}
	}
	tokenCurrent := tb.hasCurrentToken(w, heartbeat)
	for _, t := range tb.SortedTasks(w) {
		if attempt := attemptOf(t); reportsAttempt(heartbeat, attempt) || w.commands.targets(attempt) {
			continue
		}
		switch {
		case isUnconfirmedLaunch(t):
			if w.State == Up && t.Job.Phase == jobs.Open && t.Job.ReadyToLaunch() {
				commands = append(commands, newLaunchCommand(t))
			}
		case tokenCurrent:
			tb.dropMissing(w, t)
		}
	}
	return commands
}

// commandForReported returns the command that a reported task needs, if any. An attempt that is addressed
// by a queued or in-flight command generally needs none.
func (tb *Table) commandForReported(w *Worker, report api.TaskReport) (command api.Command, needed bool) {
	attempt := attemptIn(report)
	t := w.reportedTask(report)
	stopping := t != nil && t.State == jobs.Stopping
	switch {
	case stopping && t.Job.Phase == jobs.Cancelled && report.Status != api.Ended:
		// Kill the task even if an in-flight command does so already: that command may be lost, and the
		// response renews the lease.
		return newKillCommand(attempt, 0), true
	case w.commands.targets(attempt):
		return api.Command{}, false
	case report.Status == api.Ended:
		return newClearCommand(attempt), t == nil && !w.endsNotDurable[attempt] && w.mayClearByResponse(attempt)
	case t == nil:
		return newKillCommand(attempt, 0), true
	case stopping:
		return newKillCommand(attempt, tb.currentGracePeriod(t)), true
	}
	return api.Command{}, false
}

// isUnconfirmedLaunch reports whether a task was placed in this term and its worker has not reported it
// yet, so that its launch may be repeated. A task that was placed in an earlier term is not launched: it
// is marked as lost and placed again. The earlier term may have allocated its resources or its team's quota
// to other tasks, and stored their placements but not the end of this one.
func isUnconfirmedLaunch(t *jobs.Task) bool {
	return t.State == jobs.Assigned && t.ReportedStatus == "" && t.PlacedThisTerm()
}

// dropMissing marks a task as lost that is not in a heartbeat with the newest fencing token and that no queued or
// in-flight command addresses. With an older token, or with a command in flight, an earlier command could still
// start the task. Commands in responses to earlier heartbeats cannot start it, because a worker sends a heartbeat
// only after it has executed the previous response or has timed out waiting for it.
func (tb *Table) dropMissing(w *Worker, t *jobs.Task) {
	switch t.State {
	case jobs.Assigned:
		tb.markTaskLost(w, t, reasonNotReported)
	case jobs.Stopping:
		tb.markTaskLost(w, t, reasonNeverStarted)
	}
}

// currentGracePeriod returns the grace period for stopping a task, or 0 if the task has been stopping for
// longer than its grace period.
func (tb *Table) currentGracePeriod(t *jobs.Task) time.Duration {
	if tb.port.Now().Sub(t.StateSince) >= t.GracePeriod {
		return 0
	}
	return t.GracePeriod
}

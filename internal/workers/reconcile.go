package workers

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// unwantedTaskKills returns the commands that kill the tasks of a heartbeat which must not run:
// those of cancelled jobs, and attempts that are not known. A kill is safe at any time,
// whichever node leads.
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

// reconcile compares a heartbeat with the tasks that are known to be on the worker. It returns
// the commands that the worker lacks, and drops tasks that the heartbeat proves to be lost.
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

// commandForReported returns the command that a reported task needs, if any. An attempt that a queued
// command or one under way is for needs none: if a launch were repeated here, the task could end
// and be cleared before the first command arrives, which would start it again.
func (tb *Table) commandForReported(w *Worker, report api.TaskReport) (command api.Command, needed bool) {
	attempt := attemptIn(report)
	t := w.reportedTask(report)
	stopping := t != nil && t.State == jobs.Stopping
	switch {
	case stopping && t.Job.Phase == jobs.Cancelled && report.Status != api.Ended:
		// Even if a command under way does so: it may be lost, and the response renews the lease.
		return newKillCommand(attempt, 0), true
	case w.commands.targets(attempt):
		return api.Command{}, false
	case report.Status == api.Ended:
		return newClearCommand(attempt), t == nil && !w.endsNotDurable[attempt]
	case t == nil:
		return newKillCommand(attempt, 0), true
	case stopping:
		return newKillCommand(attempt, tb.currentGracePeriod(t)), true
	}
	return api.Command{}, false
}

// isUnconfirmedLaunch reports whether a task was placed in this term and its worker has not reported
// it yet: its launch may be repeated. A task that was placed in an earlier term is not launched,
// but counts as lost and is placed again: that term may have given its room, or its team's quota,
// to other tasks, and only their placements may have become durable.
func isUnconfirmedLaunch(t *jobs.Task) bool {
	return t.State == jobs.Assigned && t.ReportedStatus == "" && t.PlacedThisTerm()
}

// dropMissing drops a task that a heartbeat with the newest token does not have. Without that token
// an earlier command could still start it. Commands in the responses to earlier heartbeats
// cannot: workers send a heartbeat only when they have carried out the last response, or
// given up waiting for it.
func (tb *Table) dropMissing(w *Worker, t *jobs.Task) {
	switch t.State {
	case jobs.Assigned:
		tb.markTaskLost(w, t, reasonNotReported)
	case jobs.Stopping:
		tb.markTaskLost(w, t, reasonNeverStarted)
	}
}

// currentGracePeriod returns the grace period of a stopping task: 0 once it is over.
func (tb *Table) currentGracePeriod(t *jobs.Task) time.Duration {
	if tb.port.Now().Sub(t.StateSince) >= t.GracePeriod {
		return 0
	}
	return t.GracePeriod
}

package workers

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Reachable says whether a machine is up, was heard within d, and answers commands as far
// as is known.
func (tb *Table) Reachable(id ident.MachineID, within time.Duration) bool {
	w := tb.Workers[id]
	return w != nil && w.State == Up && !w.unresponsive && w.missedResponses == 0 && w.cannotReceiveSince == 0 && w.HeardThisTerm() && tb.port.Now().Sub(w.lastContact) <= within
}

// markTaskLost notes that a task is proven not to be on its machine.
func (tb *Table) markTaskLost(w *Worker, t *jobs.Task, reason Reason) {
	slog.Info("task lost", "task", t.TaskID().String(), "attempt", uint64(t.Attempt), "machine", string(w.ID),
		"reason", string(reason))
	tb.LostTasks++
	tb.jobs.MarkGone(t, nil)
}

// TimeSinceContact returns for how long a worker has not been heard of; a new leader
// gives everybody a little time to come.
func (tb *Table) TimeSinceContact(w *Worker) time.Duration { return tb.port.Now().Sub(w.lastContact) }

// MarkUnreachable marks a silent machine.
func (tb *Table) MarkUnreachable(w *Worker) { tb.setState(w, Unreachable, ReasonNoHeartbeat) }

// clockDriftFactor covers clocks that run up to 0.05% apart, twice over.
const clockDriftFactor = 1.002

// LeaseExpired says whether the worker's lease is surely over, and with it its
// tasks: no report sent after the last answer can have been answered, by us or,
// in its grace, by the leader before us, or by a sibling that kept for either.
func (tb *Table) LeaseExpired(w *Worker) bool {
	renewedAt := max(tb.startedAt.Add(tb.cfg.LeaderGrace), tb.cfg.LastPeerRenewal())
	if w.leaseRenewed {
		renewedAt = max(renewedAt, w.leaseRenewedAt)
	}
	return tb.port.Now() > renewedAt.Add(time.Duration(float64(tb.cfg.LeaseDuration)*clockDriftFactor)+time.Second)
}

// ExpireLease drops the tasks of a worker whose lease is surely over.
func (tb *Table) ExpireLease(w *Worker) {
	for _, t := range tb.SortedTasks(w) {
		tb.markTaskLost(w, t, ReasonLeaseExpired)
	}
	tb.clearUnknownAttempts(w)
}

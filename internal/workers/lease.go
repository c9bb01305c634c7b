package workers

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// lease is the lease of a worker: each response to a heartbeat renews it, and a worker whose
// lease has expired kills its tasks.
type lease struct {
	renewed   bool // in this term
	renewedAt ident.MonotonicTime
}

func (l *lease) renew(now ident.MonotonicTime) { l.renewed, l.renewedAt = true, now }

// lastRenewal returns when the lease was renewed, not earlier than a time at which another
// leader may have renewed it.
func (l *lease) lastRenewal(earliest ident.MonotonicTime) ident.MonotonicTime {
	if !l.renewed {
		return earliest
	}
	return max(earliest, l.renewedAt)
}

// expiryMargin is for how long a lease must be over, besides the drift of the clocks, to count as
// expired here.
const expiryMargin = time.Second

// LeaseExpired reports whether the worker's lease has certainly expired, so that it has killed its
// tasks: no heartbeat since the last renewal can have had a response from this leader, from an
// earlier one in its grace period, or from a peer that renews leases for either.
func (tb *Table) LeaseExpired(w *Worker) bool {
	earliest := max(tb.startedAt.Add(tb.cfg.LeaderGrace), tb.cfg.LastPeerRenewal())
	duration := time.Duration(float64(tb.cfg.LeaseDuration)*ident.ClockDriftFactor) + expiryMargin
	return tb.port.Now() > w.lease.lastRenewal(earliest).Add(duration)
}

// ExpireLease drops the tasks of a worker whose lease has expired.
func (tb *Table) ExpireLease(w *Worker) {
	for _, t := range tb.SortedTasks(w) {
		tb.markTaskLost(w, t, ReasonLeaseExpired)
	}
	tb.clearUnknownAttempts(w)
}

// markTaskLost records that a task is proven not to be on its machine.
func (tb *Table) markTaskLost(w *Worker, t *jobs.Task, reason Reason) {
	slog.Info("task lost", "task", t.TaskID().String(), "attempt", uint64(t.Attempt), "machine", string(w.ID),
		"reason", string(reason))
	tb.LostTasks++
	tb.jobs.MarkGone(t, nil)
}

// RenewLeaseOnly responds to a heartbeat without applying it, for a leader that may have lost its
// leadership but keeps the leases of its workers alive. The response starts no task; it kills
// those that must not run. RenewLeaseOnly returns nil if the lease is not renewed.
func (tb *Table) RenewLeaseOnly(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	w := tb.Workers[heartbeat.MachineID]
	if w == nil || w.State == Terminated {
		return nil
	}
	if heartbeat.FencingToken > tb.fencingToken(w) || heartbeat.Incarnation < w.order.incarnation {
		// A worker that has seen a successor's token drops the response, and would keep
		// reporting here until its lease is over.
		return nil
	}
	response := tb.renewLease(w, heartbeat, unwantedTaskKills(w, heartbeat))
	if response != nil {
		w.reachability.lastContact = w.lease.renewedAt
	}
	return response
}

// renewLease responds to a heartbeat, which renews the worker's lease. If the lease must not be
// renewed, it returns nil and a probe sends the newest token: a heartbeat with that token shows
// that no earlier command can be carried out any more.
func (tb *Table) renewLease(w *Worker, heartbeat *api.Heartbeat, commands []api.Command) *api.HeartbeatResponse {
	if !tb.mayRenewLease(w, heartbeat) {
		tb.Probe(w)
		return nil
	}
	w.lease.renew(tb.port.Now())
	return &api.HeartbeatResponse{FencingToken: tb.fencingToken(w), Commands: commands}
}

// mayRenewLease reports whether the worker's lease may be renewed. It may not while a command may
// still start a task there whose job was cancelled longer ago than the leader's grace
// period: such a task has to end with the lease.
func (tb *Table) mayRenewLease(w *Worker, heartbeat *api.Heartbeat) bool {
	if tb.hasCurrentToken(w, heartbeat) && !w.commands.sending && heartbeat.SequenceNumber >= w.order.sequence {
		return true // no command can be carried out later
	}
	for _, t := range w.Tasks {
		cancelled := t.Job.Phase == jobs.Cancelled && tb.port.Now().Sub(t.Job.ClosedAt) > tb.cfg.LeaderGrace
		if cancelled && !reportsAttempt(heartbeat, attemptOf(t)) {
			return false
		}
	}
	return true
}

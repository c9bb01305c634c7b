package workers

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// lease is the leader's view of a worker's lease. Each response to a heartbeat renews the lease; a worker
// whose lease has expired kills all its tasks.
type lease struct {
	renewed   bool // whether this leader has renewed the lease in this term
	renewedAt ident.MonotonicTime
}

func (l *lease) renew(now ident.MonotonicTime) { l.renewed, l.renewedAt = true, now }

// lastRenewal returns the latest time at which the lease may have been renewed. earliest is the latest
// time at which another node may have renewed it.
func (l *lease) lastRenewal(earliest ident.MonotonicTime) ident.MonotonicTime {
	if !l.renewed {
		return earliest
	}
	return max(earliest, l.renewedAt)
}

// expiryMargin is added to the lease duration, on top of the allowance for clock drift, before the
// leader considers a lease expired.
const expiryMargin = time.Second

// LeaseExpired reports whether the worker's lease has certainly expired, so that the worker has killed
// its tasks. It takes into account renewals by this leader, by an earlier leader in its grace period, and
// by peers that renew leases on behalf of either.
func (tb *Table) LeaseExpired(w *Worker) bool {
	earliest := max(tb.startedAt.Add(tb.cfg.LeaderGrace), tb.cfg.LastPeerRenewal())
	duration := time.Duration(float64(tb.cfg.LeaseDuration)*ident.ClockDriftFactor) + expiryMargin
	return tb.port.Now() > w.lease.lastRenewal(earliest).Add(duration)
}

// ExpireLease marks all tasks of a worker whose lease has expired as lost.
func (tb *Table) ExpireLease(w *Worker) {
	for _, t := range tb.SortedTasks(w) {
		tb.markTaskLost(w, t, ReasonLeaseExpired)
	}
	tb.clearUnknownAttempts(w)
}

// markTaskLost records that a task no longer runs on its machine although its worker reported no end.
func (tb *Table) markTaskLost(w *Worker, t *jobs.Task, reason Reason) {
	slog.Info("task lost", "task", t.TaskID().String(), "attempt", uint64(t.Attempt), "machine", string(w.ID),
		"reason", string(reason), "token", uint64(tb.FencingToken(w)))
	tb.LostTasks++
	tb.jobs.MarkNotRunning(t, nil)
}

// RenewLeaseOnly responds to a heartbeat without applying it. A leader that may have lost its leadership
// uses it to keep the leases of its workers alive. The response never starts a task but kills the
// tasks that must not run. RenewLeaseOnly returns nil if the lease is not renewed.
func (tb *Table) RenewLeaseOnly(heartbeat *api.Heartbeat) *api.HeartbeatResponse {
	w := tb.Workers[heartbeat.MachineID]
	if w == nil || w.State == Terminated {
		return nil
	}
	if heartbeat.FencingToken > tb.FencingToken(w) || heartbeat.Incarnation < w.order.incarnation {
		// A worker that has seen a successor's token discards the response, so its lease would not be
		// renewed, but it would keep sending its heartbeats here until the lease expires.
		return nil
	}
	response := tb.renewLease(w, heartbeat, unwantedTaskKills(w, heartbeat))
	if response != nil {
		w.reachability.lastContact = w.lease.renewedAt
	}
	return response
}

// renewLease returns the response to a heartbeat, which renews the worker's lease. If the lease must not
// be renewed, it returns nil and probes the worker to deliver the newest fencing token: a heartbeat with
// that token shows that the worker can no longer execute any earlier command.
func (tb *Table) renewLease(w *Worker, heartbeat *api.Heartbeat, commands []api.Command) *api.HeartbeatResponse {
	if !tb.mayRenewLease(w, heartbeat) {
		tb.Probe(w)
		return nil
	}
	tb.raiseTokenForClears(w, commands)
	if tb.closed {
		return nil // the term has no higher token
	}
	w.lease.renew(tb.port.Now())
	return &api.HeartbeatResponse{FencingToken: tb.FencingToken(w), Commands: commands}
}

// mayRenewLease reports whether the worker's lease may be renewed. The lease must not be renewed while a
// command may still start a task whose job was cancelled longer ago than the leader's grace period:
// expiry of the lease is then the only guarantee that the task ends.
func (tb *Table) mayRenewLease(w *Worker, heartbeat *api.Heartbeat) bool {
	if tb.hasCurrentToken(w, heartbeat) && w.commands.idle() && heartbeat.SequenceNumber >= w.order.sequence {
		return true // the worker cannot execute any earlier command after this heartbeat
	}
	for _, t := range w.Tasks {
		cancelled := t.Job.Phase == jobs.Cancelled && tb.port.Now().Sub(t.Job.ClosedAt) > tb.cfg.LeaderGrace
		if cancelled && !reportsAttempt(heartbeat, attemptOf(t)) {
			return false
		}
	}
	return true
}

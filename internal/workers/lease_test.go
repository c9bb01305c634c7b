package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// wantLeaseExpiry checks that the worker's lease has not expired after the given time, and has 2 s later.
func (h *harness) wantLeaseExpiry(t *testing.T, w *Worker, after time.Duration) {
	t.Helper()
	h.now = h.now.Add(after)
	if h.tb.LeaseExpired(w) {
		t.Errorf("lease expired after %v, want not expired yet", after)
	}
	h.now = h.now.Add(2 * time.Second)
	if !h.tb.LeaseExpired(w) {
		t.Errorf("lease not expired after %v, want expired", after+2*time.Second)
	}
}

// TestStaleHeartbeatRenewsLease checks that a stale heartbeat is not applied but the response to it still
// renews the lease.
func TestStaleHeartbeatRenewsLease(t *testing.T) {
	h := newHarness(t)
	h.heartbeat(0, h.taskReport(api.Running, ""))
	h.sequence -= 2
	h.now = h.now.Add(15 * time.Second) // after the grace period of an earlier leader
	response := h.heartbeat(0)
	if response == nil || len(response.Commands) > 0 {
		t.Errorf("response to the stale heartbeat: got %+v, want one without commands", response)
	}
	if h.task().State != jobs.Assigned || h.task().ReportedStatus != api.Running {
		t.Errorf("task is %v with status %q, want %v with status %q",
			h.task().State, h.task().ReportedStatus, jobs.Assigned, api.Running)
	}
	h.wantLeaseExpiry(t, h.worker, 30*time.Second)
}

// TestLeaseIncludesLeaderGrace checks that a lease not renewed in this term is assumed to have been renewed by
// the previous leader until the end of its grace period.
func TestLeaseIncludesLeaderGrace(t *testing.T) {
	h := newHarness(t)
	w := h.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: h.now})
	const leaseAndGrace = 40 * time.Second // see newHarness
	h.wantLeaseExpiry(t, w, leaseAndGrace)
}

// TestNewIncarnationLease checks that a new incarnation has its full lease before any renewal, even if the
// lease of the previous incarnation has expired.
func TestNewIncarnationLease(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(10 * time.Minute)
	// The new incarnation appears in a command response, which does not renew the lease.
	h.answers[0](CommandResult{Status: 409, Heartbeat: newHeartbeat(2, 1, 0)})
	if h.worker.Incarnation() != 2 || h.tb.LeaseExpired(h.worker) {
		t.Errorf("incarnation %d, lease expired %v; want 2, false", h.worker.Incarnation(), h.tb.LeaseExpired(h.worker))
	}
	h.wantLeaseExpiry(t, h.worker, 30*time.Second)
}

// TestNoRenewalAfterSuccessorToken checks that a leader in its grace period does not respond to a worker that
// has seen a later term's token. The worker would discard the response and keep sending its heartbeats to the
// old leader until the lease expires.
func TestNoRenewalAfterSuccessorToken(t *testing.T) {
	h := newHarness(t)
	heartbeat := newHeartbeat(1, 50, ident.MakeFencingToken(term, 0))
	if h.tb.RenewLeaseOnly(heartbeat) == nil {
		t.Error("no response to a heartbeat with a token of this term, want one")
	}
	heartbeat.FencingToken = ident.MakeFencingToken(term+1, 0)
	if h.tb.RenewLeaseOnly(heartbeat) != nil {
		t.Error("response to a heartbeat with a successor's token, want none")
	}
}

// TestRenewalKillsCancelledTasks checks that a leader that may have lost its leadership still kills tasks of
// cancelled jobs in each response that renews a lease. Later than the leader's grace period after a
// cancellation, it renews the lease only if no earlier command can start a task of the job any more.
func TestRenewalKillsCancelledTasks(t *testing.T) {
	h := newHarness(t)
	firstToken := ident.MakeFencingToken(term, 0)
	h.answers[0](CommandResult{Status: 200, Heartbeat: newHeartbeat(1, 40, firstToken, h.taskReport(api.Running, ""))})
	sequence := ident.SequenceNumber(50)
	nextHeartbeat := func(fenceCount uint32, tasks ...api.TaskReport) *api.Heartbeat {
		sequence++
		return newHeartbeat(1, sequence, ident.MakeFencingToken(term, fenceCount), tasks...)
	}
	if got := verbs(h.tb.RenewLeaseOnly(nextHeartbeat(0, h.taskReport(api.Running, "")))); got != "" {
		t.Errorf("commands before the cancellation: got %q, want none", got)
	}
	h.jobs.Cancel(h.job, func() {})
	h.tb.StopTask(h.worker, h.task(), 0)
	h.runUntilIdle()
	h.now = h.now.Add(time.Hour)
	if got := verbs(h.tb.RenewLeaseOnly(nextHeartbeat(0, h.taskReport(api.Running, "")))); got != "kill " {
		t.Errorf("commands for a reported task one hour after the cancellation: got %q, want %q", got, "kill ")
	}
	if got := verbs(h.tb.HandleHeartbeat(newHeartbeat(1, 3, firstToken, h.taskReport(api.Running, "")))); got != "kill " {
		t.Errorf("commands in the response to a stale heartbeat: got %q, want %q", got, "kill ")
	}
	if h.tb.RenewLeaseOnly(nextHeartbeat(0)) != nil {
		t.Error("lease was renewed while a call is in flight, though an earlier launch may still be executed")
	}
	h.answers[len(h.answers)-1](CommandResult{})
	if h.tb.RenewLeaseOnly(nextHeartbeat(0)) != nil {
		t.Error("lease was renewed for the old token, with which the worker may still execute the command")
	}
	h.runUntilIdle()
	if c := h.sent[len(h.sent)-1]; c.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Errorf("token of the last call is %x, want the raised token %x", c.FencingToken, ident.MakeFencingToken(term, 1))
	}
	h.answers[len(h.answers)-1](CommandResult{Status: 200, Heartbeat: nextHeartbeat(1)})
	if h.tb.RenewLeaseOnly(nextHeartbeat(1)) == nil {
		t.Error("lease was not renewed for the raised token, with which no earlier command can be executed")
	}
}

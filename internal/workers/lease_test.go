package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// wantLeaseExpiry checks that a lease has not expired after a time, and has 2 s later.
func (r *harness) wantLeaseExpiry(t *testing.T, w *Worker, after time.Duration) {
	t.Helper()
	r.now = r.now.Add(after)
	if r.tb.LeaseExpired(w) {
		t.Errorf("expired within %v", after)
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(w) {
		t.Errorf("not expired after %v", after+2*time.Second)
	}
}

// TestStaleHeartbeatRenewsLease: a stale heartbeat has no effect, but the response to it renews the
// lease nevertheless.
func TestStaleHeartbeatRenewsLease(t *testing.T) {
	r := newHarness(t)
	r.heartbeat(0, r.taskReport(api.Running, ""))
	r.sequence -= 2
	r.now = r.now.Add(15 * time.Second) // the grace period of an earlier leader is over
	response := r.heartbeat(0)
	if response == nil || len(response.Commands) > 0 {
		t.Errorf("response %+v", response)
	}
	if r.task().State != jobs.Assigned || r.task().ReportedStatus != api.Running {
		t.Errorf("task %v %v", r.task().State, r.task().ReportedStatus)
	}
	r.wantLeaseExpiry(t, r.worker, 30*time.Second)
}

// TestLeaseIncludesLeaderGrace: an earlier leader may have renewed leases for a while into the term.
func TestLeaseIncludesLeaderGrace(t *testing.T) {
	r := newHarness(t)
	w := r.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: r.now})
	const leaseAndGrace = 40 * time.Second // see newHarness
	r.wantLeaseExpiry(t, w, leaseAndGrace)
}

// TestNewIncarnationLease: an incarnation whose lease was not renewed yet has its full lease, even if that of
// the previous one has expired.
func TestNewIncarnationLease(t *testing.T) {
	r := newHarness(t)
	r.now = r.now.Add(10 * time.Minute)
	// Known from the response to a command, which renews no lease.
	r.answers[0](CommandResult{Status: 409, Heartbeat: newHeartbeat(2, 1, 0)})
	if r.worker.Incarnation() != 2 || r.tb.LeaseExpired(r.worker) {
		t.Errorf("incarnation %d, expired %v", r.worker.Incarnation(), r.tb.LeaseExpired(r.worker))
	}
	r.wantLeaseExpiry(t, r.worker, 30*time.Second)
}

// TestNoRenewalAfterSuccessorToken: in its grace period a leader does not respond to a worker that has a
// later token. The worker would drop the response, and keep reporting to it until its lease is
// over.
func TestNoRenewalAfterSuccessorToken(t *testing.T) {
	r := newHarness(t)
	heartbeat := newHeartbeat(1, 50, ident.MakeFencingToken(term, 0))
	if r.tb.RenewLeaseOnly(heartbeat) == nil {
		t.Error("no response in the grace period")
	}
	heartbeat.FencingToken = ident.MakeFencingToken(term+1, 0)
	if r.tb.RenewLeaseOnly(heartbeat) != nil {
		t.Error("responded, though the worker has a successor's token")
	}
}

// TestRenewalKillsCancelledTasks: a leader that may have lost its leadership still kills tasks of cancelled
// jobs with each response that renews a lease. Once the grace period after a cancellation is over,
// it renews the lease only if no task of the job can be started there any more.
func TestRenewalKillsCancelledTasks(t *testing.T) {
	r := newHarness(t)
	firstToken := ident.MakeFencingToken(term, 0)
	r.answers[0](CommandResult{Status: 200, Heartbeat: newHeartbeat(1, 40, firstToken, r.taskReport(api.Running, ""))})
	sequence := ident.SequenceNumber(50)
	nextHeartbeat := func(fenceCount uint32, tasks ...api.TaskReport) *api.Heartbeat {
		sequence++
		return newHeartbeat(1, sequence, ident.MakeFencingToken(term, fenceCount), tasks...)
	}
	if got := verbs(r.tb.RenewLeaseOnly(nextHeartbeat(0, r.taskReport(api.Running, "")))); got != "" {
		t.Errorf("before the cancellation: %q", got)
	}
	r.jobs.Cancel(r.job, func() {})
	r.tb.StopTask(r.worker, r.task(), 0)
	r.runUntilIdle()
	r.now = r.now.Add(time.Hour)
	if got := verbs(r.tb.RenewLeaseOnly(nextHeartbeat(0, r.taskReport(api.Running, "")))); got != "kill " {
		t.Errorf("reported, long after the cancellation: %q", got)
	}
	if got := verbs(r.tb.HandleHeartbeat(newHeartbeat(1, 3, firstToken, r.taskReport(api.Running, "")))); got != "kill " {
		t.Errorf("a stale heartbeat: %q", got)
	}
	if r.tb.RenewLeaseOnly(nextHeartbeat(0)) != nil {
		t.Error("renewed while a command is under way that may start it")
	}
	r.answers[len(r.answers)-1](CommandResult{})
	if r.tb.RenewLeaseOnly(nextHeartbeat(0)) != nil {
		t.Error("renewed with the old token, when the command may still be carried out")
	}
	r.runUntilIdle()
	if c := r.sent[len(r.sent)-1]; c.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Errorf("the worker was not sent the new token: %+v", c)
	}
	r.answers[len(r.answers)-1](CommandResult{Status: 200, Heartbeat: nextHeartbeat(1)})
	if r.tb.RenewLeaseOnly(nextHeartbeat(1)) == nil {
		t.Error("not renewed with the new token, when no command can be carried out late")
	}
}

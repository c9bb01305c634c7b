package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestStaleHeartbeatRenewsLease have no effect, but count as answered: their answer renews the
// lease all the same.
func TestStaleHeartbeatRenewsLease(t *testing.T) {
	r := newHarness(t)
	r.heartbeat(0, r.taskReport(api.Running, ""))
	r.sequence -= 2
	r.now = r.now.Add(15 * time.Second) // an earlier leader's grace is over
	if o := r.heartbeat(0); o == nil || len(o.Commands) > 0 || r.task().State != jobs.Assigned || r.task().ReportedStatus != api.Running {
		t.Errorf("orders %+v, task %v %v", o, r.task().State, r.task().ReportedStatus)
	}
	r.now = r.now.Add(30 * time.Second)
	if r.tb.LeaseExpired(r.worker) {
		t.Error("expired 30 s after the answer to an old report")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(r.worker) {
		t.Error("not expired 32 s after the last answer")
	}
}

// TestLeaseIncludesLeaderGrace: an earlier leader may have answered for a while into the term.
func TestLeaseIncludesLeaderGrace(t *testing.T) {
	r := newHarness(t)
	w := r.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: r.now})
	r.now = r.now.Add(40 * time.Second)
	if r.tb.LeaseExpired(w) {
		t.Error("expired within lease and grace")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(w) {
		t.Error("not expired after both")
	}
}

// TestNewIncarnationLease: a session that nobody has answered yet has its full lease,
// however long ago the one before was answered.
func TestNewIncarnationLease(t *testing.T) {
	r := newHarness(t)
	r.now = r.now.Add(10 * time.Minute)
	// Learned from the answer to a command, which renews nothing.
	r.answers[0](CommandResult{Status: 409, Heartbeat: &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: 1}})
	if r.worker.Incarnation() != 2 || r.tb.LeaseExpired(r.worker) {
		t.Errorf("tenure %d, expired %v", r.worker.Incarnation(), r.tb.LeaseExpired(r.worker))
	}
	r.now = r.now.Add(30 * time.Second)
	if r.tb.LeaseExpired(r.worker) {
		t.Error("expired within the session's first lease")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(r.worker) {
		t.Error("not expired after it")
	}
}

// TestNoRenewalAfterSuccessorToken: in its grace a leader doesn't answer a worker that shows a
// later token. The worker would have to drop the answer, and would stay until its
// lease is over.
func TestNoRenewalAfterSuccessorToken(t *testing.T) {
	r := newHarness(t)
	heartbeat := &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 50, FencingToken: ident.MakeFencingToken(term, 0)}
	if r.tb.RenewLeaseOnly(heartbeat) == nil {
		t.Error("no answer in the grace")
	}
	heartbeat.FencingToken = ident.MakeFencingToken(term+1, 0)
	if r.tb.RenewLeaseOnly(heartbeat) != nil {
		t.Error("answered, though a successor has spoken")
	}
}

// TestRenewalKillsCancelledTasks: a leader that may not be one any more still tells a
// worker to stop what was cancelled, beside any other answer that renews the lease. It
// renews a lease later than the grace after a cancellation only if nothing of that job
// can come to run there any more. (Whole machines were given up with their leases for
// one cancelled task, while the leader that knew of it talked to them.)
func TestRenewalKillsCancelledTasks(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 40,
		FencingToken: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{r.taskReport(api.Running, "")}}})
	sequence := ident.SequenceNumber(50)
	newHeartbeat := func(fence uint32, tasks ...api.TaskReport) *api.Heartbeat {
		sequence++
		return &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: sequence,
			FencingToken: ident.MakeFencingToken(term, fence), Tasks: tasks}
	}
	if got := verbs(r.tb.RenewLeaseOnly(newHeartbeat(0, r.taskReport(api.Running, "")))); got != "" {
		t.Errorf("before the cancellation: %q", got)
	}
	r.jobs.Cancel(r.job, func() {})
	r.tb.StopTask(r.worker, r.task(), 0)
	r.runUntilIdle()
	r.now = r.now.Add(time.Hour)
	if got := verbs(r.tb.RenewLeaseOnly(newHeartbeat(0, r.taskReport(api.Running, "")))); got != "kill " {
		t.Errorf("listed, long after: %q", got)
	}
	if got := verbs(r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 3,
		FencingToken: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{r.taskReport(api.Running, "")}})); got != "kill " {
		t.Errorf("an older report: %q", got)
	}
	if r.tb.RenewLeaseOnly(newHeartbeat(0)) != nil {
		t.Error("renewed while a command is under way that may start it")
	}
	r.answers[len(r.answers)-1](CommandResult{})
	if r.tb.RenewLeaseOnly(newHeartbeat(0)) != nil {
		t.Error("renewed with the old token, when the command may still come")
	}
	r.runUntilIdle()
	if c := r.sent[len(r.sent)-1]; c.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Errorf("the worker was not told the new token: %+v", c)
	}
	r.answers[len(r.answers)-1](CommandResult{Status: 200, Heartbeat: newHeartbeat(1)})
	if r.tb.RenewLeaseOnly(newHeartbeat(1)) == nil {
		t.Error("with the new token nothing can come late, and it was not renewed")
	}
}

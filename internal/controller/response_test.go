package controller

import (
	"net/http"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// TestResponsesExpireWithLeaderLease: an answer from a leader's memory is valid until its lease expires. The server checks
// that right before the answer goes out, since the process may have paused in between. What is final stays valid.
func TestResponsesExpireWithLeaderLease(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	if got := submitStatus(c, gangSpecJSON()); got != http.StatusCreated {
		t.Fatalf("submission: %d", got)
	}
	ask := func(v transport.Method) (out Response) {
		c.HandleRequest(v, "j-1", nil, func(r Response) { out = r })
		c.AfterEvent()
		return out
	}
	r := ask(transport.GetJob)
	if r.Status != http.StatusOK || r.ValidUntil != c.election.LeaseExpiry() {
		t.Fatalf("a poll: %+v", r)
	}
	if a := r.IfValid(r.ValidUntil.Add(-time.Millisecond)); a.Status != http.StatusOK {
		t.Errorf("before it expires: %+v", a)
	}
	if a := r.IfValid(r.ValidUntil); a.Status != http.StatusServiceUnavailable || a.RetryAfterS == 0 {
		t.Errorf("when it expires: %+v", a)
	}
	if r = ask(transport.CancelJob); r.Status != http.StatusOK || r.ValidUntil != 0 {
		t.Errorf("a cancellation: %+v", r)
	}
	env.Time = env.Time.Add(time.Hour)
	if r = ask(transport.GetJob); r.Status == http.StatusOK && r.ValidUntil != 0 {
		t.Errorf("a poll of a leader that was paused: %+v", r)
	}
}

// TestMalformedSubmissionWithoutLeader: a submission that lacks a field gets 400 also from a node that has just lost
// leadership.
func TestMalformedSubmissionWithoutLeader(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	env.Time = env.Time.Add(time.Hour)
	c.HandleRequest(transport.SubmitJob, "", gangSpecJSON(`"pieces":4,`, ``), func(r Response) {
		if r.Status != http.StatusBadRequest {
			t.Errorf("%d %s", r.Status, r.Body)
		}
	})
}

// TestLeaseRenewalKillsCancelledTasks: a node that renews leases without a leader kills the tasks of jobs that it knows to
// be cancelled.
func TestLeaseRenewalKillsCancelledTasks(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	c.OnStoppedLeading("test")
	c.leader = nil
	env.Time = env.Time.Add(time.Minute)
	c.renewer.Permit(5, env.Time.Add(-5*time.Second), 20*time.Second)
	c.cancelledJobs.Put("j-7", struct{}{})
	taskReport := func(id string) api.TaskReport {
		return api.TaskReport{TaskID: ident.TaskID{Job: ident.JobID(id)}, Attempt: 1, Status: api.Running}
	}
	heartbeat := &api.Heartbeat{
		MachineID:      "h",
		Addr:           "a",
		Model:          "m8",
		Zone:           "a",
		Incarnation:    1,
		SequenceNumber: 2,
		FencingToken:   ident.MakeFencingToken(5, 0),
		Tasks:          []api.TaskReport{taskReport("j-7"), taskReport("j-8")},
	}
	r, ok := c.renewLeaseWithoutLeader(heartbeat)
	kill := api.Command{Verb: api.Kill, TaskID: taskReport("j-7").TaskID, Attempt: 1, GracePeriodS: new(float64)}
	want := string(api.JSON(api.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []api.Command{kill}}))
	if !ok || string(r.Body) != want {
		t.Errorf("%v %s, want %s", ok, r.Body, want)
	}
}

// TestLeaseAllowanceAfterCancellation: peers may renew leases for a leader for the renewal grace, less the age of the
// oldest cancellation of a job with a task that may be on a machine; once that is proven gone, for all of it again.
func TestLeaseAllowanceAfterCancellation(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	if got := submitStatus(c, gangSpecJSON(`"gang"`, `"batch"`)); got != http.StatusCreated {
		t.Fatalf("submission: %d", got)
	}
	l := c.leader
	j := l.jobs.Jobs["j-1"]
	l.workers.Add(workers.MachineInfo{ID: "h", Model: "m8", Zone: "a", CreatedAt: env.Time})
	l.jobs.Place(&j.Tasks[0], "h", 1, func() {})
	c.AfterEvent()
	want := func(what string, d time.Duration) {
		t.Helper()
		if got := l.leaseAllowance(env.Time); got != d {
			t.Errorf("%s: %v, want %v", what, got, d)
		}
	}
	want("nothing is cancelled", c.renewalGrace)
	l.cancel("j-1", func(Response) {})
	env.Time = env.Time.Add(3 * time.Second)
	want("3 s after a cancellation", c.renewalGrace-3*time.Second)
	env.Time = env.Time.Add(c.renewalGrace)
	want("long after", 0)
	l.jobs.MarkGone(&j.Tasks[0], nil)
	want("proven gone", c.renewalGrace)
}

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

// TestResponsesExpireWithLeaderLease: a response from a leader's memory is valid until the leader's lease expires. The server
// checks the validity immediately before it sends the response, since the process may have paused in between. Responses about
// final states do not expire.
func TestResponsesExpireWithLeaderLease(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	if got := submitStatus(c, gangSpecJSON()); got != http.StatusCreated {
		t.Fatalf("submission: got status %d, want %d", got, http.StatusCreated)
	}
	ask := func(v transport.Method) (out Response) {
		c.HandleRequest(v, "j-1", nil, func(r Response) { out = r })
		c.AfterEvent()
		return out
	}
	r := ask(transport.GetJob)
	if r.Status != http.StatusOK || r.ValidUntil != c.election.LeaseExpiry() {
		t.Fatalf("poll: got %+v, want status %d until %v", r, http.StatusOK, c.election.LeaseExpiry())
	}
	if a := r.IfValid(r.ValidUntil.Add(-time.Millisecond)); a.Status != http.StatusOK {
		t.Errorf("poll response before its expiry: got %+v, want status %d", a, http.StatusOK)
	}
	if a := r.IfValid(r.ValidUntil); a.Status != http.StatusServiceUnavailable || a.RetryAfterS == 0 {
		t.Errorf("poll response at its expiry: got %+v, want status %d with Retry-After", a, http.StatusServiceUnavailable)
	}
	if r = ask(transport.CancelJob); r.Status != http.StatusOK || r.ValidUntil != 0 {
		t.Errorf("cancellation: got %+v, want status %d without expiry", r, http.StatusOK)
	}
	env.Time = env.Time.Add(time.Hour)
	if r = ask(transport.GetJob); r.Status == http.StatusOK && r.ValidUntil != 0 {
		t.Errorf("poll of a leader after a pause: got %+v, want no status %d with an expiry", r, http.StatusOK)
	}
}

// TestMalformedSubmissionWithoutLeader: a node that has just lost leadership also answers a submission that lacks a field
// with status 400.
func TestMalformedSubmissionWithoutLeader(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	env.Time = env.Time.Add(time.Hour)
	c.HandleRequest(transport.SubmitJob, "", gangSpecJSON(`"pieces":4,`, ``), func(r Response) {
		if r.Status != http.StatusBadRequest {
			t.Errorf("malformed submission: got status %d with body %s, want status %d", r.Status, r.Body, http.StatusBadRequest)
		}
	})
}

// TestLeaseRenewalKillsCancelledTasks: a node that renews worker leases without a leader kills the tasks of jobs whose
// cancellation it has recorded.
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
		t.Errorf("lease renewal: got %v with body %s, want true with body %s", ok, r.Body, want)
	}
}

// TestLeaseAllowanceAfterCancellation: the allowance for peers to renew worker leases is the renewal grace less the age of
// the oldest cancellation of a job that may still have a task on a machine. Once the task is confirmed as terminated, the
// allowance is the whole renewal grace again.
func TestLeaseAllowanceAfterCancellation(t *testing.T) {
	c, env := newTestLeader(ident.FormatPacked)
	if got := submitStatus(c, gangSpecJSON(`"gang"`, `"batch"`)); got != http.StatusCreated {
		t.Fatalf("submission: got status %d, want %d", got, http.StatusCreated)
	}
	l := c.leader
	j := l.jobs.Jobs["j-1"]
	l.workers.Add(workers.MachineInfo{ID: "h", Model: "m8", Zone: "a", CreatedAt: env.Time})
	l.jobs.Place(j.Tasks.At(0), "h", 1, func() {})
	c.AfterEvent()
	want := func(what string, d time.Duration) {
		t.Helper()
		if got := l.leaseAllowance(env.Time); got != d {
			t.Errorf("lease allowance, %s: got %v, want %v", what, got, d)
		}
	}
	want("before a cancellation", c.renewalGrace)
	l.cancel("j-1", func(Response) {})
	env.Time = env.Time.Add(3 * time.Second)
	want("3 s after a cancellation", c.renewalGrace-3*time.Second)
	env.Time = env.Time.Add(c.renewalGrace)
	want("after the renewal grace", 0)
	l.jobs.MarkNotRunning(j.Tasks.At(0), nil)
	want("after the task is confirmed as terminated", c.renewalGrace)
}

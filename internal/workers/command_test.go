package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestUnansweredCommand: a launch without a response may be carried out at any later time, so a heartbeat
// without the task does not prove that it is gone until it has the raised token.
func TestUnansweredCommand(t *testing.T) {
	r := newHarness(t)
	firstToken := ident.MakeFencingToken(term, 0)
	if len(r.sent) != 1 || r.sent[0].Commands[0].Verb != api.Launch || r.sent[0].FencingToken != firstToken {
		t.Fatalf("sent %+v", r.sent)
	}
	if got := verbs(r.heartbeat(0)); got != "" {
		t.Errorf("while the command is under way: %q", got)
	}
	r.answers[0](CommandResult{})
	r.tb.StopTask(r.worker, r.task(), 0)
	response := r.heartbeat(0)
	if r.task().State != jobs.Stopping || response.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Fatalf("a heartbeat with the old token: task %v, token %x", r.task().State, response.FencingToken)
	}
	r.heartbeat(1)
	if r.task().State != jobs.Waiting {
		t.Errorf("a heartbeat with the new token: task %v", r.task().State)
	}
}

// TestResultAfterTermination: the response to a command that arrives after its machine was terminated
// has no effect on tasks. Otherwise a task in it would count as an unknown attempt, and never be
// placed again.
func TestResultAfterTermination(t *testing.T) {
	r := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 9, Status: api.Running}
	r.tb.MarkTerminated(r.worker, ReasonTerminated)
	r.answers[0](CommandResult{Status: 200, Heartbeat: newHeartbeat(1, 40, ident.MakeFencingToken(term, 0), stray)})
	if r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Error("counts as on a machine that is terminated")
	}
}

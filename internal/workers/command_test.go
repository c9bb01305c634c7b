package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestUnansweredCommand checks that a task whose launch had no response is not considered lost until a
// heartbeat without it carries the raised fencing token. The worker may execute the launch at any time
// before it has seen that token.
func TestUnansweredCommand(t *testing.T) {
	h := newHarness(t)
	firstToken := ident.MakeFencingToken(term, 0)
	if len(h.sent) != 1 || h.sent[0].Commands[0].Verb != api.Launch || h.sent[0].FencingToken != firstToken {
		t.Fatalf("sent %+v, want one call with a launch and token %x", h.sent, firstToken)
	}
	if got := verbs(h.heartbeat(0)); got != "" {
		t.Errorf("commands in the response while the launch is in flight: got %q, want none", got)
	}
	h.answers[0](CommandResult{})
	h.tb.StopTask(h.worker, h.task(), 0)
	response := h.heartbeat(0)
	if h.task().State != jobs.Stopping || response.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Fatalf("after a heartbeat with the old token: task is %v, response has token %x; want %v, %x",
			h.task().State, response.FencingToken, jobs.Stopping, ident.MakeFencingToken(term, 1))
	}
	h.heartbeat(1)
	if h.task().State != jobs.Waiting {
		t.Errorf("after a heartbeat with the new token: task is %v, want %v", h.task().State, jobs.Waiting)
	}
}

// TestResultAfterTermination checks that a command response is ignored if it arrives after its machine was
// terminated. Otherwise a task in the response would be recorded as an unknown attempt and never be placed
// again.
func TestResultAfterTermination(t *testing.T) {
	h := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 9, Status: api.Running}
	h.tb.MarkTerminated(h.worker, ReasonTerminated)
	h.answers[0](CommandResult{Status: 200, Heartbeat: newHeartbeat(1, 40, ident.MakeFencingToken(term, 0), stray)})
	if h.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("%s is recorded as an unknown attempt on a terminated machine", stray.TaskID)
	}
}

package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestUnansweredCommand: the launch may be carried out at any later time, so a
// report without the task proves nothing until it carries the raised token.
func TestUnansweredCommand(t *testing.T) {
	r := newHarness(t)
	if len(r.sent) != 1 || r.sent[0].Commands[0].Verb != api.Launch || r.sent[0].FencingToken != ident.MakeFencingToken(term, 0) {
		t.Fatalf("sent %+v", r.sent)
	}
	if got := verbs(r.heartbeat(0)); got != "" {
		t.Errorf("while the command is under way: %q", got)
	}
	r.answers[0](CommandResult{})
	r.tb.StopTask(r.worker, r.task(), 0)
	o := r.heartbeat(0)
	if r.task().State != jobs.Stopping || o.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Fatalf("a report with the old token: task %v, token %x", r.task().State, o.FencingToken)
	}
	r.heartbeat(1)
	if r.task().State != jobs.Waiting {
		t.Errorf("a report with the new token: task %v", r.task().State)
	}
}

// TestResultAfterTermination: a command's answer that arrives after its machine was returned
// says nothing of what is there. A task that it listed was thought to be on it in an
// unknown try, and waited for ever.
func TestResultAfterTermination(t *testing.T) {
	r := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 9, Status: api.Running}
	r.tb.MarkTerminated(r.worker, ReasonTerminated)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 40,
		FencingToken: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{stray}}})
	if r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Error("thought to be on a machine that is gone")
	}
}

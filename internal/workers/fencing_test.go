package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// endTask answers the launch of the harness's task with a report of its end, and makes the end durable.
func (h *harness) endTask() {
	h.respond(0, h.taskReport(api.Ended, api.CauseStopped))
	h.runUntilIdle()
}

// TestClearRaisesTokenAboveLaunch checks that the call that clears an attempt has a higher token than the call that launched it,
// and that it carries the launch of the next task as well, so that a clear delays no start.
func TestClearRaisesTokenAboveLaunch(t *testing.T) {
	h := newHarness(t)
	h.respond(0, h.taskReport(api.Ended, api.CauseStopped))
	other := h.job.Tasks.At(1)
	h.jobs.Place(other, "h", 1, func() { h.tb.Launch(h.worker, other) })
	h.runUntilIdle()
	if len(h.sent) != 2 {
		t.Fatalf("got %d calls, want 2: a launch, then a clear with the launch of another task", len(h.sent))
	}
	got := h.sent[1]
	if len(got.Commands) != 2 || got.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Errorf("got commands %v with token %x, want two commands with token %x", commandList(got.Commands), got.FencingToken,
			ident.MakeFencingToken(term, 1))
	}
	if h.tb.ClearFences != 1 {
		t.Errorf("got %d counted raises, want 1", h.tb.ClearFences)
	}
}

// TestClearKeepsHigherToken checks that the token is raised only if the attempt was launched with it.
func TestClearKeepsHigherToken(t *testing.T) {
	h := newHarness(t)
	h.respond(0, h.taskReport(api.Running, ""))
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Ended, Cause: api.CauseStopped}
	response := h.heartbeat(0, h.taskReport(api.Running, ""), stray)
	if got := verbs(response); got != "clear " || response.FencingToken != ident.MakeFencingToken(term, 0) {
		t.Errorf("attempt that no call of this term launched: commands %q with token %x, want a clear with token %x", got,
			response.FencingToken, ident.MakeFencingToken(term, 0))
	}
	h.worker.fencing.raise()
	h.heartbeat(1, h.taskReport(api.Ended, api.CauseStopped))
	h.runUntilIdle()
	if got := h.sent[len(h.sent)-1].FencingToken; got != ident.MakeFencingToken(term, 1) {
		t.Errorf("attempt that was launched with an earlier token: cleared with token %x, want %x", got,
			ident.MakeFencingToken(term, 1))
	}
}

// TestResponseDoesNotOutdateCallInFlight checks that the response to a heartbeat leaves out a clear command that needs a raised
// token while a call is in flight, which the worker would reject otherwise, and that a later response has it.
func TestResponseDoesNotOutdateCallInFlight(t *testing.T) {
	h := newHarness(t)
	ended := h.taskReport(api.Ended, api.CauseStopped)
	h.endTask()
	h.answers[1](CommandResult{NotSent: true}) // the clear command
	h.worker.fencing.recordLaunches(h.sent[0].Commands)
	h.tb.Probe(h.worker)
	response := h.heartbeat(1, ended)
	if got := verbs(response); got != "" || response.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Errorf("with a call in flight: commands %q with token %x, want none with token %x", got, response.FencingToken,
			ident.MakeFencingToken(term, 1))
	}
	h.respond(2, ended)
	response = h.heartbeat(1, ended)
	if got := verbs(response); got != "clear " || response.FencingToken != ident.MakeFencingToken(term, 2) {
		t.Errorf("after the call: commands %q with token %x, want a clear with token %x", got, response.FencingToken,
			ident.MakeFencingToken(term, 2))
	}
}

// TestLastTokenEndsTerm checks that a term that has no higher token ends, and that nothing is cleared with a token that could
// still be that of a launch.
func TestLastTokenEndsTerm(t *testing.T) {
	h := newHarness(t)
	ended := 0
	h.tb.cfg.OnTokensExhausted = func() {
		ended++
		h.tb.Close()
	}
	h.worker.fencing.count = ident.MaxTokenCounter
	h.sent[0].FencingToken = h.tb.FencingToken(h.worker)
	h.endTask()
	if ended != 1 || len(h.sent) != 1 {
		t.Errorf("got %d ends of the term and %d calls, want 1 end and no call after the launch", ended, len(h.sent))
	}
	if h.task().State != jobs.Waiting {
		t.Errorf("the ended task is %v, want %v", h.task().State, jobs.Waiting)
	}
}

package workers

import (
	"encoding/json"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestUnknownAttempts checks that an unknown attempt is killed, and that its task is reported as having an
// unknown attempt, which prevents its start elsewhere, until the attempt has ended.
func TestUnknownAttempts(t *testing.T) {
	h := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Running}
	if got := verbs(h.heartbeat(0, stray)); got != "kill " || !h.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("running unknown attempt: commands %q, recorded %v; want %q, true",
			got, h.tb.HasUnknownAttempt(stray.TaskID), "kill ")
	}
	stray.Status, stray.Cause = api.Ended, api.CauseStopped
	if got := verbs(h.heartbeat(0, stray)); got != "clear " || h.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("ended unknown attempt: commands %q, recorded %v; want %q, false",
			got, h.tb.HasUnknownAttempt(stray.TaskID), "clear ")
	}
}

// TestUnknownAttemptIsCountedOnce checks that an attempt that a machine runs and nobody has placed there counts once, however
// many heartbeats list it.
func TestUnknownAttemptIsCountedOnce(t *testing.T) {
	h := newHarness(t)
	known := h.taskReport(api.Running, "")
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Running}
	for range 3 {
		h.heartbeat(0, known, stray)
	}
	if h.tb.UnknownAttempts != 1 {
		t.Errorf("after three heartbeats with an unknown attempt: counted %d, want 1", h.tb.UnknownAttempts)
	}
	stray.Attempt++
	h.heartbeat(0, known, stray)
	if h.tb.UnknownAttempts != 2 {
		t.Errorf("after a heartbeat with another unknown attempt: counted %d, want 2", h.tb.UnknownAttempts)
	}
}

// TestPlacementsOfEarlierTerm checks that a leader does not launch tasks that an earlier term placed. The
// earlier term may have allocated their resources or their team's quota to other tasks, and only the
// placement of those may have become durable. A task placed in an earlier incarnation than the heartbeat's is
// lost immediately, a task of the same incarnation only if the heartbeat has the newest fencing token.
func TestPlacementsOfEarlierTerm(t *testing.T) {
	for _, tokenCurrent := range []bool{false, true} {
		h := newHarness(t)
		h.answers[0](CommandResult{})
		record := `{"spec":{"id":"j-9","desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":1,"phase":"open",
			"tasks":[{"t":1,"h":"h","n":1},{"t":1,"h":"h","n":2}]}`
		if err := h.jobs.Load("live/j-9", json.RawMessage(record), 4); err != nil {
			t.Fatal(err)
		}
		before, same := h.jobs.Jobs["j-9"].Tasks.At(0), h.jobs.Jobs["j-9"].Tasks.At(1)
		h.tb.AddTask(h.worker, before)
		h.tb.AddTask(h.worker, same)
		token := ident.MakeFencingToken(term-1, 0)
		if tokenCurrent {
			token = ident.MakeFencingToken(term, 1)
		}
		response := h.tb.HandleHeartbeat(newHeartbeat(2, 100, token))
		if got := verbs(response); got != "" {
			t.Errorf("current token %v: commands %q, want none", tokenCurrent, got)
		}
		if before.State != jobs.Waiting {
			t.Errorf("current token %v: task of the earlier incarnation is %v, want %v", tokenCurrent, before.State, jobs.Waiting)
		}
		if (same.State == jobs.Waiting) != tokenCurrent {
			t.Errorf("current token %v: task of the same incarnation is %v, want %v only with the current token",
				tokenCurrent, same.State, jobs.Waiting)
		}
	}
}

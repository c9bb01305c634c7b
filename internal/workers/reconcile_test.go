package workers

import (
	"encoding/json"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestUnknownAttempts: an attempt that is not known is killed, and its task is not started elsewhere while
// it may run.
func TestUnknownAttempts(t *testing.T) {
	r := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Running}
	if got := verbs(r.heartbeat(0, stray)); got != "kill " || !r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("commands %q", got)
	}
	stray.Status, stray.Cause = api.Ended, api.CauseStopped
	if got := verbs(r.heartbeat(0, stray)); got != "clear " || r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("commands %q", got)
	}
}

// TestPlacementsOfEarlierTerm: a leader launches no task that an earlier term has placed: that term may have
// given its room, or its team's quota, to other tasks, and only their placement may have become
// durable. A task of an earlier incarnation than the heartbeat's counts as lost at once, one of
// the same incarnation only when the heartbeat has the newest token.
func TestPlacementsOfEarlierTerm(t *testing.T) {
	for _, tokenCurrent := range []bool{false, true} {
		r := newHarness(t)
		r.answers[0](CommandResult{})
		record := `{"spec":{"id":"j-9","desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":1,"phase":"open",
			"tasks":[{"t":1,"h":"h","n":1},{"t":1,"h":"h","n":2}]}`
		if err := r.jobs.Load("live/j-9", json.RawMessage(record), 4); err != nil {
			t.Fatal(err)
		}
		before, same := &r.jobs.Jobs["j-9"].Tasks[0], &r.jobs.Jobs["j-9"].Tasks[1]
		r.tb.AddTask(r.worker, before)
		r.tb.AddTask(r.worker, same)
		token := ident.MakeFencingToken(term-1, 0)
		if tokenCurrent {
			token = ident.MakeFencingToken(term, 1)
		}
		response := r.tb.HandleHeartbeat(newHeartbeat(2, 100, token))
		if got := verbs(response); got != "" {
			t.Errorf("current token %v: commands %q", tokenCurrent, got)
		}
		if before.State != jobs.Waiting {
			t.Errorf("current token %v: the task of the incarnation before is %v", tokenCurrent, before.State)
		}
		if (same.State == jobs.Waiting) != tokenCurrent {
			t.Errorf("current token %v: the task of this incarnation is %v", tokenCurrent, same.State)
		}
	}
}

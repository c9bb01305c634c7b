package workers

import (
	"encoding/json"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestUnknownAttempts: a try that we don't know of is killed, and its piece starts
// nowhere else while it is there.
func TestUnknownAttempts(t *testing.T) {
	r := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Running}
	if got := verbs(r.heartbeat(0, stray)); got != "kill " || !r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("orders %q", got)
	}
	stray.Status, stray.Cause = api.Ended, api.CauseStopped
	if got := verbs(r.heartbeat(0, stray)); got != "clear " || r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("orders %q", got)
	}
}

// TestPlacementsOfAnEarlierTerm: a leader launches no task that an earlier term has placed,
// for that term may have given its room to others, of which alone it got durable. One of an
// earlier session than the report's is gone; one of the same session is, once the report
// has the newest token. (A leader that found a new session's placement beside two of the
// session before launched all three, and a team was over its limit.)
func TestPlacementsOfAnEarlierTerm(t *testing.T) {
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
		o := r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: 100, FencingToken: token})
		if got := verbs(o); got != "" {
			t.Errorf("fresh %v: orders %q", tokenCurrent, got)
		}
		if before.State != jobs.Waiting {
			t.Errorf("fresh %v: the task of the session before is %v", tokenCurrent, before.State)
		}
		if (same.State == jobs.Waiting) != tokenCurrent {
			t.Errorf("fresh %v: the task of this session is %v", tokenCurrent, same.State)
		}
	}
}

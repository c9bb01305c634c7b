package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestClearAfterDurable: an end is durable before its attempt is cleared from
// the worker, for after that a repeated launch would start it again.
func TestClearAfterDurable(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "h", Incarnation: 1, SequenceNumber: 50, FencingToken: ident.MakeFencingToken(term, 0)}})
	r.sequence = 50
	if got := verbs(r.heartbeat(0, r.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("orders before the end is durable: %q", got)
	}
	if got := verbs(r.heartbeat(0, r.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("orders before the end is durable: %q", got)
	}
	r.runUntilIdle()
	if n := len(r.sent); n != 2 || r.sent[1].Commands[0].Verb != api.Clear {
		t.Fatalf("sent %+v", r.sent)
	}
	if r.task().State != jobs.Completed || r.job.CompletedTasks != 1 {
		t.Errorf("task %v", r.task().State)
	}
}

// TestNewIncarnation: a newer session has forgotten everything, and a late report of
// the old one changes nothing.
func TestNewIncarnation(t *testing.T) {
	r := newHarness(t)
	r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: 1})
	if r.task().State != jobs.Waiting {
		t.Errorf("task %v", r.task().State)
	}
	if o := r.heartbeat(0, r.taskReport(api.Running, "")); o != nil {
		t.Errorf("a report of the old session is answered %+v", o)
	}
}

// TestUnknownMachine: a report of a machine that isn't known may be a late copy; it is
// asked first, and only its own answer takes it in.
func TestUnknownMachine(t *testing.T) {
	r := newHarness(t)
	copied := &api.Heartbeat{MachineID: "x", Addr: "b", Model: "m8", Zone: "east", Incarnation: 4, SequenceNumber: 9}
	n := len(r.sent)
	r.tb.HandleHeartbeat(copied)
	r.tb.HandleHeartbeat(copied)
	if len(r.sent) != n+1 || r.tb.Workers["x"] != nil {
		t.Fatalf("asked %d times, known %v", len(r.sent)-n, r.tb.Workers["x"] != nil)
	}
	r.answers[n](CommandResult{})
	if r.tb.Workers["x"] != nil {
		t.Fatal("taken in without an answer")
	}
	r.tb.HandleHeartbeat(copied)
	r.answers[n+1](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "x", Addr: "b", Model: "m8", Zone: "east", Incarnation: 4, SequenceNumber: 10}})
	if w := r.tb.Workers["x"]; w == nil || w.State != Up {
		t.Errorf("after its answer: %+v", w)
	}
}

// TestGangIsDone: when one task of a gang is done all are, but one that was not seen to run
// counts on its machine until it is proven gone: its room is not given away before.
func TestGangIsDone(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{})
	j := r.jobs.Add(&api.Spec{ID: "j-7", Shape: api.Gang, Tasks: 4, VCPUs: 1}, func() {}, nil)
	r.runUntilIdle()
	for i := range j.Tasks {
		r.jobs.Place(&j.Tasks[i], "h", 1, func() {})
	}
	r.runUntilIdle()
	running := api.TaskReport{TaskID: j.Tasks[1].TaskID(), Attempt: 1, Status: api.Running}
	r.heartbeat(1, running)
	done := api.TaskReport{TaskID: j.Tasks[0].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	r.heartbeat(1, done, running)
	if j.Phase != jobs.Done || j.AllocatedTasks != 2 || j.Tasks[2].State != jobs.Stopping {
		t.Fatalf("job %v, %d tasks held, the last one %v", j.Phase, j.AllocatedTasks, j.Tasks[2].State)
	}
	r.runUntilIdle() // the command that stops the last task is under way from here on
	r.heartbeat(1, done, api.TaskReport{TaskID: j.Tasks[3].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone})
	for range 3 { // long enough for the pace of the log
		r.now = r.now.Add(time.Second)
		r.runUntilIdle()
	}
	if len(r.worker.commands.queued) > 0 {
		t.Errorf("a part of the gang is durable, and a successor would place the rest: %+v", r.worker.commands.queued)
	}
	if last := r.sent[len(r.sent)-1].Commands; len(last) == 0 || last[0].Verb != api.Kill {
		t.Errorf("sent %+v", last)
	}
	r.answers[len(r.answers)-1](CommandResult{})
	r.heartbeat(2)
	r.runUntilIdle()
	if e, ok := r.jobs.LookupArchived("j-7"); !ok || e.Phase != jobs.Done || e.CompletedTasks != 4 {
		t.Errorf("ended %v: %+v", ok, e)
	}
}

package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestClearAfterDurable: the end of an attempt is durable before it is cleared from the worker: after that a
// repeated launch would start it again.
func TestClearAfterDurable(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{
		MachineID:      "h",
		Incarnation:    1,
		SequenceNumber: 50,
		FencingToken:   ident.MakeFencingToken(term, 0),
	}})
	r.sequence = 50
	if got := verbs(r.heartbeat(0, r.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("commands before the end is durable: %q", got)
	}
	if got := verbs(r.heartbeat(0, r.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("commands before the end is durable: %q", got)
	}
	r.runUntilIdle()
	if n := len(r.sent); n != 2 || r.sent[1].Commands[0].Verb != api.Clear {
		t.Fatalf("sent %+v", r.sent)
	}
	if r.task().State != jobs.Completed || r.job.CompletedTasks != 1 {
		t.Errorf("task %v", r.task().State)
	}
}

// TestNewIncarnation: a newer incarnation has no tasks of the old one, and a late heartbeat of the old one
// has no effect.
func TestNewIncarnation(t *testing.T) {
	r := newHarness(t)
	r.tb.HandleHeartbeat(newHeartbeat(2, 1, 0))
	if r.task().State != jobs.Waiting {
		t.Errorf("task %v", r.task().State)
	}
	if response := r.heartbeat(0, r.taskReport(api.Running, "")); response != nil {
		t.Errorf("a heartbeat of the old incarnation has the response %+v", response)
	}
}

// TestUnknownMachine: a heartbeat of a machine that is not known may be a late copy. The machine is probed
// first, and added only when it responds.
func TestUnknownMachine(t *testing.T) {
	r := newHarness(t)
	copied := &api.Heartbeat{MachineID: "x", Addr: "b", Model: "m8", Zone: "east", Incarnation: 4, SequenceNumber: 9}
	n := len(r.sent)
	r.tb.HandleHeartbeat(copied)
	r.tb.HandleHeartbeat(copied)
	if len(r.sent) != n+1 || r.tb.Workers["x"] != nil {
		t.Fatalf("probed %d times, known %v", len(r.sent)-n, r.tb.Workers["x"] != nil)
	}
	r.answers[n](CommandResult{})
	if r.tb.Workers["x"] != nil {
		t.Fatal("added without a response")
	}
	r.tb.HandleHeartbeat(copied)
	response := *copied
	response.SequenceNumber = 10
	r.answers[n+1](CommandResult{Status: 200, Heartbeat: &response})
	if w := r.tb.Workers["x"]; w == nil || w.State != Up {
		t.Errorf("after its response: %+v", w)
	}
}

// TestGangCompletion: when one task of a gang completes all do, but one that was not reported running stays
// allocated until it is proven gone: its room is not given to other tasks earlier.
func TestGangCompletion(t *testing.T) {
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
	completed := func(task *jobs.Task) api.TaskReport {
		return api.TaskReport{TaskID: task.TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	}
	done := completed(&j.Tasks[0])
	r.heartbeat(1, done, running)
	if j.Phase != jobs.Done || j.AllocatedTasks != 2 || j.Tasks[2].State != jobs.Stopping {
		t.Fatalf("job %v, %d tasks allocated, the last one %v", j.Phase, j.AllocatedTasks, j.Tasks[2].State)
	}
	r.runUntilIdle() // the command that stops the last task is under way from now on
	r.heartbeat(1, done, completed(&j.Tasks[3]))
	for range 3 { // long enough for the write rate of the log
		r.now = r.now.Add(time.Second)
		r.runUntilIdle()
	}
	if len(r.worker.commands.queued) > 0 {
		t.Errorf("part of the gang is durably completed, and a new leader would place the rest: %+v", r.worker.commands.queued)
	}
	if last := r.sent[len(r.sent)-1].Commands; len(last) == 0 || last[0].Verb != api.Kill {
		t.Errorf("sent %+v", last)
	}
	r.answers[len(r.answers)-1](CommandResult{})
	r.heartbeat(2)
	r.runUntilIdle()
	if archived, ok := r.jobs.LookupArchived("j-7"); !ok || archived.Phase != jobs.Done || archived.CompletedTasks != 4 {
		t.Errorf("archived %v: %+v", ok, archived)
	}
}

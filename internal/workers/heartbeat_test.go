package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestClearAfterDurable checks that an attempt is cleared from the worker only after its end is durable.
// Once the attempt is cleared, a repeated launch would start it again.
func TestClearAfterDurable(t *testing.T) {
	h := newHarness(t)
	h.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{
		MachineID:      "h",
		Incarnation:    1,
		SequenceNumber: 50,
		FencingToken:   ident.MakeFencingToken(term, 0),
	}})
	h.sequence = 50
	if got := verbs(h.heartbeat(0, h.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("commands before the end is durable: got %q, want none", got)
	}
	if got := verbs(h.heartbeat(0, h.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("commands in the second response before the end is durable: got %q, want none", got)
	}
	h.runUntilIdle()
	if n := len(h.sent); n != 2 || h.sent[1].Commands[0].Verb != api.Clear {
		t.Fatalf("sent %+v, want two calls, the second with a clear command", h.sent)
	}
	if h.task().State != jobs.Completed || h.job.CompletedTasks != 1 {
		t.Errorf("task is %v, %d tasks of the job completed; want %v, 1", h.task().State, h.job.CompletedTasks, jobs.Completed)
	}
}

// TestNewIncarnation checks that the tasks of the old incarnation are lost when a worker starts a new one, and
// that a delayed heartbeat from the old incarnation has no effect.
func TestNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.tb.HandleHeartbeat(newHeartbeat(2, 1, 0))
	if h.task().State != jobs.Waiting {
		t.Errorf("task is %v after the new incarnation's first heartbeat, want %v", h.task().State, jobs.Waiting)
	}
	if response := h.heartbeat(0, h.taskReport(api.Running, "")); response != nil {
		t.Errorf("response to a heartbeat from the old incarnation: got %+v, want none", response)
	}
}

// TestUnknownMachine checks that an unknown machine that sends a heartbeat is probed, and added only when it
// responds. The heartbeat may be a delayed duplicate from a terminated machine.
func TestUnknownMachine(t *testing.T) {
	h := newHarness(t)
	copied := &api.Heartbeat{MachineID: "x", Addr: "b", Model: "m8", Zone: "east", Incarnation: 4, SequenceNumber: 9}
	n := len(h.sent)
	h.tb.HandleHeartbeat(copied)
	h.tb.HandleHeartbeat(copied)
	if len(h.sent) != n+1 || h.tb.Workers["x"] != nil {
		t.Fatalf("after two heartbeats: probed %d times, machine known %v; want 1, false",
			len(h.sent)-n, h.tb.Workers["x"] != nil)
	}
	h.answers[n](CommandResult{})
	if h.tb.Workers["x"] != nil {
		t.Fatal("machine x was added though its worker did not respond to the probe")
	}
	h.tb.HandleHeartbeat(copied)
	response := *copied
	response.SequenceNumber = 10
	h.answers[n+1](CommandResult{Status: 200, Heartbeat: &response})
	if w := h.tb.Workers["x"]; w == nil || w.State != Up {
		t.Errorf("machine x after the response to the probe: got %+v, want state %v", w, Up)
	}
}

// TestGangCompletion checks that the whole gang completes when one of its tasks does, but that a task that was
// not reported running stays allocated until it can no longer run. Until then its resources must not be
// allocated to other tasks.
func TestGangCompletion(t *testing.T) {
	h := newHarness(t)
	h.answers[0](CommandResult{})
	j := h.jobs.Add(&api.Spec{ID: "j-7", Shape: api.Gang, Tasks: 4, VCPUs: 1}, func() {}, nil)
	h.runUntilIdle()
	for i := range j.Tasks.Len() {
		h.jobs.Place(j.Tasks.At(i), "h", 1, func() {})
	}
	h.runUntilIdle()
	running := api.TaskReport{TaskID: j.Tasks.At(1).TaskID(), Attempt: 1, Status: api.Running}
	h.heartbeat(1, running)
	completed := func(task *jobs.Task) api.TaskReport {
		return api.TaskReport{TaskID: task.TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	}
	done := completed(j.Tasks.At(0))
	h.heartbeat(1, done, running)
	if j.Phase != jobs.Done || j.AllocatedTasks != 2 || j.Tasks.At(2).State != jobs.Stopping {
		t.Fatalf("job is %v, %d tasks allocated, task 2 is %v; want %v, 2, %v",
			j.Phase, j.AllocatedTasks, j.Tasks.At(2).State, jobs.Done, jobs.Stopping)
	}
	h.runUntilIdle() // sends the kill commands, which stay in flight until answered below
	h.heartbeat(1, done, completed(j.Tasks.At(3)))
	for range 3 { // three seconds, long enough for the rate-limited log writes
		h.now = h.now.Add(time.Second)
		h.runUntilIdle()
	}
	if len(h.worker.commands.queued) > 0 {
		t.Errorf("queued commands %+v, want none: part of the gang is durably completed, a new leader would place the rest",
			h.worker.commands.queued)
	}
	if last := h.sent[len(h.sent)-1].Commands; len(last) == 0 || last[0].Verb != api.Kill {
		t.Errorf("last call sent has commands %+v, want a kill first", last)
	}
	h.answers[len(h.answers)-1](CommandResult{})
	h.heartbeat(2)
	h.runUntilIdle()
	if archived, ok := h.jobs.LookupArchived("j-7"); !ok || archived.Phase != jobs.Done || archived.CompletedTasks != 4 {
		t.Errorf("job j-7 archived %v, record %+v; want true, phase %v with 4 completed tasks", ok, archived, jobs.Done)
	}
}

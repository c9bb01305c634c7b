package workers

import (
	"fmt"
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

// TestRejectedCallsAreCounted checks that a call that the worker rejects as outdated counts if it has commands.
func TestRejectedCallsAreCounted(t *testing.T) {
	h := newHarness(t)
	reject := func(call int) {
		h.sequence++
		h.answers[call](CommandResult{Status: 409, Heartbeat: newHeartbeat(1, h.sequence, ident.MakeFencingToken(term, 0))})
	}
	reject(0)
	h.tb.Probe(h.worker)
	reject(1)
	if h.tb.RejectedCalls != 1 {
		t.Errorf("after a rejected launch and a rejected probe: counted %d, want 1", h.tb.RejectedCalls)
	}
}

// placeSecondTask answers the launch of the first task with a response that lists an unknown attempt, which the table
// kills in a second call, and places the second task while that call is in flight.
func (h *harness) placeSecondTask() *jobs.Task {
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 9, Status: api.Running}
	h.respond(0, h.taskReport(api.Running, ""), stray)
	h.runUntilIdle()
	task := h.job.Tasks.At(1)
	h.jobs.Place(task, "h", 1, func() { h.tb.Launch(h.worker, task) })
	h.runUntilIdle()
	return task
}

// TestOneCallInFlight guards against a second call to a worker while one is in flight. A response that showed an unwanted
// task started such a call: the timer of the kill command took the call with that command for ended.
func TestOneCallInFlight(t *testing.T) {
	h := newHarness(t)
	h.placeSecondTask()
	if len(h.sent) != 2 {
		t.Errorf("while the call with the kill command is in flight: got %d calls, want 2", len(h.sent))
	}
	h.respond(1, h.taskReport(api.Running, ""))
	if len(h.sent) != 3 || h.sent[2].Commands[0].Verb != api.Launch {
		t.Errorf("after the call with the kill command: got calls %+v, want a third one with a launch", h.sent)
	}
}

// TestLaunchInFlightIsNotLost guards against a task running twice: a launch whose call is in flight may be executed after the
// worker has sent a heartbeat without the task, so that the task must not be placed elsewhere.
func TestLaunchInFlightIsNotLost(t *testing.T) {
	h := newHarness(t)
	task := h.placeSecondTask()
	h.respond(1, h.taskReport(api.Running, ""))
	h.tb.StopTask(h.worker, task, 0)
	h.runUntilIdle()
	for i := 2; i < len(h.sent); i++ {
		if !api.ContainsLaunch(h.sent[i].Commands) {
			h.respond(i, h.taskReport(api.Running, ""))
		}
	}
	h.heartbeat(0, h.taskReport(api.Running, ""))
	if task.State != jobs.Stopping {
		t.Errorf("heartbeat without the task while its launch is in flight: task is %v, want %v", task.State, jobs.Stopping)
	}
}

// TestLaunchWaitsForPermission guards against a launch during a handover: a launch command that waited for the end of another
// call is not sent if the leader may not launch tasks any more, and the next heartbeat's response repeats it if it may again.
func TestLaunchWaitsForPermission(t *testing.T) {
	h := newHarness(t)
	task := h.placeSecondTask()
	h.launchesForbidden = true
	h.respond(1, h.taskReport(api.Running, ""))
	h.runUntilIdle()
	for _, request := range h.sent[2:] {
		if api.ContainsLaunch(request.Commands) {
			t.Errorf("without permission to launch: got call %+v, want none with a launch", request)
		}
	}
	h.launchesForbidden = false
	if got := verbs(h.heartbeat(0, h.taskReport(api.Running, ""))); got != "launch " || task.State != jobs.Assigned {
		t.Errorf("with permission again: commands %q, task is %v; want %q, %v", got, task.State, "launch ", jobs.Assigned)
	}
}

// TestQueuedLaunchOfStoppedTaskIsNotSent guards against a start after a confirmed cancellation: a launch command waits for the
// end of another call, and the task is stopped meanwhile. The kill command is sent, as a response to a heartbeat may have
// launched the task.
func TestQueuedLaunchOfStoppedTaskIsNotSent(t *testing.T) {
	h := newHarness(t)
	task := h.placeSecondTask()
	h.jobs.Cancel(h.job, func() {})
	h.tb.StopAllocated(h.job, 0)
	h.runUntilIdle()
	h.respond(1, h.taskReport(api.Running, ""))
	h.runUntilIdle()
	if len(h.sent) != 3 || verbs(&api.HeartbeatResponse{Commands: h.sent[2].Commands}) != "kill kill " {
		t.Fatalf("after the call before it: got calls %+v, want a third one with two kills", h.sent)
	}
	h.respond(2, h.taskReport(api.Ended, api.CauseStopped))
	h.heartbeat(0, h.taskReport(api.Ended, api.CauseStopped))
	if task.State != jobs.Waiting {
		t.Errorf("after a heartbeat without the task: task is %v, want %v", task.State, jobs.Waiting)
	}
}

// TestCopyOfAnsweredLaunchStartsNothing guards against a task running twice: its launch was carried out and answered, its attempt
// failed and was cleared, and a copy of the launch arrived once the task had been placed elsewhere.
func TestCopyOfAnsweredLaunchStartsNothing(t *testing.T) {
	for _, scenario := range copiedLaunchScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			h := newHarness(t)
			m := newWorkerModel(h, ident.MakeFencingToken(term, 0))
			attempt := attemptOf(h.task())
			m.answerCalls()
			m.tasks[attempt] = api.Ended
			scenario.clear(m)
			if _, held := m.tasks[attempt]; held {
				t.Fatal("the worker still holds the ended attempt, want it cleared")
			}
			for i, c := range m.calls {
				m.executeCopy(c)
				if status, held := m.tasks[attempt]; held {
					t.Errorf("after a copy of call %d, the cleared attempt is %s on the worker, want it absent", i, status)
				}
			}
		})
	}
}

// copiedLaunchScenarios clear the ended attempt of the harness's task in different ways.
var copiedLaunchScenarios = []struct {
	name  string
	clear func(m *workerModel)
}{
	{"cleared by a call", func(m *workerModel) {
		m.exchangeHeartbeat()
		m.h.runUntilIdle()
		m.answerCalls()
	}},
	{"cleared by a call that launches another task", func(m *workerModel) {
		m.exchangeHeartbeat()
		other := m.h.job.Tasks.At(1)
		m.h.jobs.Place(other, "h", 1, func() { m.h.tb.Launch(m.h.worker, other) })
		m.h.runUntilIdle()
		m.answerCalls()
	}},
	{"cleared by the response to a heartbeat", func(m *workerModel) {
		m.exchangeHeartbeat()
		m.h.runUntilIdle()
		m.syncCalls()
		m.endCall(m.calls[len(m.calls)-1], CommandResult{NotSent: true})
		m.exchangeHeartbeat()
	}},
	{"cleared by a call after the cancellation of its job", func(m *workerModel) {
		m.h.jobs.Cancel(m.h.job, func() {})
		m.h.tb.StopAllocated(m.h.job, 0)
		m.h.runUntilIdle()
		m.answerCalls()
		m.exchangeHeartbeat()
		m.h.runUntilIdle()
		m.answerCalls()
	}},
}

// TestCopyOfBatchStartsNoClearedAttempt guards against a copied call of which only one command has become harmful: it cleared an
// attempt and launched two tasks, of which one has been cleared as well.
func TestCopyOfBatchStartsNoClearedAttempt(t *testing.T) {
	h := newHarness(t)
	m := newWorkerModel(h, ident.MakeFencingToken(term, 0))
	m.answerCalls()
	first, second := h.task(), h.job.Tasks.At(1)
	place := func(tasks ...*jobs.Task) {
		for _, task := range tasks {
			h.jobs.Place(task, "h", 1, func() { h.tb.Launch(h.worker, task) })
		}
	}
	end := func(task *jobs.Task) {
		m.tasks[attemptOf(task)] = api.Ended
		m.exchangeHeartbeat()
		h.runUntilIdle()
		m.answerCalls()
	}
	m.tasks[attemptOf(first)] = api.Ended
	m.exchangeHeartbeat()
	place(first, second) // in one call with the clear of the first attempt
	h.runUntilIdle()
	m.answerCalls()
	batch := m.calls[len(m.calls)-1]
	if len(batch.request.Commands) != 3 {
		t.Fatalf("got a call with %v, want a clear and two launches", commandList(batch.request.Commands))
	}
	end(first)
	want := fmt.Sprint(m.attempts())
	for range 2 {
		m.executeCopy(batch)
		if got := fmt.Sprint(m.attempts()); got != want || m.tasks[attemptOf(second)] != api.Running {
			t.Errorf("after a copy of the call with both launches: attempts %s, want %s, the second task running", got, want)
		}
	}
}

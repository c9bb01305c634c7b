package workers

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// workerModel is the worker on the machine of a harness. The test decides when it executes calls and
// responses, which may be late and out of order.
type workerModel struct {
	h           *harness
	incarnation ident.Incarnation
	sequence    ident.SequenceNumber
	token       ident.FencingToken
	tasks       map[taskAttempt]api.TaskStatus
	calls       []*modelCall
	response    *modelResponse // response to the newest heartbeat that has not arrived; nil: none
	heartbeats  []*api.Heartbeat
	strays      ident.Attempt // number of unknown attempts so far
}

// modelCall is a call of the table to the worker.
type modelCall struct {
	request  api.CommandRequest
	done     func(CommandResult)
	executed bool          // executed, rejected or never sent
	result   CommandResult // result of the execution
	ended    bool          // the table knows the result
}

// modelResponse is the response to a heartbeat of an incarnation.
type modelResponse struct {
	*api.HeartbeatResponse
	incarnation ident.Incarnation
}

// firstStray is the first attempt number of attempts that the table did not place.
const firstStray = 1000

// syncCalls adds the calls that the table has sent since the last time.
func (m *workerModel) syncCalls() {
	for i := len(m.calls); i < len(m.h.sent); i++ {
		m.calls = append(m.calls, &modelCall{request: m.h.sent[i], done: m.h.answers[i]})
	}
}

func (m *workerModel) report() *api.Heartbeat {
	m.sequence++
	var reports []api.TaskReport
	for _, attempt := range m.attempts() {
		report := api.TaskReport{TaskID: attempt.task, Attempt: attempt.attempt, Status: m.tasks[attempt]}
		if report.Status == api.Ended {
			report.Cause = api.CauseStopped
		}
		reports = append(reports, report)
	}
	return newHeartbeat(m.incarnation, m.sequence, m.token, reports...)
}

// attempts returns the attempts that the worker lists, in a reproducible order.
func (m *workerModel) attempts() []taskAttempt {
	return slices.SortedFunc(maps.Keys(m.tasks), func(a, b taskAttempt) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index),
			cmp.Compare(a.attempt, b.attempt))
	})
}

// accepts reports whether the worker would still execute a call.
func (m *workerModel) accepts(request api.CommandRequest) bool {
	return request.FencingToken >= m.token && request.Incarnation == m.incarnation
}

func (m *workerModel) execute(commands []api.Command) {
	for _, command := range commands {
		attempt := taskAttempt{command.TaskID, command.Attempt}
		status, known := m.tasks[attempt]
		switch {
		case command.Verb == api.Launch && !known:
			m.tasks[attempt] = api.Running
		case command.Verb == api.Kill && known:
			m.tasks[attempt] = api.Ended
		case command.Verb == api.Clear && status == api.Ended:
			delete(m.tasks, attempt)
		}
	}
}

func (m *workerModel) executeCall(c *modelCall) {
	c.executed = true
	c.result.Status = http.StatusConflict
	if m.accepts(c.request) {
		c.result.Status = http.StatusOK
		m.token = c.request.FencingToken
		m.execute(c.request.Commands)
	}
	c.result.Heartbeat = m.report()
}

// endCall passes the result of a call to the table.
func (m *workerModel) endCall(c *modelCall, result CommandResult) {
	c.ended = true
	c.done(result)
}

// sendHeartbeat passes a heartbeat to the table by the given method. The test fails if the response renews the lease while an
// earlier command could still start a task whose job was cancelled too long ago.
func (m *workerModel) sendHeartbeat(
	t *rapid.T, tasks []*jobs.Task, handle func(*api.Heartbeat) *api.HeartbeatResponse,
) {
	if m.response != nil {
		t.Skip("a heartbeat is in flight")
	}
	heartbeat := m.report()
	m.heartbeats = append(m.heartbeats, heartbeat)
	response := handle(heartbeat)
	if response == nil {
		return
	}
	m.syncCalls()
	for _, task := range tasks {
		attempt := taskAttempt{task.TaskID(), task.Attempt}
		if task.Job.Phase != jobs.Cancelled || m.h.now.Sub(task.Job.ClosedAt) <= leaderGrace {
			continue
		}
		if pending := m.pendingLaunch(attempt); pending != "" {
			t.Fatalf("the lease is renewed while %s can be started by %s, though its job is cancelled", task.TaskID(), pending)
		}
	}
	m.response = &modelResponse{response, m.incarnation}
}

func (m *workerModel) receiveResponse() {
	response := m.response
	m.response = nil
	if response.incarnation == m.incarnation && response.FencingToken >= m.token {
		m.token = response.FencingToken
		m.execute(response.Commands)
	}
}

// beginIncarnation ends all tasks, as the expiry of the lease does.
func (m *workerModel) beginIncarnation() {
	m.incarnation++
	m.sequence = 0
	clear(m.tasks)
}

// pendingLaunch returns a description of a command that the worker has not executed but would, and that would start an
// attempt; "" if there is none.
func (m *workerModel) pendingLaunch(attempt taskAttempt) string {
	if _, known := m.tasks[attempt]; known {
		return ""
	}
	launches := func(commands []api.Command) bool {
		for _, command := range commands {
			if command.Verb == api.Launch && attempt.isTargetOf(command) {
				return true
			}
		}
		return false
	}
	for i, c := range m.calls {
		if !c.executed && m.accepts(c.request) && launches(c.request.Commands) {
			return fmt.Sprintf("call %d", i)
		}
	}
	if r := m.response; r != nil && r.incarnation == m.incarnation && r.FencingToken >= m.token && launches(r.Commands) {
		return "the response to a heartbeat"
	}
	return ""
}

// check fails the test if an attempt that the table no longer counts on the machine runs there, or can still be
// started there, or if several calls are in flight.
func (m *workerModel) check(t *rapid.T, tasks []*jobs.Task) {
	m.syncCalls()
	inFlight := 0
	for _, c := range m.calls {
		if !c.ended {
			inFlight++
		}
	}
	if inFlight > 1 {
		t.Fatalf("%d calls to the worker are in flight, want at most 1", inFlight)
	}
	for _, task := range tasks {
		for number := ident.Attempt(1); number <= task.Attempt; number++ {
			if task.State.Allocated() && number == task.Attempt {
				continue
			}
			attempt := taskAttempt{task.TaskID(), number}
			if status, known := m.tasks[attempt]; known && status != api.Ended {
				t.Fatalf("%s attempt %d is %s on the worker, but the table considers it gone", task.TaskID(), number, status)
			}
			if pending := m.pendingLaunch(attempt); pending != "" {
				t.Fatalf("%s attempt %d can be started by %s, but the table considers it gone", task.TaskID(), number, pending)
			}
		}
	}
}

// callWhere returns a call that satisfies a condition. The test skips the current action if there is none.
func (m *workerModel) callWhere(t *rapid.T, condition func(c *modelCall) bool) *modelCall {
	m.syncCalls()
	var calls []*modelCall
	for _, c := range m.calls {
		if condition(c) {
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		t.Skip("no such call")
	}
	return rapid.SampledFrom(calls).Draw(t, "call")
}

// taskWhere returns a task that satisfies a condition. The test skips the current action if there is none.
func taskWhere(t *rapid.T, tasks []*jobs.Task, condition func(task *jobs.Task) bool) *jobs.Task {
	var matching []*jobs.Task
	for _, task := range tasks {
		if condition(task) {
			matching = append(matching, task)
		}
	}
	if len(matching) == 0 {
		t.Skip("no such task")
	}
	return rapid.SampledFrom(matching).Draw(t, "task")
}

// TestAbsentTaskCannotStart guards against a task running twice: whatever the order in which calls and heartbeats
// are executed, delayed and lost, an attempt that the table considers gone neither runs on its machine nor can
// be started there by an earlier command, and at most one call to the worker is in flight. Nor is the worker's lease renewed
// while an earlier command could start a task whose job was cancelled longer ago than the leader's grace period.
func TestAbsentTaskCannotStart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		tasks := []*jobs.Task{h.task(), &h.job.Tasks[1]}
		for _, id := range []ident.JobID{"j-2", "j-3"} {
			job := h.jobs.Add(&api.Spec{ID: id, Shape: api.Batch, Tasks: 1, VCPUs: 1, Image: "img", ImageGB: 1}, func() {}, nil)
			tasks = append(tasks, &job.Tasks[0])
		}
		h.runUntilIdle()
		m := &workerModel{h: h, incarnation: 1, sequence: h.sequence, tasks: map[taskAttempt]api.TaskStatus{}}
		actions := callActions(m)
		for name, action := range heartbeatActions(m, tasks) {
			actions[name] = action
		}
		for name, action := range leaderActions(m, tasks) {
			actions[name] = action
		}
		actions[""] = func(rt *rapid.T) { m.check(rt, tasks) }
		rt.Repeat(actions)
	})
}

// callActions returns the actions that execute calls and pass their results to the table.
func callActions(m *workerModel) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"execute call": func(t *rapid.T) { m.executeCall(m.callWhere(t, func(c *modelCall) bool { return !c.executed })) },
		"answer call": func(t *rapid.T) {
			c := m.callWhere(t, func(c *modelCall) bool { return c.executed && !c.ended })
			m.endCall(c, c.result)
		},
		"execute and answer call": func(t *rapid.T) {
			c := m.callWhere(t, func(c *modelCall) bool { return !c.executed && !c.ended })
			m.executeCall(c)
			m.endCall(c, c.result)
		},
		"time out call": func(t *rapid.T) {
			m.endCall(m.callWhere(t, func(c *modelCall) bool { return !c.ended }), CommandResult{})
		},
		"do not send call": func(t *rapid.T) {
			c := m.callWhere(t, func(c *modelCall) bool { return !c.executed && !c.ended })
			c.executed = true
			m.endCall(c, CommandResult{NotSent: true})
		},
	}
}

// heartbeatActions returns the actions that send heartbeats and change the state of the worker.
func heartbeatActions(m *workerModel, tasks []*jobs.Task) map[string]func(*rapid.T) {
	requireResponse := func(t *rapid.T) {
		if m.response == nil {
			t.Skip("no response to a heartbeat is pending")
		}
	}
	return map[string]func(*rapid.T){
		"send heartbeat":               func(t *rapid.T) { m.sendHeartbeat(t, tasks, m.h.tb.HandleHeartbeat) },
		"send heartbeat for the lease": func(t *rapid.T) { m.sendHeartbeat(t, tasks, m.h.tb.RenewLeaseOnly) },
		"receive response":             func(t *rapid.T) { requireResponse(t); m.receiveResponse() },
		"lose response":                func(t *rapid.T) { requireResponse(t); m.response = nil },
		"repeat heartbeat": func(t *rapid.T) {
			if len(m.heartbeats) == 0 {
				t.Skip("no heartbeat yet")
			}
			m.h.tb.HandleHeartbeat(rapid.SampledFrom(m.heartbeats).Draw(t, "heartbeat"))
		},
		"begin incarnation": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "one in ten") > 0 {
				t.Skip("keep the incarnation")
			}
			m.beginIncarnation()
		},
		"end task": func(t *rapid.T) {
			if len(m.tasks) == 0 {
				t.Skip("no task on the machine")
			}
			m.tasks[rapid.SampledFrom(m.attempts()).Draw(t, "attempt")] = api.Ended
		},
		"add unknown attempt": func(*rapid.T) {
			m.strays++
			m.tasks[taskAttempt{m.h.task().TaskID(), firstStray + m.strays}] = api.Running
		},
	}
}

// leaderActions returns the actions of the rest of the leader.
func leaderActions(m *workerModel, tasks []*jobs.Task) map[string]func(*rapid.T) {
	h := m.h
	return map[string]func(*rapid.T){
		"place task": func(t *rapid.T) {
			task := taskWhere(t, tasks, func(task *jobs.Task) bool {
				return task.State == jobs.Waiting && task.Job.Phase == jobs.Open && !h.tb.HasUnknownAttempt(task.TaskID())
			})
			h.jobs.Place(task, h.worker.ID, h.worker.Incarnation(), func() { h.tb.Launch(h.worker, task) })
		},
		"stop task": func(t *rapid.T) {
			h.tb.StopTask(h.worker, taskWhere(t, tasks, func(task *jobs.Task) bool { return task.State == jobs.Assigned }), 0)
		},
		"cancel job": func(t *rapid.T) {
			task := taskWhere(t, tasks[2:], func(task *jobs.Task) bool { return task.Job.Phase == jobs.Open })
			h.jobs.Cancel(task.Job, func() {})
			h.tb.StopAllocated(task.Job, 0)
		},
		"probe":     func(*rapid.T) { h.tb.Probe(h.worker) },
		"run timer": func(t *rapid.T) { runFirst(t, &h.timers) },
		"commit": func(t *rapid.T) {
			h.commits.Flush()
			runFirst(t, &h.txns)
		},
		"wait": func(*rapid.T) { h.now = h.now.Add(4 * time.Second) },
	}
}

// runFirst runs the first function of a list and removes it. The test skips the current action if there is none.
func runFirst(t *rapid.T, list *[]func()) {
	if len(*list) == 0 {
		t.Skip("nothing to run")
	}
	f := (*list)[0]
	*list = (*list)[1:]
	f()
}

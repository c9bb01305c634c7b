package workers

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// drawWhere draws an element that satisfies a condition. The test skips the current action if there is none.
func drawWhere[T any](t *rapid.T, label string, list []T, condition func(T) bool) T {
	var matching []T
	for _, element := range list {
		if condition(element) {
			matching = append(matching, element)
		}
	}
	if len(matching) == 0 {
		t.Skip("no such " + label)
	}
	return rapid.SampledFrom(matching).Draw(t, label)
}

// drawCall draws a call that satisfies a condition, like drawWhere.
func (m *workerModel) drawCall(t *rapid.T, condition func(c *modelCall) bool) *modelCall {
	m.syncCalls()
	return drawWhere(t, "call", m.calls, condition)
}

// TestAbsentTaskCannotStart guards against a task running twice: in any order in which calls and heartbeats are executed,
// delayed, lost and repeated, an attempt that the table considers gone neither runs on its machine nor can be started there by
// an earlier command or a copy of one, and at most one call to the worker is in flight. Nor is the worker's lease renewed while
// an earlier command could start a task whose job was cancelled longer ago than the leader's grace period.
func TestAbsentTaskCannotStart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		tasks := []*jobs.Task{h.task(), h.job.Tasks.At(1)}
		for _, id := range []ident.JobID{"j-2", "j-3"} {
			job := h.jobs.Add(&api.Spec{ID: id, Shape: api.Batch, Tasks: 1, VCPUs: 1, Image: "img", ImageGB: 1}, func() {}, nil)
			tasks = append(tasks, job.Tasks.At(0))
		}
		h.runUntilIdle()
		checkAbsence(rt, newWorkerModel(h, ident.MakeFencingToken(term, 0)), tasks)
	})
}

// TestAbsentAdoptedTaskCannotStart is TestAbsentTaskCannotStart for a leader whose predecessor has placed tasks on the
// machine and sent launch commands that may still be executed.
func TestAbsentAdoptedTaskCannotStart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarnessWithoutHeartbeat(t)
		h.sequence = 20 // heartbeats to the predecessor
		m := newWorkerModel(h, ident.MakeFencingToken(term-1, 0))
		tasks := []*jobs.Task{}
		for i := range 3 {
			job := h.loadPlacedJob(t, ident.JobID(fmt.Sprintf("j-%d", i+1)), uint64(i+1))
			for k := range job.Tasks.Len() {
				tasks = append(tasks, job.Tasks.At(k))
				m.addEarlierCall(api.CommandRequest{
					FencingToken: ident.MakeFencingToken(term-1, 0),
					Incarnation:  1,
					Commands:     []api.Command{newLaunchCommand(job.Tasks.At(k))},
				})
			}
		}
		h.jobs.FinishLoading()
		checkAbsence(rt, m, tasks)
	})
}

// loadPlacedJob loads the record of a job whose two tasks an earlier term placed on the machine, in its first incarnation.
func (h *harness) loadPlacedJob(t *testing.T, id ident.JobID, seq uint64) *jobs.Job {
	t.Helper()
	record := fmt.Sprintf(`{"spec":{"id":%q,"desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":%d,"phase":"open",
		"tasks":[{"t":1,"h":"h","n":1},{"t":1,"h":"h","n":1}]}`, string(id), seq)
	if err := h.jobs.Load("live/"+string(id), json.RawMessage(record), 4); err != nil {
		t.Fatal(err)
	}
	job := h.jobs.Jobs[id]
	for i := range job.Tasks.Len() {
		h.tb.AddTask(h.worker, job.Tasks.At(i))
	}
	return job
}

// checkAbsence performs random actions on a table and a worker, and checks the worker after each one.
func checkAbsence(t *rapid.T, m *workerModel, tasks []*jobs.Task) {
	actions := callActions(m)
	maps.Copy(actions, heartbeatActions(m, tasks))
	maps.Copy(actions, leaderActions(m, tasks))
	actions[""] = func(t *rapid.T) { m.check(t, tasks) }
	t.Repeat(actions)
}

// callActions returns the actions that execute calls and pass their results to the table.
func callActions(m *workerModel) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"execute call": func(t *rapid.T) { m.executeCall(m.drawCall(t, func(c *modelCall) bool { return !c.executed })) },
		"answer call": func(t *rapid.T) {
			c := m.drawCall(t, func(c *modelCall) bool { return c.executed && !c.ended })
			m.endCall(c, c.result)
		},
		"execute and answer call": func(t *rapid.T) {
			c := m.drawCall(t, func(c *modelCall) bool { return !c.executed && !c.ended })
			m.executeCall(c)
			m.endCall(c, c.result)
		},
		"time out call": func(t *rapid.T) {
			m.endCall(m.drawCall(t, func(c *modelCall) bool { return !c.ended }), CommandResult{})
		},
		"do not send call": func(t *rapid.T) {
			c := m.drawCall(t, func(c *modelCall) bool { return !c.executed && !c.ended })
			c.executed, c.notSent = true, true
			m.endCall(c, CommandResult{NotSent: true})
		},
		"execute copy of call": func(t *rapid.T) {
			m.executeCopy(m.drawCall(t, func(c *modelCall) bool { return c.executed && !c.notSent }))
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
			m.tasks[taskAttempt{tasks[0].TaskID(), firstStray + m.strays}] = api.Running
		},
	}
}

// leaderActions returns the actions of the rest of the leader.
func leaderActions(m *workerModel, tasks []*jobs.Task) map[string]func(*rapid.T) {
	h := m.h
	return map[string]func(*rapid.T){
		"place task": func(t *rapid.T) {
			task := drawWhere(t, "task", tasks, func(task *jobs.Task) bool {
				mayPlace := task.State == jobs.Waiting && !h.tb.HasUnknownAttempt(task.TaskID())
				return mayPlace && task.Job.Phase == jobs.Open && h.worker.Schedulable(h.now)
			})
			h.jobs.Place(task, h.worker.ID, h.worker.Incarnation(), func() { h.tb.Launch(h.worker, task) })
		},
		"stop task": func(t *rapid.T) {
			task := drawWhere(t, "task", tasks, func(task *jobs.Task) bool { return task.State == jobs.Assigned })
			h.tb.StopTask(h.worker, task, 0)
		},
		"cancel job": func(t *rapid.T) {
			task := drawWhere(t, "task", tasks[2:], func(task *jobs.Task) bool { return task.Job.Phase == jobs.Open })
			h.jobs.Cancel(task.Job, func() {})
			h.tb.StopAllocated(task.Job, 0)
		},
		"probe":     func(*rapid.T) { h.tb.Probe(h.worker) },
		"run timer": func(t *rapid.T) { runFirst(t, &h.timers) },
		"commit": func(t *rapid.T) {
			h.commits.Flush()
			runFirst(t, &h.txns)
		},
		"wait": func(t *rapid.T) {
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		},
		"expire lease": func(t *rapid.T) {
			if !h.tb.LeaseExpired(h.worker) {
				t.Skip("the lease may be valid")
			}
			h.tb.ExpireLease(h.worker)
		},
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

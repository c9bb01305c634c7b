package workers

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
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
	leaseStart  ident.MonotonicTime // when the newest heartbeat with a response, or the incarnation, began
	tasks       map[taskAttempt]api.TaskStatus
	calls       []*modelCall   // calls of an earlier leader, then those of the table
	tableCalls  int            // number of calls of the table
	response    *modelResponse // response to the newest heartbeat that has not arrived; nil: none
	heartbeats  []*api.Heartbeat
	strays      ident.Attempt // number of unknown attempts so far
}

func newWorkerModel(h *harness, token ident.FencingToken) *workerModel {
	return &workerModel{
		h:           h,
		incarnation: 1,
		sequence:    h.sequence,
		token:       token,
		leaseStart:  h.now,
		tasks:       map[taskAttempt]api.TaskStatus{},
	}
}

// modelCall is a call of the table to the worker.
type modelCall struct {
	request  api.CommandRequest
	done     func(CommandResult)
	executed bool          // executed, rejected or never sent
	notSent  bool          // never sent
	result   CommandResult // result of the execution
	ended    bool          // the table knows the result
}

// modelResponse is the response to a heartbeat of an incarnation.
type modelResponse struct {
	*api.HeartbeatResponse
	incarnation ident.Incarnation
	sentAt      ident.MonotonicTime // when the heartbeat was sent
}

const (
	// firstStray is the first attempt number of attempts that the table did not place.
	firstStray = 1000
	// responseTimeout is the time after which the worker drops the response to a heartbeat.
	responseTimeout = 4 * time.Second
)

// syncCalls adds the calls that the table has sent since the last time.
func (m *workerModel) syncCalls() {
	for ; m.tableCalls < len(m.h.sent); m.tableCalls++ {
		m.calls = append(m.calls, &modelCall{request: m.h.sent[m.tableCalls], done: m.h.answers[m.tableCalls]})
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

// addEarlierCall adds a call of an earlier leader that the worker has not executed.
func (m *workerModel) addEarlierCall(request api.CommandRequest) {
	m.calls = append(m.calls, &modelCall{request: request, ended: true})
}

// leaseExpired reports whether the worker ends all tasks before it does anything else.
func (m *workerModel) leaseExpired() bool { return m.h.now.Sub(m.leaseStart) > leaseDuration }

// checkLease begins a new incarnation if the lease has expired.
func (m *workerModel) checkLease() {
	if m.leaseExpired() {
		m.beginIncarnation()
	}
}

// accepts reports whether the worker would still execute a call.
func (m *workerModel) accepts(request api.CommandRequest) bool {
	return request.FencingToken >= m.token && request.Incarnation == m.incarnation && !m.leaseExpired()
}

// acceptsResponse reports whether the worker would still execute the pending response to a heartbeat.
func (m *workerModel) acceptsResponse() bool {
	r := m.response
	return r != nil && r.incarnation == m.incarnation && r.FencingToken >= m.token && !m.leaseExpired() &&
		m.h.now.Sub(r.sentAt) <= responseTimeout
}

func (m *workerModel) execute(commands []api.Command) {
	for _, command := range commands {
		attempt := targetOf(command)
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
	m.checkLease()
	c.executed = true
	c.result.Status = http.StatusConflict
	if m.accepts(c.request) {
		c.result.Status = http.StatusOK
		m.token = c.request.FencingToken
		m.execute(c.request.Commands)
	}
	c.result.Heartbeat = m.report()
}

// executeCopy executes a copy of a call that was executed or rejected before. Its answer is lost.
func (m *workerModel) executeCopy(c *modelCall) {
	m.checkLease()
	if m.accepts(c.request) {
		m.token = c.request.FencingToken
		m.execute(c.request.Commands)
	}
	m.sequence++
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
	m.checkLease()
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
	m.response = &modelResponse{response, m.incarnation, m.h.now}
}

func (m *workerModel) receiveResponse() {
	m.checkLease()
	if m.acceptsResponse() {
		m.token, m.leaseStart = m.response.FencingToken, m.response.sentAt
		m.execute(m.response.Commands)
	}
	m.response = nil
}

// beginIncarnation ends all tasks, as the expiry of the lease does.
func (m *workerModel) beginIncarnation() {
	m.incarnation++
	m.sequence = 0
	m.leaseStart = m.h.now
	clear(m.tasks)
}

// pendingLaunch returns a description of a command that the worker would execute, for the first time or as a copy, and that would
// start an attempt; "" if there is none.
func (m *workerModel) pendingLaunch(attempt taskAttempt) string {
	if _, known := m.tasks[attempt]; known {
		return ""
	}
	launches := func(commands []api.Command) bool {
		return slices.ContainsFunc(commands, func(command api.Command) bool {
			return command.Verb == api.Launch && attempt.isTargetOf(command)
		})
	}
	for i, c := range m.calls {
		if c.notSent || !m.accepts(c.request) || !launches(c.request.Commands) {
			continue
		}
		if c.executed {
			return fmt.Sprintf("a copy of call %d", i)
		}
		return fmt.Sprintf("call %d", i)
	}
	if m.acceptsResponse() && launches(m.response.Commands) {
		return "the response to a heartbeat"
	}
	return ""
}

// check fails the test if an attempt that the table no longer counts on the machine runs there or can still be
// started there, or if the calls are not those that the queue of commands allows.
func (m *workerModel) check(t *rapid.T, tasks []*jobs.Task) {
	m.checkCalls(t)
	for _, task := range tasks {
		for number := ident.Attempt(1); number <= task.Attempt; number++ {
			if !task.State.Allocated() || number < task.Attempt {
				m.checkAbsent(t, taskAttempt{task.TaskID(), number})
			}
		}
	}
}

// checkCalls fails the test if several calls of the table are in flight, or if commands are queued and no call will send them.
func (m *workerModel) checkCalls(t *rapid.T) {
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
	if queued := m.h.worker.commands.queued; len(queued) > 0 && inFlight+len(m.h.timers) == 0 {
		t.Fatalf("no call will send the queued commands %v", commandList(queued))
	}
}

// checkAbsent fails the test if an attempt runs on the machine or can be started there.
func (m *workerModel) checkAbsent(t *rapid.T, attempt taskAttempt) {
	if status, known := m.tasks[attempt]; known && status != api.Ended && !m.leaseExpired() {
		t.Fatalf("%s attempt %d is %s on the worker, but the table considers it gone", attempt.task, attempt.attempt, status)
	}
	if pending := m.pendingLaunch(attempt); pending != "" {
		t.Fatalf("%s attempt %d can be started by %s, but the table considers it gone", attempt.task, attempt.attempt, pending)
	}
}

// answerCalls executes and answers all calls of the table, and those that follow from their answers.
func (m *workerModel) answerCalls() {
	m.syncCalls()
	for i := 0; i < len(m.calls); i++ {
		if c := m.calls[i]; !c.ended {
			m.executeCall(c)
			m.endCall(c, c.result)
			m.h.runUntilIdle()
			m.syncCalls()
		}
	}
}

// exchangeHeartbeat sends a heartbeat to the table, and the worker executes the response.
func (m *workerModel) exchangeHeartbeat() {
	response := m.h.tb.HandleHeartbeat(m.report())
	m.response = &modelResponse{response, m.incarnation, m.h.now}
	m.receiveResponse()
}

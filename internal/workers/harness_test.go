package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest" // discards the log
)

// fakeEnvironment lets tests decide when timers fire and transactions finish, and what results commands
// have.
type fakeEnvironment struct {
	now     ident.MonotonicTime
	timers  []func()
	txns    []func()
	sent    []api.CommandRequest
	answers []func(CommandResult)
}

func (e *fakeEnvironment) Now() ident.MonotonicTime { return e.now }

func (e *fakeEnvironment) After(d time.Duration, f func()) {
	e.timers = append(e.timers, func() {
		e.now = e.now.Add(min(d, time.Millisecond))
		f()
	})
}

func (e *fakeEnvironment) Store(_ kvstore.Request, f func(kvstore.Response)) {
	e.txns = append(e.txns, func() { f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 9}) })
}

func (e *fakeEnvironment) Worker(c CommandCall, f func(CommandResult)) {
	e.sent = append(e.sent, c.Body)
	e.answers = append(e.answers, f)
}

func runAll(list *[]func()) {
	for len(*list) > 0 {
		f := (*list)[0]
		*list = (*list)[1:]
		f()
	}
}

const (
	term          = 7
	leaderGrace   = 10 * time.Second
	leaseDuration = 30 * time.Second
)

// harness is a table in term 7 with one machine, whose heartbeats the test sends.
type harness struct {
	*fakeEnvironment
	tb       *Table
	jobs     *jobs.Table
	commits  *commit.Committer
	worker   *Worker
	job      *jobs.Job
	sequence ident.SequenceNumber

	launchesForbidden bool
}

// newHarness returns a table with one machine that is up, and a job with two tasks, one of which has a
// durable placement on the machine.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarnessWithoutHeartbeat(t)
	h.heartbeat(0)
	h.job = h.jobs.Add(&api.Spec{ID: "j-1", Shape: api.Batch, Tasks: 2, VCPUs: 1, Image: "img", ImageGB: 1}, func() {}, nil)
	h.runUntilIdle()
	h.jobs.Place(h.task(), "h", 1, func() { h.tb.Launch(h.worker, h.task()) })
	h.runUntilIdle()
	return h
}

// newHarnessWithoutHeartbeat returns a table with one machine, which has sent no heartbeat in this term, and no job.
func newHarnessWithoutHeartbeat(t *testing.T) *harness {
	t.Helper()
	h := &harness{fakeEnvironment: &fakeEnvironment{now: ident.MonotonicTime(time.Hour)}}
	machineType := cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32, LocalDiskGB: 10}
	limits := commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}
	h.commits = commit.New(h, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	h.jobs = jobs.NewTable(h.commits, 16<<10, h.Now, func() int64 { return 0 })
	h.tb = NewTable(h, h.jobs, Config{
		Term:              term,
		LeaseDuration:     leaseDuration,
		LeaderGrace:       leaderGrace,
		Catalog:           func(string) *cloud.MachineType { return &machineType },
		OnLaterTerm:       func() { t.Error("a worker reported a later term, want none") },
		OnTokensExhausted: func() { t.Error("the fencing tokens of the term are used up, want some left") },
		OnCapacityChanged: func() {},
		OnTaskFailed:      func(*jobs.Task, *Worker, api.Cause) {},
		Persist:           func(w *Worker) { w.Persisted = true },
		LastPeerRenewal:   func() ident.MonotonicTime { return 0 },
		OnCommandResult:   func(*Worker, bool) {},
		MayLaunch:         func() bool { return !h.launchesForbidden },
	})
	h.jobs.OnStateChange = func(task *jobs.Task, from, to jobs.State) {
		w := h.tb.Workers[task.MachineID]
		if !from.Allocated() && to.Allocated() {
			h.tb.AddTask(w, task)
		} else if from.Allocated() && !to.Allocated() {
			h.tb.RemoveTask(w, task)
		}
	}
	h.worker = h.tb.Add(MachineInfo{ID: "h", Model: "m8", Zone: "east", CreatedAt: h.now})
	return h
}

func (h *harness) task() *jobs.Task { return h.job.Tasks.At(0) }

// runUntilIdle runs transactions and timers until none are left.
func (h *harness) runUntilIdle() {
	h.commits.Flush()
	for len(h.txns)+len(h.timers) > 0 {
		runAll(&h.txns)
		runAll(&h.timers)
	}
}

// newHeartbeat returns a heartbeat from the harness's machine.
func newHeartbeat(
	incarnation ident.Incarnation, sequence ident.SequenceNumber, token ident.FencingToken, tasks ...api.TaskReport,
) *api.Heartbeat {
	return &api.Heartbeat{
		MachineID:      "h",
		Addr:           "a",
		Model:          "m8",
		Zone:           "east",
		Incarnation:    incarnation,
		SequenceNumber: sequence,
		FencingToken:   token,
		Tasks:          tasks,
	}
}

// heartbeat passes the machine's next heartbeat to the table and returns the response.
func (h *harness) heartbeat(fenceCount uint32, tasks ...api.TaskReport) *api.HeartbeatResponse {
	h.sequence++
	return h.tb.HandleHeartbeat(newHeartbeat(1, h.sequence, ident.MakeFencingToken(term, fenceCount), tasks...))
}

func (h *harness) taskReport(status api.TaskStatus, cause api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: h.task().TaskID(), Attempt: h.task().Attempt, Status: status, Cause: cause}
}

// respond ends a call with the response of the machine's worker, which has executed it and lists the given tasks.
func (h *harness) respond(call int, tasks ...api.TaskReport) {
	h.sequence++
	heartbeat := newHeartbeat(1, h.sequence, h.sent[call].FencingToken, tasks...)
	h.answers[call](CommandResult{Status: 200, Heartbeat: heartbeat})
}

// verbs lists the verbs of the commands in a response, each followed by a space.
func verbs(response *api.HeartbeatResponse) string {
	s := ""
	if response != nil {
		for _, command := range response.Commands {
			s += string(command.Verb) + " "
		}
	}
	return s
}

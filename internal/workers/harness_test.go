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

// fakeEnvironment lets the test decide when timers and transactions are done, and what the results
// of commands are.
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

const term = 7

type harness struct {
	*fakeEnvironment
	tb       *Table
	jobs     *jobs.Table
	commits  *commit.Committer
	worker   *Worker
	job      *jobs.Job
	sequence ident.SequenceNumber
}

// newHarness makes a table with one machine that is up, and a job of which one task is durably placed
// on it.
func newHarness(t *testing.T) *harness {
	t.Helper()
	r := &harness{fakeEnvironment: &fakeEnvironment{now: ident.MonotonicTime(time.Hour)}}
	machineType := cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32, LocalDiskGB: 10}
	limits := commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}
	r.commits = commit.New(r, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	r.jobs = jobs.NewTable(r.commits, 16<<10, r.Now, func() int64 { return 0 })
	r.tb = NewTable(r, r.jobs, Config{
		Term:              term,
		LeaseDuration:     30 * time.Second,
		LeaderGrace:       10 * time.Second,
		Catalog:           func(string) *cloud.MachineType { return &machineType },
		OnDeposed:         func() { t.Error("deposed") },
		OnCapacityChanged: func() {},
		OnTaskFailed:      func(*jobs.Task, *Worker, api.Cause) {},
		Persist:           func(w *Worker) { w.Persisted = true },
		LastPeerRenewal:   func() ident.MonotonicTime { return 0 },
		OnCommandResult:   func(*Worker, bool) {},
	})
	r.jobs.OnStateChange = func(task *jobs.Task, from, to jobs.State) {
		w := r.tb.Workers[task.MachineID]
		if !from.Allocated() && to.Allocated() {
			r.tb.AddTask(w, task)
		} else if from.Allocated() && !to.Allocated() {
			r.tb.RemoveTask(w, task)
		}
	}
	r.worker = r.tb.Add(MachineInfo{ID: "h", Model: "m8", Zone: "east", CreatedAt: r.now})
	r.heartbeat(0)
	r.job = r.jobs.Add(&api.Spec{ID: "j-1", Shape: api.Batch, Tasks: 2, VCPUs: 1, Image: "img", ImageGB: 1}, func() {}, nil)
	r.runUntilIdle()
	r.jobs.Place(r.task(), "h", 1, func() { r.tb.Launch(r.worker, r.task()) })
	r.runUntilIdle()
	return r
}

func (r *harness) task() *jobs.Task { return &r.job.Tasks[0] }

// runUntilIdle runs transactions and timers until there are none.
func (r *harness) runUntilIdle() {
	r.commits.Flush()
	for len(r.txns)+len(r.timers) > 0 {
		runAll(&r.txns)
		runAll(&r.timers)
	}
}

// newHeartbeat is a heartbeat of the harness's machine.
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

// heartbeat has the table handle the next heartbeat of its machine.
func (r *harness) heartbeat(fenceCount uint32, tasks ...api.TaskReport) *api.HeartbeatResponse {
	r.sequence++
	return r.tb.HandleHeartbeat(newHeartbeat(1, r.sequence, ident.MakeFencingToken(term, fenceCount), tasks...))
}

func (r *harness) taskReport(status api.TaskStatus, cause api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: r.task().TaskID(), Attempt: r.task().Attempt, Status: status, Cause: cause}
}

// verbs lists the verbs of the commands in a response, each with a space behind it.
func verbs(response *api.HeartbeatResponse) string {
	s := ""
	if response != nil {
		for _, command := range response.Commands {
			s += string(command.Verb) + " "
		}
	}
	return s
}

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
)

// fakeEnvironment lets the test decide when a transaction is carried out and what becomes
// of a command.
type fakeEnvironment struct {
	now     ident.MonotonicTime
	timers  []func()
	txns    []func()
	sent    []api.CommandRequest
	answers []func(CommandResult)
}

func (w *fakeEnvironment) Now() ident.MonotonicTime { return w.now }
func (w *fakeEnvironment) After(d time.Duration, f func()) {
	w.timers = append(w.timers, func() {
		w.now = w.now.Add(min(d, time.Millisecond))
		f()
	})
}
func (w *fakeEnvironment) Store(r kvstore.Request, f func(kvstore.Response)) {
	w.txns = append(w.txns, func() { f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 9}) })
}
func (w *fakeEnvironment) Worker(c CommandCall, f func(CommandResult)) {
	w.sent = append(w.sent, c.Body)
	w.answers = append(w.answers, f)
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

// newHarness has one machine, up, and a job of one task placed on it durably.
func newHarness(t *testing.T) *harness {
	r := &harness{fakeEnvironment: &fakeEnvironment{now: ident.MonotonicTime(time.Hour)}}
	kind := cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32, LocalDiskGB: 10}
	r.commits = commit.New(r, commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader", Revision: 1}, func(why string) { t.Error(why) })
	r.jobs = jobs.NewTable(r.commits, 16<<10, r.Now, func() int64 { return 0 })
	r.tb = NewTable(r, r.jobs, Config{Term: term, LeaseDuration: 30 * time.Second, LeaderGrace: 10 * time.Second,
		Catalog: func(string) *cloud.MachineType { return &kind }, OnCommandResult: func(*Worker, bool) {}, LastPeerRenewal: func() ident.MonotonicTime { return 0 }, OnDeposed: func() { t.Error("deposed") }, OnCapacityChanged: func() {},
		OnTaskFailed: func(*jobs.Task, *Worker, api.Cause) {},
		Persist: func(w *Worker) {
			w.Persisted = true
		}})
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

// runUntilIdle lets transactions and timers happen.
func (r *harness) runUntilIdle() {
	r.commits.Flush()
	for len(r.txns)+len(r.timers) > 0 {
		runAll(&r.txns)
		runAll(&r.timers)
	}
}

func (r *harness) heartbeat(fenceCount uint32, tasks ...api.TaskReport) *api.HeartbeatResponse {
	r.sequence++
	return r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: r.sequence,
		FencingToken: ident.MakeFencingToken(term, fenceCount), Tasks: tasks})
}

func (r *harness) taskReport(status api.TaskStatus, cause api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: r.task().TaskID(), Attempt: r.task().Attempt, Status: status, Cause: cause}
}

func verbs(response *api.HeartbeatResponse) string {
	s := ""
	if response != nil {
		for _, command := range response.Commands {
			s += string(command.Verb) + " "
		}
	}
	return s
}

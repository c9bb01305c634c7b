package gang

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest"
	"opaldale/internal/workers"
)

// harness is one gang of three on machines that note what they are sent.
type harness struct {
	t             *testing.T
	now           ident.MonotonicTime
	queue         []func()
	heldResponses []func() // answers of the state service that are kept back
	holdResponses bool
	sent          map[ident.MachineID][]api.Command
	unresponsive  map[string]bool
	sequence      ident.SequenceNumber
	revision      uint64
	commits       *commit.Committer
	jobs          *jobs.Table
	workers       *workers.Table
	gangs         *Table
	job           *jobs.Job
}

func (r *harness) Now() ident.MonotonicTime        { return r.now }
func (r *harness) After(_ time.Duration, f func()) { r.queue = append(r.queue, f) }
func (r *harness) Store(_ kvstore.Request, f func(kvstore.Response)) {
	r.revision++
	a := kvstore.Response{Outcome: kvstore.OK, StoreRevision: r.revision}
	if r.holdResponses {
		r.heldResponses = append(r.heldResponses, func() { f(a) })
		return
	}
	r.queue = append(r.queue, func() { f(a) })
}

func (r *harness) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	addr := c.Addr
	if r.unresponsive[addr] {
		r.queue = append(r.queue, func() { f(workers.CommandResult{}) })
		return
	}
	h := ident.MachineID(addr)
	r.sent[h] = append(r.sent[h], c.Body.Commands...)
	// An answer that tells nothing new: reports come as the test says.
	r.queue = append(r.queue, func() {
		f(workers.CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: h, Addr: addr, Incarnation: 1}})
	})
}

func (r *harness) run() {
	for {
		r.now = r.now.Add(time.Millisecond)
		r.commits.Flush()
		if len(r.queue) == 0 {
			r.gangs.Tick()
			if r.commits.Flush(); len(r.queue) == 0 {
				return
			}
		}
		f := r.queue[0]
		r.queue = r.queue[1:]
		f()
	}
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, now: ident.MonotonicTime(time.Hour), sent: map[ident.MachineID][]api.Command{}, unresponsive: map[string]bool{}}
	kind := cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32}
	r.commits = commit.New(r, commit.Limits{MutationsPerTxn: 8, MutationsPerSecond: 1e9, MaxValueBytes: 2048}, kvstore.Compare{Key: "leader", Revision: 1}, func(why string) { t.Error(why) })
	r.commits.UseTextFormat()
	r.jobs = jobs.NewTable(r.commits, 2048, r.Now, func() int64 { return 0 })
	r.jobs.UsePackedLog()
	r.workers = workers.NewTable(r, r.jobs, workers.Config{Term: 3, LeaseDuration: 30 * time.Second, Catalog: func(string) *cloud.MachineType { return &kind },
		OnDeposed: func() { t.Error("deposed") }, OnCapacityChanged: func() {}, OnTaskFailed: func(*jobs.Task, *workers.Worker, api.Cause) {},
		OnCommandResult: func(*workers.Worker, bool) {}, LastPeerRenewal: func() ident.MonotonicTime { return 0 }, Persist: func(w *workers.Worker) { w.Persisted = true }})
	r.gangs = NewTable(r.jobs, r.workers, r.Now, func() bool { return true }, Config{GatherTimeout: 40 * time.Second, PeerLossTimeout: 5 * time.Second, HeartbeatInterval: 3 * time.Second})
	r.jobs.OnStateChange = func(task *jobs.Task, from, to jobs.State) {
		r.gangs.MarkChanged(task.Job)
		if w := r.workers.Workers[task.MachineID]; to.Allocated() && !from.Allocated() {
			r.workers.AddTask(w, task)
		} else if !to.Allocated() && from.Allocated() {
			r.workers.RemoveTask(w, task)
		}
	}
	for i := range 5 {
		r.workers.Add(workers.MachineInfo{ID: ident.MachineID(fmt.Sprintf("host-%d", i)), Model: "m8", Zone: "east", CreatedAt: r.now})
		r.heartbeat(i)
	}
	r.job = r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Gang, Priority: api.High, Tasks: 3, VCPUs: 1, CheckpointEveryS: 20, CheckpointS: 3}, func() {}, nil)
	r.run()
	return r
}

// heartbeat has a machine report pieces; without any it reports none.
func (r *harness) heartbeat(host int, tasks ...api.TaskReport) *api.HeartbeatResponse {
	r.sequence++
	machineID := ident.MachineID(fmt.Sprintf("host-%d", host))
	response := r.workers.HandleHeartbeat(&api.Heartbeat{MachineID: machineID, Addr: string(machineID), Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: r.sequence,
		FencingToken: ident.MakeFencingToken(3, 0), Tasks: tasks})
	return response
}

func (r *harness) taskReport(i int, s api.TaskStatus, c api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: i}, Attempt: r.job.Tasks[i].Attempt, Status: s, Cause: c}
}

// place puts the waiting tasks on machines from the given one on.
func (r *harness) place(from int) {
	var picks []Placement
	for i := range r.job.Tasks {
		if t := &r.job.Tasks[i]; t.State == jobs.Waiting {
			picks = append(picks, Placement{t, r.workers.Workers[ident.MachineID(fmt.Sprintf("host-%d", from+len(picks)))]})
		}
	}
	r.gangs.Place(r.job, picks)
	r.run()
}

func (r *harness) reportAll(s api.TaskStatus) {
	for i := range 3 {
		r.heartbeat(i, r.taskReport(i, s, ""))
	}
	r.run()
}

func (r *harness) state() string {
	if a := r.gangs.attempts[r.job]; a != nil {
		return a.state.String()
	}
	return "none"
}

func (r *harness) wantState(state string) {
	r.t.Helper()
	if got := r.state(); got != state {
		r.t.Fatalf("the attempt is %s, want %s", got, state)
	}
}

// countCommands counts the orders of a kind that were sent.
func (r *harness) countCommands(v api.Verb) (n int) {
	for _, list := range r.sent {
		for _, o := range list {
			if o.Verb == v {
				n++
			}
		}
	}
	return n
}

// TestLaunchWaitsForAllPlacements: no task is launched, by command or by the answer to a
// report, before all placements of the attempt are durable.
func TestLaunchWaitsForAllPlacements(t *testing.T) {
	r := newHarness(t)
	r.holdResponses = true
	r.place(0)
	for i := range 3 {
		if o := r.heartbeat(i); len(o.Commands) > 0 {
			t.Errorf("host-%d is told %v", i, o.Commands)
		}
	}
	// One becomes durable by itself, the rest of the record doesn't.
	r.wantState("placed")
	if n := r.countCommands(api.Launch); n > 0 {
		t.Fatalf("%d launches before anything is durable", n)
	}
	r.holdResponses = false
	r.queue = append(r.queue, r.heldResponses...)
	r.run()
	r.wantState("gathering")
	if n := r.countCommands(api.Launch); n != 3 {
		t.Errorf("%d launches", n)
	}
	r.reportAll(api.Gathering)
	r.wantState("gathering")
	if v := r.job.View(); v.Running != 0 || v.Status != "queued" {
		t.Errorf("tasks that wait for their gang are called running: %+v", v)
	}
	r.reportAll(api.Running)
	r.wantState("running")
}

// TestReplacementBeforeStart: a task refused before the start comes back elsewhere with the same
// number, and only where the attempt has not been.
func TestReplacementBeforeStart(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.heartbeat(0, r.taskReport(0, api.Gathering, ""))
	r.heartbeat(1, r.taskReport(1, api.Gathering, ""))
	r.heartbeat(2, r.taskReport(2, api.Ended, api.CauseNoCapacity))
	r.run()
	if r.wantState("gathering"); !r.job.AcceptsReplacements || r.job.Tasks[2].State != jobs.Waiting {
		t.Fatalf("joinable %v, task %v", r.job.AcceptsReplacements, r.job.Tasks[2].State)
	}
	if !r.gangs.HasUsed(r.job, "host-2") || r.gangs.HasUsed(r.job, "host-3") {
		t.Error("where the attempt was is not known")
	}
	try := r.job.Tasks[0].Attempt
	r.place(3)
	if r.job.Tasks[2].Attempt != try || r.job.Tasks[2].MachineID != "host-3" || len(r.sent["host-3"]) != 1 {
		t.Errorf("try %d on %s, sent %v", r.job.Tasks[2].Attempt, r.job.Tasks[2].MachineID, r.sent["host-3"])
	}
	r.heartbeat(3, r.taskReport(2, api.Running, ""))
	r.heartbeat(0, r.taskReport(0, api.Running, ""))
	r.heartbeat(1, r.taskReport(1, api.Running, ""))
	r.run()
	r.wantState("running")
}

// TestNoReplacementInTime: the others don't hold their room for long.
func TestNoReplacementInTime(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.reportAll(api.Gathering)
	r.heartbeat(2, r.taskReport(2, api.Ended, api.CauseError))
	r.run()
	r.now = r.now.Add(replacementWindow + time.Second)
	r.gangs.Tick()
	r.run()
	if r.wantState("ending"); r.job.AcceptsReplacements || r.countCommands(api.Kill) != 2 {
		t.Errorf("joinable %v, %d kills", r.job.AcceptsReplacements, r.countCommands(api.Kill))
	}
}

// TestTaskLossEndsAttempt: after the start the loss of one task ends the attempt; the next one begins
// with a new number when each of the old tasks is proven gone, and not before.
func TestTaskLossEndsAttempt(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.reportAll(api.Running)
	r.heartbeat(1, r.taskReport(1, api.Ended, api.CauseGangMemberLost))
	r.run()
	r.wantState("ending")
	for i := range r.job.Tasks {
		if s := r.job.Tasks[i].State; s != jobs.Stopping && i != 1 {
			t.Errorf("task %d is %v", i, s)
		}
	}
	try := r.job.HighestAttempt()
	r.heartbeat(0, r.taskReport(0, api.Ended, api.CauseStopped))
	r.run()
	if r.wantState("ending"); r.job.AllocatedTasks != 1 {
		t.Fatalf("%d held", r.job.AllocatedTasks)
	}
	r.heartbeat(2, r.taskReport(2, api.Ended, api.CauseStopped))
	r.run()
	r.wantState("none")
	r.place(0)
	for i := range r.job.Tasks {
		if got := r.job.Tasks[i].Attempt; got != try+1 {
			t.Errorf("task %d has number %d after %d", i, got, try)
		}
	}
}

// TestCompletionOfOneCompletesAll: one task that is done is the whole gang, also when another was
// lost in that moment.
func TestCompletionOfOneCompletesAll(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.reportAll(api.Running)
	r.heartbeat(1, r.taskReport(1, api.Ended, api.CauseGangMemberLost))
	r.heartbeat(0, r.taskReport(0, api.Ended, api.CauseDone))
	r.run()
	if e, ok := r.jobs.LookupArchived("j-1"); !ok || e.Phase != jobs.Done || r.state() != "none" {
		t.Errorf("%+v %v, %s", e, ok, r.state())
	}
	// What the others report later finds nothing to do.
	if o := r.heartbeat(2, api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 2}, Attempt: 1, Status: api.Ended, Cause: api.CauseDone}); len(o.Commands) != 1 || o.Commands[0].Verb != api.Clear {
		t.Errorf("%v", o.Commands)
	}
}

// TestGracefulStop: all are told at once, with time to save and to wait for each other;
// and none is while one of the machines was not heard lately.
func TestGracefulStop(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.reportAll(api.Running)
	r.now = r.now.Add(6 * time.Second)
	r.heartbeat(0, r.taskReport(0, api.Running, ""))
	if r.gangs.Stop(r.job, "test") || r.countCommands(api.Kill) > 0 {
		t.Fatal("stopped though two machines were not heard lately")
	}
	r.reportAll(api.Running)
	if !r.gangs.Stop(r.job, "test") {
		t.Fatal("not stopped")
	}
	r.run()
	r.wantState("saving")
	for i := range 3 {
		list := r.sent[ident.MachineID(fmt.Sprintf("host-%d", i))]
		o := list[len(list)-1]
		if o.Verb != api.Kill || o.GracePeriodS == nil || *o.GracePeriodS < 3+5 {
			t.Errorf("host-%d is told %+v", i, o)
		}
	}
	for i := range 3 {
		p := r.taskReport(i, api.Ended, api.CauseStopped)
		p.CheckpointStored = true
		r.heartbeat(i, p)
	}
	r.run()
	if r.wantState("none"); r.job.WaitingCount() != 3 {
		t.Errorf("%d wait", r.job.WaitingCount())
	}
}

// TestAdopt: a successor goes on with a whole attempt, and ends a part of one.
func TestAdopt(t *testing.T) {
	for _, whole := range []bool{true, false} {
		r := newHarness(t)
		r.place(0)
		r.reportAll(api.Gathering)
		if !whole {
			r.jobs.MarkGone(&r.job.Tasks[1], nil)
		}
		r.gangs = NewTable(r.jobs, r.workers, r.Now, func() bool { return true }, r.gangs.cfg)
		r.gangs.Adopt(r.job)
		r.run()
		if whole {
			r.wantState("gathering")
			r.reportAll(api.Running)
			r.wantState("running")
			continue
		}
		if r.wantState("ending"); r.job.AcceptsReplacements {
			t.Error("a part of an attempt of an earlier term may be joined")
		}
	}
}

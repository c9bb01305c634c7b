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
	_ "opaldale/internal/kvstoretest" // discards the log
	"opaldale/internal/workers"
	"opaldale/internal/workerstest"
)

// harness is a gang of three tasks, on five machines that record the commands sent to them.
type harness struct {
	t             *testing.T
	now           ident.MonotonicTime
	queue         []func()
	heldResponses []func() // responses of the store that are held back
	holdResponses bool
	sent          map[ident.MachineID][]api.Command
	unresponsive  map[string]bool
	sequence      ident.SequenceNumber
	revision      ident.Revision
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
	response := kvstore.Response{Outcome: kvstore.OK, StoreRevision: r.revision}
	if r.holdResponses {
		r.heldResponses = append(r.heldResponses, func() { f(response) })
		return
	}
	r.queue = append(r.queue, func() { f(response) })
}

func (r *harness) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	addr := c.Addr
	if r.unresponsive[addr] {
		r.queue = append(r.queue, func() { f(workers.CommandResult{}) })
		return
	}
	machineID := ident.MachineID(addr)
	r.sent[machineID] = append(r.sent[machineID], c.Body.Commands...)
	// A stale response: heartbeats come only from the test.
	r.queue = append(r.queue, func() {
		f(workers.CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: machineID, Addr: addr, Incarnation: 1}})
	})
}

// run handles events until there are none.
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
	t.Helper()
	r := &harness{t: t, now: ident.MonotonicTime(time.Hour)}
	r.sent, r.unresponsive = map[ident.MachineID][]api.Command{}, map[string]bool{}
	limits := commit.Limits{MutationsPerTxn: 8, MutationsPerSecond: 1e9, MaxValueBytes: 2048}
	r.commits = commit.New(r, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	r.commits.UseTextFormat()
	r.jobs = jobs.NewTable(r.commits, 2048, r.Now, func() int64 { return 0 })
	r.jobs.UsePackedLog()
	workersConfig := workerstest.Config(3, cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32})
	workersConfig.OnDeposed = func() { t.Error("deposed") }
	r.workers = workers.NewTable(r, r.jobs, workersConfig)
	config := Config{GatherTimeout: 40 * time.Second, PeerLossTimeout: 5 * time.Second, HeartbeatInterval: 3 * time.Second}
	r.gangs = NewTable(r.jobs, r.workers, r.Now, func() bool { return true }, config)
	trackAllocation := workerstest.TrackAllocation(r.workers)
	r.jobs.OnStateChange = func(task *jobs.Task, from, to jobs.State) {
		r.gangs.MarkChanged(task.Job)
		trackAllocation(task, from, to)
	}
	for i := range 5 {
		r.workers.Add(workers.MachineInfo{ID: machineID(i), Model: "m8", Zone: "east", CreatedAt: r.now})
		r.heartbeat(i)
	}
	spec := &api.Spec{
		ID:               "j-1",
		Team:             "red",
		Shape:            api.Gang,
		Priority:         api.High,
		Tasks:            3,
		VCPUs:            1,
		CheckpointEveryS: 20,
		CheckpointS:      3,
	}
	r.job = r.jobs.Add(spec, func() {}, nil)
	r.run()
	return r
}

func machineID(i int) ident.MachineID { return ident.MachineID(fmt.Sprintf("host-%d", i)) }

// heartbeat handles the next heartbeat of a machine, which reports the given tasks and no other.
func (r *harness) heartbeat(machine int, tasks ...api.TaskReport) *api.HeartbeatResponse {
	r.sequence++
	id := machineID(machine)
	return r.workers.HandleHeartbeat(&api.Heartbeat{
		MachineID:      id,
		Addr:           string(id),
		Model:          "m8",
		Zone:           "east",
		Incarnation:    1,
		SequenceNumber: r.sequence,
		FencingToken:   ident.MakeFencingToken(3, 0),
		Tasks:          tasks,
	})
}

func (r *harness) taskReport(i int, s api.TaskStatus, c api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: i}, Attempt: r.job.Tasks[i].Attempt, Status: s, Cause: c}
}

// place places the waiting tasks, each on the next machine from a given one on.
func (r *harness) place(from int) {
	var placements []Placement
	for i := range r.job.Tasks {
		if t := &r.job.Tasks[i]; t.State == jobs.Waiting {
			placements = append(placements, Placement{t, r.workers.Workers[machineID(from+len(placements))]})
		}
	}
	r.gangs.Place(r.job, placements)
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

// countCommands counts the commands with a verb that were sent.
func (r *harness) countCommands(v api.Verb) (n int) {
	for _, commands := range r.sent {
		for _, command := range commands {
			if command.Verb == v {
				n++
			}
		}
	}
	return n
}

// TestLaunchWaitsForAllPlacements: no task is launched, by a command or the response to a heartbeat, before all
// placements of the attempt are durable.
func TestLaunchWaitsForAllPlacements(t *testing.T) {
	r := newHarness(t)
	r.holdResponses = true
	r.place(0)
	for i := range 3 {
		if response := r.heartbeat(i); len(response.Commands) > 0 {
			t.Errorf("host-%d is sent %v", i, response.Commands)
		}
	}
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
		t.Errorf("tasks that wait for the others are counted as running: %+v", v)
	}
	r.reportAll(api.Running)
	r.wantState("running")
}

// TestReplacementBeforeStart: a task that is lost before the start is placed again in the same attempt, on a
// machine that the attempt has not used.
func TestReplacementBeforeStart(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.heartbeat(0, r.taskReport(0, api.Gathering, ""))
	r.heartbeat(1, r.taskReport(1, api.Gathering, ""))
	r.heartbeat(2, r.taskReport(2, api.Ended, api.CauseNoCapacity))
	r.run()
	if r.wantState("gathering"); !r.job.AcceptsReplacements || r.job.Tasks[2].State != jobs.Waiting {
		t.Fatalf("accepts replacements %v, task %v", r.job.AcceptsReplacements, r.job.Tasks[2].State)
	}
	if !r.gangs.HasUsed(r.job, "host-2") || r.gangs.HasUsed(r.job, "host-3") {
		t.Error("the machines that the attempt has used are not known")
	}
	number := r.job.Tasks[0].Attempt
	r.place(3)
	if r.job.Tasks[2].Attempt != number || r.job.Tasks[2].MachineID != "host-3" || len(r.sent["host-3"]) != 1 {
		t.Errorf("attempt %d on %s, sent %v", r.job.Tasks[2].Attempt, r.job.Tasks[2].MachineID, r.sent["host-3"])
	}
	r.heartbeat(3, r.taskReport(2, api.Running, ""))
	r.heartbeat(0, r.taskReport(0, api.Running, ""))
	r.heartbeat(1, r.taskReport(1, api.Running, ""))
	r.run()
	r.wantState("running")
}

// TestNoReplacementInTime: the other tasks keep their room for a limited time.
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
		t.Errorf("accepts replacements %v, %d kills", r.job.AcceptsReplacements, r.countCommands(api.Kill))
	}
}

// TestTaskLossEndsAttempt: after the start the loss of one task ends the attempt. The next one begins with a new
// number, once all tasks of the old one are proven gone.
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
	number := r.job.HighestAttempt()
	r.heartbeat(0, r.taskReport(0, api.Ended, api.CauseStopped))
	r.run()
	if r.wantState("ending"); r.job.AllocatedTasks != 1 {
		t.Fatalf("%d allocated", r.job.AllocatedTasks)
	}
	r.heartbeat(2, r.taskReport(2, api.Ended, api.CauseStopped))
	r.run()
	r.wantState("none")
	r.place(0)
	for i := range r.job.Tasks {
		if got := r.job.Tasks[i].Attempt; got != number+1 {
			t.Errorf("task %d is in attempt %d after %d", i, got, number)
		}
	}
}

// TestCompletionOfOneCompletesAll: a gang is done with the first task that completes, even if another one was
// lost before.
func TestCompletionOfOneCompletesAll(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.reportAll(api.Running)
	r.heartbeat(1, r.taskReport(1, api.Ended, api.CauseGangMemberLost))
	r.heartbeat(0, r.taskReport(0, api.Ended, api.CauseDone))
	r.run()
	if archived, ok := r.jobs.LookupArchived("j-1"); !ok || archived.Phase != jobs.Done || r.state() != "none" {
		t.Errorf("%+v %v, %s", archived, ok, r.state())
	}
	// Tasks that are reported later are only cleared.
	last := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 2}, Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	response := r.heartbeat(2, last)
	if len(response.Commands) != 1 || response.Commands[0].Verb != api.Clear {
		t.Errorf("%v", response.Commands)
	}
}

// TestGracefulStop: all tasks are stopped at once, with time to save a checkpoint and to wait for each other, but
// none while the newest heartbeat of a machine is too old.
func TestGracefulStop(t *testing.T) {
	r := newHarness(t)
	r.place(0)
	r.reportAll(api.Running)
	r.now = r.now.Add(6 * time.Second)
	r.heartbeat(0, r.taskReport(0, api.Running, ""))
	if r.gangs.Stop(r.job, "test") || r.countCommands(api.Kill) > 0 {
		t.Fatal("stopped though two machines have sent no heartbeat lately")
	}
	r.reportAll(api.Running)
	if !r.gangs.Stop(r.job, "test") {
		t.Fatal("not stopped")
	}
	r.run()
	r.wantState("saving")
	for i := range 3 {
		commands := r.sent[machineID(i)]
		last := commands[len(commands)-1]
		if last.Verb != api.Kill || last.GracePeriodS == nil || *last.GracePeriodS < 3+5 {
			t.Errorf("host-%d is sent %+v", i, last)
		}
	}
	for i := range 3 {
		report := r.taskReport(i, api.Ended, api.CauseStopped)
		report.CheckpointStored = true
		r.heartbeat(i, report)
	}
	r.run()
	if r.wantState("none"); r.job.WaitingCount() != 3 {
		t.Errorf("%d wait", r.job.WaitingCount())
	}
}

// TestAdopt: a new leader continues a complete attempt, and aborts an incomplete one.
func TestAdopt(t *testing.T) {
	for _, complete := range []bool{true, false} {
		r := newHarness(t)
		r.place(0)
		r.reportAll(api.Gathering)
		if !complete {
			r.jobs.MarkGone(&r.job.Tasks[1], nil)
		}
		r.gangs = NewTable(r.jobs, r.workers, r.Now, func() bool { return true }, r.gangs.cfg)
		r.gangs.Adopt(r.job)
		r.run()
		if complete {
			r.wantState("gathering")
			r.reportAll(api.Running)
			r.wantState("running")
			continue
		}
		if r.wantState("ending"); r.job.AcceptsReplacements {
			t.Error("an incomplete attempt of an earlier term accepts replacements")
		}
	}
}

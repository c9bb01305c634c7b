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

// harness is a gang of three tasks in a cluster of five machines. It records the commands sent to machines.
type harness struct {
	t             *testing.T
	now           ident.MonotonicTime
	queue         []func()
	heldResponses []func() // store responses that are delayed while holdResponses is set
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

func (h *harness) Now() ident.MonotonicTime        { return h.now }
func (h *harness) After(_ time.Duration, f func()) { h.queue = append(h.queue, f) }
func (h *harness) Store(_ kvstore.Request, f func(kvstore.Response)) {
	h.revision++
	response := kvstore.Response{Outcome: kvstore.OK, StoreRevision: h.revision}
	if h.holdResponses {
		h.heldResponses = append(h.heldResponses, func() { f(response) })
		return
	}
	h.queue = append(h.queue, func() { f(response) })
}

func (h *harness) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	addr := c.Addr
	if h.unresponsive[addr] {
		h.queue = append(h.queue, func() { f(workers.CommandResult{}) })
		return
	}
	machineID := ident.MachineID(addr)
	h.sent[machineID] = append(h.sent[machineID], c.Body.Commands...)
	// The heartbeat in this response has sequence number 0, so it is stale and ignored: only the test
	// delivers heartbeats.
	h.queue = append(h.queue, func() {
		f(workers.CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: machineID, Addr: addr, Incarnation: 1}})
	})
}

// run processes queued events until none are left.
func (h *harness) run() {
	for {
		h.now = h.now.Add(time.Millisecond)
		h.commits.Flush()
		if len(h.queue) == 0 {
			h.gangs.Tick()
			if h.commits.Flush(); len(h.queue) == 0 {
				return
			}
		}
		f := h.queue[0]
		h.queue = h.queue[1:]
		f()
	}
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, now: ident.MonotonicTime(time.Hour)}
	h.sent, h.unresponsive = map[ident.MachineID][]api.Command{}, map[string]bool{}
	limits := commit.Limits{MutationsPerTxn: 8, MutationsPerSecond: 1e9, MaxValueBytes: 2048}
	h.commits = commit.New(h, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	h.commits.UseTextFormat()
	h.jobs = jobs.NewTable(h.commits, 2048, h.Now, func() int64 { return 0 })
	h.jobs.UsePackedLog()
	workersConfig := workerstest.Config(3, cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32})
	workersConfig.OnLaterTerm = func() { t.Error("a worker reported a later term, want none") }
	h.workers = workers.NewTable(h, h.jobs, workersConfig)
	config := Config{GatherTimeout: 40 * time.Second, PeerLossTimeout: 5 * time.Second, HeartbeatInterval: 3 * time.Second}
	h.gangs = NewTable(h.jobs, h.workers, h.Now, func() bool { return true }, config)
	trackAllocation := workerstest.TrackAllocation(h.workers)
	h.jobs.OnStateChange = func(task *jobs.Task, from, to jobs.State) {
		h.gangs.MarkChanged(task.Job)
		trackAllocation(task, from, to)
	}
	for i := range 5 {
		h.workers.Add(workers.MachineInfo{ID: machineID(i), Model: "m8", Zone: "east", CreatedAt: h.now})
		h.heartbeat(i)
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
	h.job = h.jobs.Add(spec, func() {}, nil)
	h.run()
	return h
}

func machineID(i int) ident.MachineID { return ident.MachineID(fmt.Sprintf("host-%d", i)) }

// heartbeat delivers the next heartbeat of a machine, which reports only the given tasks.
func (h *harness) heartbeat(machine int, tasks ...api.TaskReport) *api.HeartbeatResponse {
	h.sequence++
	id := machineID(machine)
	return h.workers.HandleHeartbeat(&api.Heartbeat{
		MachineID:      id,
		Addr:           string(id),
		Model:          "m8",
		Zone:           "east",
		Incarnation:    1,
		SequenceNumber: h.sequence,
		FencingToken:   ident.MakeFencingToken(3, 0),
		Tasks:          tasks,
	})
}

func (h *harness) taskReport(i int, s api.TaskStatus, c api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: i}, Attempt: h.job.Tasks.At(i).Attempt, Status: s, Cause: c}
}

// place places the waiting tasks on consecutive machines, starting with the machine from.
func (h *harness) place(from int) {
	var placements []Placement
	for i := range h.job.Tasks.Len() {
		if t := h.job.Tasks.At(i); t.State == jobs.Waiting {
			placements = append(placements, Placement{t, h.workers.Workers[machineID(from+len(placements))]})
		}
	}
	h.gangs.Place(h.job, placements)
	h.run()
}

func (h *harness) reportAll(s api.TaskStatus) {
	for i := range 3 {
		h.heartbeat(i, h.taskReport(i, s, ""))
	}
	h.run()
}

func (h *harness) state() string {
	if a := h.gangs.attempts[h.job]; a != nil {
		return a.state.String()
	}
	return "none"
}

func (h *harness) wantState(state string) {
	h.t.Helper()
	if got := h.state(); got != state {
		h.t.Fatalf("attempt state: got %s, want %s", got, state)
	}
}

// countCommands returns the number of commands with a verb that were sent.
func (h *harness) countCommands(v api.Verb) (n int) {
	for _, commands := range h.sent {
		for _, command := range commands {
			if command.Verb == v {
				n++
			}
		}
	}
	return n
}

// TestLaunchWaitsForAllPlacements checks that no task is launched, by a command or by the response to a
// heartbeat, before all placements of the attempt are durable.
func TestLaunchWaitsForAllPlacements(t *testing.T) {
	h := newHarness(t)
	h.holdResponses = true
	h.place(0)
	for i := range 3 {
		if response := h.heartbeat(i); len(response.Commands) > 0 {
			t.Errorf("host-%d: got commands %v before the placements are durable, want none", i, response.Commands)
		}
	}
	h.wantState("placed")
	if n := h.countCommands(api.Launch); n > 0 {
		t.Fatalf("got %d launches before any placement is durable, want 0", n)
	}
	h.holdResponses = false
	h.queue = append(h.queue, h.heldResponses...)
	h.run()
	h.wantState("gathering")
	if n := h.countCommands(api.Launch); n != 3 {
		t.Errorf("got %d launches, want 3", n)
	}
	h.reportAll(api.Gathering)
	h.wantState("gathering")
	var v api.JobView
	h.job.WhenViewSettled(func(view api.JobView) { v = view })
	if v.Running != 0 || v.Status != "queued" {
		t.Errorf("tasks that wait for the others: got view %+v, want 0 running and status queued", v)
	}
	h.reportAll(api.Running)
	h.wantState("running")
}

// TestReplacementBeforeStart checks that a task that is lost before the start of an attempt is replaced in the
// same attempt, on a machine that the attempt has not used.
func TestReplacementBeforeStart(t *testing.T) {
	h := newHarness(t)
	h.place(0)
	h.heartbeat(0, h.taskReport(0, api.Gathering, ""))
	h.heartbeat(1, h.taskReport(1, api.Gathering, ""))
	h.heartbeat(2, h.taskReport(2, api.Ended, api.CauseNoCapacity))
	h.run()
	if h.wantState("gathering"); !h.job.AcceptsReplacements || h.job.Tasks.At(2).State != jobs.Waiting {
		t.Fatalf("got AcceptsReplacements %v and task state %v, want true and waiting",
			h.job.AcceptsReplacements, h.job.Tasks.At(2).State)
	}
	if !h.gangs.HasUsed(h.job, "host-2") || h.gangs.HasUsed(h.job, "host-3") {
		t.Error("HasUsed must be true for host-2 and false for host-3")
	}
	number := h.job.Tasks.At(0).Attempt
	h.place(3)
	if h.job.Tasks.At(2).Attempt != number || h.job.Tasks.At(2).MachineID != "host-3" || len(h.sent["host-3"]) != 1 {
		t.Errorf("replacement: got attempt %d on %s, commands %v; want attempt %d on host-3, one command",
			h.job.Tasks.At(2).Attempt, h.job.Tasks.At(2).MachineID, h.sent["host-3"], number)
	}
	h.heartbeat(3, h.taskReport(2, api.Running, ""))
	h.heartbeat(0, h.taskReport(0, api.Running, ""))
	h.heartbeat(1, h.taskReport(1, api.Running, ""))
	h.run()
	h.wantState("running")
}

// TestNoReplacementInTime checks that an attempt is aborted if a lost task is not replaced within
// replacementWindow.
func TestNoReplacementInTime(t *testing.T) {
	h := newHarness(t)
	h.place(0)
	h.reportAll(api.Gathering)
	h.heartbeat(2, h.taskReport(2, api.Ended, api.CauseError))
	h.run()
	h.now = h.now.Add(replacementWindow + time.Second)
	h.gangs.Tick()
	h.run()
	if h.wantState("ending"); h.job.AcceptsReplacements || h.countCommands(api.Kill) != 2 {
		t.Errorf("got AcceptsReplacements %v and %d kill commands, want false and 2",
			h.job.AcceptsReplacements, h.countCommands(api.Kill))
	}
}

// TestTaskLossEndsAttempt checks that the loss of one task after the start ends the attempt. The next attempt
// gets a new number and begins only after all tasks of the old one are confirmed to have stopped.
func TestTaskLossEndsAttempt(t *testing.T) {
	h := newHarness(t)
	h.place(0)
	h.reportAll(api.Running)
	h.heartbeat(1, h.taskReport(1, api.Ended, api.CauseGangMemberLost))
	h.run()
	h.wantState("ending")
	for i := range h.job.Tasks.Len() {
		if s := h.job.Tasks.At(i).State; s != jobs.Stopping && i != 1 {
			t.Errorf("task %d: got state %v, want %v", i, s, jobs.Stopping)
		}
	}
	number := h.job.HighestAttempt()
	h.heartbeat(0, h.taskReport(0, api.Ended, api.CauseStopped))
	h.run()
	if h.wantState("ending"); h.job.AllocatedTasks != 1 {
		t.Fatalf("got %d allocated tasks, want 1", h.job.AllocatedTasks)
	}
	h.heartbeat(2, h.taskReport(2, api.Ended, api.CauseStopped))
	h.run()
	h.wantState("none")
	h.place(0)
	for i := range h.job.Tasks.Len() {
		if got := h.job.Tasks.At(i).Attempt; got != number+1 {
			t.Errorf("task %d: got attempt %d, want %d", i, got, number+1)
		}
	}
}

// TestCompletionOfOneCompletesAll checks that a gang is done once its first task completes, even if another
// task was lost before.
func TestCompletionOfOneCompletesAll(t *testing.T) {
	h := newHarness(t)
	h.place(0)
	h.reportAll(api.Running)
	h.heartbeat(1, h.taskReport(1, api.Ended, api.CauseGangMemberLost))
	h.heartbeat(0, h.taskReport(0, api.Ended, api.CauseDone))
	h.run()
	if archived, ok := h.jobs.LookupArchived("j-1"); !ok || archived.Phase != jobs.Done || h.state() != "none" {
		t.Errorf("got archived job %+v (found: %v), attempt %s; want a job that is done, none", archived, ok, h.state())
	}
	// A task that is reported later only gets the command to clear its record.
	last := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 2}, Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	response := h.heartbeat(2, last)
	if len(response.Commands) != 1 || response.Commands[0].Verb != api.Clear {
		t.Errorf("got commands %v, want one with the verb %v", response.Commands, api.Clear)
	}
}

// TestGracefulStop checks that all tasks are stopped together, with a grace period for saving a checkpoint and
// waiting for each other. No task may be stopped while the last heartbeat of any of the machines is too old.
func TestGracefulStop(t *testing.T) {
	h := newHarness(t)
	h.place(0)
	h.reportAll(api.Running)
	h.now = h.now.Add(6 * time.Second)
	h.heartbeat(0, h.taskReport(0, api.Running, ""))
	if h.gangs.Stop(h.job, "test") || h.countCommands(api.Kill) > 0 {
		t.Fatal("gang stopped although the last heartbeats of two machines are too old")
	}
	h.reportAll(api.Running)
	if !h.gangs.Stop(h.job, "test") {
		t.Fatal("gang not stopped although all its machines are reachable")
	}
	h.run()
	h.wantState("saving")
	for i := range 3 {
		commands := h.sent[machineID(i)]
		last := commands[len(commands)-1]
		if last.Verb != api.Kill || last.GracePeriodS == nil || *last.GracePeriodS < 3+5 {
			t.Errorf("host-%d: got last command %+v, want a kill with a grace period of at least 8 s", i, last)
		}
	}
	for i := range 3 {
		report := h.taskReport(i, api.Ended, api.CauseStopped)
		report.CheckpointStored = true
		h.heartbeat(i, report)
	}
	h.run()
	if h.wantState("none"); h.job.WaitingCount() != 3 {
		t.Errorf("got %d waiting tasks, want 3", h.job.WaitingCount())
	}
}

// TestAdopt checks that a new leader continues an attempt whose tasks are all placed, and aborts an
// incomplete one.
func TestAdopt(t *testing.T) {
	for _, complete := range []bool{true, false} {
		h := newHarness(t)
		h.place(0)
		h.reportAll(api.Gathering)
		if !complete {
			h.jobs.MarkNotRunning(h.job.Tasks.At(1), nil)
		}
		h.gangs = NewTable(h.jobs, h.workers, h.Now, func() bool { return true }, h.gangs.cfg)
		h.gangs.Adopt(h.job)
		h.run()
		if complete {
			h.wantState("gathering")
			h.reportAll(api.Running)
			h.wantState("running")
			continue
		}
		if h.wantState("ending"); h.job.AcceptsReplacements {
			t.Error("incomplete attempt of an earlier term: got AcceptsReplacements true, want false")
		}
	}
}

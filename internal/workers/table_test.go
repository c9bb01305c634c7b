package workers

import (
	"encoding/json"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest"
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

// TestUnansweredCommand: the launch may be carried out at any later time, so a
// report without the task proves nothing until it carries the raised token.
func TestUnansweredCommand(t *testing.T) {
	r := newHarness(t)
	if len(r.sent) != 1 || r.sent[0].Commands[0].Verb != api.Launch || r.sent[0].FencingToken != ident.MakeFencingToken(term, 0) {
		t.Fatalf("sent %+v", r.sent)
	}
	if got := verbs(r.heartbeat(0)); got != "" {
		t.Errorf("while the command is under way: %q", got)
	}
	r.answers[0](CommandResult{})
	r.tb.StopTask(r.worker, r.task(), 0)
	o := r.heartbeat(0)
	if r.task().State != jobs.Stopping || o.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Fatalf("a report with the old token: task %v, token %x", r.task().State, o.FencingToken)
	}
	r.heartbeat(1)
	if r.task().State != jobs.Waiting {
		t.Errorf("a report with the new token: task %v", r.task().State)
	}
}

// TestClearAfterDurable: an end is durable before its attempt is cleared from
// the worker, for after that a repeated launch would start it again.
func TestClearAfterDurable(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "h", Incarnation: 1, SequenceNumber: 50, FencingToken: ident.MakeFencingToken(term, 0)}})
	r.sequence = 50
	if got := verbs(r.heartbeat(0, r.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("orders before the end is durable: %q", got)
	}
	if got := verbs(r.heartbeat(0, r.taskReport(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("orders before the end is durable: %q", got)
	}
	r.runUntilIdle()
	if n := len(r.sent); n != 2 || r.sent[1].Commands[0].Verb != api.Clear {
		t.Fatalf("sent %+v", r.sent)
	}
	if r.task().State != jobs.Completed || r.job.CompletedTasks != 1 {
		t.Errorf("task %v", r.task().State)
	}
}

// TestStaleHeartbeatRenewsLease have no effect, but count as answered: their answer renews the
// lease all the same.
func TestStaleHeartbeatRenewsLease(t *testing.T) {
	r := newHarness(t)
	r.heartbeat(0, r.taskReport(api.Running, ""))
	r.sequence -= 2
	r.now = r.now.Add(15 * time.Second) // an earlier leader's grace is over
	if o := r.heartbeat(0); o == nil || len(o.Commands) > 0 || r.task().State != jobs.Assigned || r.task().ReportedStatus != api.Running {
		t.Errorf("orders %+v, task %v %v", o, r.task().State, r.task().ReportedStatus)
	}
	r.now = r.now.Add(30 * time.Second)
	if r.tb.LeaseExpired(r.worker) {
		t.Error("expired 30 s after the answer to an old report")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(r.worker) {
		t.Error("not expired 32 s after the last answer")
	}
}

// TestLeaseIncludesLeaderGrace: an earlier leader may have answered for a while into the term.
func TestLeaseIncludesLeaderGrace(t *testing.T) {
	r := newHarness(t)
	w := r.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: r.now})
	r.now = r.now.Add(40 * time.Second)
	if r.tb.LeaseExpired(w) {
		t.Error("expired within lease and grace")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(w) {
		t.Error("not expired after both")
	}
}

// TestNewIncarnation: a newer session has forgotten everything, and a late report of
// the old one changes nothing.
func TestNewIncarnation(t *testing.T) {
	r := newHarness(t)
	r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: 1})
	if r.task().State != jobs.Waiting {
		t.Errorf("task %v", r.task().State)
	}
	if o := r.heartbeat(0, r.taskReport(api.Running, "")); o != nil {
		t.Errorf("a report of the old session is answered %+v", o)
	}
}

// TestNewIncarnationLease: a session that nobody has answered yet has its full lease,
// however long ago the one before was answered.
func TestNewIncarnationLease(t *testing.T) {
	r := newHarness(t)
	r.now = r.now.Add(10 * time.Minute)
	// Learned from the answer to a command, which renews nothing.
	r.answers[0](CommandResult{Status: 409, Heartbeat: &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: 1}})
	if r.worker.Incarnation() != 2 || r.tb.LeaseExpired(r.worker) {
		t.Errorf("tenure %d, expired %v", r.worker.Incarnation(), r.tb.LeaseExpired(r.worker))
	}
	r.now = r.now.Add(30 * time.Second)
	if r.tb.LeaseExpired(r.worker) {
		t.Error("expired within the session's first lease")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.LeaseExpired(r.worker) {
		t.Error("not expired after it")
	}
}

// TestUnknownAttempts: a try that we don't know of is killed, and its piece starts
// nowhere else while it is there.
func TestUnknownAttempts(t *testing.T) {
	r := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Running}
	if got := verbs(r.heartbeat(0, stray)); got != "kill " || !r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("orders %q", got)
	}
	stray.Status, stray.Cause = api.Ended, api.CauseStopped
	if got := verbs(r.heartbeat(0, stray)); got != "clear " || r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Errorf("orders %q", got)
	}
}

// TestUnknownMachine: a report of a machine that isn't known may be a late copy; it is
// asked first, and only its own answer takes it in.
func TestUnknownMachine(t *testing.T) {
	r := newHarness(t)
	copied := &api.Heartbeat{MachineID: "x", Addr: "b", Model: "m8", Zone: "east", Incarnation: 4, SequenceNumber: 9}
	n := len(r.sent)
	r.tb.HandleHeartbeat(copied)
	r.tb.HandleHeartbeat(copied)
	if len(r.sent) != n+1 || r.tb.Workers["x"] != nil {
		t.Fatalf("asked %d times, known %v", len(r.sent)-n, r.tb.Workers["x"] != nil)
	}
	r.answers[n](CommandResult{})
	if r.tb.Workers["x"] != nil {
		t.Fatal("taken in without an answer")
	}
	r.tb.HandleHeartbeat(copied)
	r.answers[n+1](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "x", Addr: "b", Model: "m8", Zone: "east", Incarnation: 4, SequenceNumber: 10}})
	if w := r.tb.Workers["x"]; w == nil || w.State != Up {
		t.Errorf("after its answer: %+v", w)
	}
}

// TestNoRenewalAfterSuccessorToken: in its grace a leader doesn't answer a worker that shows a
// later token. The worker would have to drop the answer, and would stay until its
// lease is over.
func TestNoRenewalAfterSuccessorToken(t *testing.T) {
	r := newHarness(t)
	heartbeat := &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 50, FencingToken: ident.MakeFencingToken(term, 0)}
	if r.tb.RenewLeaseOnly(heartbeat) == nil {
		t.Error("no answer in the grace")
	}
	heartbeat.FencingToken = ident.MakeFencingToken(term+1, 0)
	if r.tb.RenewLeaseOnly(heartbeat) != nil {
		t.Error("answered, though a successor has spoken")
	}
}

// TestRenewalKillsCancelledTasks: a leader that may not be one any more still tells a
// worker to stop what was cancelled, beside any other answer that renews the lease. It
// renews a lease later than the grace after a cancellation only if nothing of that job
// can come to run there any more. (Whole machines were given up with their leases for
// one cancelled task, while the leader that knew of it talked to them.)
func TestRenewalKillsCancelledTasks(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 40,
		FencingToken: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{r.taskReport(api.Running, "")}}})
	sequence := ident.SequenceNumber(50)
	newHeartbeat := func(fence uint32, tasks ...api.TaskReport) *api.Heartbeat {
		sequence++
		return &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: sequence,
			FencingToken: ident.MakeFencingToken(term, fence), Tasks: tasks}
	}
	if got := verbs(r.tb.RenewLeaseOnly(newHeartbeat(0, r.taskReport(api.Running, "")))); got != "" {
		t.Errorf("before the cancellation: %q", got)
	}
	r.jobs.Cancel(r.job, func() {})
	r.tb.StopTask(r.worker, r.task(), 0)
	r.runUntilIdle()
	r.now = r.now.Add(time.Hour)
	if got := verbs(r.tb.RenewLeaseOnly(newHeartbeat(0, r.taskReport(api.Running, "")))); got != "kill " {
		t.Errorf("listed, long after: %q", got)
	}
	if got := verbs(r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 3,
		FencingToken: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{r.taskReport(api.Running, "")}})); got != "kill " {
		t.Errorf("an older report: %q", got)
	}
	if r.tb.RenewLeaseOnly(newHeartbeat(0)) != nil {
		t.Error("renewed while a command is under way that may start it")
	}
	r.answers[len(r.answers)-1](CommandResult{})
	if r.tb.RenewLeaseOnly(newHeartbeat(0)) != nil {
		t.Error("renewed with the old token, when the command may still come")
	}
	r.runUntilIdle()
	if c := r.sent[len(r.sent)-1]; c.FencingToken != ident.MakeFencingToken(term, 1) {
		t.Errorf("the worker was not told the new token: %+v", c)
	}
	r.answers[len(r.answers)-1](CommandResult{Status: 200, Heartbeat: newHeartbeat(1)})
	if r.tb.RenewLeaseOnly(newHeartbeat(1)) == nil {
		t.Error("with the new token nothing can come late, and it was not renewed")
	}
}

// TestPlacementsOfAnEarlierTerm: a leader launches no task that an earlier term has placed,
// for that term may have given its room to others, of which alone it got durable. One of an
// earlier session than the report's is gone; one of the same session is, once the report
// has the newest token. (A leader that found a new session's placement beside two of the
// session before launched all three, and a team was over its limit.)
func TestPlacementsOfAnEarlierTerm(t *testing.T) {
	for _, tokenCurrent := range []bool{false, true} {
		r := newHarness(t)
		r.answers[0](CommandResult{})
		record := `{"spec":{"id":"j-9","desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":1,"phase":"open",
			"tasks":[{"t":1,"h":"h","n":1},{"t":1,"h":"h","n":2}]}`
		if err := r.jobs.Load("live/j-9", json.RawMessage(record), 4); err != nil {
			t.Fatal(err)
		}
		before, same := &r.jobs.Jobs["j-9"].Tasks[0], &r.jobs.Jobs["j-9"].Tasks[1]
		r.tb.AddTask(r.worker, before)
		r.tb.AddTask(r.worker, same)
		token := ident.MakeFencingToken(term-1, 0)
		if tokenCurrent {
			token = ident.MakeFencingToken(term, 1)
		}
		o := r.tb.HandleHeartbeat(&api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 2, SequenceNumber: 100, FencingToken: token})
		if got := verbs(o); got != "" {
			t.Errorf("fresh %v: orders %q", tokenCurrent, got)
		}
		if before.State != jobs.Waiting {
			t.Errorf("fresh %v: the task of the session before is %v", tokenCurrent, before.State)
		}
		if (same.State == jobs.Waiting) != tokenCurrent {
			t.Errorf("fresh %v: the task of this session is %v", tokenCurrent, same.State)
		}
	}
}

// TestGangIsDone: when one task of a gang is done all are, but one that was not seen to run
// counts on its machine until it is proven gone: its room is not given away before.
func TestGangIsDone(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{})
	j := r.jobs.Add(&api.Spec{ID: "j-7", Shape: api.Gang, Tasks: 4, VCPUs: 1}, func() {}, nil)
	r.runUntilIdle()
	for i := range j.Tasks {
		r.jobs.Place(&j.Tasks[i], "h", 1, func() {})
	}
	r.runUntilIdle()
	running := api.TaskReport{TaskID: j.Tasks[1].TaskID(), Attempt: 1, Status: api.Running}
	r.heartbeat(1, running)
	done := api.TaskReport{TaskID: j.Tasks[0].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	r.heartbeat(1, done, running)
	if j.Phase != jobs.Done || j.AllocatedTasks != 2 || j.Tasks[2].State != jobs.Stopping {
		t.Fatalf("job %v, %d tasks held, the last one %v", j.Phase, j.AllocatedTasks, j.Tasks[2].State)
	}
	r.runUntilIdle() // the command that stops the last task is under way from here on
	r.heartbeat(1, done, api.TaskReport{TaskID: j.Tasks[3].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone})
	for range 3 { // long enough for the pace of the log
		r.now = r.now.Add(time.Second)
		r.runUntilIdle()
	}
	if len(r.worker.commands.queued) > 0 {
		t.Errorf("a part of the gang is durable, and a successor would place the rest: %+v", r.worker.commands.queued)
	}
	if last := r.sent[len(r.sent)-1].Commands; len(last) == 0 || last[0].Verb != api.Kill {
		t.Errorf("sent %+v", last)
	}
	r.answers[len(r.answers)-1](CommandResult{})
	r.heartbeat(2)
	r.runUntilIdle()
	if e, ok := r.jobs.LookupArchived("j-7"); !ok || e.Phase != jobs.Done || e.CompletedTasks != 4 {
		t.Errorf("ended %v: %+v", ok, e)
	}
}

// TestFailuresBlamedOnJob: what fails on several machines is rather the job's fault. What it has
// said of machines counts no more, and its further failures say nothing; two other jobs
// that fail in a row, and run well elsewhere, still show a faulty machine. (Many jobs with a
// mistake at once had 150 sound machines returned, for nobody knew yet that it was theirs.)
func TestFailuresBlamedOnJob(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{})
	fail := func(id string, suspect bool) *jobs.Job {
		j := r.jobs.Add(&api.Spec{ID: ident.JobID(id), Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {}, nil)
		r.runUntilIdle()
		j.Suspect = suspect
		r.jobs.Place(&j.Tasks[0], "h", 1, func() {})
		r.runUntilIdle()
		r.heartbeat(1, api.TaskReport{TaskID: j.Tasks[0].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseError})
		r.runUntilIdle()
		return j
	}
	j := fail("j-2", false)
	if !r.worker.PossiblyFaulty() || r.worker.Faulty() {
		t.Fatalf("a first failure: doubtful %v, faulty %v", r.worker.PossiblyFaulty(), r.worker.Faulty())
	}
	j.Suspect = true
	if fail("j-3", true); r.worker.PossiblyFaulty() || r.worker.Faulty() {
		t.Errorf("jobs that fail everywhere: doubtful %v, faulty %v", r.worker.PossiblyFaulty(), r.worker.Faulty())
	}
	r.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: r.now})
	list := []*jobs.Job{fail("j-4", false), fail("j-5", false), fail("j-6", false)}
	if !r.worker.PossiblyFaulty() || r.worker.Faulty() {
		t.Errorf("jobs of which nobody knows better: doubtful %v, faulty %v", r.worker.PossiblyFaulty(), r.worker.Faulty())
	}
	for i, j := range list[:2] {
		if r.worker.Faulty() {
			t.Errorf("%d sound jobs have failed there, and it is faulty", i)
		}
		r.jobs.Place(&j.Tasks[0], "other", 1, func() {})
		r.runUntilIdle()
		r.now = r.now.Add(time.Second)
		r.jobs.UpdateStatus(&j.Tasks[0], api.Running)
		r.jobs.NoteFailure(j)
		r.now = r.now.Add(11 * time.Second)
		r.jobs.ClearProvenHealthy()
	}
	if !r.worker.Faulty() {
		t.Error("two jobs in a row that run well elsewhere failed there, and it is not faulty")
	}
}

// TestResultAfterTermination: a command's answer that arrives after its machine was returned
// says nothing of what is there. A task that it listed was thought to be on it in an
// unknown try, and waited for ever.
func TestResultAfterTermination(t *testing.T) {
	r := newHarness(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 9, Status: api.Running}
	r.tb.MarkTerminated(r.worker, ReasonTerminated)
	r.answers[0](CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: "h", Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 40,
		FencingToken: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{stray}}})
	if r.tb.HasUnknownAttempt(stray.TaskID) {
		t.Error("thought to be on a machine that is gone")
	}
}

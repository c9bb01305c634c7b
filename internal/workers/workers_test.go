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
	"opaldale/internal/statesvc"
	_ "opaldale/internal/statetest"
)

// world lets the test decide when a transaction is carried out and what becomes
// of a command.
type world struct {
	now     ident.MonotonicTime
	timers  []func()
	txns    []func()
	sent    []api.Commands
	answers []func(Answer)
}

func (w *world) Now() ident.MonotonicTime { return w.now }
func (w *world) After(d time.Duration, f func()) {
	w.timers = append(w.timers, func() {
		w.now = w.now.Add(min(d, time.Millisecond))
		f()
	})
}
func (w *world) Store(r statesvc.Request, f func(statesvc.Response)) {
	w.txns = append(w.txns, func() { f(statesvc.Response{Outcome: statesvc.OK, StoreRevision: 9}) })
}
func (w *world) Worker(c Command, f func(Answer)) {
	w.sent = append(w.sent, c.Body)
	w.answers = append(w.answers, f)
}

func drain(list *[]func()) {
	for len(*list) > 0 {
		f := (*list)[0]
		*list = (*list)[1:]
		f()
	}
}

const term = 7

type rig struct {
	*world
	tb      *Table
	jobs    *jobs.Table
	commits *commit.Committer
	w       *Worker
	job     *jobs.Job
	serial  ident.SequenceNumber
}

// newRig has one machine, up, and a job of one task placed on it durably.
func newRig(t *testing.T) *rig {
	r := &rig{world: &world{now: ident.MonotonicTime(time.Hour)}}
	kind := cloud.Model{SKU: "m8", VCPUs: 8, MemoryGB: 32, LocalGB: 10}
	r.commits = commit.New(r, commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}, statesvc.Compare{Key: "leader", Revision: 1}, func(why string) { t.Error(why) })
	r.jobs = jobs.NewTable(r.commits, 16<<10, r.Now, func() int64 { return 0 })
	r.tb = NewTable(r, r.jobs, Config{Term: term, LeaseS: 30 * time.Second, Grace: 10 * time.Second,
		Catalog: func(string) *cloud.Model { return &kind }, Asked: func(*Worker, bool) {}, Renewed: func() ident.MonotonicTime { return 0 }, Deposed: func() { t.Error("deposed") }, Changed: func() {},
		Failed: func(*jobs.Task, *Worker, api.Cause) {},
		Commit: func(w *Worker) {
			w.Recorded = true
		}})
	r.jobs.OnMove = func(task *jobs.Task, from, to jobs.State) {
		w := r.tb.Workers[task.Host]
		if !from.Held() && to.Held() {
			r.tb.Hold(w, task)
		} else if from.Held() && !to.Held() {
			r.tb.Release(w, task)
		}
	}
	r.w = r.tb.Add("h", "m8", "east", false, r.now)
	r.report(0)
	r.job = r.jobs.Add(&api.Spec{ID: "j-1", Shape: api.Batch, Tasks: 2, VCPUs: 1, Image: "img", ImageGB: 1}, func() {}, nil)
	r.settle()
	r.jobs.Place(r.task(), "h", 1, func() { r.tb.Launch(r.w, r.task()) })
	r.settle()
	return r
}

func (r *rig) task() *jobs.Task { return &r.job.Tasks[0] }

// settle lets transactions and timers happen.
func (r *rig) settle() {
	r.commits.Flush()
	for len(r.txns)+len(r.timers) > 0 {
		drain(&r.txns)
		drain(&r.timers)
	}
}

func (r *rig) report(fence uint32, pieces ...api.TaskReport) *api.Orders {
	r.serial++
	return r.tb.Checkin(&api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 1, Serial: r.serial,
		Epoch: ident.MakeFencingToken(term, fence), Tasks: pieces})
}

func (r *rig) piece(s api.TaskStatus, c api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: r.task().TaskID(), Attempt: r.task().Attempt, Status: s, Cause: c}
}

func verbs(o *api.Orders) string {
	s := ""
	if o != nil {
		for _, x := range o.Orders {
			s += string(x.Verb) + " "
		}
	}
	return s
}

// TestUnansweredCommand: the launch may be carried out at any later time, so a
// report without the task proves nothing until it carries the raised token.
func TestUnansweredCommand(t *testing.T) {
	r := newRig(t)
	if len(r.sent) != 1 || r.sent[0].Orders[0].Verb != api.Launch || r.sent[0].Epoch != ident.MakeFencingToken(term, 0) {
		t.Fatalf("sent %+v", r.sent)
	}
	if got := verbs(r.report(0)); got != "" {
		t.Errorf("while the command is under way: %q", got)
	}
	r.answers[0](Answer{})
	r.tb.StopTask(r.w, r.task(), 0)
	o := r.report(0)
	if r.task().State != jobs.Stopping || o.Epoch != ident.MakeFencingToken(term, 1) {
		t.Fatalf("a report with the old token: task %v, token %x", r.task().State, o.Epoch)
	}
	r.report(1)
	if r.task().State != jobs.Waiting {
		t.Errorf("a report with the new token: task %v", r.task().State)
	}
}

// TestClearAfterDurable: an end is durable before its attempt is cleared from
// the worker, for after that a repeated launch would start it again.
func TestClearAfterDurable(t *testing.T) {
	r := newRig(t)
	r.answers[0](Answer{Status: 200, Report: &api.Report{Host: "h", Session: 1, Serial: 50, Epoch: ident.MakeFencingToken(term, 0)}})
	r.serial = 50
	if got := verbs(r.report(0, r.piece(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("orders before the end is durable: %q", got)
	}
	if got := verbs(r.report(0, r.piece(api.Ended, api.CauseDone))); got != "" {
		t.Errorf("orders before the end is durable: %q", got)
	}
	r.settle()
	if n := len(r.sent); n != 2 || r.sent[1].Orders[0].Verb != api.Clear {
		t.Fatalf("sent %+v", r.sent)
	}
	if r.task().State != jobs.Finished || r.job.Done != 1 {
		t.Errorf("task %v", r.task().State)
	}
}

// TestOldReports have no effect, but count as answered: their answer renews the
// lease all the same.
func TestOldReports(t *testing.T) {
	r := newRig(t)
	r.report(0, r.piece(api.Running, ""))
	r.serial -= 2
	r.now = r.now.Add(15 * time.Second) // an earlier leader's grace is over
	if o := r.report(0); o == nil || len(o.Orders) > 0 || r.task().State != jobs.Assigned || r.task().Seen != api.Running {
		t.Errorf("orders %+v, task %v %v", o, r.task().State, r.task().Seen)
	}
	r.now = r.now.Add(30 * time.Second)
	if r.tb.Expired(r.w) {
		t.Error("expired 30 s after the answer to an old report")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.Expired(r.w) {
		t.Error("not expired 32 s after the last answer")
	}
}

// TestGrace: an earlier leader may have answered for a while into the term.
func TestGrace(t *testing.T) {
	r := newRig(t)
	w := r.tb.Add("other", "m8", "east", false, r.now)
	r.now = r.now.Add(40 * time.Second)
	if r.tb.Expired(w) {
		t.Error("expired within lease and grace")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.Expired(w) {
		t.Error("not expired after both")
	}
}

// TestNewTenure: a newer session has forgotten everything, and a late report of
// the old one changes nothing.
func TestNewTenure(t *testing.T) {
	r := newRig(t)
	r.tb.Checkin(&api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 2, Serial: 1})
	if r.task().State != jobs.Waiting {
		t.Errorf("task %v", r.task().State)
	}
	if o := r.report(0, r.piece(api.Running, "")); o != nil {
		t.Errorf("a report of the old session is answered %+v", o)
	}
}

// TestNewSessionLease: a session that nobody has answered yet has its full lease,
// however long ago the one before was answered.
func TestNewSessionLease(t *testing.T) {
	r := newRig(t)
	r.now = r.now.Add(10 * time.Minute)
	// Learned from the answer to a command, which renews nothing.
	r.answers[0](Answer{Status: 409, Report: &api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 2, Serial: 1}})
	if r.w.Session != 2 || r.tb.Expired(r.w) {
		t.Errorf("tenure %d, expired %v", r.w.Session, r.tb.Expired(r.w))
	}
	r.now = r.now.Add(30 * time.Second)
	if r.tb.Expired(r.w) {
		t.Error("expired within the session's first lease")
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.tb.Expired(r.w) {
		t.Error("not expired after it")
	}
}

// TestOrphans: a try that we don't know of is killed, and its piece starts
// nowhere else while it is there.
func TestOrphans(t *testing.T) {
	r := newRig(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 3, Status: api.Running}
	if got := verbs(r.report(0, stray)); got != "kill " || !r.tb.Orphan(stray.TaskID) {
		t.Errorf("orders %q", got)
	}
	stray.Status, stray.Cause = api.Ended, api.CauseStopped
	if got := verbs(r.report(0, stray)); got != "clear " || r.tb.Orphan(stray.TaskID) {
		t.Errorf("orders %q", got)
	}
}

// TestStranger: a report of a machine that isn't known may be a late copy; it is
// asked first, and only its own answer takes it in.
func TestStranger(t *testing.T) {
	r := newRig(t)
	copied := &api.Report{Host: "x", Addr: "b", Model: "m8", Zone: "east", Session: 4, Serial: 9}
	n := len(r.sent)
	r.tb.Checkin(copied)
	r.tb.Checkin(copied)
	if len(r.sent) != n+1 || r.tb.Workers["x"] != nil {
		t.Fatalf("asked %d times, known %v", len(r.sent)-n, r.tb.Workers["x"] != nil)
	}
	r.answers[n](Answer{})
	if r.tb.Workers["x"] != nil {
		t.Fatal("taken in without an answer")
	}
	r.tb.Checkin(copied)
	r.answers[n+1](Answer{Status: 200, Report: &api.Report{Host: "x", Addr: "b", Model: "m8", Zone: "east", Session: 4, Serial: 10}})
	if w := r.tb.Workers["x"]; w == nil || w.State != Up {
		t.Errorf("after its answer: %+v", w)
	}
}

// TestSuccessorsToken: in its grace a leader doesn't answer a worker that shows a
// later token. The worker would have to drop the answer, and would stay until its
// lease is over.
func TestSuccessorsToken(t *testing.T) {
	r := newRig(t)
	rep := &api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 1, Serial: 50, Epoch: ident.MakeFencingToken(term, 0)}
	if r.tb.Renew(rep) == nil {
		t.Error("no answer in the grace")
	}
	rep.Epoch = ident.MakeFencingToken(term+1, 0)
	if r.tb.Renew(rep) != nil {
		t.Error("answered, though a successor has spoken")
	}
}

// TestRenewalsStopTheCancelled: a leader that may not be one any more still tells a
// worker to stop what was cancelled, beside any other answer that renews the lease. It
// renews a lease later than the grace after a cancellation only if nothing of that job
// can come to run there any more. (Whole machines were given up with their leases for
// one cancelled task, while the leader that knew of it talked to them.)
func TestRenewalsStopTheCancelled(t *testing.T) {
	r := newRig(t)
	r.answers[0](Answer{Status: 200, Report: &api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 1, Serial: 40,
		Epoch: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{r.piece(api.Running, "")}}})
	serial := ident.SequenceNumber(50)
	report := func(fence uint32, pieces ...api.TaskReport) *api.Report {
		serial++
		return &api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 1, Serial: serial,
			Epoch: ident.MakeFencingToken(term, fence), Tasks: pieces}
	}
	if got := verbs(r.tb.Renew(report(0, r.piece(api.Running, "")))); got != "" {
		t.Errorf("before the cancellation: %q", got)
	}
	r.jobs.Cancel(r.job, func() {})
	r.tb.StopTask(r.w, r.task(), 0)
	r.settle()
	r.now = r.now.Add(time.Hour)
	if got := verbs(r.tb.Renew(report(0, r.piece(api.Running, "")))); got != "kill " {
		t.Errorf("listed, long after: %q", got)
	}
	if got := verbs(r.tb.Checkin(&api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 1, Serial: 3,
		Epoch: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{r.piece(api.Running, "")}})); got != "kill " {
		t.Errorf("an older report: %q", got)
	}
	if r.tb.Renew(report(0)) != nil {
		t.Error("renewed while a command is under way that may start it")
	}
	r.answers[len(r.answers)-1](Answer{})
	if r.tb.Renew(report(0)) != nil {
		t.Error("renewed with the old token, when the command may still come")
	}
	r.settle()
	if c := r.sent[len(r.sent)-1]; c.Epoch != ident.MakeFencingToken(term, 1) {
		t.Errorf("the worker was not told the new token: %+v", c)
	}
	r.answers[len(r.answers)-1](Answer{Status: 200, Report: report(1)})
	if r.tb.Renew(report(1)) == nil {
		t.Error("with the new token nothing can come late, and it was not renewed")
	}
}

// TestPlacementsOfAnEarlierTerm: a leader launches no task that an earlier term has placed,
// for that term may have given its room to others, of which alone it got durable. One of an
// earlier session than the report's is gone; one of the same session is, once the report
// has the newest token. (A leader that found a new session's placement beside two of the
// session before launched all three, and a team was over its limit.)
func TestPlacementsOfAnEarlierTerm(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		r := newRig(t)
		r.answers[0](Answer{})
		record := `{"spec":{"id":"j-9","desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":1,"phase":"open",
			"tasks":[{"t":1,"h":"h","n":1},{"t":1,"h":"h","n":2}]}`
		if err := r.jobs.Load("live/j-9", json.RawMessage(record), 4); err != nil {
			t.Fatal(err)
		}
		before, same := &r.jobs.Jobs["j-9"].Tasks[0], &r.jobs.Jobs["j-9"].Tasks[1]
		r.tb.Hold(r.w, before)
		r.tb.Hold(r.w, same)
		epoch := ident.MakeFencingToken(term-1, 0)
		if fresh {
			epoch = ident.MakeFencingToken(term, 1)
		}
		o := r.tb.Checkin(&api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 2, Serial: 100, Epoch: epoch})
		if got := verbs(o); got != "" {
			t.Errorf("fresh %v: orders %q", fresh, got)
		}
		if before.State != jobs.Waiting {
			t.Errorf("fresh %v: the task of the session before is %v", fresh, before.State)
		}
		if (same.State == jobs.Waiting) != fresh {
			t.Errorf("fresh %v: the task of this session is %v", fresh, same.State)
		}
	}
}

// TestGangIsDone: when one task of a gang is done all are, but one that was not seen to run
// counts on its machine until it is proven gone: its room is not given away before.
func TestGangIsDone(t *testing.T) {
	r := newRig(t)
	r.answers[0](Answer{})
	j := r.jobs.Add(&api.Spec{ID: "j-7", Shape: api.Gang, Tasks: 4, VCPUs: 1}, func() {}, nil)
	r.settle()
	for i := range j.Tasks {
		r.jobs.Place(&j.Tasks[i], "h", 1, func() {})
	}
	r.settle()
	running := api.TaskReport{TaskID: j.Tasks[1].TaskID(), Attempt: 1, Status: api.Running}
	r.report(1, running)
	done := api.TaskReport{TaskID: j.Tasks[0].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone}
	r.report(1, done, running)
	if j.Phase != jobs.Done || j.Held != 2 || j.Tasks[2].State != jobs.Stopping {
		t.Fatalf("job %v, %d tasks held, the last one %v", j.Phase, j.Held, j.Tasks[2].State)
	}
	r.settle() // the command that stops the last task is under way from here on
	r.report(1, done, api.TaskReport{TaskID: j.Tasks[3].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseDone})
	for range 3 { // long enough for the pace of the log
		r.now = r.now.Add(time.Second)
		r.settle()
	}
	if len(r.w.queue) > 0 {
		t.Errorf("a part of the gang is durable, and a successor would place the rest: %+v", r.w.queue)
	}
	if last := r.sent[len(r.sent)-1].Orders; len(last) == 0 || last[0].Verb != api.Kill {
		t.Errorf("sent %+v", last)
	}
	r.answers[len(r.answers)-1](Answer{})
	r.report(2)
	r.settle()
	if e, ok := r.jobs.Ended("j-7"); !ok || e.Phase != jobs.Done || e.Done != 4 {
		t.Errorf("ended %v: %+v", ok, e)
	}
}

// TestJobsFault: what fails on several machines is rather the job's fault. What it has
// said of machines counts no more, and its further failures say nothing; two other jobs
// that fail in a row, and run well elsewhere, still show a faulty machine. (Many jobs with a
// mistake at once had 150 sound machines returned, for nobody knew yet that it was theirs.)
func TestJobsFault(t *testing.T) {
	r := newRig(t)
	r.answers[0](Answer{})
	fail := func(id string, suspect bool) *jobs.Job {
		j := r.jobs.Add(&api.Spec{ID: ident.JobID(id), Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {}, nil)
		r.settle()
		j.Suspect = suspect
		r.jobs.Place(&j.Tasks[0], "h", 1, func() {})
		r.settle()
		r.report(1, api.TaskReport{TaskID: j.Tasks[0].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseError})
		r.settle()
		return j
	}
	j := fail("j-2", false)
	if !r.w.Doubtful() || r.w.Faulty() {
		t.Fatalf("a first failure: doubtful %v, faulty %v", r.w.Doubtful(), r.w.Faulty())
	}
	j.Suspect = true
	if fail("j-3", true); r.w.Doubtful() || r.w.Faulty() {
		t.Errorf("jobs that fail everywhere: doubtful %v, faulty %v", r.w.Doubtful(), r.w.Faulty())
	}
	r.tb.Add("other", "m8", "east", false, r.now)
	list := []*jobs.Job{fail("j-4", false), fail("j-5", false), fail("j-6", false)}
	if !r.w.Doubtful() || r.w.Faulty() {
		t.Errorf("jobs of which nobody knows better: doubtful %v, faulty %v", r.w.Doubtful(), r.w.Faulty())
	}
	for i, j := range list[:2] {
		if r.w.Faulty() {
			t.Errorf("%d sound jobs have failed there, and it is faulty", i)
		}
		r.jobs.Place(&j.Tasks[0], "other", 1, func() {})
		r.settle()
		r.now = r.now.Add(time.Second)
		r.jobs.Observe(&j.Tasks[0], api.Running)
		r.jobs.Doubt(j)
		r.now = r.now.Add(11 * time.Second)
		r.jobs.Acquit()
	}
	if !r.w.Faulty() {
		t.Error("two jobs in a row that run well elsewhere failed there, and it is not faulty")
	}
}

// TestAnswerOfTheGone: a command's answer that arrives after its machine was returned
// says nothing of what is there. A task that it listed was thought to be on it in an
// unknown try, and waited for ever.
func TestAnswerOfTheGone(t *testing.T) {
	r := newRig(t)
	stray := api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 1}, Attempt: 9, Status: api.Running}
	r.tb.Drop(r.w, "returned")
	r.answers[0](Answer{Status: 200, Report: &api.Report{Host: "h", Addr: "a", Model: "m8", Zone: "east", Session: 1, Serial: 40,
		Epoch: ident.MakeFencingToken(term, 0), Tasks: []api.TaskReport{stray}}})
	if r.tb.Orphan(stray.TaskID) {
		t.Error("thought to be on a machine that is gone")
	}
}

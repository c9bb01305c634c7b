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
	"opaldale/internal/statesvc"
	_ "opaldale/internal/statetest"
	"opaldale/internal/workers"
)

// rig is one gang of three on machines that note what they are sent.
type rig struct {
	t       *testing.T
	now     ident.MonotonicTime
	queue   []func()
	held    []func() // answers of the state service that are kept back
	hold    bool
	sent    map[ident.MachineID][]api.Order
	mute    map[string]bool
	serial  ident.SequenceNumber
	ledger  uint64
	commits *commit.Committer
	jobs    *jobs.Table
	workers *workers.Table
	gangs   *Table
	job     *jobs.Job
}

func (r *rig) Now() ident.MonotonicTime        { return r.now }
func (r *rig) After(_ time.Duration, f func()) { r.queue = append(r.queue, f) }
func (r *rig) Store(_ statesvc.Request, f func(statesvc.Response)) {
	r.ledger++
	a := statesvc.Response{Outcome: statesvc.OK, StoreRevision: r.ledger}
	if r.hold {
		r.held = append(r.held, func() { f(a) })
		return
	}
	r.queue = append(r.queue, func() { f(a) })
}

func (r *rig) Worker(c workers.Command, f func(workers.Answer)) {
	addr := c.Addr
	if r.mute[addr] {
		r.queue = append(r.queue, func() { f(workers.Answer{}) })
		return
	}
	h := ident.MachineID(addr)
	r.sent[h] = append(r.sent[h], c.Body.Orders...)
	// An answer that tells nothing new: reports come as the test says.
	r.queue = append(r.queue, func() { f(workers.Answer{Status: 200, Report: &api.Report{Host: h, Addr: addr, Session: 1}}) })
}

func (r *rig) run() {
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

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: ident.MonotonicTime(time.Hour), sent: map[ident.MachineID][]api.Order{}, mute: map[string]bool{}}
	kind := cloud.Model{SKU: "m8", VCPUs: 8, MemoryGB: 32}
	r.commits = commit.New(r, commit.Limits{MutationsPerTxn: 8, MutationsPerSecond: 1e9, MaxValueBytes: 2048}, statesvc.Compare{Key: "leader", Revision: 1}, func(why string) { t.Error(why) })
	r.commits.UseTextFormat()
	r.jobs = jobs.NewTable(r.commits, 2048, r.Now, func() int64 { return 0 })
	r.jobs.Pack()
	r.workers = workers.NewTable(r, r.jobs, workers.Config{Term: 3, LeaseS: 30 * time.Second, Catalog: func(string) *cloud.Model { return &kind },
		Deposed: func() { t.Error("deposed") }, Changed: func() {}, Failed: func(*jobs.Task, *workers.Worker, api.Cause) {},
		Asked: func(*workers.Worker, bool) {}, Renewed: func() ident.MonotonicTime { return 0 }, Commit: func(w *workers.Worker) { w.Recorded = true }})
	r.gangs = NewTable(r.jobs, r.workers, r.Now, func() bool { return true }, Config{Wait: 40 * time.Second, Peer: 5 * time.Second, Report: 3 * time.Second})
	r.jobs.OnMove = func(task *jobs.Task, from, to jobs.State) {
		r.gangs.Touch(task.Job)
		if w := r.workers.Workers[task.Host]; to.Held() && !from.Held() {
			r.workers.Hold(w, task)
		} else if !to.Held() && from.Held() {
			r.workers.Release(w, task)
		}
	}
	for i := range 5 {
		r.workers.Add(ident.MachineID(fmt.Sprintf("host-%d", i)), "m8", "east", false, r.now)
		r.report(i)
	}
	r.job = r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Gang, Priority: api.High, Tasks: 3, VCPUs: 1, SnapshotEveryS: 20, SnapshotS: 3}, func() {}, nil)
	r.run()
	return r
}

// report has a machine report pieces; without any it reports none.
func (r *rig) report(host int, pieces ...api.TaskReport) *api.Orders {
	r.serial++
	h := ident.MachineID(fmt.Sprintf("host-%d", host))
	o := r.workers.Checkin(&api.Report{Host: h, Addr: string(h), Model: "m8", Zone: "east", Session: 1, Serial: r.serial,
		Epoch: ident.MakeFencingToken(3, 0), Tasks: pieces})
	return o
}

func (r *rig) piece(i int, s api.TaskStatus, c api.Cause) api.TaskReport {
	return api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: i}, Attempt: r.job.Tasks[i].Attempt, Status: s, Cause: c}
}

// place puts the waiting tasks on machines from the given one on.
func (r *rig) place(from int) {
	var picks []Pick
	for i := range r.job.Tasks {
		if t := &r.job.Tasks[i]; t.State == jobs.Waiting {
			picks = append(picks, Pick{t, r.workers.Workers[ident.MachineID(fmt.Sprintf("host-%d", from+len(picks)))]})
		}
	}
	r.gangs.Place(r.job, picks)
	r.run()
}

func (r *rig) all(s api.TaskStatus) {
	for i := range 3 {
		r.report(i, r.piece(i, s, ""))
	}
	r.run()
}

func (r *rig) state() string {
	if a := r.gangs.open[r.job]; a != nil {
		return a.state.String()
	}
	return "none"
}

func (r *rig) want(state string) {
	r.t.Helper()
	if got := r.state(); got != state {
		r.t.Fatalf("the attempt is %s, want %s", got, state)
	}
}

// count counts the orders of a kind that were sent.
func (r *rig) count(v api.Verb) (n int) {
	for _, list := range r.sent {
		for _, o := range list {
			if o.Verb == v {
				n++
			}
		}
	}
	return n
}

// TestNothingIsLaunchedInPart: no task is launched, by command or by the answer to a
// report, before all placements of the attempt are durable.
func TestNothingIsLaunchedInPart(t *testing.T) {
	r := newRig(t)
	r.hold = true
	r.place(0)
	for i := range 3 {
		if o := r.report(i); len(o.Orders) > 0 {
			t.Errorf("host-%d is told %v", i, o.Orders)
		}
	}
	// One becomes durable by itself, the rest of the record doesn't.
	r.want("placed")
	if n := r.count(api.Launch); n > 0 {
		t.Fatalf("%d launches before anything is durable", n)
	}
	r.hold = false
	r.queue = append(r.queue, r.held...)
	r.run()
	r.want("gathering")
	if n := r.count(api.Launch); n != 3 {
		t.Errorf("%d launches", n)
	}
	r.all(api.Gathering)
	r.want("gathering")
	if v := r.job.View(); v.Running != 0 || v.Status != "queued" {
		t.Errorf("tasks that wait for their gang are called running: %+v", v)
	}
	r.all(api.Running)
	r.want("running")
}

// TestReplaced: a task refused before the start comes back elsewhere with the same
// number, and only where the attempt has not been.
func TestReplaced(t *testing.T) {
	r := newRig(t)
	r.place(0)
	r.report(0, r.piece(0, api.Gathering, ""))
	r.report(1, r.piece(1, api.Gathering, ""))
	r.report(2, r.piece(2, api.Ended, api.CauseFull))
	r.run()
	if r.want("gathering"); !r.job.Joinable || r.job.Tasks[2].State != jobs.Waiting {
		t.Fatalf("joinable %v, task %v", r.job.Joinable, r.job.Tasks[2].State)
	}
	if !r.gangs.Used(r.job, "host-2") || r.gangs.Used(r.job, "host-3") {
		t.Error("where the attempt was is not known")
	}
	try := r.job.Tasks[0].Attempt
	r.place(3)
	if r.job.Tasks[2].Attempt != try || r.job.Tasks[2].Host != "host-3" || len(r.sent["host-3"]) != 1 {
		t.Errorf("try %d on %s, sent %v", r.job.Tasks[2].Attempt, r.job.Tasks[2].Host, r.sent["host-3"])
	}
	r.report(3, r.piece(2, api.Running, ""))
	r.report(0, r.piece(0, api.Running, ""))
	r.report(1, r.piece(1, api.Running, ""))
	r.run()
	r.want("running")
}

// TestNoReplacementInTime: the others don't hold their room for long.
func TestNoReplacementInTime(t *testing.T) {
	r := newRig(t)
	r.place(0)
	r.all(api.Gathering)
	r.report(2, r.piece(2, api.Ended, api.CauseError))
	r.run()
	r.now = r.now.Add(joinTime + time.Second)
	r.gangs.Tick()
	r.run()
	if r.want("ending"); r.job.Joinable || r.count(api.Kill) != 2 {
		t.Errorf("joinable %v, %d kills", r.job.Joinable, r.count(api.Kill))
	}
}

// TestLoss: after the start the loss of one task ends the attempt; the next one begins
// with a new number when each of the old tasks is proven gone, and not before.
func TestLoss(t *testing.T) {
	r := newRig(t)
	r.place(0)
	r.all(api.Running)
	r.report(1, r.piece(1, api.Ended, api.CauseMates))
	r.run()
	r.want("ending")
	for i := range r.job.Tasks {
		if s := r.job.Tasks[i].State; s != jobs.Stopping && i != 1 {
			t.Errorf("task %d is %v", i, s)
		}
	}
	try := r.job.LastTry()
	r.report(0, r.piece(0, api.Ended, api.CauseStopped))
	r.run()
	if r.want("ending"); r.job.Held != 1 {
		t.Fatalf("%d held", r.job.Held)
	}
	r.report(2, r.piece(2, api.Ended, api.CauseStopped))
	r.run()
	r.want("none")
	r.place(0)
	for i := range r.job.Tasks {
		if got := r.job.Tasks[i].Attempt; got != try+1 {
			t.Errorf("task %d has number %d after %d", i, got, try)
		}
	}
}

// TestDoneTogether: one task that is done is the whole gang, also when another was
// lost in that moment.
func TestDoneTogether(t *testing.T) {
	r := newRig(t)
	r.place(0)
	r.all(api.Running)
	r.report(1, r.piece(1, api.Ended, api.CauseMates))
	r.report(0, r.piece(0, api.Ended, api.CauseDone))
	r.run()
	if e, ok := r.jobs.Ended("j-1"); !ok || e.Phase != jobs.Done || r.state() != "none" {
		t.Errorf("%+v %v, %s", e, ok, r.state())
	}
	// What the others report later finds nothing to do.
	if o := r.report(2, api.TaskReport{TaskID: ident.TaskID{Job: "j-1", Index: 2}, Attempt: 1, Status: api.Ended, Cause: api.CauseDone}); len(o.Orders) != 1 || o.Orders[0].Verb != api.Clear {
		t.Errorf("%v", o.Orders)
	}
}

// TestStopInOrder: all are told at once, with time to save and to wait for each other;
// and none is while one of the machines was not heard lately.
func TestStopInOrder(t *testing.T) {
	r := newRig(t)
	r.place(0)
	r.all(api.Running)
	r.now = r.now.Add(6 * time.Second)
	r.report(0, r.piece(0, api.Running, ""))
	if r.gangs.Stop(r.job, "test") || r.count(api.Kill) > 0 {
		t.Fatal("stopped though two machines were not heard lately")
	}
	r.all(api.Running)
	if !r.gangs.Stop(r.job, "test") {
		t.Fatal("not stopped")
	}
	r.run()
	r.want("saving")
	for i := range 3 {
		list := r.sent[ident.MachineID(fmt.Sprintf("host-%d", i))]
		o := list[len(list)-1]
		if o.Verb != api.Kill || o.WindDownS == nil || *o.WindDownS < 3+5 {
			t.Errorf("host-%d is told %+v", i, o)
		}
	}
	for i := range 3 {
		p := r.piece(i, api.Ended, api.CauseStopped)
		p.Stored = true
		r.report(i, p)
	}
	r.run()
	if r.want("none"); r.job.Waits() != 3 {
		t.Errorf("%d wait", r.job.Waits())
	}
}

// TestAdopt: a successor goes on with a whole attempt, and ends a part of one.
func TestAdopt(t *testing.T) {
	for _, whole := range []bool{true, false} {
		r := newRig(t)
		r.place(0)
		r.all(api.Gathering)
		if !whole {
			r.jobs.Gone(&r.job.Tasks[1], nil)
		}
		r.gangs = NewTable(r.jobs, r.workers, r.Now, func() bool { return true }, r.gangs.cfg)
		r.gangs.Adopt(r.job)
		r.run()
		if whole {
			r.want("gathering")
			r.all(api.Running)
			r.want("running")
			continue
		}
		if r.want("ending"); r.job.Joinable {
			t.Error("a part of an attempt of an earlier term may be joined")
		}
	}
}

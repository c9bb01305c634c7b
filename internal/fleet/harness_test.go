package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest"
	"opaldale/internal/placement"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// fakePort answers the cloud's requests from a script and lets time pass.
type fakePort struct {
	deadAddrs map[string]bool
	sequence  ident.SequenceNumber
	now       ident.MonotonicTime
	timers    []func()
	calls     []cloud.Request
	reply     func(cloud.Request) cloud.Response
}

func (w *fakePort) Now() ident.MonotonicTime { return w.now }

func (w *fakePort) After(d time.Duration, f func()) { w.timers = append(w.timers, f) }

func (w *fakePort) Cloud(r cloud.Request, f func(cloud.Response)) {
	w.calls = append(w.calls, r)
	f(w.reply(r))
}

func (w *fakePort) Store(r kvstore.Request, f func(kvstore.Response)) {
	f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 5})
}

// Worker never answers, unless it is said who is dead.
func (w *fakePort) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	addr := c.Addr
	if gone, ok := w.deadAddrs[addr]; gone || !ok {
		f(workers.CommandResult{})
		return
	}
	w.sequence++
	f(workers.CommandResult{Status: 200, Heartbeat: &api.Heartbeat{MachineID: ident.MachineID(addr), Addr: addr, Model: "m8", Zone: "east",
		Incarnation: 1, SequenceNumber: w.sequence, FencingToken: c.Body.FencingToken}})
}

func (w *fakePort) advance(d time.Duration, m *Manager) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(500 * time.Millisecond)
		due := w.timers
		w.timers = nil
		for _, f := range due {
			f()
		}
		m.Tick()
	}
}

type harness struct {
	*fakePort
	manager           *Manager
	table             *workers.Table
	jobs              *jobs.Table
	commits           *commit.Committer
	reached, stranded bool
}

func newHarness() *harness {
	r := &harness{fakePort: &fakePort{now: ident.MonotonicTime(time.Hour)}, reached: true}
	r.reply = func(q cloud.Request) cloud.Response { return cloud.Response{Outcome: cloud.OK} }
	kind := cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 10, Zones: []string{"east"}}
	r.commits = commit.New(r, commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}, kvstore.Compare{Key: "leader", Revision: 1}, func(error) {})
	r.jobs = jobs.NewTable(r.commits, 16<<10, r.Now, func() int64 { return 0 })
	r.table = workers.NewTable(r, r.jobs, workers.Config{Term: 3, LeaseDuration: 30 * time.Second, LeaderGrace: 10 * time.Second,
		Catalog: func(string) *cloud.MachineType { return &kind }, OnDeposed: func() {}, OnCapacityChanged: func() {},
		OnTaskFailed: func(*jobs.Task, *workers.Worker, api.Cause) {}, OnCommandResult: func(*workers.Worker, bool) {}, LastPeerRenewal: func() ident.MonotonicTime { return 0 },
		Persist: func(w *workers.Worker) {
			w.Persisted = w.State != workers.Terminated
		}})
	tuning := settings.DefaultTuning()
	tuning.ScaleInDelay = time.Hour // these tests are about other reasons to return
	teams := placement.NewTeams([]settings.Team{{Name: "red", CPUs: 100, CPUsMax: 100}, {Name: "guest"}})
	r.manager = New(r, r.table, r.jobs, teams, rand.New(rand.NewPCG(1, 1)), Config{Term: 3, Tuning: tuning,
		Cloud: settings.CloudLimits{RPS: 5, ListLagS: 10}, Workers: settings.WorkerTimes{HeartbeatS: 3, LeaseS: 30},
		Catalog:          func() []cloud.MachineType { return []cloud.MachineType{kind} },
		ReachableViaPeer: func() bool { return r.reached },
		DirectContact:    func() bool { return true }, ZonePeersSilent: func(string) bool { return r.stranded },
		Objective: func(string) time.Duration { return 0 },
		Movable:   func(*jobs.Task, *workers.Worker) bool { return false }, Drain: func(*workers.Worker) {},
		SetServiceHeadroom: func(string, float64) {}})
	return r
}

// trackTasks counts tasks on their machines as they come and go.
func (r *harness) trackTasks() {
	r.jobs.OnStateChange = func(task *jobs.Task, from, to jobs.State) {
		if w := r.table.Workers[task.MachineID]; to.Allocated() && !from.Allocated() {
			r.table.AddTask(w, task)
		} else if !to.Allocated() && from.Allocated() {
			r.table.RemoveTask(w, task)
		}
	}
}

func (r *harness) addMachines(n int) {
	for i := range n {
		w := r.table.Add(ident.MachineID(fmt.Sprintf("host-%06d", i)), "m8", "east", false, r.now)
		r.table.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 1})
	}
}

func (r *harness) countCalls(op cloud.Op) int {
	n := 0
	for _, c := range r.calls {
		if c.Op == op {
			n++
		}
	}
	return n
}

// newReplicaHarness has machines with a replica on each, some of which answer nothing.
func newReplicaHarness(machines int, dead func(i int) bool) *harness {
	r := newHarness()
	r.manager.heartbeatOverdue, r.manager.fenceTimeout = 10*time.Second, 18*time.Second
	r.addMachines(machines)
	r.deadAddrs, r.sequence = map[string]bool{}, 100
	j := r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: machines, VCPUs: 1}, func() {}, nil)
	r.commits.Flush()
	r.trackTasks()
	for i, w := range r.table.Sorted() {
		w.Addr = string(w.ID)
		r.deadAddrs[w.Addr] = dead(i)
		r.jobs.Place(&j.Tasks[i], w.ID, 1, func() {})
	}
	r.commits.Flush()
	return r
}

// assertOnlyDeadFenced checks that all machines that answer nothing are gone, and no other.
func (r *harness) assertOnlyDeadFenced(t *testing.T, dead int) {
	t.Helper()
	gone := 0
	for _, w := range r.table.Sorted() {
		if w.State == workers.Terminated {
			gone++
			if !r.deadAddrs[w.Addr] {
				t.Errorf("%s answers, and was fenced", w.ID)
			}
		}
	}
	if gone != dead {
		t.Errorf("%d of %d machines are fenced", gone, dead)
	}
}

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
	"opaldale/internal/workerstest"
)

// fakePort answers requests to the cloud by a function and has a clock of its own.
type fakePort struct {
	deadAddrs map[string]bool
	sequence  ident.SequenceNumber
	now       ident.MonotonicTime
	timers    []func()
	calls     []cloud.Request
	reply     func(cloud.Request) cloud.Response
}

func (w *fakePort) Now() ident.MonotonicTime { return w.now }

func (w *fakePort) After(_ time.Duration, f func()) { w.timers = append(w.timers, f) }

func (w *fakePort) Cloud(r cloud.Request, f func(cloud.Response)) {
	w.calls = append(w.calls, r)
	f(w.reply(r))
}

func (w *fakePort) Store(_ kvstore.Request, f func(kvstore.Response)) {
	f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 5})
}

// Worker answers for the machines that deadAddrs has as not dead.
func (w *fakePort) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	addr := c.Addr
	if gone, ok := w.deadAddrs[addr]; gone || !ok {
		f(workers.CommandResult{})
		return
	}
	w.sequence++
	answer := newHeartbeat(ident.MachineID(addr), w.sequence)
	answer.Addr, answer.FencingToken = addr, c.Body.FencingToken
	f(workers.CommandResult{Status: 200, Heartbeat: answer})
}

// advance lets time pass in steps of half a second, each with a tick.
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

// harness is a manager with its tables on a fakePort.
type harness struct {
	*fakePort
	manager          *Manager
	table            *workers.Table
	jobs             *jobs.Table
	commits          *commit.Committer
	reachableViaPeer bool
	zonePeersSilent  bool
}

// testMachineType is the machine type of the tests, in some zones.
func testMachineType(zones ...string) cloud.MachineType {
	return cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 10, Zones: zones}
}

// newHarness makes a manager without machines and jobs.
func newHarness() *harness {
	r := &harness{fakePort: &fakePort{now: ident.MonotonicTime(time.Hour)}, reachableViaPeer: true}
	r.reply = func(cloud.Request) cloud.Response { return cloud.Response{Outcome: cloud.OK} }
	machineType := testMachineType("east")
	limits := commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}
	r.commits = commit.New(r, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(error) {})
	r.jobs = jobs.NewTable(r.commits, 16<<10, r.Now, func() int64 { return 0 })
	workersConfig := workerstest.Config(3, machineType)
	workersConfig.LeaderGrace = 10 * time.Second
	workersConfig.Persist = func(w *workers.Worker) { w.Persisted = w.State != workers.Terminated }
	r.table = workers.NewTable(r, r.jobs, workersConfig)
	tuning := settings.DefaultTuning()
	tuning.ScaleInDelay = time.Hour // these tests are about other reasons to terminate
	teams := placement.NewTeams([]settings.Team{{Name: "red", CPUs: 100, CPUsMax: 100}, {Name: "guest"}})
	r.manager = New(r, r.table, r.jobs, teams, rand.New(rand.NewPCG(1, 1)), Config{
		Term:               3,
		Tuning:             tuning,
		Cloud:              settings.CloudLimits{RPS: 5, ListLagS: 10},
		Workers:            settings.WorkerTimes{HeartbeatS: 3, LeaseS: 30},
		Catalog:            func() []cloud.MachineType { return []cloud.MachineType{machineType} },
		ReachableViaPeer:   func() bool { return r.reachableViaPeer },
		DirectContact:      func() bool { return true },
		ZonePeersSilent:    func(string) bool { return r.zonePeersSilent },
		Objective:          func(string) time.Duration { return 0 },
		Movable:            func(*jobs.Task, *workers.Worker) bool { return false },
		Drain:              func(*workers.Worker) {},
		SetServiceHeadroom: func(string, float64) {},
	})
	return r
}

// trackTasks counts tasks on their machines as they come and go.
func (r *harness) trackTasks() {
	r.jobs.OnStateChange = workerstest.TrackAllocation(r.table)
}

// machineID names one of the machines that addMachines adds.
func machineID(n int) ident.MachineID { return ident.MachineID(fmt.Sprintf("host-%06d", n)) }

// newHeartbeat is one of a machine in its first incarnation, without a fencing token.
func newHeartbeat(id ident.MachineID, sequence ident.SequenceNumber) *api.Heartbeat {
	return &api.Heartbeat{MachineID: id, Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: sequence}
}

// newTokenHeartbeat is one of a machine that has received the first token of the term.
func newTokenHeartbeat(id ident.MachineID, sequence ident.SequenceNumber) *api.Heartbeat {
	h := newHeartbeat(id, sequence)
	h.FencingToken = ident.MakeFencingToken(3, 0)
	return h
}

// addMachines adds machines that have reported.
func (r *harness) addMachines(n int) {
	for i := range n {
		w := r.table.Add(workers.MachineInfo{ID: machineID(i), Model: "m8", Zone: "east", CreatedAt: r.now})
		r.table.HandleHeartbeat(newHeartbeat(w.ID, 1))
	}
}

// submit adds a job and commits it.
func (r *harness) submit(spec *api.Spec) *jobs.Job {
	j := r.jobs.Add(spec, func() {}, nil)
	r.commits.Flush()
	return j
}

// countCalls counts the requests to the cloud for an operation.
func (r *harness) countCalls(op cloud.Op) int {
	n := 0
	for _, c := range r.calls {
		if c.Op == op {
			n++
		}
	}
	return n
}

// newReplicaHarness makes a manager of machines with a replica on each, some of which are dead.
func newReplicaHarness(machines int, dead func(i int) bool) *harness {
	r := newHarness()
	r.manager.health.heartbeatOverdue, r.manager.health.fenceTimeout = 10*time.Second, 18*time.Second
	r.addMachines(machines)
	r.deadAddrs, r.sequence = map[string]bool{}, 100
	j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: machines, VCPUs: 1})
	r.trackTasks()
	for i, w := range r.table.Sorted() {
		w.Addr = string(w.ID)
		r.deadAddrs[w.Addr] = dead(i)
		r.jobs.Place(&j.Tasks[i], w.ID, 1, func() {})
	}
	r.commits.Flush()
	return r
}

// assertOnlyDeadFenced checks that all dead machines are terminated, and no other.
func (r *harness) assertOnlyDeadFenced(t *testing.T, dead int) {
	t.Helper()
	fenced := 0
	for _, w := range r.table.Sorted() {
		if w.State == workers.Terminated {
			fenced++
			if !r.deadAddrs[w.Addr] {
				t.Errorf("%s responds, and was fenced", w.ID)
			}
		}
	}
	if fenced != dead {
		t.Errorf("%d of %d machines are fenced", fenced, dead)
	}
}

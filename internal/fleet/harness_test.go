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

// fakePort is a Port, and the environment of the machine and job tables, with a simulated clock. The reply
// function answers requests to the cloud.
type fakePort struct {
	deadAddrs map[string]bool // by worker address: whether the worker is dead; workers not listed don't respond
	sequence  ident.SequenceNumber
	now       ident.MonotonicTime
	timers    []func()
	calls     []cloud.Request
	reply     func(cloud.Request) cloud.Response
}

func (p *fakePort) Now() ident.MonotonicTime { return p.now }

func (p *fakePort) After(_ time.Duration, f func()) { p.timers = append(p.timers, f) }

func (p *fakePort) Cloud(request cloud.Request, f func(cloud.Response)) {
	p.calls = append(p.calls, request)
	f(p.reply(request))
}

func (p *fakePort) Store(_ kvstore.Request, f func(kvstore.Response)) {
	f(kvstore.Response{Outcome: kvstore.OK, StoreRevision: 5})
}

// Worker responds to a command if deadAddrs contains the worker and it is not dead. Otherwise the command
// gets no response.
func (p *fakePort) Worker(call workers.CommandCall, f func(workers.CommandResult)) {
	addr := call.Addr
	if dead, ok := p.deadAddrs[addr]; dead || !ok {
		f(workers.CommandResult{})
		return
	}
	p.sequence++
	heartbeat := newHeartbeat(ident.MachineID(addr), p.sequence)
	heartbeat.Addr, heartbeat.FencingToken = addr, call.Body.FencingToken
	f(workers.CommandResult{Status: 200, Heartbeat: heartbeat})
}

// advance advances the clock in steps of half a second, and runs all timers and a tick in each step.
func (p *fakePort) advance(d time.Duration, m *Manager) {
	for end := p.now.Add(d); p.now < end; {
		p.now = p.now.Add(500 * time.Millisecond)
		due := p.timers
		p.timers = nil
		for _, f := range due {
			f()
		}
		m.Tick()
	}
}

// harness is a manager and its machine and job tables, which run on a fakePort.
type harness struct {
	*fakePort
	manager              *Manager
	table                *workers.Table
	jobs                 *jobs.Table
	commits              *commit.Committer
	reservations         map[*workers.Worker]placement.Reservation
	reachableViaPeer     bool
	zonePeersUnreachable bool
}

// testMachineType returns the machine type of the tests, which is offered in the given zones.
func testMachineType(zones ...string) cloud.MachineType {
	return cloud.MachineType{SKU: "m8", VCPUs: 8, MemoryGB: 32, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 10, Zones: zones}
}

// newHarness returns a manager without machines or jobs.
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
	tuning.ScaleInDelay = time.Hour // the tests terminate machines for other reasons
	teams := placement.NewTeams([]settings.Team{{Name: "red", CPUs: 100, CPUsMax: 100}, {Name: "borrower"}})
	r.manager = New(r, r.table, r.jobs, teams, rand.New(rand.NewPCG(1, 1)), Config{
		Term:                 3,
		Tuning:               tuning,
		Cloud:                settings.CloudLimits{RPS: 5, ListLagS: 10},
		Workers:              settings.WorkerTimes{HeartbeatS: 3, LeaseS: 30},
		Catalog:              func() []cloud.MachineType { return []cloud.MachineType{machineType} },
		ReachableViaPeer:     func() bool { return r.reachableViaPeer },
		DirectContact:        func() bool { return true },
		ZonePeersUnreachable: func(string) bool { return r.zonePeersUnreachable },
		Objective:            func(string) time.Duration { return 0 },
		Movable:              func(*jobs.Task, *workers.Worker) bool { return false },
		ReservationOn:        func(w *workers.Worker) placement.Reservation { return r.reservations[w] },
		Drain:                func(*workers.Worker) {},
		SetServiceHeadroom:   func(string, float64) {},
	})
	return r
}

// trackTasks keeps the machine table's allocations up to date as tasks are placed and end.
func (r *harness) trackTasks() {
	r.jobs.OnStateChange = workerstest.TrackAllocation(r.table)
}

// machineID returns the ID of the n-th machine that addMachines adds.
func machineID(n int) ident.MachineID { return ident.MachineID(fmt.Sprintf("host-%06d", n)) }

// newHeartbeat returns a heartbeat of a machine in its first incarnation, without a fencing token.
func newHeartbeat(id ident.MachineID, sequence ident.SequenceNumber) *api.Heartbeat {
	return &api.Heartbeat{MachineID: id, Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: sequence}
}

// newTokenHeartbeat returns a heartbeat of a machine that has received the first fencing token of the term.
func newTokenHeartbeat(id ident.MachineID, sequence ident.SequenceNumber) *api.Heartbeat {
	h := newHeartbeat(id, sequence)
	h.FencingToken = ident.MakeFencingToken(3, 0)
	return h
}

// addMachines adds n machines, each of which has sent one heartbeat.
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

// countCalls returns the number of requests to the cloud for an operation.
func (r *harness) countCalls(op cloud.Op) int {
	n := 0
	for _, c := range r.calls {
		if c.Op == op {
			n++
		}
	}
	return n
}

// newReplicaHarness returns a manager with a number of machines that run one replica each. dead selects the
// machines that don't respond to commands.
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
		r.jobs.Place(j.Tasks.At(i), w.ID, 1, func() {})
	}
	r.commits.Flush()
	return r
}

// assertOnlyDeadFenced checks that exactly the dead machines were terminated, and that there are as many
// as expected.
func (r *harness) assertOnlyDeadFenced(t *testing.T, dead int) {
	t.Helper()
	fenced := 0
	for _, w := range r.table.Sorted() {
		if w.State == workers.Terminated {
			fenced++
			if !r.deadAddrs[w.Addr] {
				t.Errorf("machine %s responds to commands but was fenced", w.ID)
			}
		}
	}
	if fenced != dead {
		t.Errorf("%d machines were fenced, want %d", fenced, dead)
	}
}

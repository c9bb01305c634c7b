package fleet

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// TestStaleListingIsNotAdopted: a listing may describe a time before the term, and contain a machine that
// the previous leader has terminated. A machine is only adopted if it is still listed when the listing
// can no longer be that old.
func TestStaleListingIsNotAdopted(t *testing.T) {
	r := newHarness()
	listed := cloud.ListedMachine{ID: machineID(9), Addr: "b", Model: "m8", Zone: "east", Status: "running", AgeS: 5}
	r.reply = func(cloud.Request) cloud.Response {
		return cloud.Response{Outcome: cloud.OK, Machines: []cloud.ListedMachine{listed}}
	}
	r.advance(15*time.Second, r.manager)
	if r.countCalls(cloud.List) == 0 || r.table.Workers[listed.ID] != nil {
		t.Fatalf("after %d list requests (want any) the table holds %v, want no machine",
			r.countCalls(cloud.List), r.table.Workers)
	}
	r.advance(25*time.Second, r.manager)
	if r.table.Workers[listed.ID] == nil {
		t.Errorf("machine %s is still listed but was not adopted", listed.ID)
	}
}

// TestLostProvisionRequestIsRetried: a request without a response is retried with the same identifier, so
// that the provider provisions no further machines. Different requests have different identifiers.
func TestLostProvisionRequestIsRetried(t *testing.T) {
	r := newHarness()
	tries := map[string]int{}
	r.reply = func(request cloud.Request) cloud.Response {
		if request.Op != cloud.Provision {
			return cloud.Response{Outcome: cloud.OK}
		}
		tries[request.RequestID]++
		if tries[request.RequestID] < 3 {
			return cloud.Response{Outcome: cloud.NoResponse}
		}
		return cloud.Response{Outcome: cloud.OK, Provisioned: []ident.MachineID{ident.MachineID("host-" + request.RequestID)}}
	}
	for i := range 2 {
		id := ident.JobID(fmt.Sprintf("j-%d", i))
		r.submit(&api.Spec{ID: id, Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 8, MemoryGB: 1})
		r.advance(4*time.Second, r.manager)
	}
	if len(tries) != 2 || r.manager.Provisioned != 2 {
		t.Errorf("attempts by request identifier %v, want 2 identifiers; %d machines provisioned, want 2",
			tries, r.manager.Provisioned)
	}
	for id, n := range tries {
		if n != 3 {
			t.Errorf("request %s was sent %d times, want 3", id, n)
		}
	}
}

// TestMassSilence: if most of the fleet becomes silent at once, no machine is fenced while no peer is
// reachable. If a peer is reachable, machines are fenced after twice the fence timeout.
func TestMassSilence(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		r := newHarness()
		r.reachableViaPeer = reachable
		r.addMachines(6)
		r.advance(9*time.Second, r.manager)
		if n := r.countCalls(cloud.Terminate); n > 0 {
			t.Errorf("reachable via a peer %v: %d termination requests after 9 s, want 0", reachable, n)
		}
		r.advance(10*time.Second, r.manager)
		if n := r.countCalls(cloud.Terminate); (n > 0) != reachable {
			t.Errorf("reachable via a peer %v: %d termination requests after 19 s, want any: %v", reachable, n, reachable)
		}
	}
}

// TestStall: after a stall, a node waits for heartbeats again before it fences machines.
func TestStall(t *testing.T) {
	r := newHarness()
	r.addMachines(1)
	r.advance(2*time.Second, r.manager)
	r.now = r.now.Add(30 * time.Second)
	r.advance(2*time.Second, r.manager)
	if r.countCalls(cloud.Terminate) > 0 {
		t.Errorf("%d termination requests within 2 s after a stall, want 0", r.countCalls(cloud.Terminate))
	}
	r.advance(8*time.Second, r.manager)
	if r.countCalls(cloud.Terminate) == 0 {
		t.Error("no termination request within 10 s after a stall, want at least 1 for the silent machine")
	}
}

// TestTerminationWhileCloudIsDown: if a silent machine can't be terminated because the cloud is unavailable,
// its tasks stay allocated to it until its lease has expired, and are released then.
func TestTerminationWhileCloudIsDown(t *testing.T) {
	r := newHarness()
	r.reply = func(cloud.Request) cloud.Response { return cloud.Response{Outcome: cloud.Unavailable} }
	r.addMachines(1)
	w := r.table.Workers[machineID(0)]
	j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 1})
	r.trackTasks()
	r.jobs.Place(j.Tasks.At(0), w.ID, 1, func() {})
	r.commits.Flush()
	r.advance(25*time.Second, r.manager)
	if w.State != workers.Terminating || j.AllocatedTasks != 1 {
		t.Fatalf("after 25 s: machine is %v, want %v; %d tasks allocated, want 1", w.State, workers.Terminating, j.AllocatedTasks)
	}
	r.advance(20*time.Second, r.manager)
	if j.AllocatedTasks != 0 {
		t.Errorf("%d tasks are still allocated after the lease has expired, want 0", j.AllocatedTasks)
	}
}

// TestSilentMachineIsFenced: a single silent machine is fenced after about two heartbeat intervals.
func TestSilentMachineIsFenced(t *testing.T) {
	r := newHarness()
	r.addMachines(6)
	for i := range 20 {
		for n := range 5 {
			r.table.HandleHeartbeat(newTokenHeartbeat(machineID(n), ident.SequenceNumber(2+i)))
		}
		r.advance(500*time.Millisecond, r.manager)
	}
	if w := r.table.Workers[machineID(5)]; w.State != workers.Terminated {
		t.Errorf("the silent machine is %v, want %v", w.State, workers.Terminated)
	}
	if w := r.table.Workers[machineID(0)]; w.State != workers.Up {
		t.Errorf("a machine that sends heartbeats is %v, want %v", w.State, workers.Up)
	}
}

// TestFailedMachineIsNoCapacity: an idle machine on which a task of a job failed does not count as capacity,
// so another machine is provisioned for the job.
func TestFailedMachineIsNoCapacity(t *testing.T) {
	r := newHarness()
	r.addMachines(1)
	r.reply = func(request cloud.Request) cloud.Response {
		if request.Op == cloud.Provision {
			return cloud.Response{Outcome: cloud.OK, Provisioned: []ident.MachineID{"host-000777"}}
		}
		return cloud.Response{Outcome: cloud.OK}
	}
	j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Batch, Tasks: 1, VCPUs: 2, MemoryGB: 2, Image: "img", RuntimeS: 5})
	r.advance(2*time.Second, r.manager)
	if n := r.countCalls(cloud.Provision); n != 0 {
		t.Fatalf("%d provisioning requests while a machine is idle, want 0", n)
	}
	r.table.Workers[machineID(0)].RecordFailure(j)
	r.advance(2*time.Second, r.manager)
	if r.countCalls(cloud.Provision) == 0 {
		t.Error("no provisioning request for a job that failed on the idle machine, want at least 1")
	}
}

// TestInboundPartitionIsFenced: a machine whose heartbeats arrive, but which receives neither the responses
// to them nor commands, is fenced. Machines that receive the responses are not, although commands get lost.
func TestInboundPartitionIsFenced(t *testing.T) {
	r := newHarness()
	r.addMachines(6)
	tokens := map[ident.MachineID]ident.FencingToken{}
	for i := range 40 {
		for n := range 6 {
			id := machineID(n)
			if w := r.table.Workers[id]; w == nil || w.State != workers.Up {
				continue
			}
			h := newHeartbeat(id, ident.SequenceNumber(2+i))
			h.FencingToken = tokens[id]
			response := r.table.HandleHeartbeat(h)
			if n > 0 && response != nil {
				tokens[id] = response.FencingToken
			}
		}
		r.advance(500*time.Millisecond, r.manager)
	}
	for n := range 6 {
		if w := r.table.Workers[machineID(n)]; (w.State == workers.Up) != (n > 0) {
			t.Errorf("machine %d is %v, want up: %v", n, w.State, n > 0)
		}
	}
}

// TestRackFailure: when machines fail together, all of them are detected within a short time, although the
// heartbeats of most of them are not due yet. The other machines are probed, but not fenced.
func TestRackFailure(t *testing.T) {
	const dead = 8
	r := newReplicaHarness(40, func(i int) bool { return i < dead })
	// The heartbeats arrived at different times. The first machine's next heartbeat is due before all others.
	for n := 1; n < 40; n++ {
		r.now = r.now.Add(200 * time.Millisecond)
		w := r.table.Sorted()[n]
		h := newTokenHeartbeat(w.ID, 2)
		h.Addr = w.Addr
		r.table.HandleHeartbeat(h)
	}
	r.manager.Tick()
	r.advance(9*time.Second, r.manager)
	r.assertOnlyDeadFenced(t, dead)
}

// TestZonePartition: if all machines and controllers of a zone are silent, the machines are not fenced,
// since their tasks may still be running. No tasks are placed there, and tasks stay allocated until the
// leases of their machines have expired. If a controller of the zone is reachable, the machines are fenced.
func TestZonePartition(t *testing.T) {
	for _, peersUnreachable := range []bool{true, false} {
		r := newHarness()
		r.zonePeersUnreachable = peersUnreachable
		r.addMachines(12)
		for i, w := range r.table.Sorted() {
			if i < 5 {
				w.Zone = "west"
			}
		}
		lost := r.table.Workers[machineID(0)]
		j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 1})
		r.trackTasks()
		r.jobs.Place(j.Tasks.At(0), lost.ID, 1, func() {})
		r.commits.Flush()
		sequence := ident.SequenceNumber(1)
		runWithHeartbeats := func(d time.Duration) {
			for end := r.now.Add(d); r.now < end; {
				sequence++
				for n := 5; n < 12; n++ {
					r.table.HandleHeartbeat(newTokenHeartbeat(machineID(n), sequence))
				}
				r.advance(500*time.Millisecond, r.manager)
			}
		}
		runWithHeartbeats(25 * time.Second)
		if !peersUnreachable {
			if lost.State != workers.Terminated {
				t.Errorf("a silent machine of a zone with a reachable peer is %v after 25 s, want %v",
					lost.State, workers.Terminated)
			}
			continue
		}
		if n := r.countCalls(cloud.Terminate); n > 0 || j.AllocatedTasks != 1 || lost.Schedulable(r.now) {
			t.Errorf("after 25 s: %d termination requests, want 0; %d tasks allocated, want 1; schedulable %v, want false",
				n, j.AllocatedTasks, lost.Schedulable(r.now))
		}
		runWithHeartbeats(20 * time.Second)
		if n := r.countCalls(cloud.Terminate); n > 0 || j.AllocatedTasks != 0 {
			t.Errorf("after the lease has expired: %d termination requests, want 0; %d tasks allocated, want 0",
				n, j.AllocatedTasks)
		}
		runWithHeartbeats(120 * time.Second)
		if lost.State != workers.Terminated {
			t.Errorf("a machine of a zone that stays partitioned is %v after 165 s, want %v", lost.State, workers.Terminated)
		}
	}
}

// TestUnresponsiveMachinesAreFenced: among many machines with replicas, the dead ones are detected soon after
// a few of them have not responded, although no heartbeat is due yet. This is the case after an election.
func TestUnresponsiveMachinesAreFenced(t *testing.T) {
	const machines, dead = 300, 30
	r := newReplicaHarness(machines, func(i int) bool { return i%(machines/dead) == 0 })
	r.advance(9*time.Second, r.manager)
	r.assertOnlyDeadFenced(t, dead)
}

// TestHeadroomIsReleasedWhenArrivalsCease: headroom is kept while jobs arrive, and released within a minute
// after the last job.
func TestHeadroomIsReleasedWhenArrivalsCease(t *testing.T) {
	r := newHarness()
	r.manager.cfg.Tuning.ScaleInDelay = 12 * time.Second
	r.addMachines(2)
	r.manager.ResumeFromPriorTerm()
	// runWithHeartbeats advances the clock by 5 s while the machines send heartbeats.
	runWithHeartbeats := func() {
		for range 2 {
			for _, w := range r.table.Sorted() {
				if w.State == workers.Up {
					r.table.HandleHeartbeat(newHeartbeat(w.ID, ident.SequenceNumber(r.now)))
				}
			}
			r.advance(2500*time.Millisecond, r.manager)
		}
	}
	terminated := func() (n int) {
		for _, w := range r.table.Sorted() {
			if w.State == workers.Terminating || w.State == workers.Terminated {
				n++
			}
		}
		return n
	}
	for range 4 {
		r.manager.RecordArrival(&api.Spec{Shape: api.Service, Tasks: 4, VCPUs: 3}, r.now)
		runWithHeartbeats()
	}
	if n := terminated(); n > 0 {
		t.Fatalf("%d machines were terminated while jobs arrive, want 0", n)
	}
	for range 12 {
		runWithHeartbeats()
	}
	if n := terminated(); n != 2 {
		t.Errorf("%d idle machines were terminated within a minute after the last job, want 2", n)
	}
}

// TestGangScalesOutInOneZone: if a gang that must run in one zone does not fit into any zone, all machines
// for it are provisioned in the same zone. If that zone has no capacity, the other zone is used.
func TestGangScalesOutInOneZone(t *testing.T) {
	for _, full := range []string{"", "east", "west"} {
		r := newHarness()
		r.manager.cfg.Tuning.Headroom = 0 // provision nothing for jobs that have not arrived yet
		r.manager.cfg.Catalog = func() []cloud.MachineType { return []cloud.MachineType{testMachineType("east", "west")} }
		provisioned := map[string]int{}
		r.reply = func(request cloud.Request) cloud.Response {
			switch {
			case request.Op != cloud.Provision:
				return cloud.Response{Outcome: cloud.OK}
			case request.Zone == full:
				return cloud.Response{Outcome: cloud.NoCapacity}
			}
			response := cloud.Response{Outcome: cloud.OK}
			for range request.Count {
				provisioned[request.Zone]++
				response.Provisioned = append(response.Provisioned,
					ident.MachineID(fmt.Sprintf("host-%s%03d", request.Zone, provisioned[request.Zone])))
			}
			return response
		}
		r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Gang, Tasks: 6, VCPUs: 4, OneZone: true})
		r.advance(2*time.Second, r.manager)
		most := max(provisioned["east"], provisioned["west"])
		if least := min(provisioned["east"], provisioned["west"]); most < 3 || least > 0 || full != "" && provisioned[full] > 0 {
			t.Errorf("no capacity in zone %q: provisioned %v, want at least 3 machines, all in one zone with capacity",
				full, provisioned)
		}
	}
}

// TestBorrowersDoNotScaleOut: for a borrower's jobs that may use spot machines, no on-demand machine is
// provisioned, however long they wait. The resources that they use count as free for other teams.
func TestBorrowersDoNotScaleOut(t *testing.T) {
	for _, team := range []string{"borrower", "red"} {
		r := newHarness()
		r.trackTasks()
		r.addMachines(2)
		backlog := r.submit(&api.Spec{
			ID:       "j-1",
			Team:     team,
			Shape:    api.Batch,
			Priority: api.BestEffort,
			Tasks:    60,
			VCPUs:    1,
			Spot:     true,
			RuntimeS: 100,
		})
		for i := range 16 {
			r.jobs.Place(backlog.Tasks.At(i), machineID(i/8), 1, func() {})
		}
		r.submit(&api.Spec{ID: "j-2", Team: "red", Shape: api.Batch, Priority: api.Standard, Tasks: 2, VCPUs: 4, RuntimeS: 10})
		for range 120 {
			r.now = r.now.Add(time.Second)
			r.manager.autoscaler.run()
		}
		onDemand := 0
		for _, c := range r.calls {
			if c.Op == cloud.Provision && !c.Spot {
				onDemand += c.Count
			}
		}
		if (onDemand > 0) != (team == "red") {
			t.Errorf("team %s: %d on-demand machines requested, want any: %v", team, onDemand, team == "red")
		}
	}
}

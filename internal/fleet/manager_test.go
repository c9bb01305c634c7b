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

// TestStaleListingIsNotAdopted: a listing may be older than the term, and show a machine that the
// previous leader has terminated. It is not adopted until it is listed for longer.
func TestStaleListingIsNotAdopted(t *testing.T) {
	r := newHarness()
	listed := cloud.ListedMachine{ID: machineID(9), Addr: "b", Model: "m8", Zone: "east", Status: "running", AgeS: 5}
	r.reply = func(cloud.Request) cloud.Response {
		return cloud.Response{Outcome: cloud.OK, Machines: []cloud.ListedMachine{listed}}
	}
	r.advance(15*time.Second, r.manager)
	if r.countCalls(cloud.List) == 0 || r.table.Workers[listed.ID] != nil {
		t.Fatalf("after %d lists: adopted %v", r.countCalls(cloud.List), r.table.Workers)
	}
	r.advance(25*time.Second, r.manager)
	if r.table.Workers[listed.ID] == nil {
		t.Error("a machine that stays listed is not adopted")
	}
}

// TestLostProvisionRequestIsRetried: a request without an answer is repeated under its identifier,
// which provisions nothing more; other requests get identifiers of their own.
func TestLostProvisionRequestIsRetried(t *testing.T) {
	r := newHarness()
	tries := map[string]int{}
	r.reply = func(q cloud.Request) cloud.Response {
		if q.Op != cloud.Provision {
			return cloud.Response{Outcome: cloud.OK}
		}
		tries[q.RequestID]++
		if tries[q.RequestID] < 3 {
			return cloud.Response{Outcome: cloud.NoAnswer}
		}
		return cloud.Response{Outcome: cloud.OK, Provisioned: []ident.MachineID{ident.MachineID("host-" + q.RequestID)}}
	}
	for i := range 2 {
		id := ident.JobID(fmt.Sprintf("j-%d", i))
		r.submit(&api.Spec{ID: id, Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 8, MemoryGB: 1})
		r.advance(4*time.Second, r.manager)
	}
	if len(tries) != 2 || r.manager.Provisioned != 2 {
		t.Errorf("requests by identifier %v, provisioned %d", tries, r.manager.Provisioned)
	}
	for id, n := range tries {
		if n != 3 {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// TestMassSilence: if most of the fleet is silent at once, nothing is fenced while no peer is
// reachable; if one is, machines are fenced after twice the fence timeout.
func TestMassSilence(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		r := newHarness()
		r.reachableViaPeer = reachable
		r.addMachines(6)
		r.advance(9*time.Second, r.manager)
		if n := r.countCalls(cloud.Terminate); n > 0 {
			t.Errorf("reachable via a peer %v: fenced after 9 s", reachable)
		}
		r.advance(10*time.Second, r.manager)
		if n := r.countCalls(cloud.Terminate); (n > 0) != reachable {
			t.Errorf("reachable via a peer %v: %d terminations after 19 s", reachable, n)
		}
	}
}

// TestStall: after a stall of its own, a node gives the machines time to report before it fences them.
func TestStall(t *testing.T) {
	r := newHarness()
	r.addMachines(1)
	r.advance(2*time.Second, r.manager)
	r.now = r.now.Add(30 * time.Second)
	r.advance(2*time.Second, r.manager)
	if r.countCalls(cloud.Terminate) > 0 {
		t.Error("fenced right after a stall")
	}
	r.advance(8*time.Second, r.manager)
	if r.countCalls(cloud.Terminate) == 0 {
		t.Error("a silent machine is never fenced after a stall")
	}
}

// TestTerminationWhileCloudIsDown: a silent machine that can't be terminated holds its
// tasks until its lease has expired, and no longer.
func TestTerminationWhileCloudIsDown(t *testing.T) {
	r := newHarness()
	r.reply = func(cloud.Request) cloud.Response { return cloud.Response{Outcome: cloud.Unavailable} }
	r.addMachines(1)
	w := r.table.Workers[machineID(0)]
	j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 1})
	r.trackTasks()
	r.jobs.Place(&j.Tasks[0], w.ID, 1, func() {})
	r.commits.Flush()
	r.advance(25*time.Second, r.manager)
	if w.State != workers.Terminating || j.AllocatedTasks != 1 {
		t.Fatalf("after 25 s: machine %v, %d tasks held", w.State, j.AllocatedTasks)
	}
	r.advance(20*time.Second, r.manager)
	if j.AllocatedTasks != 0 {
		t.Error("the task is still held after the lease")
	}
}

// TestSilentMachineIsFenced: a single silent machine is fenced after about two heartbeats.
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
		t.Errorf("the silent machine is %v", w.State)
	}
	if w := r.table.Workers[machineID(0)]; w.State != workers.Up {
		t.Errorf("a reporting machine is %v", w.State)
	}
}

// TestFailedMachineIsNoCapacity: an idle machine on which a job's task failed doesn't keep
// another from being provisioned for the job.
func TestFailedMachineIsNoCapacity(t *testing.T) {
	r := newHarness()
	r.addMachines(1)
	r.reply = func(q cloud.Request) cloud.Response {
		if q.Op == cloud.Provision {
			return cloud.Response{Outcome: cloud.OK, Provisioned: []ident.MachineID{"host-000777"}}
		}
		return cloud.Response{Outcome: cloud.OK}
	}
	j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Batch, Tasks: 1, VCPUs: 2, MemoryGB: 2, Image: "img", RuntimeS: 5})
	r.advance(2*time.Second, r.manager)
	if n := r.countCalls(cloud.Provision); n != 0 {
		t.Fatalf("%d provisioning requests while a machine is idle", n)
	}
	r.table.Workers[machineID(0)].RecordFailure(j)
	r.advance(2*time.Second, r.manager)
	if r.countCalls(cloud.Provision) == 0 {
		t.Error("nothing is provisioned for a job that fails on the idle machine")
	}
}

// TestInboundPartitionIsFenced: a machine whose heartbeats arrive, but which neither responses nor
// commands reach, is fenced; one that receives the responses is not, though commands get lost.
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
			t.Errorf("machine %d is %v", n, w.State)
		}
	}
}

// TestRackFailure: machines that fail together are found together, though the heartbeats of
// most of them are not due yet; the others are only probed.
func TestRackFailure(t *testing.T) {
	const dead = 8
	r := newReplicaHarness(40, func(i int) bool { return i < dead })
	// Their heartbeats came at different times; that of the first was due just before it failed.
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

// TestZonePartition: silent machines of a zone whose peers are silent as well are not fenced, since
// their tasks may still run; nothing is placed there, and their tasks stay allocated until their
// leases have expired. If a peer of the zone is reachable, they are fenced.
func TestZonePartition(t *testing.T) {
	for _, peersSilent := range []bool{true, false} {
		r := newHarness()
		r.zonePeersSilent = peersSilent
		r.addMachines(12)
		for i, w := range r.table.Sorted() {
			if i < 5 {
				w.Zone = "west"
			}
		}
		lost := r.table.Workers[machineID(0)]
		j := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 1})
		r.trackTasks()
		r.jobs.Place(&j.Tasks[0], lost.ID, 1, func() {})
		r.commits.Flush()
		sequence := ident.SequenceNumber(1)
		live := func(d time.Duration) {
			for end := r.now.Add(d); r.now < end; {
				sequence++
				for n := 5; n < 12; n++ {
					r.table.HandleHeartbeat(newTokenHeartbeat(machineID(n), sequence))
				}
				r.advance(500*time.Millisecond, r.manager)
			}
		}
		live(25 * time.Second)
		if !peersSilent {
			if lost.State != workers.Terminated {
				t.Error("a silent machine of a zone with a reachable peer is never fenced")
			}
			continue
		}
		if n := r.countCalls(cloud.Terminate); n > 0 || j.AllocatedTasks != 1 || lost.Schedulable(r.now) {
			t.Errorf("partitioned for 25 s: %d terminations, %d tasks held, schedulable %v",
				n, j.AllocatedTasks, lost.Schedulable(r.now))
		}
		live(20 * time.Second)
		if n := r.countCalls(cloud.Terminate); n > 0 || j.AllocatedTasks != 0 {
			t.Errorf("after the lease: %d terminations, %d tasks held", n, j.AllocatedTasks)
		}
		live(120 * time.Second)
		if lost.State != workers.Terminated {
			t.Error("machines of a zone whose partition never ends are never terminated")
		}
	}
}

// TestUnresponsiveMachinesAreFenced: of many machines with replicas, the silent ones are found soon after a
// few of them have not responded, though no heartbeat is due yet, as after an election.
func TestUnresponsiveMachinesAreFenced(t *testing.T) {
	const machines, dead = 300, 30
	r := newReplicaHarness(machines, func(i int) bool { return i%(machines/dead) == 0 })
	r.advance(9*time.Second, r.manager)
	r.assertOnlyDeadFenced(t, dead)
}

// TestHeadroomIsReleasedWhenArrivalsCease: headroom is kept while jobs arrive, and released within a
// minute of the last one of any kind.
func TestHeadroomIsReleasedWhenArrivalsCease(t *testing.T) {
	r := newHarness()
	r.manager.cfg.Tuning.ScaleInDelay = 12 * time.Second
	r.addMachines(2)
	r.manager.ResumeFromPriorTerm()
	// runWithHeartbeats lets time pass while the machines send heartbeats.
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
		t.Fatalf("%d machines are terminated while jobs arrive", n)
	}
	for range 12 {
		runWithHeartbeats()
	}
	if n := terminated(); n != 2 {
		t.Errorf("%d of 2 idle machines are terminated a minute after the last job", n)
	}
}

// TestGangScalesOutInOneZone: for a gang that must be in one zone and that none has room for,
// machines are provisioned in one zone, for all of it; where one zone has no capacity, in the
// other.
func TestGangScalesOutInOneZone(t *testing.T) {
	for _, full := range []string{"", "east", "west"} {
		r := newHarness()
		r.manager.cfg.Tuning.Headroom = 0 // nothing is provisioned for jobs to come
		r.manager.cfg.Catalog = func() []cloud.MachineType { return []cloud.MachineType{testMachineType("east", "west")} }
		provisioned := map[string]int{}
		r.reply = func(q cloud.Request) cloud.Response {
			switch {
			case q.Op != cloud.Provision:
				return cloud.Response{Outcome: cloud.OK}
			case q.Zone == full:
				return cloud.Response{Outcome: cloud.NoCapacity}
			}
			a := cloud.Response{Outcome: cloud.OK}
			for range q.Count {
				provisioned[q.Zone]++
				a.Provisioned = append(a.Provisioned, ident.MachineID(fmt.Sprintf("host-%s%03d", q.Zone, provisioned[q.Zone])))
			}
			return a
		}
		r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Gang, Tasks: 6, VCPUs: 4, OneZone: true})
		r.advance(2*time.Second, r.manager)
		most := max(provisioned["east"], provisioned["west"])
		if least := min(provisioned["east"], provisioned["west"]); most < 3 || least > 0 || full != "" && provisioned[full] > 0 {
			t.Errorf("no capacity in %q: provisioned %v for a gang of three machines", full, provisioned)
		}
	}
}

// TestBorrowersDoNotScaleOut: no on-demand machine is provisioned for work of a team without a
// guarantee, however long it waits, and what it uses of machines counts as free for other teams.
func TestBorrowersDoNotScaleOut(t *testing.T) {
	for _, team := range []string{"guest", "red"} {
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
			r.jobs.Place(&backlog.Tasks[i], machineID(i/8), 1, func() {})
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
			t.Errorf("%s: %d on-demand machines requested", team, onDemand)
		}
	}
}

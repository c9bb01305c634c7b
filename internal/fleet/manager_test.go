package fleet

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	_ "opaldale/internal/kvstoretest"
	"opaldale/internal/workers"
)

// TestStaleListingIsNotAdopted guards against what incident inc-8601 showed: a list older than the
// term made a new leader adopt a machine that the one before had returned.
func TestStaleListingIsNotAdopted(t *testing.T) {
	r := newHarness()
	r.reply = func(q cloud.Request) cloud.Response {
		return cloud.Response{Outcome: cloud.OK, Machines: []cloud.ListedMachine{{ID: "host-000009", Addr: "b", Model: "m8", Zone: "east", Status: "running", AgeS: 5}}}
	}
	r.advance(15*time.Second, r.manager)
	if r.countCalls(cloud.List) == 0 || r.table.Workers["host-000009"] != nil {
		t.Fatalf("after %d lists: adopted %v", r.countCalls(cloud.List), r.table.Workers)
	}
	r.advance(25*time.Second, r.manager)
	if r.table.Workers["host-000009"] == nil {
		t.Error("a machine that stays listed is not adopted")
	}
}

// TestLostProvisionRequestIsRetried: a request without an answer is repeated under its own name,
// which rents nothing more; other requests get names of their own.
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
		r.jobs.Add(&api.Spec{ID: ident.JobID(fmt.Sprintf("j-%d", i)), Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 8, MemoryGB: 1}, func() {}, nil)
		r.commits.Flush()
		r.advance(4*time.Second, r.manager)
	}
	if len(tries) != 2 || r.manager.Provisioned != 2 {
		t.Errorf("requests by name %v, rented %d", tries, r.manager.Provisioned)
	}
	for name, n := range tries {
		if n != 3 {
			t.Errorf("%s was sent %d times", name, n)
		}
	}
}

// TestMassSilence: most of the fleet silent at once is not fenced while no
// sibling is heard, and only after twice the time if one is.
func TestMassSilence(t *testing.T) {
	for _, reached := range []bool{false, true} {
		r := newHarness()
		r.reached = reached
		r.addMachines(6)
		r.advance(9*time.Second, r.manager)
		if n := r.countCalls(cloud.Terminate); n > 0 {
			t.Errorf("reached %v: fenced after 9 s", reached)
		}
		r.advance(10*time.Second, r.manager)
		if n := r.countCalls(cloud.Terminate); (n > 0) != reached {
			t.Errorf("reached %v: %d returns after 19 s", reached, n)
		}
	}
}

// TestStall: a node that was slow itself gives the machines time to be heard.
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

// TestReturnWhileCloudIsDown: a silent machine that can't be returned holds its
// tasks until its lease is surely over, and not for ever.
func TestReturnWhileCloudIsDown(t *testing.T) {
	r := newHarness()
	r.reply = func(cloud.Request) cloud.Response { return cloud.Response{Outcome: cloud.Unavailable} }
	r.addMachines(1)
	w := r.table.Workers["host-000000"]
	j := r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 1}, func() {}, nil)
	r.commits.Flush()
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

// TestSilentMachineIsFenced: a single silent machine is fenced after about two reports.
func TestSilentMachineIsFenced(t *testing.T) {
	r := newHarness()
	r.addMachines(6)
	for i := range 20 {
		for n := range 5 {
			r.table.HandleHeartbeat(&api.Heartbeat{MachineID: ident.MachineID(fmt.Sprintf("host-%06d", n)), Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: ident.SequenceNumber(2 + i), FencingToken: ident.MakeFencingToken(3, 0)})
		}
		r.advance(500*time.Millisecond, r.manager)
	}
	if w := r.table.Workers["host-000005"]; w.State != workers.Terminated {
		t.Errorf("the silent machine is %v", w.State)
	}
	if w := r.table.Workers["host-000000"]; w.State != workers.Up {
		t.Errorf("a reporting machine is %v", w.State)
	}
}

// TestFailedMachineIsNoCapacity: an idle machine on which a job's task failed doesn't keep
// another from being rented for the job.
func TestFailedMachineIsNoCapacity(t *testing.T) {
	r := newHarness()
	r.addMachines(1)
	r.reply = func(q cloud.Request) cloud.Response {
		if q.Op == cloud.Provision {
			return cloud.Response{Outcome: cloud.OK, Provisioned: []ident.MachineID{"host-000777"}}
		}
		return cloud.Response{Outcome: cloud.OK}
	}
	j := r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Batch, Tasks: 1, VCPUs: 2, MemoryGB: 2, Image: "img", RuntimeS: 5}, func() {}, nil)
	r.commits.Flush()
	r.advance(2*time.Second, r.manager)
	if n := r.countCalls(cloud.Provision); n != 0 {
		t.Fatalf("%d rentals while a machine is idle", n)
	}
	r.table.Workers["host-000000"].RecordFailure(j)
	r.advance(2*time.Second, r.manager)
	if r.countCalls(cloud.Provision) == 0 {
		t.Error("nothing is rented for a job that the idle machine fails")
	}
}

// TestInboundPartitionIsFenced: a machine whose reports arrive, but which neither answers nor commands
// reach, is fenced; one that hears the answers is not, though commands get lost.
func TestInboundPartitionIsFenced(t *testing.T) {
	r := newHarness()
	r.addMachines(6)
	tokens := map[ident.MachineID]ident.FencingToken{}
	for i := range 40 {
		for n := range 6 {
			h := ident.MachineID(fmt.Sprintf("host-%06d", n))
			if w := r.table.Workers[h]; w == nil || w.State != workers.Up {
				continue
			}
			o := r.table.HandleHeartbeat(&api.Heartbeat{MachineID: h, Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: ident.SequenceNumber(2 + i), FencingToken: tokens[h]})
			if n > 0 && o != nil {
				tokens[h] = o.FencingToken
			}
		}
		r.advance(500*time.Millisecond, r.manager)
	}
	for n := range 6 {
		if w := r.table.Workers[ident.MachineID(fmt.Sprintf("host-%06d", n))]; (w.State == workers.Up) != (n > 0) {
			t.Errorf("machine %d is %v", n, w.State)
		}
	}
}

// TestRackFailure: machines that go together are found together, though the reports of
// most of them are not due yet; the others are only asked.
func TestRackFailure(t *testing.T) {
	const dead = 8
	r := newReplicaHarness(40, func(i int) bool { return i < dead })
	// They reported at different times; the first was due just before it went.
	for n := 1; n < 40; n++ {
		r.now = r.now.Add(200 * time.Millisecond)
		w := r.table.Sorted()[n]
		r.table.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: w.Addr, Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: 2, FencingToken: ident.MakeFencingToken(3, 0)})
	}
	r.manager.Tick()
	r.advance(9*time.Second, r.manager)
	r.assertOnlyDeadFenced(t, dead)
}

// TestZonePartition: machines of a zone from which no sibling is heard either are not
// fenced, since work inside goes on; nothing is placed there, and what was on them
// counts until their leases are surely over. Where a sibling is heard they are.
func TestZonePartition(t *testing.T) {
	for _, stranded := range []bool{true, false} {
		r := newHarness()
		r.stranded = stranded
		r.addMachines(12)
		for i, w := range r.table.Sorted() {
			if i < 5 {
				w.Zone = "west"
			}
		}
		lost := r.table.Workers["host-000000"]
		j := r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Service, Tasks: 1, VCPUs: 1}, func() {}, nil)
		r.commits.Flush()
		r.trackTasks()
		r.jobs.Place(&j.Tasks[0], lost.ID, 1, func() {})
		r.commits.Flush()
		serial := ident.SequenceNumber(1)
		live := func(d time.Duration) {
			for end := r.now.Add(d); r.now < end; {
				serial++
				for n := 5; n < 12; n++ {
					r.table.HandleHeartbeat(&api.Heartbeat{MachineID: ident.MachineID(fmt.Sprintf("host-%06d", n)), Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: serial, FencingToken: ident.MakeFencingToken(3, 0)})
				}
				r.advance(500*time.Millisecond, r.manager)
			}
		}
		live(25 * time.Second)
		if !stranded {
			if lost.State != workers.Terminated {
				t.Error("a silent machine whose zone's sibling is heard is never fenced")
			}
			continue
		}
		if n := r.countCalls(cloud.Terminate); n > 0 || j.AllocatedTasks != 1 || lost.Schedulable(r.now) {
			t.Errorf("cut off for 25 s: %d returns, %d tasks held, open %v", n, j.AllocatedTasks, lost.Schedulable(r.now))
		}
		live(20 * time.Second)
		if n := r.countCalls(cloud.Terminate); n > 0 || j.AllocatedTasks != 0 {
			t.Errorf("after the lease: %d returns, %d tasks held", n, j.AllocatedTasks)
		}
		live(120 * time.Second)
		if lost.State != workers.Terminated {
			t.Error("a zone that never comes back is never given up")
		}
	}
}

// TestUnresponsiveMachinesAreFenced: of many machines with replicas, the silent ones are found soon after a
// few of them have not answered, though no report is due yet, as after an election.
func TestUnresponsiveMachinesAreFenced(t *testing.T) {
	const machines, dead = 300, 30
	r := newReplicaHarness(machines, func(i int) bool { return i%(machines/dead) == 0 })
	r.advance(9*time.Second, r.manager)
	r.assertOnlyDeadFenced(t, dead)
}

// TestHeadroomIsReleasedWhenArrivalsCease: room is kept for jobs to come while they come, and given back
// within a minute of the last one of any kind.
func TestHeadroomIsReleasedWhenArrivalsCease(t *testing.T) {
	r := newHarness()
	r.manager.cfg.Tuning.ScaleInDelay = 12 * time.Second
	r.addMachines(2)
	r.manager.ResumeFromPriorTerm()
	// pass lets time pass while the machines report.
	pass := func() {
		for range 2 {
			for _, w := range r.table.Sorted() {
				if w.State == workers.Up {
					r.table.HandleHeartbeat(&api.Heartbeat{MachineID: w.ID, Addr: "a", Model: "m8", Zone: "east", Incarnation: 1, SequenceNumber: ident.SequenceNumber(r.now)})
				}
			}
			r.advance(2500*time.Millisecond, r.manager)
		}
	}
	returned := func() (n int) {
		for _, w := range r.table.Sorted() {
			if w.State == workers.Terminating || w.State == workers.Terminated {
				n++
			}
		}
		return n
	}
	for range 4 {
		r.manager.RecordArrival(&api.Spec{Shape: api.Service, Tasks: 4, VCPUs: 3}, r.now)
		pass()
	}
	if n := returned(); n > 0 {
		t.Fatalf("%d machines are returned while jobs come", n)
	}
	for range 12 {
		pass()
	}
	if n := returned(); n != 2 {
		t.Errorf("%d of 2 idle machines are returned a minute after the last job", n)
	}
}

// TestGangScalesOutInOneZone: for a gang that must be in one zone and that none can hold,
// machines are rented in one zone, for all of it; where one zone has none to give, in the
// other.
func TestGangScalesOutInOneZone(t *testing.T) {
	for _, closed := range []string{"", "east", "west"} {
		r := newHarness()
		r.manager.cfg.Tuning.Headroom = 0 // nothing is rented for jobs to come
		r.manager.cfg.Catalog = func() []cloud.MachineType {
			return []cloud.MachineType{{SKU: "m8", VCPUs: 8, MemoryGB: 32, HourlyPrice: 1, SpotPrice: 0.4, StartupS: 10, Zones: []string{"east", "west"}}}
		}
		rented := map[string]int{}
		r.reply = func(q cloud.Request) cloud.Response {
			switch {
			case q.Op != cloud.Provision:
				return cloud.Response{Outcome: cloud.OK}
			case q.Zone == closed:
				return cloud.Response{Outcome: cloud.NoCapacity}
			}
			a := cloud.Response{Outcome: cloud.OK}
			for range q.Count {
				rented[q.Zone]++
				a.Provisioned = append(a.Provisioned, ident.MachineID(fmt.Sprintf("host-%s%03d", q.Zone, rented[q.Zone])))
			}
			return a
		}
		r.jobs.Add(&api.Spec{ID: "j-1", Team: "red", Shape: api.Gang, Tasks: 6, VCPUs: 4, OneZone: true}, func() {}, nil)
		r.commits.Flush()
		r.advance(2*time.Second, r.manager)
		most := max(rented["east"], rented["west"])
		if least := min(rented["east"], rented["west"]); most < 3 || least > 0 || closed != "" && rented[closed] > 0 {
			t.Errorf("closed %q: rented %v for a gang of three machines", closed, rented)
		}
	}
}

// TestBorrowersDoNotScaleOut: no ordinary machine is rented for work of a team without a
// guarantee, however long it waits, and what it has on machines is room for the house. (The
// fleet's ordinary machines doubled on a day with a vast array of a guest.)
func TestBorrowersDoNotScaleOut(t *testing.T) {
	for _, team := range []string{"guest", "red"} {
		r := newHarness()
		r.trackTasks()
		r.addMachines(2)
		backlog := r.jobs.Add(&api.Spec{ID: "j-1", Team: team, Shape: api.Batch, Priority: api.BestEffort, Tasks: 60, VCPUs: 1, Spot: true, RuntimeS: 100}, func() {}, nil)
		r.commits.Flush()
		for i := range 16 {
			r.jobs.Place(&backlog.Tasks[i], ident.MachineID(fmt.Sprintf("host-%06d", i/8)), 1, func() {})
		}
		r.jobs.Add(&api.Spec{ID: "j-2", Team: "red", Shape: api.Batch, Priority: api.Standard, Tasks: 2, VCPUs: 4, RuntimeS: 10}, func() {}, nil)
		r.commits.Flush()
		for range 120 {
			r.now = r.now.Add(time.Second)
			r.manager.autoscaler.run()
		}
		ordinary := 0
		for _, c := range r.calls {
			if c.Op == cloud.Provision && !c.Spot {
				ordinary += c.Count
			}
		}
		if (ordinary > 0) != (team == "red") {
			t.Errorf("%s: %d ordinary machines asked for", team, ordinary)
		}
	}
}

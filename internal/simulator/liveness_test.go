package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/settings"
)

// TestWaitReason checks the reasons for which the simulator takes a job to wait, on two machines of 8 CPUs and 32 GB. A machine
// without free memory has no room, and a team at its limit is no fault of the scheduler.
func TestWaitReason(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 1, NoArrivals: true, ZoneCapacity: 1, ActiveDuration: 2 * time.Minute,
		Teams: []settings.Team{{Name: "red", CPUs: 10, CPUsMax: 20}, {Name: "blue", CPUs: 4, CPUsMax: 4},
			{Name: "grey", CPUsMax: 1}}})
	submit := func(team, zone string, shape api.Shape, tasks int, cpus, memory float64) *userJob {
		return sim.submitJob(func(s *api.Spec) {
			s.Team, s.Zone, s.Shape, s.Tasks, s.VCPUs, s.MemoryGB, s.Spot = team, &zone, shape, tasks, cpus, memory, false
		}, time.Minute)
	}
	submit("red", "east", api.Service, 1, 1, 32)
	submit("blue", "west", api.Service, 1, 2, 2)
	waiting := map[*userJob]waitReason{}
	sim.schedule(100*time.Second, func() {
		waiting[submit("red", "east", api.Batch, 1, 1, 1)] = waitsForMachine
		waiting[submit("blue", "west", api.Batch, 1, 3, 1)] = waitsForTeam
		waiting[submit("red", "west", api.Batch, 1, 1, 1)] = notWaiting
		for j, want := range waiting {
			j.accepted = true
			if want == notWaiting {
				want = waitsForScheduler // until it is placed
			}
			if got := sim.waitReasonOf(j); got != want {
				t.Errorf("%s at its submission: got reason %d, want %d", j.spec.ID, got, want)
			}
		}
	})
	sim.schedule(110*time.Second, func() {
		for j, want := range waiting {
			if got := sim.waitReasonOf(j); got != want {
				t.Errorf("%s after 10 s: got reason %d, want %d", j.spec.ID, got, want)
			}
		}
	})
	sim.Run()
	if len(sim.Violations) > 0 || len(waiting) == 0 {
		t.Errorf("got violations %q and %d waiting jobs, want no violations and 3 jobs", sim.Violations, len(waiting))
	}
}

// TestTeamAtItsLimit: a job whose team is at its limit gets the time for which it had to wait, and must be done by then.
func TestTeamAtItsLimit(t *testing.T) {
	t.Parallel()
	for _, taskDuration := range []time.Duration{20 * time.Second, time.Hour} {
		sim := New(Config{Seed: 1, NoArrivals: true, ActiveDuration: time.Minute,
			Teams: []settings.Team{{Name: "red", CPUs: 2, CPUsMax: 2}, {Name: "blue", CPUsMax: 1}, {Name: "grey", CPUsMax: 1}}})
		submit := func(shape api.Shape, tasks int) *userJob {
			return sim.submitJob(func(s *api.Spec) { s.Team, s.Shape, s.Tasks, s.VCPUs = "red", shape, tasks, 1 }, taskDuration)
		}
		submit(api.Service, 1)
		array := submit(api.Batch, 25) // one task after the other
		sim.Run()
		if len(sim.Violations) > 0 || array.limitedByTeam == 0 {
			t.Errorf("tasks of %v: got violations %q and a wait of %v, want none and a wait",
				taskDuration, sim.Violations, array.limitedByTeam)
		}
		if done := len(sim.Unfinished) == 0; done != (taskDuration < time.Minute) {
			t.Errorf("tasks of %v: got unfinished %q, want the array done only if its tasks are short",
				taskDuration, sim.Unfinished)
		}
	}
}

// TestWaitingGangBlocksNobody guards against a machine that is reserved for ever for a gang that can't be placed: the cloud has
// no capacity in the second of the zones over which the gang is spread. Other jobs wait beside free capacity meanwhile.
func TestWaitingGangBlocksNobody(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 1, NoArrivals: true, ZoneCapacity: 1, ActiveDuration: time.Minute})
	sim.cloud.emptyZone = "west"
	submit := func(team string, shape api.Shape, tasks int, spread bool) *userJob {
		return sim.submitJob(func(s *api.Spec) {
			s.Team, s.Shape, s.Tasks, s.VCPUs, s.Spread, s.Spot = team, shape, tasks, 1, spread, false
		}, 10*time.Second)
	}
	submit("red", api.Service, 1, false)
	var gang, replica, array *userJob
	sim.schedule(15*time.Second, func() { gang = submit("red", api.Gang, 4, true) })
	sim.schedule(45*time.Second, func() {
		replica = submit("blue", api.Service, 1, false)
		array = submit("blue", api.Batch, 1, false)
	})
	sim.Run()
	if len(sim.Violations) > 0 || !gang.accepted || gang.firstStartAt > 0 {
		t.Errorf("got violations %q, the gang accepted: %v, started: %v, want none, true and false",
			sim.Violations, gang.accepted, gang.firstStartAt > 0)
	}
	for _, j := range []*userJob{replica, array} {
		if wait := j.firstStartAt.Sub(j.submittedAt); j.firstStartAt == 0 || wait > 30*time.Second {
			t.Errorf("%s %s: got it started after %v, want within 30 s", j.spec.Shape, j.spec.ID, wait)
		}
	}
}

// TestMachinesOfFailuresAreTriedAgain guards against a job that waits for ever because its tasks have failed on both machines
// that it may use, fewer than those after which the job itself is suspected. The machines work again meanwhile.
func TestMachinesOfFailuresAreTriedAgain(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 1, NoArrivals: true, ZoneCapacity: 2, ActiveDuration: 2 * time.Minute})
	submit := func(shape api.Shape, cpus float64) *userJob {
		return sim.submitJob(func(s *api.Spec) {
			zone := "east"
			s.Team, s.Zone, s.Shape, s.Tasks, s.VCPUs, s.Spot = "red", &zone, shape, 1, cpus, false
		}, 10*time.Second)
	}
	submit(api.Service, 5)
	submit(api.Service, 5) // needs a machine of its own
	var failing *userJob
	setFaulty := func(faulty bool) {
		for _, w := range sim.workers {
			w.faulty = faulty
		}
	}
	sim.schedule(40*time.Second, func() {
		setFaulty(true)
		failing = submit(api.Batch, 2)
	})
	sim.schedule(60*time.Second, func() {
		if failing.failures < 2 {
			t.Errorf("got %d failures of the job, want one on each of the two machines", failing.failures)
		}
		setFaulty(false)
	})
	sim.Run()
	requireClean(t, sim)
}

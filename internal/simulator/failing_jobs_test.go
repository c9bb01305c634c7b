package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
)

// failingJobs is a group of jobs whose tasks fail on every machine.
type failingJobs struct {
	name   string
	jobs   int
	change func(s *api.Spec)
	// maxFailures bounds the failed attempts of all their tasks together in 90 s.
	maxFailures int
}

// TestAlwaysFailingJobsOfEveryShape guards against retry storms by jobs that fail on every machine: one large array, services,
// gangs, or many jobs at once, with a leader crash. The number of attempts stays bounded, no healthy machine is replaced for
// them, other jobs start without delay, and the failing jobs end once they are cancelled.
func TestAlwaysFailingJobsOfEveryShape(t *testing.T) {
	t.Parallel()
	for _, f := range []failingJobs{
		{"vast array", 1, func(s *api.Spec) { s.Tasks, s.VCPUs = 2000, 0.25 }, 400},
		{"services", 3, func(s *api.Spec) {
			s.Shape, s.Priority, s.RuntimeS, s.Spot = api.Service, api.Critical, 0, false
		}, 250},
		{"gangs", 2, func(s *api.Spec) { s.Shape, s.Tasks, s.VCPUs, s.OneZone = api.Gang, 4, 1, true }, 250},
		{"many at once", 40, func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 0.5 }, 900},
	} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				f.check(t, seed)
			}
		})
	}
}

// check runs the failing jobs together with jobs that succeed.
func (f failingJobs) check(t *testing.T, seed uint64) {
	t.Helper()
	sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 170 * time.Second})
	sim.submitBaseLoad(2)
	var failing, succeeding []*userJob
	sim.scheduleAt(40, func() {
		for range f.jobs {
			j := sim.submitJob(f.change, 10*time.Second)
			j.alwaysFails = true
			failing = append(failing, j)
		}
	})
	for s := 45.0; s < 125; s += 4 {
		sim.scheduleAt(s, func() {
			succeeding = append(succeeding, sim.submitJob(func(s *api.Spec) {
				s.Team, s.Tasks, s.VCPUs, s.ImageGB = "red", 1, 1, 0.1
			}, 3*time.Second))
		})
	}
	sim.scheduleAt(80, func() { sim.crashLeader(3 * time.Second) })
	sim.scheduleAt(130, func() {
		for _, j := range failing {
			sim.cancelWhenAccepted(j, nil)
		}
	})
	sim.Run()
	requireClean(t, sim)
	f.checkFailing(t, sim, failing)
	for _, j := range succeeding {
		if wait := j.firstStartAt.Sub(j.submittedAt); j.firstStartAt == 0 || wait > 25*time.Second {
			t.Errorf("seed %d: %s, which does not fail, started after %v, want at most 25 s", seed, j.spec.ID, wait)
		}
	}
	if n := len(sim.cloud.machines); n > 16 {
		t.Errorf("seed %d: got %d provisioned machines, want at most 16 (12 are enough)", seed, n)
	}
}

// checkFailing checks that the failing jobs ended as cancelled and that the number of attempts is within the bounds.
func (f failingJobs) checkFailing(t *testing.T, sim *Simulation, failing []*userJob) {
	t.Helper()
	attempts := 0
	for _, j := range failing {
		attempts += j.failures
		if j.lastStatus != api.StatusCancelled {
			t.Errorf("seed %d: %s has status %q, want cancelled", sim.cfg.Seed, j.spec.ID, j.lastStatus)
		}
	}
	if attempts < 4 || attempts > f.maxFailures {
		t.Errorf("seed %d: got %d failed attempts in 90 s, want 4 to %d", sim.cfg.Seed, attempts, f.maxFailures)
	}
	t.Logf("seed %d: %d failed attempts, %d machines", sim.cfg.Seed, attempts, len(sim.cloud.machines))
}

package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
)

// failingJobs is a kind of jobs that fail on every machine.
type failingJobs struct {
	name   string
	jobs   int
	change func(s *api.Spec)
	// maxFailures bounds the attempts of all their tasks in a minute and a half.
	maxFailures int
}

// TestAlwaysFailingJobsOfEveryShape: jobs that fail on every machine come as a vast array, as services, as gangs and many
// at once, while the leader crashes. Their attempts stay few, no sound machine is replaced for them, other jobs start
// without delay, and they end once cancelled.
func TestAlwaysFailingJobsOfEveryShape(t *testing.T) {
	t.Parallel()
	for _, m := range []failingJobs{
		{"vast array", 1, func(s *api.Spec) { s.Tasks, s.VCPUs = 2000, 0.25 }, 400},
		{"services", 3, func(s *api.Spec) {
			s.Shape, s.Priority, s.RuntimeS, s.Spot = api.Service, api.Critical, 0, false
		}, 250},
		{"gangs", 2, func(s *api.Spec) { s.Shape, s.Tasks, s.VCPUs, s.OneZone = api.Gang, 4, 1, true }, 250},
		{"many at once", 40, func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 0.5 }, 900},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				m.check(t, seed)
			}
		})
	}
}

// check runs the jobs beside sound ones.
func (m failingJobs) check(t *testing.T, seed uint64) {
	t.Helper()
	sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 170 * time.Second})
	sim.submitBaseLoad(2)
	var failing, sound []*userJob
	sim.scheduleAt(40, func() {
		for range m.jobs {
			j := sim.submitJob(m.change, 10*time.Second)
			j.alwaysFails = true
			failing = append(failing, j)
		}
	})
	for s := 45.0; s < 125; s += 4 {
		sim.scheduleAt(s, func() {
			sound = append(sound, sim.submitJob(func(s *api.Spec) {
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
	m.checkFailing(t, sim, failing)
	for _, j := range sound {
		if wait := j.firstStartAt.Sub(j.submittedAt); j.firstStartAt == 0 || wait > 25*time.Second {
			t.Errorf("seed %d: %s beside them started after %v", seed, j.spec.ID, wait)
		}
	}
	if n := len(sim.cloud.machines); n > 16 {
		t.Errorf("seed %d: %d machines were provisioned where 12 are enough", seed, n)
	}
}

// checkFailing checks that the failing jobs ended as cancelled after a number of attempts within the bounds.
func (m failingJobs) checkFailing(t *testing.T, sim *Simulation, failing []*userJob) {
	t.Helper()
	attempts := 0
	for _, j := range failing {
		attempts += j.failures
		if j.lastStatus != api.StatusCancelled {
			t.Errorf("seed %d: %s ended as %q", sim.cfg.Seed, j.spec.ID, j.lastStatus)
		}
	}
	if attempts < 4 || attempts > m.maxFailures {
		t.Errorf("seed %d: %d attempts in 90 s", sim.cfg.Seed, attempts)
	}
	t.Logf("seed %d: %d attempts, %d machines", sim.cfg.Seed, attempts, len(sim.cloud.machines))
}

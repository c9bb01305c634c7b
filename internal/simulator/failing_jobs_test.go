package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
)

// failingJobs is a way in which jobs that fail on every machine come.
type failingJobs struct {
	name   string
	jobs   int
	change func(s *api.Spec)
	// maxFailures bounds the starts of all their tasks in a minute and a half.
	maxFailures int
}

// TestAlwaysFailingJobsOfEveryShape: jobs that fail on every machine come as a vast array, as
// services, as gangs and many at once; the leader ends meanwhile. Their tries stay few, no
// sound machine is returned as faulty for them, jobs beside them start as always, and once
// cancelled they are gone in time.
func TestAlwaysFailingJobsOfEveryShape(t *testing.T) {
	t.Parallel()
	for _, m := range []failingJobs{
		{"vast array", 1, func(s *api.Spec) { s.Tasks, s.VCPUs = 2000, 0.25 }, 400},
		{"services", 3, func(s *api.Spec) { s.Shape, s.Priority, s.RuntimeS, s.Spot = api.Service, api.Critical, 0, false }, 250},
		{"gangs", 2, func(s *api.Spec) { s.Shape, s.Tasks, s.VCPUs, s.OneZone = api.Gang, 4, 1, true }, 250},
		{"many at once", 40, func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 0.5 }, 900},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 170 * time.Second})
				sim.submitBaseLoad(2)
				var list, beside []*userJob
				sim.scheduleAt(40, func() {
					for range m.jobs {
						j := sim.submitJob(m.change, 10*time.Second)
						j.alwaysFails = true
						list = append(list, j)
					}
				})
				for s := 45.0; s < 125; s += 4 {
					sim.scheduleAt(s, func() {
						beside = append(beside, sim.submitJob(func(s *api.Spec) {
							s.Team, s.Tasks, s.VCPUs, s.ImageGB = "red", 1, 1, 0.1
						}, 3*time.Second))
					})
				}
				sim.scheduleAt(80, func() { sim.crashLeader(3 * time.Second) })
				sim.scheduleAt(130, func() {
					for _, j := range list {
						sim.cancelWhenAccepted(j, nil)
					}
				})
				sim.Run()
				requireClean(t, sim)
				tries := 0
				for _, j := range list {
					tries += j.failures
					if j.lastStatus != api.StatusCancelled {
						t.Errorf("seed %d: %s ended as %q", seed, j.spec.ID, j.lastStatus)
					}
				}
				if tries < 4 || tries > m.maxFailures {
					t.Errorf("seed %d: %d tries in 90 s", seed, tries)
				}
				for _, j := range beside {
					if wait := j.firstStartAt.Sub(j.submittedAt); j.firstStartAt == 0 || wait > 25*time.Second {
						t.Errorf("seed %d: %s beside them began after %v", seed, j.spec.ID, wait)
					}
				}
				if n := len(sim.cloud.machines); n > 16 {
					t.Errorf("seed %d: %d machines were rented for room for 12", seed, n)
				}
				t.Logf("seed %d: %d tries, %d machines", seed, tries, len(sim.cloud.machines))
			}
		})
	}
}

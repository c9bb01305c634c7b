package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
)

// TestBorrowersDoNotDelayGuaranteedJobs: a team without guarantee or limit comes with a vast array, a swarm of
// one-task jobs and work for spare hours. It is served, and the house's guaranteed work
// starts as it would without it. (Guests were refused with 422, and no day failed for
// it, since what isn't accepted isn't counted.)
func TestBorrowersDoNotDelayGuaranteedJobs(t *testing.T) {
	t.Parallel()
	for _, withBorrowers := range []bool{false, true} {
		sim := New(Config{Seed: 4, NoArrivals: true, ActiveDuration: 150 * time.Second})
		sim.submitBaseLoad(3)
		var guaranteed []*userJob
		for s := 40.0; s < 140; s += 5 {
			sim.scheduleAt(s, func() {
				guaranteed = append(guaranteed, sim.submitJob(func(s *api.Spec) {
					s.Team, s.Tasks, s.VCPUs, s.ImageGB = "blue", 2, 1, 0.1
				}, 10*time.Second))
			})
		}
		if withBorrowers {
			submitBorrowerJob := func(class string, tasks int, vcpus float64, runs time.Duration) {
				sim.submitJob(func(s *api.Spec) {
					s.Class, s.Team, s.Priority, s.Tasks, s.VCPUs, s.MemoryGB, s.Spot = class, "guest", api.BestEffort, tasks,
						vcpus, 0.1, true
				}, runs)
			}
			sim.scheduleAt(45, func() { submitBorrowerJob("vast", 2000, 0.25, 4*time.Second) })
			sim.scheduleAt(50, func() { submitBorrowerJob("backfill", 60, 1, 20*time.Second) })
			for s := 60.0; s < 80; s += 0.1 {
				sim.scheduleAt(s, func() { submitBorrowerJob("swarm", 1, 0.25, 10*time.Second) })
			}
			sim.scheduleAt(70, func() { sim.crashLeader(4 * time.Second) })
		}
		sim.Run()
		requireClean(t, sim)
		if withBorrowers && len(sim.jobs) < 200 {
			t.Errorf("%d jobs: the guests did not come", len(sim.jobs))
		}
		for _, j := range guaranteed {
			if wait := j.firstStartAt.Sub(j.submittedAt); wait > 12*time.Second {
				t.Errorf("guests %v: %s of the house began after %v", withBorrowers, j.spec.ID, wait)
			}
		}
	}
}

// TestAlwaysFailingJobsKeepMachines fail on every machine until their users cancel them. Machines are not
// returned for it, the tries are few, and what fails beside other work for a machine's
// own fault still is found. (Two such jobs at a time had healthy machines returned as
// faulty.)
func TestAlwaysFailingJobsKeepMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 170 * time.Second})
		sim.submitBaseLoad(4)
		var list []*userJob
		sim.scheduleAt(30, func() {
			for i := range 3 {
				list = append(list, sim.submitJob(func(s *api.Spec) {
					s.Tasks, s.VCPUs, s.Team = 12, 1, sim.settings.Teams[i].Name
				}, 10*time.Second))
				list[i].alwaysFails = true
			}
		})
		var faultyWorker *worker
		sim.scheduleAt(50, func() {
			faultyWorker = sim.anyWorker()
			faultyWorker.faulty = true
		})
		for s := 52.0; s < 150; s += 4 {
			sim.scheduleAt(s, func() {
				sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.ImageGB = 3, 1, 0.1 }, 3*time.Second)
			})
		}
		sim.scheduleAt(140, func() {
			for _, j := range list {
				sim.cancelWhenAccepted(j, nil)
			}
		})
		sim.Run()
		requireClean(t, sim)
		for _, j := range list {
			if j.failures > 30 || j.failures < 4 || j.lastStatus != api.StatusCancelled {
				t.Errorf("seed %d: %d tries of 12 tasks in 110 s, ended as %q", seed, j.failures, j.lastStatus)
			}
		}
		if faultyWorker.machine.terminatedAt == 0 {
			t.Errorf("seed %d: the faulty machine was kept", seed)
		}
	}
}

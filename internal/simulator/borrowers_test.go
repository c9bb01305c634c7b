package simulator

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
)

// TestBorrowersDoNotDelayGuaranteedJobs: a team without a guarantee and a limit submits a vast array, a swarm of jobs of one
// task and backfill work. All of it is accepted and ends, and jobs within a guarantee start as soon as without it.
func TestBorrowersDoNotDelayGuaranteedJobs(t *testing.T) {
	t.Parallel()
	for _, withBorrowers := range []bool{false, true} {
		t.Run(fmt.Sprintf("borrowers=%v", withBorrowers), func(t *testing.T) {
			t.Parallel()
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
				sim.submitBorrowerJobs()
			}
			sim.Run()
			requireClean(t, sim)
			if withBorrowers && len(sim.jobs) < 200 {
				t.Errorf("%d jobs: those of the borrowers are missing", len(sim.jobs))
			}
			for _, j := range guaranteed {
				if wait := j.firstStartAt.Sub(j.submittedAt); wait > 12*time.Second {
					t.Errorf("%s, within a guarantee, started after %v", j.spec.ID, wait)
				}
			}
		})
	}
}

// submitBorrowerJobs submits the work of a team without a guarantee and a limit, and crashes the leader meanwhile.
func (sim *Simulation) submitBorrowerJobs() {
	submit := func(class string, tasks int, vcpus float64, duration time.Duration) {
		sim.submitJob(func(s *api.Spec) {
			s.Class, s.Team, s.Priority, s.Tasks, s.VCPUs, s.MemoryGB, s.Spot = class, borrowers, api.BestEffort, tasks, vcpus,
				0.1, true
		}, duration)
	}
	sim.scheduleAt(45, func() { submit("vast", 2000, 0.25, 4*time.Second) })
	sim.scheduleAt(50, func() { submit("backfill", 60, 1, 20*time.Second) })
	for s := 60.0; s < 80; s += 0.1 {
		sim.scheduleAt(s, func() { submit("swarm", 1, 0.25, 10*time.Second) })
	}
	sim.scheduleAt(70, func() { sim.crashLeader(4 * time.Second) })
}

// TestAlwaysFailingJobsKeepMachines: jobs fail on every machine until their users cancel them. No machine is terminated for
// it and the attempts are few, while a machine that is really faulty is still detected.
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
				t.Errorf("seed %d: %d attempts of 12 tasks in 110 s, ended as %q", seed, j.failures, j.lastStatus)
			}
		}
		if faultyWorker.machine.terminatedAt == 0 {
			t.Errorf("seed %d: the faulty machine was kept", seed)
		}
	}
}

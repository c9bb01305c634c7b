package simulator

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
)

// TestBorrowersDoNotDelayGuaranteedJobs guards against work of a team without a guarantee or limit delaying other teams. The
// team submits an array of 2,000 tasks, a job of 60 longer tasks and 200 jobs of one task. All of them are accepted and end,
// and jobs within a guarantee start within 12 s, as they do without that work.
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
				t.Errorf("got %d jobs, want at least 200 with those of the team without a guarantee", len(sim.jobs))
			}
			for _, j := range guaranteed {
				if wait := j.firstStartAt.Sub(j.submittedAt); wait > 12*time.Second {
					t.Errorf("%s, within a guarantee, started after %v, want at most 12 s", j.spec.ID, wait)
				}
			}
		})
	}
}

// submitBorrowerJobs submits the work of a team without a guarantee or limit, and crashes the leader meanwhile.
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

// TestAlwaysFailingJobsKeepMachines guards against healthy machines being blamed for jobs that fail everywhere. The jobs fail on
// every machine until their users cancel them. They are retried only a few times, and a machine that is really faulty is still
// detected and terminated.
func TestAlwaysFailingJobsKeepMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 170 * time.Second})
		sim.submitBaseLoad(4)
		var failing []*userJob
		sim.scheduleAt(30, func() {
			for i := range 3 {
				failing = append(failing, sim.submitJob(func(s *api.Spec) {
					s.Tasks, s.VCPUs, s.Team = 12, 1, sim.settings.Teams[i].Name
				}, 10*time.Second))
				failing[i].alwaysFails = true
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
			for _, j := range failing {
				sim.cancelWhenAccepted(j, nil)
			}
		})
		sim.Run()
		requireClean(t, sim)
		for _, j := range failing {
			if j.failures > 30 || j.failures < 4 || j.lastStatus != api.StatusCancelled {
				t.Errorf("seed %d: got %d failed attempts of 12 tasks in 110 s and status %q, want 4 to 30 and cancelled", seed,
					j.failures, j.lastStatus)
			}
		}
		if faultyWorker.machine.terminatedAt == 0 {
			t.Errorf("seed %d: the faulty machine was not terminated", seed)
		}
	}
}

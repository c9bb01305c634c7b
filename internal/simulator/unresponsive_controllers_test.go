package simulator

import (
	"cmp"
	"testing"
	"time"

	"opaldale/internal/api"
)

// TestUnresponsiveControllers guards against a controller acting on outdated state after it was paused or partitioned for more
// than a minute. That happens to the leader, a follower, two of three nodes, or a node that resumes during an election. Another
// node leads for most of that time, no invariant is violated, and no reply is older than one that another node gave before.
func TestUnresponsiveControllers(t *testing.T) {
	t.Parallel()
	for name, inject := range map[string]func(sim *Simulation, l *node){
		"leader paused": func(_ *Simulation, l *node) { l.pauseFor(70 * time.Second) },
		"leader partitioned": func(sim *Simulation, l *node) {
			sim.disconnect(l.name, anyParty, sim.cfg.Seed%2 == 0, 70*time.Second)
		},
		"both followers paused": func(sim *Simulation, l *node) {
			sim.forEachPeer(l, func(n *node) { n.pauseFor(70 * time.Second) })
		},
		"follower partitioned": func(sim *Simulation, l *node) {
			sim.disconnect(sim.peerOf(l).name, anyParty, true, 70*time.Second)
		},
		"leader and a follower paused": func(sim *Simulation, l *node) {
			l.pauseFor(75 * time.Second)
			sim.peerOf(l).pauseFor(65 * time.Second)
		},
		"leader back as the next one crashes": func(sim *Simulation, l *node) {
			l.pauseFor(70 * time.Second)
			sim.schedule(69800*time.Millisecond, func() { sim.crashLeader(3 * time.Second) })
		},
		"leaders paused repeatedly": pauseLeadersRepeatedly,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				checkUnresponsive(t, seed, inject)
			}
		})
	}
}

// pauseLeadersRepeatedly pauses the current leader every 9 s, eight times, for up to 7.5 s.
func pauseLeadersRepeatedly(sim *Simulation, _ *node) {
	for s := range 8 {
		sim.schedule(time.Duration(s)*9*time.Second, func() {
			if n := sim.leader(); n != nil {
				n.pauseFor(time.Duration(1500+sim.rng.IntN(6000)) * time.Millisecond)
			}
		})
	}
}

// checkUnresponsive injects a fault after a minute, while users submit, cancel and query jobs, and query all nodes after each
// reply.
func checkUnresponsive(t *testing.T, seed uint64, inject func(sim *Simulation, l *node)) {
	t.Helper()
	sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 150 * time.Second})
	sim.submitBaseLoad(5)
	sim.scheduleAt(30, func() { sim.probeAfterReply = faultWindow{1, timeAt(150)} })
	sim.submitStream(40.0, 140, 2, 8*time.Second)
	sim.scheduleAt(60, func() { inject(sim, sim.leader()) })
	samplesWithLeader := 0
	for s := 66.0; s < 128; s += 0.5 {
		sim.scheduleAt(s, func() {
			if sim.leader() != nil {
				samplesWithLeader++
			}
		})
	}
	sim.Run()
	requireClean(t, sim)
	if samplesWithLeader < 80 {
		t.Errorf("seed %d: a node led at %d of 124 samples, want at least 80", seed, samplesWithLeader)
	}
	if sim.eventCounts[nodesProbedEvent] < 200 {
		t.Errorf("seed %d: got events %v, want at least 200 of %q", seed, sim.eventCounts, nodesProbedEvent)
	}
}

// peerOf returns the first node other than n.
func (sim *Simulation) peerOf(n *node) (found *node) {
	sim.forEachPeer(n, func(o *node) { found = cmp.Or(found, o) })
	return found
}

// TestSlowAndFailedBoots: new machines take six times as long to boot, or never boot, while arrays wait for capacity. Other
// machines are provisioned in time, those that never boot are terminated, and few machines more than needed are paid for.
func TestSlowAndFailedBoots(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 150 * time.Second})
		sim.submitBaseLoad(2)
		sim.scheduleAt(30, func() {
			if seed%2 == 0 {
				sim.failedBoots = faultWindow{0.5, timeAt(90)}
			} else {
				sim.slowBoots = faultWindow{0.6, timeAt(90)}
			}
		})
		var jobs []*userJob
		sim.scheduleAt(32, func() {
			for range 3 {
				jobs = append(jobs, sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 3, 4, "red" }, 15*time.Second),
					sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 2, 4, "blue" }, 15*time.Second))
			}
		})
		maxPaid := 0
		for s := 33.0; s < 200; s++ {
			sim.scheduleAt(s, func() { maxPaid = max(maxPaid, len(sim.paidMachines())) })
		}
		sim.scheduleAt(240, func() { checkBootedMachines(t, sim) })
		sim.Run()
		requireClean(t, sim)
		if sim.eventCounts[bootFailedEvent]+sim.eventCounts[bootSlowEvent] < 2 {
			t.Errorf("seed %d: got events %v, want at least 2 slow or failed boots", seed, sim.eventCounts)
		}
		for _, j := range jobs {
			if wait := j.firstStartAt.Sub(j.submittedAt); j.firstStartAt == 0 || wait > 45*time.Second {
				t.Errorf("seed %d: %s of team %s started after %v, want at most 45 s", seed, j.spec.ID, j.spec.Team, wait)
			}
		}
		if maxPaid > 20 {
			t.Errorf("seed %d: got %d machines at a time for team limits of 28 and 20 CPUs, want at most 20", seed, maxPaid)
		}
	}
}

// checkBootedMachines checks that each machine which did not boot within a minute is terminated.
func checkBootedMachines(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, m := range sim.paidMachines() {
		if m.bootedAt == 0 && sim.now.Sub(m.createdAt) > time.Minute {
			t.Errorf("seed %d: machine %s did not boot within a minute and is not terminated", sim.cfg.Seed, m.id)
		}
	}
}

// paidMachines lists the machines that are not terminated.
func (sim *Simulation) paidMachines() (out []*machine) {
	for _, m := range sim.cloud.machines {
		if m.terminatedAt == 0 {
			out = append(out, m)
		}
	}
	return out
}

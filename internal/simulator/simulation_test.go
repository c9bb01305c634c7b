package simulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
)

// runWithFaults runs a simulation with random faults, one at a time.
func runWithFaults(seed uint64, m Mutation) *Simulation {
	sim := New(Config{Seed: seed, Mutation: m, Faults: true, ActiveDuration: 300 * time.Second})
	sim.Run()
	return sim
}

// TestInvariantsHoldUnderFaults runs random faults with fixed seeds: every invariant holds at every step and every job ends. In
// every other run, two or three faults overlap.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(80) {
		sim := New(Config{Seed: seed / 2, Faults: true, ConcurrentFaults: seed%2 == 1, ActiveDuration: 300 * time.Second})
		sim.Run()
		if len(sim.Violations) > 0 {
			t.Fatalf("seed %d: violations %v, want none\n%s", seed, sim.Violations, sim.LogTail(60))
		}
		if len(sim.Unfinished) > 0 {
			t.Fatalf("seed %d: unfinished %v, want none\n%s", seed, sim.Unfinished, sim.LogTail(60))
		}
		if sim.TaskStarts < 20 {
			t.Errorf("seed %d: got %d task starts, want at least 20", seed, sim.TaskStarts)
		}
	}
}

// TestInvariantsHoldWithoutFaults: without faults, no invariant is violated and all work ends.
func TestInvariantsHoldWithoutFaults(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 1, ActiveDuration: 200 * time.Second})
	sim.Run()
	requireClean(t, sim)
}

// TestMutationsAreDetected shows that the checks can fail: with a safeguard disabled, some seed violates an invariant.
func TestMutationsAreDetected(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]Mutation{"launch before commit": LaunchBeforeCommit, "no fencing tokens": IgnoreFencingTokens,
		"no revision comparison": IgnoreRevisions, "polls starved": StarvePolls,
		"stale heartbeats accepted": AcceptStaleHeartbeats} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				if sim := runWithFaults(seed, m); len(sim.Violations) > 0 {
					t.Logf("seed %d: %v", seed, sim.Violations)
					return
				}
			}
			t.Fatalf("no seed of 60 detects mutation %d", m)
		})
	}
}

// cancelInPartitionedZone partitions a zone for longer than nodes may renew leases there, while users cancel the jobs that run
// in it. It does nothing if the leader is in the zone.
func cancelInPartitionedZone(seed uint64, m Mutation) (sim *Simulation, cancelled int) {
	sim = New(Config{Seed: seed, Mutation: m, ActiveDuration: 220 * time.Second})
	sim.schedule(70*time.Second, func() {
		zone := sim.nodes[1].zone
		if l := sim.leader(); l == nil || l.zone == zone {
			return // the leader must be outside of the zone
		}
		sim.partitionZone(zone, false, 120*time.Second)
		sim.schedule(3*time.Second, func() {
			for _, id := range sim.jobOrder {
				j := sim.jobs[id]
				for _, w := range sim.sortedWorkers() {
					if j.accepted && j.cancelSentAt == 0 && !isTerminal(j.lastStatus) && w.machine.zone == zone &&
						w.taskCount(id) > 0 {
						j.cancelSentAt = sim.now
						sim.cancel(j)
						cancelled++
					}
				}
			}
		})
	})
	sim.Run()
	return sim, cancelled
}

// TestKeptLeasesExpire guards against tasks of cancelled jobs running in a partitioned zone without end: nodes that are
// partitioned together with workers renew the workers' leases no longer than a cancellation may take. Without that bound, some
// seed violates an invariant.
func TestKeptLeasesExpire(t *testing.T) {
	t.Parallel()
	cancelled, detected := 0, false
	for seed := range uint64(10) {
		sim, n := cancelInPartitionedZone(seed, None)
		requireClean(t, sim)
		cancelled += n
		sim, _ = cancelInPartitionedZone(seed, KeepLeasesForever)
		detected = detected || len(sim.Violations) > 0
	}
	if cancelled == 0 || !detected {
		t.Errorf("got %d cancelled jobs, unbounded leases detected: %v; want at least one, true", cancelled, detected)
	}
}

// TestRunsAreDeterministic checks that two runs with the same seed start as many tasks and log as many lines.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	a, b := runWithFaults(3, None), runWithFaults(3, None)
	if a.TaskStarts != b.TaskStarts || len(a.Log) != len(b.Log) {
		t.Fatalf("the first run has %d task starts and %d log lines, the second %d and %d; want the same", a.TaskStarts,
			len(a.Log), b.TaskStarts, len(b.Log))
	}
}

// checkNoTasksLost checks that no worker dropped tasks because its lease expired.
func checkNoTasksLost(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, l := range sim.Log {
		if strings.Contains(l, "lease expired with") && !strings.Contains(l, "with 0 tasks") {
			t.Errorf("seed %d: a worker lost tasks: %s", sim.cfg.Seed, l)
		}
	}
}

// TestLeaderReachingOnlyStoreIsReplaced guards against a leader that reaches only the store keeping its lease: it must be
// replaced by a node that reaches the machines and the other nodes.
func TestLeaderReachingOnlyStoreIsReplaced(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 5, ActiveDuration: 120 * time.Second})
	var old *node
	sim.schedule(60*time.Second, func() {
		old = sim.leader()
		sim.forEachPeer(old, func(n *node) { sim.disconnect(old.name, n.name, false, 40*time.Second) })
		sim.disconnect(old.name, machines, false, 40*time.Second)
	})
	sim.schedule(67*time.Second, func() {
		if !sim.anotherLeads(old) {
			t.Error("no other node leads 7 s after the partition")
		}
	})
	sim.Run()
	requireClean(t, sim)
}

// largeJobsStartedLate lists the jobs with tasks of 7 CPUs or more that did not start within maxStartDelay, and returns how many
// such jobs there are in all.
func largeJobsStartedLate(sim *Simulation) (out []string, large int) {
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if j.spec.VCPUs < 7 {
			continue
		}
		large++
		if j.firstStartAt == 0 || j.firstStartAt.Sub(j.submittedAt) > maxStartDelay {
			out = append(out, string(id))
		}
	}
	return
}

// TestLargeJobsAreNotStarved guards against starvation: under overload, small jobs are placed before large ones until these
// have waited for the maximum time. Large jobs must still start in time, and at least half of the jobs of each team must be
// done, also of a team without a guarantee. Without the maximum wait, a large job starts late.
func TestLargeJobsAreNotStarved(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 2, Overload: true, ActiveDuration: 400 * time.Second})
	sim.Run()
	if len(sim.Violations) > 0 {
		t.Fatalf("violations %v, want none\n%s", sim.Violations, sim.LogTail(30))
	}
	if ids, n := largeJobsStartedLate(sim); len(ids) > 0 || n < 10 {
		t.Errorf("got %d large jobs, of which %v started late, want at least 10 and none late", n, ids)
	}
	done, all := map[string]int{}, map[string]int{}
	for _, j := range sim.jobs {
		all[j.spec.Team]++
		if j.lastStatus == api.StatusDone {
			done[j.spec.Team]++
		}
	}
	for team, n := range all {
		if 2*done[team] < n {
			t.Errorf("team %s: %d of %d jobs are done, want at least half", team, done[team], n)
		}
	}
	sim = New(Config{Seed: 2, Overload: true, ActiveDuration: 400 * time.Second, Mutation: NoMaxWait})
	sim.Run()
	if ids, _ := largeJobsStartedLate(sim); len(ids) == 0 {
		t.Error("got no large job that started late without the maximum wait, want at least one: the check detects nothing")
	}
}

// TestLeaderReachingOnlyWorkersIsReplaced guards against workers losing their tasks when their leader is cut off from the store
// and its peers. It reports itself unhealthy at /up, and replies to workers until their heartbeats carry the fencing token of the
// next leader; the workers then switch to another node. If it still replied, workers would reject its replies as fenced and
// drop their tasks when their leases expire.
func TestLeaderReachingOnlyWorkersIsReplaced(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 5, ActiveDuration: 120 * time.Second})
	var old *node
	sim.schedule(60*time.Second, func() {
		old = sim.leader()
		sim.isolate(old, false, 40*time.Second)
		for _, w := range sim.sortedWorkers() {
			w.nodeIndex = slices.Index(sim.nodes, old)
		}
	})
	sim.schedule(67*time.Second, func() {
		if old.controller.Healthy() {
			t.Error("/up reports the old leader as healthy 7 s after the partition")
		}
		if !sim.anotherLeads(old) {
			t.Error("no other node leads 7 s after the partition")
		}
	})
	sim.Run()
	requireClean(t, sim)
	checkNoTasksLost(t, sim)
}

// TestLeaderLosingWorkersIsReplaced guards against a leader that fences machines because it receives no heartbeats itself: if
// only its links to the workers fail, a node that reaches them replaces it, and at most one busy machine is terminated.
func TestLeaderLosingWorkersIsReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim := New(Config{Seed: seed, ActiveDuration: 160 * time.Second})
		var old *node
		fenced := 0                 // minus the number of busy machines that were terminated
		busy := map[*machine]bool{} // machines with tasks; idle ones may be terminated
		sim.schedule(80*time.Second, func() {
			old = sim.leader()
			sim.disconnect(old.name, machines, seed%2 == 0, 41*time.Second)
			for _, w := range sim.sortedWorkers() {
				if len(w.tasks) > 0 {
					busy[w.machine] = true
					fenced--
				}
			}
		})
		sim.schedule(92*time.Second, func() {
			if n := sim.leader(); n == nil || n == old {
				t.Errorf("seed %d: no other node leads 12 s after the partition", seed)
			}
			for _, m := range sim.cloud.machines {
				if m.terminatedAt == 0 && busy[m] {
					fenced++
				}
			}
			if fenced < -1 {
				t.Errorf("seed %d: %d busy machines were terminated, want at most 1", seed, -fenced)
			}
		})
		sim.Run()
		requireClean(t, sim)
	}
}

// TestTasksSurviveZonePartition: tasks in a zone that is partitioned for less than a lease plus its grace period keep running.
// Their leases are renewed by the leader if it is in the zone, or otherwise by a node in the zone in place of the leader.
func TestTasksSurviveZonePartition(t *testing.T) {
	t.Parallel()
	kept := uint64(0)
	for seed := range uint64(8) {
		sim := New(Config{Seed: seed, ActiveDuration: 160 * time.Second})
		inside := 0
		sim.schedule(70*time.Second, func() {
			zone := "west"
			if seed%4 == 0 {
				zone = sim.leader().zone
			}
			sim.partitionZone(zone, seed%2 == 0, 32*time.Second)
			for _, w := range sim.sortedWorkers() {
				if w.machine.zone == zone && len(w.tasks) > 0 {
					inside++
				}
			}
		})
		sim.schedule(101*time.Second, func() {
			for _, n := range sim.nodes {
				kept += n.controller.LeasesRenewedWithoutLeader
			}
		})
		sim.Run()
		requireClean(t, sim)
		if inside == 0 {
			t.Errorf("seed %d: got no machine with tasks in the zone, want at least one", seed)
		}
		checkNoTasksLost(t, sim)
	}
	if kept == 0 {
		t.Error("got no lease renewal by a node other than the leader, want at least one over all seeds")
	}
}

// TestLeaderCrashDuringStoreOutage: no node can become leader while the store is down. If the leader crashes then, the other
// nodes renew the leases of workers, and no worker loses its tasks during a lease plus its grace period.
func TestLeaderCrashDuringStoreOutage(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 3, ActiveDuration: 160 * time.Second})
	kept := uint64(0)
	sim.schedule(70*time.Second, func() { sim.store.downUntil = sim.now.Add(35 * time.Second) })
	sim.schedule(72*time.Second, func() {
		for _, n := range sim.nodes {
			if n.controller.Election().Term() > 0 {
				n.crash(50 * time.Second)
			}
		}
	})
	sim.schedule(104*time.Second, func() {
		for _, n := range sim.nodes {
			if n.alive {
				kept += n.controller.LeasesRenewedWithoutLeader
			}
		}
	})
	sim.Run()
	requireClean(t, sim)
	checkNoTasksLost(t, sim)
	if kept == 0 {
		t.Error("got no lease renewal by a node other than the leader, want at least one")
	}
}

// TestPausedLeaderIsReplaced guards against a paused leader continuing as leader: another node leads within 6 s. After the pause,
// the old leader knows that its lease has expired, so that it launches nothing and fences no machine for heartbeats that it
// missed.
func TestPausedLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim := New(Config{Seed: seed, ActiveDuration: 160 * time.Second})
		var old *node
		sim.schedule(70*time.Second, func() {
			old = sim.leader()
			old.pauseFor(42 * time.Second)
		})
		sim.schedule(76*time.Second, func() {
			if n := sim.leader(); n == nil || n == old {
				t.Errorf("seed %d: no other node leads 6 s after the pause", seed)
			}
		})
		for ms := 112_000; ms < 114_000; ms += 10 {
			sim.schedule(time.Duration(ms)*time.Millisecond+time.Microsecond, func() {
				if old.controller.Election().LeaseValid() {
					t.Errorf("seed %d: the paused node treats its leader lease as valid after its pause", seed)
				}
			})
		}
		sim.Run()
		requireClean(t, sim)
		checkNoTasksLost(t, sim)
	}
}

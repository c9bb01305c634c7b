package simulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
)

func runWithFaults(seed uint64, m Mutation) *Simulation {
	sim := New(Config{Seed: seed, Mutation: m, Faults: true, ActiveDuration: 300 * time.Second})
	sim.Run()
	return sim
}

// TestInvariantsHoldUnderFaults runs random faults with fixed seeds: every invariant holds at every step and every job
// ends. In every other run two or three faults overlap.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(80) {
		sim := New(Config{Seed: seed / 2, Faults: true, ConcurrentFaults: seed%2 == 1, ActiveDuration: 300 * time.Second})
		sim.Run()
		if len(sim.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, sim.Violations, sim.LogTail(60))
		}
		if len(sim.Unfinished) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, sim.Unfinished, sim.LogTail(60))
		}
		if sim.TaskStarts < 20 {
			t.Errorf("seed %d: only %d tasks started", seed, sim.TaskStarts)
		}
	}
}

// TestInvariantsHoldWithoutFaults: without faults nothing is violated either.
func TestInvariantsHoldWithoutFaults(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 1, ActiveDuration: 200 * time.Second})
	sim.Run()
	requireClean(t, sim)
}

// TestMutationsAreDetected shows that the checks can fail: without a safeguard, some seed violates an invariant.
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
			t.Fatal("no seed detects it")
		})
	}
}

// cancelInPartitionedZone partitions a zone for longer than any lease may be kept, while users cancel what runs there.
func cancelInPartitionedZone(seed uint64, m Mutation) (sim *Simulation, cancelled int) {
	sim = New(Config{Seed: seed, Mutation: m, ActiveDuration: 220 * time.Second})
	sim.schedule(70*time.Second, func() {
		zone := sim.nodes[1].zone
		if l := sim.leader(); l == nil || l.zone == zone {
			return // the leader is inside
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

// TestKeptLeasesExpire: nodes that are partitioned with workers renew their leases no longer than a cancellation may
// take. The checks detect the lack of that bound.
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
		t.Errorf("%d jobs were cancelled; unbounded leases were detected: %v", cancelled, detected)
	}
}

// TestRunsAreDeterministic checks that two runs with a seed are the same.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	a, b := runWithFaults(3, None), runWithFaults(3, None)
	if a.TaskStarts != b.TaskStarts || len(a.Log) != len(b.Log) {
		t.Fatalf("%d starts and %d lines, then %d and %d", a.TaskStarts, len(a.Log), b.TaskStarts, len(b.Log))
	}
}

// checkNoTasksLost checks that no worker lost tasks with its lease.
func checkNoTasksLost(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, l := range sim.Log {
		if strings.Contains(l, "lease over") && !strings.Contains(l, "with 0 tasks") {
			t.Errorf("seed %d: %s", sim.cfg.Seed, l)
		}
	}
}

// TestLeaderReachingOnlyStoreIsReplaced: a leader that reaches only the store could keep its lease; it must give way to
// a node that users and machines can reach.
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

// largeJobsStartedLate lists the jobs with the largest tasks that did not start in time, and counts all of these jobs.
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

// TestLargeJobsAreNotStarved: more small jobs than the limit of a team admits neither starve large ones nor those of a
// team without a guarantee, though small ones go first as long as possible.
func TestLargeJobsAreNotStarved(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 2, Overload: true, ActiveDuration: 400 * time.Second})
	sim.Run()
	if len(sim.Violations) > 0 {
		t.Fatalf("%v\n%s", sim.Violations, sim.LogTail(30))
	}
	if ids, n := largeJobsStartedLate(sim); len(ids) > 0 || n < 10 {
		t.Errorf("of %d large jobs, late: %v", n, ids)
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
			t.Errorf("%s: %d of %d jobs served", team, done[team], n)
		}
	}
	sim = New(Config{Seed: 2, Overload: true, ActiveDuration: 400 * time.Second, Mutation: NoMaxWait})
	sim.Run()
	if ids, _ := largeJobsStartedLate(sim); len(ids) == 0 {
		t.Error("without the bound no large job is late: the test proves nothing")
	}
}

// TestLeaderReachingOnlyWorkersIsReplaced: a leader that loses the store and its peers reports so at /up, and its
// workers keep their tasks: it answers them until they show a successor's token, when they turn to another node. If it
// went on, they would drop its answers as fenced and lose their tasks with their leases.
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
			t.Error("/up reports health 7 s after the partition")
		}
		if !sim.anotherLeads(old) {
			t.Error("no other node leads 7 s after the partition")
		}
	})
	sim.Run()
	requireClean(t, sim)
	checkNoTasksLost(t, sim)
}

// TestLeaderLosingWorkersIsReplaced: a leader that loses the workers alone gives way to a peer that reaches them. It
// must not take their silence for their failure, and fence machines with replicas.
func TestLeaderLosingWorkersIsReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim := New(Config{Seed: seed, ActiveDuration: 160 * time.Second})
		var old *node
		fenced := 0
		busy := map[*machine]bool{} // idle ones may be terminated for that
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
				t.Errorf("seed %d: %d machines were terminated", seed, -fenced)
			}
		})
		sim.Run()
		requireClean(t, sim)
	}
}

// TestTasksSurviveZonePartition: in a zone that is partitioned for less than a lease and its grace period tasks keep
// running, whether the leader is inside or a node that renews leases for it.
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
			t.Errorf("seed %d: no work inside", seed)
		}
		checkNoTasksLost(t, sim)
	}
	if kept == 0 {
		t.Error("no node kept leases: the test proves nothing")
	}
}

// TestLeaderCrashDuringStoreOutage: during an outage of the store no node can succeed a leader that crashes. The others
// renew leases for it, and no worker loses its lease for as long as lease and grace period last together.
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
		t.Error("no node kept leases: the test proves nothing")
	}
}

// TestPausedLeaderIsReplaced: a leader that was paused finds its lease expired: it launches nothing, a peer has led
// meanwhile, and no machine is fenced for what the leader missed.
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
					t.Errorf("seed %d: the node believes after its pause that it leads", seed)
				}
			})
		}
		sim.Run()
		requireClean(t, sim)
		checkNoTasksLost(t, sim)
	}
}

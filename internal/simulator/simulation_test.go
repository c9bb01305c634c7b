package simulator

import (
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

// TestInvariantsHoldUnderFaults plays days of trouble from fixed seeds; each must keep every
// rule at every step and bring every job to its end. On every other day the troubles of
// the page on meetings come as well, two or three at once.
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

// TestInvariantsHoldWithoutFaults has no faults: nothing may start twice.
func TestInvariantsHoldWithoutFaults(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 1, ActiveDuration: 200 * time.Second})
	sim.Run()
	requireClean(t, sim)
}

// TestMutationsAreDetected shows that the checks can fail: without a safeguard,
// some seed breaks a rule.
func TestMutationsAreDetected(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]Mutation{"launch before durable": LaunchBeforeCommit, "no epoch fence": IgnoreFencingTokens,
		"no stamp comparison": IgnoreRevisions, "polls starve": StarvePolls, "copies count as new": AcceptStaleHeartbeats} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				if sim := runWithFaults(seed, m); len(sim.Violations) > 0 {
					t.Logf("seed %d: %v", seed, sim.Violations)
					return
				}
			}
			t.Fatal("no seed noticed")
		})
	}
}

// cancelInPartitionedZone plays a zone that is cut off for longer than any lease may be kept,
// while its users cancel what runs there.
func cancelInPartitionedZone(seed uint64, m Mutation) (sim *Simulation, cancelled int) {
	sim = New(Config{Seed: seed, Mutation: m, ActiveDuration: 220 * time.Second})
	sim.schedule(70*time.Second, func() {
		zone := sim.nodes[1].zone
		if l := sim.leader(); l == nil || l.zone == zone {
			return // the leader would be inside
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

// TestKeptLeasesExpire: nodes that are cut off with workers keep their leases no longer than
// a cancellation may take; without that bound the checks notice.
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
		t.Errorf("%d jobs were cancelled; keeping leases without end was noticed: %v", cancelled, detected)
	}
}

// TestRunsAreDeterministic checks that a seed always plays the same day.
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

// TestLeaderReachingOnlyStoreIsReplaced: a leader that only the state service hears keeps its lease;
// it must leave the lead to a node that users and machines can reach.
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
		for _, n := range sim.nodes {
			if n != old && n.controller.Election().LeaseValid() {
				return
			}
		}
		t.Error("nobody else leads 7 s after the cut")
	})
	sim.Run()
	requireClean(t, sim)
}

// largeJobsStartedLate lists the jobs of the largest tasks that did not begin in time.
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

// TestLargeJobsAreNotStarved: more small jobs than a team's limit takes don't keep large
// ones waiting, nor those of a team without a guarantee, though small ones go
// first as long as they can.
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
		t.Error("without the bound no large job is late: the test shows nothing")
	}
}

// TestLeaderReachingOnlyWorkersIsReplaced: a leader that loses the state service and its siblings
// says so at /up, and its workers keep their tasks: they are answered until they show
// a successor's token, and then go to another node. Answered on, they would drop the
// answers and lose their tasks with their leases.
func TestLeaderReachingOnlyWorkersIsReplaced(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 5, ActiveDuration: 120 * time.Second})
	var old *node
	sim.schedule(60*time.Second, func() {
		old = sim.leader()
		sim.isolate(old, false, 40*time.Second)
		for _, w := range sim.sortedWorkers() {
			for i, n := range sim.nodes {
				if n == old {
					w.nodeIndex = i
				}
			}
		}
	})
	sim.schedule(67*time.Second, func() {
		if old.controller.Healthy() {
			t.Error("/up says yes 7 s after the cut")
		}
		led := false
		for _, n := range sim.nodes {
			led = led || n != old && n.controller.Election().LeaseValid()
		}
		if !led {
			t.Error("nobody else leads 7 s after the cut")
		}
	})
	sim.Run()
	requireClean(t, sim)
	checkNoTasksLost(t, sim)
}

// TestLeaderLosingWorkersIsReplaced: a leader that loses the workers alone leaves the lead to
// a sibling that reaches them. It once took their silence for theirs and fenced every
// machine with replicas within seconds.
func TestLeaderLosingWorkersIsReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim := New(Config{Seed: seed, ActiveDuration: 160 * time.Second})
		var old *node
		fenced := 0
		busy := map[*machine]bool{} // idle ones may be returned for that
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
				t.Errorf("seed %d: nobody else leads 12 s after the cut", seed)
			}
			for _, m := range sim.cloud.machines {
				if m.terminatedAt == 0 && busy[m] {
					fenced++
				}
			}
			if fenced < -1 {
				t.Errorf("seed %d: %d machines were returned", seed, -fenced)
			}
		})
		sim.Run()
		requireClean(t, sim)
	}
}

// TestTasksSurviveZonePartition: in a zone that is cut off for less than a lease and the grace, work
// goes on, whether the leader is inside or a node that keeps leases for it.
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
				kept += n.controller.LeasesKept
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
		t.Error("no node kept: the test shows nothing")
	}
}

// TestLeaderCrashDuringStoreOutage: with the state service down nobody can follow a leader that
// dies; the others keep leases for it, and no worker loses its lease before the service is
// back, for as long as lease and grace last together.
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
				kept += n.controller.LeasesKept
			}
		}
	})
	sim.Run()
	requireClean(t, sim)
	checkNoTasksLost(t, sim)
	if kept == 0 {
		t.Error("no node kept: the test shows nothing")
	}
}

// TestPausedLeaderIsReplaced: a leader that stands still wakes with its lease over: it launches
// nothing, a sibling has led meanwhile, and no machine is fenced for what it missed.
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
				t.Errorf("seed %d: nobody else leads 6 s after the leader froze", seed)
			}
		})
		for ms := 112_000; ms < 114_000; ms += 10 {
			sim.schedule(time.Duration(ms)*time.Millisecond+time.Microsecond, func() {
				if old.controller.Election().LeaseValid() {
					t.Errorf("seed %d: the woken node thinks that it leads", seed)
				}
			})
		}
		sim.Run()
		requireClean(t, sim)
		checkNoTasksLost(t, sim)
	}
}

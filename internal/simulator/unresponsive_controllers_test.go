package simulator

import (
	"cmp"
	"testing"
	"time"

	"opaldale/internal/api"
)

// TestUnresponsiveControllers: controllers stand still, or are cut off, for a minute and more
// without a word; as leader, as follower, two of three, and back in the middle of an
// election. The rest lead within seconds, and who is back acts on nothing old: no rule
// breaks, and no answer is older than another node's, though users look closely.
func TestUnresponsiveControllers(t *testing.T) {
	t.Parallel()
	for name, inject := range map[string]func(sim *Simulation, l *node){
		"the leader stands still": func(sim *Simulation, l *node) { l.pauseFor(70 * time.Second) },
		"the leader loses the network": func(sim *Simulation, l *node) {
			sim.disconnect(l.name, anyParty, sim.cfg.Seed%2 == 0, 70*time.Second)
		},
		"both followers stand still": func(sim *Simulation, l *node) {
			sim.forEachPeer(l, func(n *node) { n.pauseFor(70 * time.Second) })
		},
		"a follower loses the network": func(sim *Simulation, l *node) {
			sim.disconnect(sim.peerOf(l).name, anyParty, true, 70*time.Second)
		},
		"the leader and one more do": func(sim *Simulation, l *node) {
			l.pauseFor(75 * time.Second)
			sim.peerOf(l).pauseFor(65 * time.Second)
		},
		"the leader is back as one ends": func(sim *Simulation, l *node) {
			l.pauseFor(70 * time.Second)
			sim.schedule(69800*time.Millisecond, func() { sim.crashLeader(3 * time.Second) })
		},
		"standing still again and again": func(sim *Simulation, l *node) {
			for s := range 8 {
				sim.schedule(time.Duration(s)*9*time.Second, func() {
					if n := sim.leader(); n != nil {
						n.pauseFor(time.Duration(1500+sim.rng.IntN(6000)) * time.Millisecond)
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 150 * time.Second})
				sim.submitBaseLoad(5)
				sim.scheduleAt(30, func() { sim.probeAfterAnswer = faultWindow{1, timeAt(150)} })
				sim.submitStream(40.0, 140, 2, 8*time.Second)
				sim.scheduleAt(60, func() { inject(sim, sim.leader()) })
				led := 0
				for s := 66.0; s < 128; s += 0.5 {
					sim.scheduleAt(s, func() {
						if sim.leader() != nil {
							led++
						}
					})
				}
				sim.Run()
				requireClean(t, sim)
				if led < 80 {
					t.Errorf("seed %d: somebody led at %d of 124 moments", seed, led)
				}
				if sim.eventCounts[nodesProbedEvent] < 200 {
					t.Errorf("seed %d: users did not look closely: %v", seed, sim.eventCounts)
				}
			}
		})
	}
}

// peerOf returns a node beside one.
func (sim *Simulation) peerOf(n *node) (found *node) {
	sim.forEachPeer(n, func(o *node) { found = cmp.Or(found, o) })
	return found
}

// TestSlowAndFailedBoots: new machines come up six times as late as they should, or never, while
// arrays and services wait for room. Others are rented in time, those that never come are
// returned, and not many more are paid for than are needed.
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
		var list []*userJob
		sim.scheduleAt(32, func() {
			for range 3 {
				list = append(list, sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 3, 4, "red" }, 15*time.Second),
					sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 2, 4, "blue" }, 15*time.Second))
			}
		})
		most := 0
		for s := 33.0; s < 200; s++ {
			sim.scheduleAt(s, func() {
				n := 0
				for _, m := range sim.cloud.machines {
					if m.terminatedAt == 0 {
						n++
					}
				}
				most = max(most, n)
			})
		}
		sim.scheduleAt(240, func() {
			for _, m := range sim.cloud.machines {
				if m.terminatedAt == 0 && m.bootedAt == 0 && sim.now.Sub(m.createdAt) > time.Minute {
					t.Errorf("seed %d: %s never came up and is still paid for", seed, m.id)
				}
			}
		})
		sim.Run()
		requireClean(t, sim)
		if sim.eventCounts[bootFailedEvent]+sim.eventCounts[bootSlowEvent] < 2 {
			t.Errorf("seed %d: all machines came up: %v", seed, sim.eventCounts)
		}
		for _, j := range list {
			if wait := j.firstStartAt.Sub(j.submittedAt); j.firstStartAt == 0 || wait > 45*time.Second {
				t.Errorf("seed %d: %s of %s began after %v", seed, j.spec.ID, j.spec.Team, wait)
			}
		}
		if most > 20 {
			t.Errorf("seed %d: %d machines at a time for 28 and 20 CPUs of limits", seed, most)
		}
	}
}

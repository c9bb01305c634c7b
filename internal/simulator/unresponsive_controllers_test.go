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
	for name, inject := range map[string]func(w *Simulation, l *node){
		"the leader stands still":      func(w *Simulation, l *node) { l.pauseFor(70 * time.Second) },
		"the leader loses the network": func(w *Simulation, l *node) { w.disconnect(l.name, "*", w.cfg.Seed%2 == 0, 70*time.Second) },
		"both followers stand still":   func(w *Simulation, l *node) { w.forEachPeer(l, func(n *node) { n.pauseFor(70 * time.Second) }) },
		"a follower loses the network": func(w *Simulation, l *node) { w.disconnect(w.peerOf(l).name, "*", true, 70*time.Second) },
		"the leader and one more do":   func(w *Simulation, l *node) { l.pauseFor(75 * time.Second); w.peerOf(l).pauseFor(65 * time.Second) },
		"the leader is back as one ends": func(w *Simulation, l *node) {
			l.pauseFor(70 * time.Second)
			w.schedule(69800*time.Millisecond, func() { w.crashLeader(3 * time.Second) })
		},
		"standing still again and again": func(w *Simulation, l *node) {
			for s := range 8 {
				w.schedule(time.Duration(s)*9*time.Second, func() {
					if n := w.leader(); n != nil {
						n.pauseFor(time.Duration(1500+w.rng.IntN(6000)) * time.Millisecond)
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				w := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 150 * time.Second})
				w.submitBaseLoad(5)
				w.scheduleAt(30, func() { w.probeAfterAnswer = faultWindow{1, timeAt(150)} })
				w.submitStream(40.0, 140, 2, 8*time.Second)
				w.scheduleAt(60, func() { inject(w, w.leader()) })
				led := 0
				for s := 66.0; s < 128; s += 0.5 {
					w.scheduleAt(s, func() {
						if w.leader() != nil {
							led++
						}
					})
				}
				w.Run()
				requireClean(t, seed, w)
				if led < 80 {
					t.Errorf("seed %d: somebody led at %d of 124 moments", seed, led)
				}
				if w.eventCounts["close look"] < 200 {
					t.Errorf("seed %d: users did not look closely: %v", seed, w.eventCounts)
				}
			}
		})
	}
}

// peerOf returns a node beside one.
func (w *Simulation) peerOf(n *node) (found *node) {
	w.forEachPeer(n, func(o *node) { found = cmp.Or(found, o) })
	return found
}

// TestSlowAndFailedBoots: new machines come up six times as late as they should, or never, while
// arrays and services wait for room. Others are rented in time, those that never come are
// returned, and not many more are paid for than are needed.
func TestSlowAndFailedBoots(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(Config{Seed: seed, NoArrivals: true, ActiveDuration: 150 * time.Second})
		w.submitBaseLoad(2)
		w.scheduleAt(30, func() {
			if seed%2 == 0 {
				w.failedBoots = faultWindow{0.5, timeAt(90)}
			} else {
				w.slowBoots = faultWindow{0.6, timeAt(90)}
			}
		})
		var list []*userJob
		w.scheduleAt(32, func() {
			for range 3 {
				list = append(list, w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 3, 4, "red" }, 15*time.Second),
					w.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 2, 4, "blue" }, 15*time.Second))
			}
		})
		most := 0
		for s := 33.0; s < 200; s++ {
			w.scheduleAt(s, func() {
				n := 0
				for _, m := range w.cloud.machines {
					if m.terminatedAt == 0 {
						n++
					}
				}
				most = max(most, n)
			})
		}
		w.scheduleAt(240, func() {
			for _, m := range w.cloud.machines {
				if m.terminatedAt == 0 && m.bootedAt == 0 && w.now.Sub(m.createdAt) > time.Minute {
					t.Errorf("seed %d: %s never came up and is still paid for", seed, m.id)
				}
			}
		})
		w.Run()
		requireClean(t, seed, w)
		if w.eventCounts["machine never up"]+w.eventCounts["machine up late"] < 2 {
			t.Errorf("seed %d: all machines came up: %v", seed, w.eventCounts)
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

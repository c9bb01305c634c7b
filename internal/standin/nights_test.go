package standin

import (
	"cmp"
	"testing"
	"time"

	"opaldale/internal/api"
)

// TestSilentControllers: controllers stand still, or are cut off, for a minute and more
// without a word; as leader, as follower, two of three, and back in the middle of an
// election. The rest lead within seconds, and who is back acts on nothing old: no rule
// breaks, and no answer is older than another node's, though users look closely.
func TestSilentControllers(t *testing.T) {
	t.Parallel()
	for name, silence := range map[string]func(w *World, l *node){
		"the leader stands still":      func(w *World, l *node) { l.freeze(70 * time.Second) },
		"the leader loses the network": func(w *World, l *node) { w.sever(l.name, "*", w.cfg.Seed%2 == 0, 70*time.Second) },
		"both followers stand still":   func(w *World, l *node) { w.others(l, func(n *node) { n.freeze(70 * time.Second) }) },
		"a follower loses the network": func(w *World, l *node) { w.sever(w.other(l).name, "*", true, 70*time.Second) },
		"the leader and one more do":   func(w *World, l *node) { l.freeze(75 * time.Second); w.other(l).freeze(65 * time.Second) },
		"the leader is back as one ends": func(w *World, l *node) {
			l.freeze(70 * time.Second)
			w.at(69800*time.Millisecond, func() { w.depose(3 * time.Second) })
		},
		"standing still again and again": func(w *World, l *node) {
			for s := range 8 {
				w.at(time.Duration(s)*9*time.Second, func() {
					if n := w.leader(); n != nil {
						n.freeze(time.Duration(1500+w.rng.IntN(6000)) * time.Millisecond)
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				w := New(Config{Seed: seed, Quiet: true, Length: 150 * time.Second})
				w.load(5)
				w.when(30, func() { w.closeLooks = spell{1, second(150)} })
				w.stream(40.0, 140, 2, 8*time.Second)
				w.when(60, func() { silence(w, w.leader()) })
				led := 0
				for s := 66.0; s < 128; s += 0.5 {
					w.when(s, func() {
						if w.leader() != nil {
							led++
						}
					})
				}
				w.Run()
				whole(t, seed, w)
				if led < 80 {
					t.Errorf("seed %d: somebody led at %d of 124 moments", seed, led)
				}
				if w.seen["close look"] < 200 {
					t.Errorf("seed %d: users did not look closely: %v", seed, w.seen)
				}
			}
		})
	}
}

// other returns a node beside one.
func (w *World) other(n *node) (found *node) {
	w.others(n, func(o *node) { found = cmp.Or(found, o) })
	return found
}

// TestLateMachines: new machines come up six times as late as they should, or never, while
// arrays and services wait for room. Others are rented in time, those that never come are
// returned, and not many more are paid for than are needed.
func TestLateMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(Config{Seed: seed, Quiet: true, Length: 150 * time.Second})
		w.load(2)
		w.when(30, func() {
			if seed%2 == 0 {
				w.neverBoots = spell{0.5, second(90)}
			} else {
				w.lateBoots = spell{0.6, second(90)}
			}
		})
		var list []*userJob
		w.when(32, func() {
			for range 3 {
				list = append(list, w.job(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 3, 4, "red" }, 15*time.Second),
					w.job(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Team = 2, 4, "blue" }, 15*time.Second))
			}
		})
		most := 0
		for s := 33.0; s < 200; s++ {
			w.when(s, func() {
				n := 0
				for _, m := range w.cloud.machines {
					if m.gone == 0 {
						n++
					}
				}
				most = max(most, n)
			})
		}
		w.when(240, func() {
			for _, m := range w.cloud.machines {
				if m.gone == 0 && m.up == 0 && w.now.Sub(m.born) > time.Minute {
					t.Errorf("seed %d: %s never came up and is still paid for", seed, m.host)
				}
			}
		})
		w.Run()
		whole(t, seed, w)
		if w.seen["machine never up"]+w.seen["machine up late"] < 2 {
			t.Errorf("seed %d: all machines came up: %v", seed, w.seen)
		}
		for _, j := range list {
			if wait := j.begunAt.Sub(j.sentAt); j.begunAt == 0 || wait > 45*time.Second {
				t.Errorf("seed %d: %s of %s began after %v", seed, j.spec.ID, j.spec.Team, wait)
			}
		}
		if most > 20 {
			t.Errorf("seed %d: %d machines at a time for 28 and 20 CPUs of limits", seed, most)
		}
	}
}

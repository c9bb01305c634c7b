package standin

import (
	"testing"
	"time"
)

func play(seed uint64, m Mutation) *World {
	w := New(Config{Seed: seed, Mutation: m, Faults: true, Length: 300 * time.Second})
	w.Run()
	return w
}

// TestRulesHold plays days of trouble from fixed seeds; each must keep every
// rule at every step and bring every job to its end.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(40) {
		w := play(seed, None)
		if len(w.Broken) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, w.Broken, w.Tail(60))
		}
		if len(w.Undone) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, w.Undone, w.Tail(60))
		}
		if w.Starts < 20 {
			t.Errorf("seed %d: only %d tasks started", seed, w.Starts)
		}
	}
}

// TestQuietDay has no faults: nothing may start twice.
func TestQuietDay(t *testing.T) {
	w := New(Config{Seed: 1, Length: 200 * time.Second})
	w.Run()
	if len(w.Broken) > 0 || len(w.Undone) > 0 {
		t.Fatalf("%v %v\n%s", w.Broken, w.Undone, w.Tail(60))
	}
}

// TestMutationsAreCaught shows that the checks can fail: without a safeguard,
// some seed breaks a rule.
func TestMutationsAreCaught(t *testing.T) {
	for name, m := range map[string]Mutation{"launch before durable": LaunchFirst, "no epoch fence": IgnoreEpochs,
		"no stamp comparison": IgnoreStamps} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if w := play(seed, m); len(w.Broken) > 0 {
					t.Logf("seed %d: %v", seed, w.Broken)
					return
				}
			}
			t.Fatal("no seed noticed")
		})
	}
}

// TestRunsRepeat checks that a seed always plays the same day.
func TestRunsRepeat(t *testing.T) {
	a, b := play(3, None), play(3, None)
	if a.Starts != b.Starts || len(a.Log) != len(b.Log) {
		t.Fatalf("%d starts and %d lines, then %d and %d", a.Starts, len(a.Log), b.Starts, len(b.Log))
	}
}

// TestLeaderCutOff: a leader that only the state service hears keeps its lease;
// it must leave the lead to a node that users and machines can reach.
func TestLeaderCutOff(t *testing.T) {
	w := New(Config{Seed: 5, Length: 120 * time.Second})
	var old *node
	w.at(60*time.Second, func() {
		for _, n := range w.nodes {
			if n.ctl.Election().Valid() {
				old = n
			}
		}
		for _, n := range w.nodes {
			if n != old {
				w.sever(old.name, n.name, false, 40*time.Second)
			}
		}
		for _, k := range w.sortedWorkers() {
			w.sever(old.name, string(k.host), false, 40*time.Second)
		}
	})
	w.at(67*time.Second, func() {
		for _, n := range w.nodes {
			if n != old && n.ctl.Election().Valid() {
				return
			}
		}
		t.Error("nobody else leads 7 s after the cut")
	})
	w.Run()
	if len(w.Broken) > 0 || len(w.Undone) > 0 {
		t.Errorf("%v %v", w.Broken, w.Undone)
	}
}

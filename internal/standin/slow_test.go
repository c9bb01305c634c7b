package standin

import (
	"testing"
	"time"

	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

// TestSlowMachineIsLeft: a machine that takes four times as long is found by the ends of short
// tasks; nothing more is placed on it, what gains by it is moved, and it is returned once it is
// empty. Controllers fail meanwhile, and no other machine is taken for slow.
func TestSlowMachineIsLeft(t *testing.T) {
	t.Parallel()
	left := 0
	for seed := range uint64(4) {
		w := slowDay(seed, settings.RebalanceMove, 1)
		var slow *worker
		w.when(20, func() {
			for _, k := range w.sortedWorkers() {
				if k.pace > 1 {
					slow = k
				}
			}
		})
		w.when(30, func() {
			w.watchMoves(100*time.Millisecond, func(_ *node, m controller.MoveEntry) bool {
				switch {
				case m.Source != "leaves a slow machine":
				case slow == nil || m.From != slow.host:
					w.broken("%s leaves %s, which is not slow", m.Task, m.From)
				case m.Reason == "arrived":
					w.took("left the slow machine")
				}
				return false
			})
		})
		if seed%2 == 1 {
			w.when(100, func() { w.depose(3 * time.Second) })
		} else {
			w.when(30, func() { w.nothingStartsOn(slow) })
		}
		w.Run()
		whole(t, seed, w)
		movesKept(t, seed, w)
		if slow == nil {
			t.Errorf("seed %d: no machine is slow", seed)
			continue
		}
		if w.seen["left the slow machine"] > 0 {
			left++
			if !slow.dead {
				t.Errorf("seed %d: the slow machine is still there", seed)
			}
		}
	}
	if left < 2 {
		t.Errorf("the slow machine was left on %d days", left)
	}
}

// nothingStartsOn checks that no task starts on a machine from two seconds after a leader has
// found it to be slow.
func (w *World) nothingStartsOn(k *worker) {
	found := ident.Never
	var look func()
	look = func() {
		if l := w.leader(); found == ident.Never && l != nil && l.ctl.Stats().SlowMachines > 0 {
			found = w.now.Add(2 * time.Second)
		}
		for id, attempts := range k.pieces {
			for _, p := range attempts {
				if p.began > found {
					w.broken("%s starts on %s, which is slow", id, k.host)
				}
			}
		}
		w.at(200*time.Millisecond, look)
	}
	look()
}

// TestNoMachineIsSlow: where all machines are alike, and their tasks differ, none is called slow.
func TestNoMachineIsSlow(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := slowDay(seed, settings.RebalanceMove, 0)
		for s := 20.0; s < 150; s += 5 {
			w.when(s, func() {
				if l := w.leader(); l != nil && l.ctl.Stats().SlowMachines > 0 {
					w.broken("a machine is called slow")
				}
			})
		}
		w.Run()
		whole(t, seed, w)
	}
}

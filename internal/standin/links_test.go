package standin

import (
	"testing"
	"time"
)

// TestRulesHoldWithLinks plays days of trouble, with links that break in one direction
// among them, with nodes that watch their links: every rule holds and all work ends.
func TestRulesHoldWithLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		w := New(Config{Seed: seed, Faults: true, Meet: seed%2 == 1, Links: true, Length: 300 * time.Second})
		w.Run()
		if len(w.Broken) > 0 || len(w.Undone) > 0 {
			t.Errorf("seed %d: %v %v\n%s", seed, w.Broken, w.Undone, w.Tail(30))
		}
		if w.Starts < 20 || w.lostOneWay == 0 {
			t.Errorf("seed %d: only %d tasks started, %d messages were lost one way", seed, w.Starts, w.lostOneWay)
		}
	}
}

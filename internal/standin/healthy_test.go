package standin

import (
	"testing"
	"time"
)

// TestHealthyThroughAnElection: while a leader that was killed is followed, no node tells the
// load balancer that it can't take requests, as that would be without all of them for seconds.
func TestHealthyThroughAnElection(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(Config{Seed: seed, Links: true, Length: 120 * time.Second})
		w.leaderAt(breakAt, func(l *node) { l.kill(8 * time.Second) })
		for ms := 0; ms < 7000; ms += 50 {
			w.at(second(breakAt).Sub(0)+time.Duration(ms)*time.Millisecond, func() {
				for _, n := range w.nodes {
					if n.alive && !n.ctl.Healthy() {
						w.took("unhealthy")
					}
				}
			})
		}
		w.Run()
		if len(w.Broken) > 0 || len(w.Undone) > 0 || w.seen["unhealthy"] > 0 {
			t.Errorf("seed %d: %v %v %v", seed, w.Broken, w.Undone, w.seen)
		}
	}
}

package simulator

import (
	"testing"
	"time"
)

// TestNodesStayHealthyDuringElection guards against a load balancer with no healthy backend during an election: after a leader
// crash, no running node reports itself as unhealthy, as otherwise all would do so at once.
func TestNodesStayHealthyDuringElection(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(Config{Seed: seed, LinkMonitoring: true, ActiveDuration: 120 * time.Second})
		sim.withLeaderAt(faultAt, func(l *node) { l.crash(8 * time.Second) })
		for ms := 0; ms < 7000; ms += 50 {
			sim.schedule(timeAt(faultAt).Sub(0)+time.Duration(ms)*time.Millisecond, func() {
				for _, n := range sim.nodes {
					if n.alive && !n.controller.Healthy() {
						sim.countEvent(nodeUnhealthyEvent)
					}
				}
			})
		}
		sim.Run()
		if len(sim.Violations) > 0 || len(sim.Unfinished) > 0 || sim.eventCounts[nodeUnhealthyEvent] > 0 {
			t.Errorf("seed %d: violations %v, unfinished %v, events %v; want none, none and no unhealthy node", seed,
				sim.Violations, sim.Unfinished, sim.eventCounts)
		}
	}
}

package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// TestHeartbeatOrder checks that heartbeats are ordered by incarnation, then by sequence number.
func TestHeartbeatOrder(t *testing.T) {
	order := heartbeatOrder{incarnation: 3, sequence: 7}
	for _, c := range []struct {
		name        string
		incarnation ident.Incarnation
		sequence    ident.SequenceNumber
		stale       bool
	}{
		{"next", 3, 8, false},
		{"the same", 3, 7, true},
		{"earlier", 3, 6, true},
		{"of a later incarnation", 4, 1, false},
		{"of an earlier incarnation", 2, 9, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			heartbeat := &api.Heartbeat{Incarnation: c.incarnation, SequenceNumber: c.sequence}
			if got := order.isStale(heartbeat); got != c.stale {
				t.Errorf("isStale: got %v, want %v", got, c.stale)
			}
		})
	}
	if order.raiseIncarnation(2); order.incarnation != 3 {
		t.Errorf("raiseIncarnation(2) set the incarnation to %d, want 3 unchanged", order.incarnation)
	}
}

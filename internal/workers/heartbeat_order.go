package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// heartbeatOrder is the position of the newest heartbeat received from a worker. Heartbeats are ordered
// by incarnation, then by sequence number.
type heartbeatOrder struct {
	incarnation ident.Incarnation    // newest known incarnation, also from placements; 0: unknown
	sequence    ident.SequenceNumber // of the newest heartbeat received in this term; 0: none
}

// isStale reports whether a heartbeat is not newer than the newest one received.
func (o *heartbeatOrder) isStale(heartbeat *api.Heartbeat) bool {
	return heartbeat.Incarnation < o.incarnation ||
		heartbeat.Incarnation == o.incarnation && heartbeat.SequenceNumber <= o.sequence
}

// raiseIncarnation raises the known incarnation to at least the given one, which the worker has reached.
func (o *heartbeatOrder) raiseIncarnation(incarnation ident.Incarnation) {
	o.incarnation = max(o.incarnation, incarnation)
}

// Incarnation returns the newest known incarnation of the worker, or 0 if none is known.
func (w *Worker) Incarnation() ident.Incarnation { return w.order.incarnation }

// ReportedThisTerm reports whether a heartbeat from the worker was received in this term.
func (w *Worker) ReportedThisTerm() bool { return w.order.sequence > 0 }

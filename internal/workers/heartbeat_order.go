package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// heartbeatOrder is the newest known position in the heartbeats of a worker, which are ordered
// by incarnation and sequence number.
type heartbeatOrder struct {
	incarnation ident.Incarnation    // 0: not known yet
	sequence    ident.SequenceNumber // of the newest heartbeat of this term; 0: there was none
}

// isStale reports whether a heartbeat is not newer than the newest known one.
func (o *heartbeatOrder) isStale(heartbeat *api.Heartbeat) bool {
	return heartbeat.Incarnation < o.incarnation ||
		heartbeat.Incarnation == o.incarnation && heartbeat.SequenceNumber <= o.sequence
}

// raiseIncarnation raises the incarnation to one that the worker was in.
func (o *heartbeatOrder) raiseIncarnation(incarnation ident.Incarnation) {
	o.incarnation = max(o.incarnation, incarnation)
}

// Incarnation returns the newest known incarnation of the worker, 0 if none is known.
func (w *Worker) Incarnation() ident.Incarnation { return w.order.incarnation }

// ReportedThisTerm reports whether the worker has sent a heartbeat in this term.
func (w *Worker) ReportedThisTerm() bool { return w.order.sequence > 0 }

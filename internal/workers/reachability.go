package workers

import (
	"time"

	"opaldale/internal/ident"
)

// reachability is the state of the connection to a worker in both directions. A heartbeat alone does not
// show that the worker receives responses and commands, because those may be lost on the way. A heartbeat
// that carries the fencing token of an earlier response does show it.
type reachability struct {
	lastContact        ident.MonotonicTime // when the newest heartbeat was received
	missedResponses    int                 // calls (commands, probes) without a response since the worker last showed it receives
	unresponsive       bool                // a call had no response; no commands are sent until a heartbeat has the newest token
	cannotReceiveSince ident.MonotonicTime // first of the consecutive heartbeats that show that responses are lost; 0: none
}

// commandUnanswered records that a call had no response from the worker.
func (r *reachability) commandUnanswered() {
	r.missedResponses++
	r.unresponsive = true
}

// commandAnswered records that the worker responded to a call.
func (r *reachability) commandAnswered() { r.missedResponses = 0 }

// heartbeatReceived records a heartbeat that carries a fencing token; lastSent is the token in the latest
// response to a heartbeat. A lower token means that the worker has not received that response.
func (r *reachability) heartbeatReceived(token, lastSent ident.FencingToken, now ident.MonotonicTime) {
	r.lastContact = now
	switch {
	case token >= lastSent:
		r.missedResponses, r.cannotReceiveSince = 0, 0
	case r.cannotReceiveSince == 0:
		r.cannotReceiveSince = now
	}
}

// inBothDirections reports whether there is no sign that responses or commands to the worker are lost.
func (r *reachability) inBothDirections() bool {
	return !r.unresponsive && r.missedResponses == 0 && r.cannotReceiveSince == 0
}

// CannotReceiveFor returns for how long the worker's heartbeats have shown that responses to them are lost.
// It returns 0 if the newest heartbeat does not show that.
func (w *Worker) CannotReceiveFor() time.Duration {
	if w.reachability.cannotReceiveSince == 0 {
		return 0
	}
	return w.reachability.lastContact.Sub(w.reachability.cannotReceiveSince)
}

// MissedResponses returns the number of commands and probes without a response since the worker last
// showed that it receives commands.
func (w *Worker) MissedResponses() int { return w.reachability.missedResponses }

// LastContact returns when the newest heartbeat was received or, if there was none in this term, when the
// machine was added to the table.
func (w *Worker) LastContact() ident.MonotonicTime { return w.reachability.lastContact }

// Reachable reports whether a machine is up, its newest heartbeat was received within the given duration,
// and there is no sign that commands to it are lost.
func (tb *Table) Reachable(id ident.MachineID, within time.Duration) bool {
	w := tb.Workers[id]
	if w == nil || w.State != Up {
		return false
	}
	return w.reachability.inBothDirections() && w.ReportedThisTerm() && tb.TimeSinceContact(w) <= within
}

// TimeSinceContact returns the time since the newest heartbeat from a worker was received or, if there was
// none in this term, since the machine was added to the table.
func (tb *Table) TimeSinceContact(w *Worker) time.Duration {
	return tb.port.Now().Sub(w.reachability.lastContact)
}

// MarkUnreachable records that heartbeats from a machine have stopped.
func (tb *Table) MarkUnreachable(w *Worker) { tb.setState(w, Unreachable, ReasonNoHeartbeat) }

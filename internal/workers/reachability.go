package workers

import (
	"time"

	"opaldale/internal/ident"
)

// reachability is the state of the connection to a worker, in both directions. A heartbeat alone does
// not prove that the worker receives responses and commands, which may be lost. A heartbeat with
// a fencing token that was sent in a response does.
type reachability struct {
	lastContact        ident.MonotonicTime // time of the newest heartbeat
	missedResponses    int                 // commands and probes without a response since the worker last received one
	unresponsive       bool                // a command had no response; nothing is sent until a heartbeat has the newest token
	cannotReceiveSince ident.MonotonicTime // start of the heartbeats that show that responses are lost; 0: they are not
}

// commandUnanswered records that a command had no response from the worker.
func (r *reachability) commandUnanswered() {
	r.missedResponses++
	r.unresponsive = true
}

// commandAnswered records a response to a command.
func (r *reachability) commandAnswered() { r.missedResponses = 0 }

// heartbeatReceived records a heartbeat with a fencing token; sent is the token of the newest
// response to a heartbeat.
func (r *reachability) heartbeatReceived(token, sent ident.FencingToken, now ident.MonotonicTime) {
	r.lastContact = now
	switch {
	case token >= sent:
		r.missedResponses, r.cannotReceiveSince = 0, 0
	case r.cannotReceiveSince == 0:
		r.cannotReceiveSince = now
	}
}

// inBothDirections reports whether nothing indicates that the worker cannot be reached.
func (r *reachability) inBothDirections() bool {
	return !r.unresponsive && r.missedResponses == 0 && r.cannotReceiveSince == 0
}

// CannotReceiveFor returns the time over which the worker's heartbeats have shown that the
// responses to them are lost; 0 if the newest one does not.
func (w *Worker) CannotReceiveFor() time.Duration {
	if w.reachability.cannotReceiveSince == 0 {
		return 0
	}
	return w.reachability.lastContact.Sub(w.reachability.cannotReceiveSince)
}

// MissedResponses returns the number of commands and probes without a response since the worker
// last showed that it receives them.
func (w *Worker) MissedResponses() int { return w.reachability.missedResponses }

// LastContact returns the time of the newest heartbeat, or that at which the machine was added.
func (w *Worker) LastContact() ident.MonotonicTime { return w.reachability.lastContact }

// Reachable reports whether a machine is up, has sent a heartbeat within a duration, and receives
// commands as far as is known.
func (tb *Table) Reachable(id ident.MachineID, within time.Duration) bool {
	w := tb.Workers[id]
	if w == nil || w.State != Up {
		return false
	}
	return w.reachability.inBothDirections() && w.ReportedThisTerm() && tb.TimeSinceContact(w) <= within
}

// TimeSinceContact returns the time since the newest heartbeat from a worker or, if there was none
// in this term, since the machine was added.
func (tb *Table) TimeSinceContact(w *Worker) time.Duration {
	return tb.port.Now().Sub(w.reachability.lastContact)
}

// MarkUnreachable records that a machine's heartbeats have stopped.
func (tb *Table) MarkUnreachable(w *Worker) { tb.setState(w, Unreachable, ReasonNoHeartbeat) }

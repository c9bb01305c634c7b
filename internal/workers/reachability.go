package workers

import (
	"time"

	"opaldale/internal/ident"
)

// reachability is what is known of the connection to a worker, in both directions. A heartbeat
// alone does not prove that the worker receives anything: responses and commands may be lost on
// the way to it. A fencing token that it can only have from a response does.
type reachability struct {
	lastContact        ident.MonotonicTime // time of the newest heartbeat
	missedResponses    int                 // commands and probes without a response since it last showed that it receives
	unresponsive       bool                // a command had no response; nothing is sent until a heartbeat has the newest token
	cannotReceiveSince ident.MonotonicTime // since when its heartbeats show that responses are lost; 0: they are not
}

// commandUnanswered notes that a command had no response from the worker.
func (r *reachability) commandUnanswered() {
	r.missedResponses++
	r.unresponsive = true
}

// commandAnswered notes a response to a command.
func (r *reachability) commandAnswered() { r.missedResponses = 0 }

// heartbeatReceived notes a heartbeat with a fencing token, where sent is the token of the
// newest response to a heartbeat.
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

// CannotReceiveFor returns for how long the worker's heartbeats have shown that the responses
// to them are lost.
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

// TimeSinceContact returns for how long there has been no heartbeat from a worker. In a new
// term it counts from when the machine was added.
func (tb *Table) TimeSinceContact(w *Worker) time.Duration {
	return tb.port.Now().Sub(w.reachability.lastContact)
}

// MarkUnreachable notes that a machine's heartbeats have stopped.
func (tb *Table) MarkUnreachable(w *Worker) { tb.setState(w, Unreachable, ReasonNoHeartbeat) }

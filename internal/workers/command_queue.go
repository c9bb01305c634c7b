package workers

import (
	"slices"

	"opaldale/internal/api"
)

// commandQueue holds the commands for a worker. At most one call is in flight at a time, so that the
// worker executes commands in order; each call carries all commands queued when it starts.
type commandQueue struct {
	queued       []api.Command
	inFlight     []api.Command // commands of the call in flight
	calls        uint64        // number of calls started; the number of a call in the log
	sending      bool          // a call is in flight or scheduled
	probePending bool          // make the next call even if no command is queued
}

// startSending reserves the next call for the caller. It returns false if a call is in flight or scheduled.
func (q *commandQueue) startSending() bool {
	if q.sending {
		return false
	}
	q.sending = true
	return true
}

// hasWork reports whether another call is needed.
func (q *commandQueue) hasWork() bool { return len(q.queued) > 0 || q.probePending }

// startCall moves the queued commands to the call in flight and returns them. The slice is never nil, so
// that it is encoded as an empty list.
func (q *commandQueue) startCall() []api.Command {
	q.probePending = false
	q.calls++
	q.inFlight, q.queued = q.queued, nil
	if q.inFlight == nil {
		return []api.Command{}
	}
	return q.inFlight
}

// finishCall records that the call in flight has ended.
func (q *commandQueue) finishCall() { q.inFlight, q.sending = nil, false }

// discard drops the queued commands.
func (q *commandQueue) discard() { q.queued = nil }

// targets reports whether any queued or in-flight command addresses an attempt.
func (q *commandQueue) targets(attempt taskAttempt) bool {
	return slices.ContainsFunc(q.inFlight, attempt.isTargetOf) || slices.ContainsFunc(q.queued, attempt.isTargetOf)
}

// hasQueued reports whether a command with the same verb, task and attempt is queued, whatever its grace
// period.
func (q *commandQueue) hasQueued(command api.Command) bool {
	return slices.ContainsFunc(q.queued, func(queued api.Command) bool {
		return queued.Verb == command.Verb && queued.TaskID == command.TaskID && queued.Attempt == command.Attempt
	})
}

package workers

import (
	"slices"

	"opaldale/internal/api"
)

// commandQueue holds the commands to a worker. One call is under way at a time, so that commands
// are carried out in their order; each call has all commands that are queued by then.
type commandQueue struct {
	queued       []api.Command
	inFlight     []api.Command // of the call under way
	sending      bool          // a call is under way or about to be made
	probePending bool          // the next call is made even if no command is queued
}

// startSending reserves the next call for the caller. It returns false if one is under way.
func (q *commandQueue) startSending() bool {
	if q.sending {
		return false
	}
	q.sending = true
	return true
}

// hasWork reports whether another call is needed.
func (q *commandQueue) hasWork() bool { return len(q.queued) > 0 || q.probePending }

// startCall moves the queued commands to the call under way and returns them, in a slice that is
// not nil.
func (q *commandQueue) startCall() []api.Command {
	q.probePending = false
	q.inFlight, q.queued = q.queued, nil
	if q.inFlight == nil {
		return []api.Command{}
	}
	return q.inFlight
}

// finishCall ends the call under way.
func (q *commandQueue) finishCall() { q.inFlight, q.sending = nil, false }

// discard drops the queued commands.
func (q *commandQueue) discard() { q.queued = nil }

// targets reports whether a command that is under way or queued is for an attempt.
func (q *commandQueue) targets(attempt taskAttempt) bool {
	return slices.ContainsFunc(q.inFlight, attempt.isTargetOf) || slices.ContainsFunc(q.queued, attempt.isTargetOf)
}

// hasQueued reports whether the same command is queued, with any grace period.
func (q *commandQueue) hasQueued(command api.Command) bool {
	return slices.ContainsFunc(q.queued, func(queued api.Command) bool {
		return queued.Verb == command.Verb && queued.TaskID == command.TaskID && queued.Attempt == command.Attempt
	})
}

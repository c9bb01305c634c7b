package workers

import (
	"slices"

	"opaldale/internal/api"
)

// callState is the state of the calls that carry the commands of a queue.
type callState uint8

const (
	callIdle      callState = iota // no call is in flight or scheduled
	callScheduled                  // a call will start after the current event
	callInFlight                   // a call has started and has not ended
)

// commandQueue holds the commands for a worker. At most one call is in flight at a time; each call carries all
// commands queued when it starts, and the queue holds them until the call ends. So the worker executes
// commands in order, and targets knows every command whose execution is uncertain and not ruled out by a
// newer fencing token. Only startCall begins a call, and only endCall ends it.
type commandQueue struct {
	queued       []api.Command
	inFlight     []api.Command // commands of the call in flight
	state        callState
	calls        uint64 // number of calls started; the number of a call in the log
	probePending bool   // make the next call even if no command is queued
}

// scheduleCall reserves the next call for the caller. It returns false if a call is in flight or scheduled.
func (q *commandQueue) scheduleCall() bool {
	if q.state != callIdle {
		return false
	}
	q.state = callScheduled
	return true
}

// startCall begins a call with the queued commands and returns them. The slice is never nil, so that it is
// encoded as an empty list. startCall returns false if a call is in flight, or if none is needed.
func (q *commandQueue) startCall() (commands []api.Command, started bool) {
	if q.state == callInFlight {
		return nil, false
	}
	if len(q.queued) == 0 && !q.probePending {
		q.state = callIdle
		return nil, false
	}
	q.state = callInFlight
	q.calls++
	q.probePending = false
	q.inFlight, q.queued = q.queued, nil
	if q.inFlight == nil {
		return []api.Command{}, true
	}
	return q.inFlight, true
}

// endCall records that the call in flight has ended.
func (q *commandQueue) endCall() { q.inFlight, q.state = nil, callIdle }

// callInFlight reports whether a call has started and has not ended.
func (q *commandQueue) callInFlight() bool { return q.state == callInFlight }

// idle reports whether no call is in flight or scheduled.
func (q *commandQueue) idle() bool { return q.state == callIdle }

// discard drops the queued commands.
func (q *commandQueue) discard() { q.queued = nil }

// discardLaunches drops the queued launch commands that don't satisfy a condition.
func (q *commandQueue) discardLaunches(keep func(api.Command) bool) {
	q.queued = slices.DeleteFunc(q.queued, func(command api.Command) bool {
		return command.Verb == api.Launch && !keep(command)
	})
}

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

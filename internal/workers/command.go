package workers

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// CommandCall is a call to a worker's POST /commands endpoint.
type CommandCall struct {
	Addr string
	Zone string // zone of the machine
	Body api.CommandRequest
	// NotAfter is the deadline for sending the call, on this node's monotonic clock; 0: none.
	NotAfter ident.MonotonicTime
}

// Launches reports whether the call contains a launch command.
func (c CommandCall) Launches() bool { return api.ContainsLaunch(c.Body.Commands) }

// CommandResult is the result of a CommandCall.
type CommandResult struct {
	Status    int            // HTTP status; 0: no response
	Heartbeat *api.Heartbeat // body of the response; nil: none
	// NotSent reports that the call was not sent because its NotAfter deadline had passed.
	NotSent bool
	// ConnectionRefused reports that the worker's address refused the connection, so the call was not sent.
	ConnectionRefused bool
}

// isFrom reports whether the result is a response from the given machine's worker, which has either
// executed the commands (200) or rejected them as outdated (409).
func (r CommandResult) isFrom(id ident.MachineID) bool {
	if r.Status != http.StatusOK && r.Status != http.StatusConflict {
		return false
	}
	return r.Heartbeat != nil && r.Heartbeat.MachineID == id
}

// rejected reports whether the worker has rejected the commands as outdated and said what it knows.
func (r CommandResult) rejected() bool { return r.Status == http.StatusConflict && r.Heartbeat != nil }

func newLaunchCommand(t *jobs.Task) api.Command {
	return api.Command{Verb: api.Launch, TaskID: t.TaskID(), Attempt: t.Attempt}
}

func newClearCommand(attempt taskAttempt) api.Command {
	return api.Command{Verb: api.Clear, TaskID: attempt.task, Attempt: attempt.attempt}
}

// KillCommand returns the command that kills an attempt without a grace period.
func KillCommand(task ident.TaskID, attempt ident.Attempt) api.Command {
	return newKillCommand(taskAttempt{task, attempt}, 0)
}

func newKillCommand(attempt taskAttempt, gracePeriod time.Duration) api.Command {
	seconds := gracePeriod.Seconds()
	return api.Command{Verb: api.Kill, TaskID: attempt.task, Attempt: attempt.attempt, GracePeriodS: &seconds}
}

// Launch sends a launch command for a task to its machine. The task's placement must be durable.
func (tb *Table) Launch(w *Worker, t *jobs.Task) { tb.Enqueue(w, newLaunchCommand(t)) }

// StopTask stops a task with a grace period; w is its machine, or nil if the machine is unknown. A task
// whose placement is not durable was never launched and goes back to Waiting immediately. For a task
// that is already stopping, the grace period can only be shortened.
func (tb *Table) StopTask(w *Worker, t *jobs.Task, gracePeriod time.Duration) {
	switch t.State {
	case jobs.Placing:
		tb.jobs.MarkNotRunning(t, nil)
		return
	case jobs.Assigned:
		tb.jobs.MarkStopping(t, gracePeriod)
	case jobs.Stopping:
		if gracePeriod >= t.GracePeriod {
			return
		}
		t.GracePeriod = gracePeriod
	default:
		return
	}
	if w != nil {
		tb.Enqueue(w, newKillCommand(attemptOf(t), gracePeriod))
	}
}

// StopAllocated stops all allocated tasks of a job.
func (tb *Table) StopAllocated(j *jobs.Job, gracePeriod time.Duration) {
	for t := range j.Tasks.Created() {
		if t.State.Allocated() {
			tb.StopTask(tb.Workers[t.MachineID], t, gracePeriod)
		}
	}
}

// Enqueue queues a command for a worker. The command is sent after the current event or, if a call is in
// flight, after that call. A lost command is repeated in the response to the worker's next heartbeat.
func (tb *Table) Enqueue(w *Worker, command api.Command) {
	if w.State == Terminated || w.Addr == "" || w.order.incarnation == 0 || w.reachability.unresponsive {
		return
	}
	w.commands.queued = append(w.commands.queued, command)
	if w.commands.scheduleCall() {
		// Send after the current event, so that all commands it queues share one call.
		tb.port.After(0, func() { tb.sendQueued(w) })
	}
}

// Probe sends a call to a worker to get its current heartbeat, along with any queued commands. It returns
// false if no call can be made now: the address is unknown, the machine is terminated, or a call is in
// flight.
func (tb *Table) Probe(w *Worker) bool {
	if w.Addr == "" || w.State == Terminated || !w.commands.scheduleCall() {
		return false
	}
	w.commands.probePending = true
	tb.sendQueued(w)
	return true
}

// sendQueued starts a call with the queued commands, unless a call is in flight or none is needed.
func (tb *Table) sendQueued(w *Worker) {
	if tb.closed || w.State == Terminated {
		return
	}
	tb.discardOutdatedLaunches(w)
	commands, started := w.commands.startCall()
	if !started {
		return
	}
	tb.raiseTokenForClears(w, commands)
	if tb.closed {
		return // the term has no higher token
	}
	w.fencing.recordLaunches(commands)
	call := CommandCall{Addr: w.Addr, Zone: w.Zone, Body: api.CommandRequest{
		FencingToken: tb.FencingToken(w),
		Incarnation:  max(w.order.incarnation, 1),
		Commands:     commands,
	}}
	number := w.commands.calls
	logCallSent(w, number, call.Body)
	tb.port.Worker(call, func(result CommandResult) {
		logCallEnded(w, number, result)
		if result.rejected() && len(call.Body.Commands) > 0 {
			tb.RejectedCalls++
			logCallRejected(w, number, call.Body, result.Heartbeat)
		}
		tb.handleCommandResult(w, result)
	})
}

// discardOutdatedLaunches drops the queued launch commands that must not be sent any more: they may have waited for the call
// before them. If this node may not launch tasks, the response to a later heartbeat launches them, if it may again by
// then. A task that was stopped meanwhile must not be started at all: its user may have been told that it never will be.
func (tb *Table) discardOutdatedLaunches(w *Worker) {
	if !api.ContainsLaunch(w.commands.queued) {
		return
	}
	mayLaunch := tb.cfg.MayLaunch()
	w.commands.discardLaunches(func(launch api.Command) bool { return mayLaunch && w.isAssigned(targetOf(launch)) })
}

// isAssigned reports whether an attempt is placed on the machine and was not stopped.
func (w *Worker) isAssigned(attempt taskAttempt) bool {
	t := w.Tasks[attempt.task]
	return t != nil && t.Attempt == attempt.attempt && t.State == jobs.Assigned
}

func (tb *Table) handleCommandResult(w *Worker, result CommandResult) {
	if tb.closed {
		return
	}
	w.commands.endCall()
	if result.NotSent {
		// If this node is still the leader, the response to the worker's next heartbeat repeats the commands.
		w.commands.discard()
		return
	}
	tb.cfg.OnCommandResult(w, result.Status != 0)
	if tb.closed {
		return // OnCommandResult ended the term
	}
	if w.State == Terminated {
		return // the tasks in the response were lost with the machine
	}
	if !result.isFrom(w.ID) {
		tb.fenceOff(w)
		return
	}
	w.reachability.commandAnswered()
	tb.applyCommandResponse(w, result.Heartbeat)
	tb.sendQueued(w)
}

// fenceOff raises the worker's fencing token after a call without a response. Once the worker has seen the
// new token, it can no longer execute the commands of that call. Until a heartbeat carries the new
// token, no more commands are sent to the worker.
func (tb *Table) fenceOff(w *Worker) {
	w.reachability.commandUnanswered()
	w.commands.discard()
	tb.FencedCommands++
	tb.raiseToken(w)
}

// applyCommandResponse applies the heartbeat in the response to a command call, and queues kill commands
// for the tasks in it that must not run. It does not leave that to the response to the next heartbeat,
// because this node may have lost its leadership by then.
func (tb *Table) applyCommandResponse(w *Worker, heartbeat *api.Heartbeat) {
	if tb.applyHeartbeat(w, heartbeat) != heartbeatApplied {
		return
	}
	for _, command := range unwantedTaskKills(w, heartbeat) {
		if !w.commands.hasQueued(command) {
			tb.Enqueue(w, command)
		}
	}
}

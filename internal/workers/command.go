package workers

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// CommandCall is a call of a worker's POST /commands.
type CommandCall struct {
	Addr string
	Zone string // of the machine
	Body api.CommandRequest
	// NotAfter is the deadline for sending the call, by this node's clock; 0: none.
	NotAfter ident.MonotonicTime
}

// Launches reports whether the call starts a task.
func (c CommandCall) Launches() bool { return api.ContainsLaunch(c.Body.Commands) }

// CommandResult is the result of a CommandCall.
type CommandResult struct {
	Status    int // HTTP status, 0 without a response
	Heartbeat *api.Heartbeat
	// NotSent reports that the call was certainly not sent, because its NotAfter had passed.
	NotSent bool
	// ConnectionRefused reports that the connection was refused, so that the call was not sent.
	ConnectionRefused bool
}

// isFrom reports whether the result is a response of the worker, which has carried out the commands
// or refused them as outdated.
func (r CommandResult) isFrom(id ident.MachineID) bool {
	if r.Status != http.StatusOK && r.Status != http.StatusConflict {
		return false
	}
	return r.Heartbeat != nil && r.Heartbeat.MachineID == id
}

func newLaunchCommand(t *jobs.Task) api.Command {
	return api.Command{Verb: api.Launch, TaskID: t.TaskID(), Attempt: t.Attempt}
}

func newClearCommand(attempt taskAttempt) api.Command {
	return api.Command{Verb: api.Clear, TaskID: attempt.task, Attempt: attempt.attempt}
}

// KillCommand returns the command that ends an attempt without a grace period.
func KillCommand(task ident.TaskID, attempt ident.Attempt) api.Command {
	return newKillCommand(taskAttempt{task, attempt}, 0)
}

func newKillCommand(attempt taskAttempt, gracePeriod time.Duration) api.Command {
	seconds := gracePeriod.Seconds()
	return api.Command{Verb: api.Kill, TaskID: attempt.task, Attempt: attempt.attempt, GracePeriodS: &seconds}
}

// Launch sends the launch of a task, whose placement must be durable, to its machine.
func (tb *Table) Launch(w *Worker, t *jobs.Task) { tb.Enqueue(w, newLaunchCommand(t)) }

// StopTask stops a task with a grace period; w is its machine, nil if that is not known. A task
// whose placement is not durable was never launched, and is gone at once. The grace period of a
// task that is stopping already can only be shortened.
func (tb *Table) StopTask(w *Worker, t *jobs.Task, gracePeriod time.Duration) {
	switch t.State {
	case jobs.Placing:
		tb.jobs.MarkGone(t, nil)
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

// StopAllocated stops the tasks of a job that are allocated on machines.
func (tb *Table) StopAllocated(j *jobs.Job, gracePeriod time.Duration) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Allocated() {
			tb.StopTask(tb.Workers[t.MachineID], t, gracePeriod)
		}
	}
}

// Enqueue sends a command to a worker after the present event, or after the call under way. A
// command that is lost is repeated in the response to the worker's next heartbeat.
func (tb *Table) Enqueue(w *Worker, command api.Command) {
	if w.State == Terminated || w.Addr == "" || w.order.incarnation == 0 || w.reachability.unresponsive {
		return
	}
	w.commands.queued = append(w.commands.queued, command)
	if w.commands.startSending() {
		// After the present event, so that all its commands go in one call.
		tb.port.After(0, func() { tb.sendQueued(w) })
	}
}

// Probe asks a worker for its state. It returns false if the worker cannot be asked now.
func (tb *Table) Probe(w *Worker) bool {
	if w.Addr == "" || w.State == Terminated || !w.commands.startSending() {
		return false
	}
	w.commands.probePending = true
	tb.sendQueued(w)
	return true
}

func (tb *Table) sendQueued(w *Worker) {
	if tb.closed || w.State == Terminated || !w.commands.hasWork() {
		w.commands.sending = false
		return
	}
	call := CommandCall{Addr: w.Addr, Zone: w.Zone, Body: api.CommandRequest{
		FencingToken: tb.fencingToken(w),
		Incarnation:  max(w.order.incarnation, 1),
		Commands:     w.commands.startCall(),
	}}
	tb.port.Worker(call, func(result CommandResult) { tb.handleCommandResult(w, result) })
}

func (tb *Table) handleCommandResult(w *Worker, result CommandResult) {
	if tb.closed {
		return
	}
	w.commands.finishCall()
	if result.NotSent {
		// The response to the worker's next heartbeat repeats the commands if this node is still leader.
		w.commands.discard()
		return
	}
	tb.cfg.OnCommandResult(w, result.Status != 0)
	if tb.closed {
		return // the result has ended the term
	}
	if w.State == Terminated {
		return // the tasks in its response are lost with the machine
	}
	if !result.isFrom(w.ID) {
		tb.fenceOff(w)
		return
	}
	w.reachability.commandAnswered()
	tb.applyCommandResponse(w, result.Heartbeat)
	if len(w.commands.queued) > 0 {
		// Known limitation: a command that applyCommandResponse has queued has its timer as well.
		// That finds the queue empty and counts it as idle while this call is under way, so that
		// another call may overlap it.
		w.commands.sending = true
		tb.sendQueued(w)
	}
}

// fenceOff makes sure that a command without a response is not carried out once the worker has
// seen the next token. Until a heartbeat shows that, nothing more is sent to it.
func (tb *Table) fenceOff(w *Worker) {
	w.fencing.raise()
	w.reachability.commandUnanswered()
	w.commands.discard()
	tb.FencedCommands++
}

// applyCommandResponse applies the heartbeat in the response to a command, and kills the tasks in it
// that must not run. That does not wait for the response to the next heartbeat: by then this node
// may have lost its leadership.
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

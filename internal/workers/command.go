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
	// NotAfter is the time, by this node's clock, from which the call must not be sent
	// any more; 0: none.
	NotAfter ident.MonotonicTime
}

// Launches reports whether the call starts a task.
func (c CommandCall) Launches() bool { return api.ContainsLaunch(c.Body.Commands) }

// CommandResult is the result of a CommandCall.
type CommandResult struct {
	Status    int // HTTP status, 0 without a response
	Heartbeat *api.Heartbeat
	// NotSent reports that the call was surely not sent: its time was over.
	NotSent bool
	// ConnectionRefused reports that the connection was refused; the call was not sent.
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

func launchCommand(t *jobs.Task) api.Command {
	return api.Command{Verb: api.Launch, TaskID: t.TaskID(), Attempt: t.Attempt}
}

func clearCommand(attempt taskAttempt) api.Command {
	return api.Command{Verb: api.Clear, TaskID: attempt.task, Attempt: attempt.attempt}
}

// KillCommand returns the command that ends an attempt without a grace period.
func KillCommand(task ident.TaskID, number ident.Attempt) api.Command {
	return killAttempt(taskAttempt{task, number}, 0)
}

func killAttempt(attempt taskAttempt, gracePeriod time.Duration) api.Command {
	seconds := gracePeriod.Seconds()
	return api.Command{Verb: api.Kill, TaskID: attempt.task, Attempt: attempt.attempt, GracePeriodS: &seconds}
}

// Launch sends the launch of a task, whose placement must be durable, to its machine.
func (tb *Table) Launch(w *Worker, t *jobs.Task) { tb.Enqueue(w, launchCommand(t)) }

// StopTask stops a task with a grace period; w is its machine, nil if that is not known. A task
// whose placement is not durable yet was never launched. One that is stopping already is
// given less time at the most.
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
		tb.Enqueue(w, killAttempt(attemptOf(t), gracePeriod))
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

// Enqueue sends a command to a worker at once, or after the call under way. What is lost is
// repeated in the response to the worker's next heartbeat.
func (tb *Table) Enqueue(w *Worker, command api.Command) {
	if w.State == Terminated || w.Addr == "" || w.order.incarnation == 0 || w.reachability.unresponsive {
		return
	}
	w.commands.queued = append(w.commands.queued, command)
	if w.commands.startSending() {
		// After the present event, so that its commands go together.
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
		// The response to the worker's next heartbeat repeats it, if this node still leads then.
		w.commands.discard()
		return
	}
	if tb.cfg.OnCommandResult(w, result.Status != 0); tb.closed {
		return
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

// applyCommandResponse takes over the heartbeat in the response to a command, and kills the tasks
// in it that are not wanted. The response to the next heartbeat may come too late for that:
// by then this node may be unable to give commands.
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

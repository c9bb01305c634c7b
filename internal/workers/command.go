package workers

import (
	"slices"
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

// Launches says whether the command starts a task.
func (c CommandCall) Launches() bool { return api.ContainsLaunch(c.Body.Commands) }

// CommandResult is what came of a Command.
type CommandResult struct {
	Status    int // 0: none
	Heartbeat *api.Heartbeat
	// NotSent says that the command was surely not sent: its time was over.
	NotSent bool
	// ConnectionRefused says that the connection was refused; the command was not sent.
	ConnectionRefused bool
}

func launchCommand(t *jobs.Task) api.Command {
	return api.Command{Verb: api.Launch, TaskID: t.TaskID(), Attempt: t.Attempt}
}

// KillCommand is the order that ends an attempt at once.
func KillCommand(task ident.TaskID, number ident.Attempt) api.Command {
	return killAttempt(taskAttempt{task, number}, 0)
}

func killAttempt(attempt taskAttempt, gracePeriod time.Duration) api.Command {
	seconds := gracePeriod.Seconds()
	return api.Command{Verb: api.Kill, TaskID: attempt.task, Attempt: attempt.attempt, GracePeriodS: &seconds}
}

// Launch sends a durable placement to its machine.
func (tb *Table) Launch(w *Worker, t *jobs.Task) { tb.Enqueue(w, launchCommand(t)) }

// StopTask stops a task. One whose placement is not yet durable was never sent.
func (tb *Table) StopTask(w *Worker, t *jobs.Task, gracePeriod time.Duration) {
	switch t.State {
	case jobs.Placing:
		tb.jobs.MarkGone(t, nil)
	case jobs.Assigned:
		tb.jobs.MarkStopping(t, gracePeriod)
		if w != nil {
			tb.Enqueue(w, killAttempt(taskAttempt{t.TaskID(), t.Attempt}, gracePeriod))
		}
	case jobs.Stopping:
		if gracePeriod < t.GracePeriod {
			t.GracePeriod = gracePeriod
			if w != nil {
				tb.Enqueue(w, killAttempt(taskAttempt{t.TaskID(), t.Attempt}, gracePeriod))
			}
		}
	}
}

// Enqueue sends an order to a worker at once. One command is under way at a time,
// so that orders keep their order; what gets lost is repeated by the answer to
// the worker's next report.
func (tb *Table) Enqueue(w *Worker, command api.Command) {
	if w.State == Terminated || w.Addr == "" || w.Incarnation == 0 || w.unresponsive {
		return
	}
	w.queued = append(w.queued, command)
	if !w.sending {
		w.sending = true
		// After the present event, so that orders of one moment go together.
		tb.port.After(0, func() { tb.sendQueued(w) })
	}
}

// Probe asks a worker for its state, unless a command is under way.
func (tb *Table) Probe(w *Worker) bool {
	if w.sending || w.Addr == "" || w.State == Terminated {
		return false
	}
	w.sending = true
	w.probePending = true
	tb.sendQueued(w)
	return true
}

func (tb *Table) sendQueued(w *Worker) {
	if tb.closed || w.State == Terminated || len(w.queued) == 0 && !w.probePending {
		w.sending = false
		return
	}
	w.probePending = false
	w.inFlight, w.queued = w.queued, nil
	token, incarnation := tb.fencingToken(w), max(w.Incarnation, 1)
	commands := w.inFlight
	if commands == nil {
		commands = []api.Command{}
	}
	tb.port.Worker(CommandCall{Addr: w.Addr, Zone: w.Zone, Body: api.CommandRequest{FencingToken: token, Incarnation: incarnation, Commands: commands}}, func(result CommandResult) {
		if tb.closed {
			return
		}
		w.inFlight, w.sending = nil, false
		if result.NotSent {
			// What it named is repeated by the answer to the worker's next report, if
			// this node still leads then.
			w.queued = nil
			return
		}
		if tb.cfg.OnCommandResult(w, result.Status != 0); tb.closed {
			return
		}
		if w.State == Terminated {
			// Returned meanwhile, with everything: what its answer lists is there no more.
			// (It was noted as on a machine all the same, and never started again.)
			return
		}
		if result.Status != 200 && result.Status != 409 || result.Heartbeat == nil || result.Heartbeat.MachineID != w.ID {
			// It may be carried out at any later time, until the worker has seen
			// a higher token.
			w.fenceCount++
			w.missedResponses++
			tb.FencedCommands++
			w.queued = nil
			w.unresponsive = true
			return
		}
		w.missedResponses = 0
		if tb.applyHeartbeat(w, result.Heartbeat) && !tb.closed {
			tb.killUnwanted(w, result.Heartbeat)
		}
		if len(w.queued) > 0 {
			w.sending = true
			tb.sendQueued(w)
		}
	})
}

// killUnwanted stops what the answer to a command shows and nobody wants. (A new leader
// asked a machine, heard of a cancelled task, and told it only at its next report; by
// then the state service was down and it had no orders to give any more.)
func (tb *Table) killUnwanted(w *Worker, heartbeat *api.Heartbeat) {
	for _, command := range unwantedTaskKills(w, heartbeat) {
		if !slices.ContainsFunc(w.queued, func(queued api.Command) bool {
			return queued.Verb == command.Verb && queued.TaskID == command.TaskID && queued.Attempt == command.Attempt
		}) {
			tb.Enqueue(w, command)
		}
	}
}

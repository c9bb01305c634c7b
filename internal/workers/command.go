package workers

import (
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Command is a call of a worker's POST /commands.
type Command struct {
	Addr string
	Zone string // of the machine
	Body api.Commands
	// NotAfter is the time, by this node's clock, from which the call must not be sent
	// any more; 0: none.
	NotAfter ident.MonotonicTime
}

// Launches says whether the command starts a task.
func (c Command) Launches() bool { return api.Launches(c.Body.Orders) }

// Answer is what came of a Command.
type Answer struct {
	Status int // 0: none
	Report *api.Report
	// Unsent says that the command was surely not sent: its time was over.
	Unsent bool
	// Rejected says that the connection was refused; the command was not sent.
	Rejected bool
}

func launch(t *jobs.Task) api.Order {
	return api.Order{Verb: api.Launch, TaskID: t.TaskID(), Attempt: t.Attempt}
}

// Kill is the order that ends an attempt at once.
func Kill(p ident.TaskID, t ident.Attempt) api.Order { return kill(attempt{p, t}, 0) }

func kill(a attempt, windDown time.Duration) api.Order {
	s := windDown.Seconds()
	return api.Order{Verb: api.Kill, TaskID: a.piece, Attempt: a.try, WindDownS: &s}
}

// Launch sends a durable placement to its machine.
func (tb *Table) Launch(w *Worker, t *jobs.Task) { tb.Push(w, launch(t)) }

// StopTask stops a task. One whose placement is not yet durable was never sent.
func (tb *Table) StopTask(w *Worker, t *jobs.Task, windDown time.Duration) {
	switch t.State {
	case jobs.Placing:
		tb.jobs.Gone(t, nil)
	case jobs.Assigned:
		tb.jobs.Stop(t, windDown)
		if w != nil {
			tb.Push(w, kill(attempt{t.TaskID(), t.Attempt}, windDown))
		}
	case jobs.Stopping:
		if windDown < t.WindDown {
			t.WindDown = windDown
			if w != nil {
				tb.Push(w, kill(attempt{t.TaskID(), t.Attempt}, windDown))
			}
		}
	}
}

// Push sends an order to a worker at once. One command is under way at a time,
// so that orders keep their order; what gets lost is repeated by the answer to
// the worker's next report.
func (tb *Table) Push(w *Worker, o api.Order) {
	if w.State == Gone || w.Addr == "" || w.Session == 0 || w.dull {
		return
	}
	w.queue = append(w.queue, o)
	if !w.busy {
		w.busy = true
		// After the present event, so that orders of one moment go together.
		tb.port.After(0, func() { tb.send(w) })
	}
}

// Probe asks a worker for its state, unless a command is under way.
func (tb *Table) Probe(w *Worker) bool {
	if w.busy || w.Addr == "" || w.State == Gone {
		return false
	}
	w.busy = true
	w.probing = true
	tb.send(w)
	return true
}

func (tb *Table) send(w *Worker) {
	if tb.dead || w.State == Gone || len(w.queue) == 0 && !w.probing {
		w.busy = false
		return
	}
	w.probing = false
	w.flying, w.queue = w.queue, nil
	epoch, tenure := tb.epoch(w), max(w.Session, 1)
	orders := w.flying
	if orders == nil {
		orders = []api.Order{}
	}
	tb.port.Worker(Command{Addr: w.Addr, Zone: w.Zone, Body: api.Commands{Epoch: epoch, Session: tenure, Orders: orders}}, func(a Answer) {
		if tb.dead {
			return
		}
		w.flying, w.busy = nil, false
		if a.Unsent {
			// What it named is repeated by the answer to the worker's next report, if
			// this node still leads then.
			w.queue = nil
			return
		}
		if tb.cfg.Asked(w, a.Status != 0); tb.dead {
			return
		}
		if w.State == Gone {
			// Returned meanwhile, with everything: what its answer lists is there no more.
			// (It was noted as on a machine all the same, and never started again.)
			return
		}
		if a.Status != 200 && a.Status != 409 || a.Report == nil || a.Report.Host != w.Host {
			// It may be carried out at any later time, until the worker has seen
			// a higher token.
			w.fence++
			w.misses++
			tb.Fences++
			w.queue = nil
			w.dull = true
			return
		}
		w.misses = 0
		if tb.take(w, a.Report) && !tb.dead {
			tb.stopUnwanted(w, a.Report)
		}
		if len(w.queue) > 0 {
			w.busy = true
			tb.send(w)
		}
	})
}

// stopUnwanted stops what the answer to a command shows and nobody wants. (A new leader
// asked a machine, heard of a cancelled task, and told it only at its next report; by
// then the state service was down and it had no orders to give any more.)
func (tb *Table) stopUnwanted(w *Worker, r *api.Report) {
	for _, o := range unwanted(w, r) {
		if !slices.ContainsFunc(w.queue, func(q api.Order) bool { return q.Verb == o.Verb && q.TaskID == o.TaskID && q.Attempt == o.Attempt }) {
			tb.Push(w, o)
		}
	}
}

package workers

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Checkin takes a worker's report and returns the answer to it, nil for a
// report that is not newer than what is known.
func (tb *Table) Checkin(r *api.Report) *api.Orders {
	w := tb.Workers[r.Host]
	if w == nil || w.State == Gone {
		if w != nil {
			// Held up on its way while its machine was being returned.
			return nil
		}
		return tb.stranger(r)
	}
	if !tb.take(w, r) {
		// No effect, but its lease is renewed by any answer, and so each must end what
		// has to be gone.
		if tb.dead || r.Session < w.Session {
			return nil
		}
		return tb.renew(w, r, unwanted(w, r))
	}
	o := tb.renew(w, r, tb.reconcile(w, r))
	if o != nil {
		w.told = o.Epoch
	}
	return o
}

// stranger answers a report of a machine that we don't know. It may be a late
// copy, from one long returned; so the machine is asked before it counts.
func (tb *Table) stranger(r *api.Report) *api.Orders {
	if r.Epoch.Term() > tb.cfg.Term {
		tb.cfg.Deposed()
		return nil
	}
	epoch := ident.MakeFencingToken(tb.cfg.Term, 0)
	if !tb.asked[r.Host] && len(tb.asked) < tb.strangerLimit() {
		tb.asked[r.Host] = true
		tb.port.Worker(Command{Addr: r.Addr, Zone: r.Zone, Body: api.Commands{Epoch: epoch, Session: r.Session, Orders: []api.Order{}}}, func(a Answer) {
			if tb.dead {
				return
			}
			delete(tb.asked, r.Host)
			if a.Report == nil || a.Report.Host != r.Host {
				return
			}
			slog.Info("unexpected machine", "host", string(r.Host))
			w := tb.Add(r.Host, r.Model, r.Zone, r.Spot, tb.port.Now())
			if w.State != Gone && tb.take(w, a.Report) && !tb.dead {
				tb.stopUnwanted(w, a.Report)
			}
		})
	}
	return &api.Orders{Epoch: epoch, Orders: []api.Order{}}
}

// The bound on the unknown machines that are asked at a time: so many, or a part of the
// fleet where it is larger.
const (
	minStrangers  = 100
	strangersPart = 10
)

func (tb *Table) strangerLimit() int { return max(minStrangers, len(tb.sorted)/strangersPart) }

// Renew answers a report without taking anything from it, for a leader that may not be
// one any more, but whose workers had better keep their tasks. Nothing starts by that;
// what must be gone is stopped.
func (tb *Table) Renew(r *api.Report) *api.Orders {
	w := tb.Workers[r.Host]
	if w == nil || w.State == Gone || r.Epoch > tb.epoch(w) || r.Session < w.Session {
		// One that has seen a successor's token would have to drop our answer, and
		// stay with us until its lease is over.
		return nil
	}
	o := tb.renew(w, r, unwanted(w, r))
	if o != nil {
		w.heard = w.answered
	}
	return o
}

// renew answers a report, which renews the worker's lease, unless a task of a job that
// was cancelled longer ago than the grace may yet come to run there, from a command that
// is still on its way: that must be over with the lease. The worker is then told the
// newest token, with which its next report shows that nothing can come any more.
func (tb *Table) renew(w *Worker, r *api.Report, orders []api.Order) *api.Orders {
	// With the newest token, and no command under way, nothing can come late.
	if r.Epoch != tb.epoch(w) || w.busy || r.Serial < w.serial {
		for _, t := range w.Tasks {
			j := t.Job
			if j.Phase == jobs.Cancelled && tb.port.Now().Sub(j.Ended) > tb.cfg.Grace && !listed(r, attempt{t.TaskID(), t.Attempt}) {
				tb.Probe(w)
				return nil
			}
		}
	}
	w.answered, w.everAns = tb.port.Now(), true
	return &api.Orders{Epoch: tb.epoch(w), Orders: orders}
}

// listed says whether a report has an attempt.
func listed(r *api.Report, a attempt) bool {
	return slices.ContainsFunc(r.Tasks, func(p api.TaskReport) bool { return p.TaskID == a.piece && p.Attempt == a.try })
}

// unwanted returns the orders that stop the tasks in a report which nobody wants any
// more: those of cancelled jobs, and what doesn't count on the machine. A kill is safe
// at any time, whoever leads.
func unwanted(w *Worker, r *api.Report) []api.Order {
	orders := []api.Order{}
	for _, p := range r.Tasks {
		t := w.Tasks[p.TaskID]
		if p.Status != api.Ended && (t == nil || t.Attempt != p.Attempt || t.Job.Phase == jobs.Cancelled) {
			orders = append(orders, Kill(p.TaskID, p.Attempt))
		}
	}
	return orders
}

// take notes what a report says of the worker itself. It returns false for a
// report that is not newer than the newest seen.
func (tb *Table) take(w *Worker, r *api.Report) bool {
	if r.Session < w.Session || r.Session == w.Session && r.Serial <= w.serial {
		tb.Stale++
		return false
	}
	now := tb.port.Now()
	if r.Epoch.Term() > tb.cfg.Term {
		tb.cfg.Deposed()
		return false
	}
	if r.Epoch > tb.epoch(w) {
		// A token of ours that we don't remember: not possible within a term.
		slog.Error("worker has seen a token from the future", "host", string(w.Host))
		w.fence = uint32(r.Epoch-ident.MakeFencingToken(tb.cfg.Term, 0)) + 1
	}
	if w.Addr != r.Addr || w.Kind == nil {
		w.Addr = r.Addr
		w.Kind = tb.cfg.Catalog(w.Model)
		tb.cfg.Commit(w)
	}
	if r.Session > w.Session {
		tb.beginSession(w, r.Session, now)
	}
	tb.loseEarlier(w, r)
	w.serial, w.heard = r.Serial, now
	tb.noteContact(w, r, now)
	tb.noteNotice(w, r.NoticeS, now)
	tb.clearOrphans(w)
	for _, p := range r.Tasks {
		tb.takeTask(w, p)
	}
	return true
}

// beginSession notes that the worker has killed and forgotten all tasks of earlier sessions, and
// that orders for them are refused.
func (tb *Table) beginSession(w *Worker, s ident.Incarnation, now ident.MonotonicTime) {
	w.Session = s
	w.queue = nil
	w.images = nil
	tb.clearOrphans(w)
	// Its lease has its full time from when the session began, which was not
	// after this: nobody need have answered it yet. (A placement learned of by
	// a probe was thought lost with the lease before, and ran twice.)
	w.answered, w.everAns = now, true
}

// noteContact notes that a machine is heard, and whether it hears us.
func (tb *Table) noteContact(w *Worker, r *api.Report, now ident.MonotonicTime) {
	// To hear a machine is no proof that it hears us: our answers and commands may
	// be lost on the way there. A token that we gave it is.
	switch {
	case r.Epoch >= w.told:
		w.misses, w.deaf = 0, 0
	case w.deaf == 0:
		w.deaf = now
	}
	if r.Epoch == tb.epoch(w) {
		w.dull = false
	}
	if w.State == Booting || w.State == Silent {
		tb.to(w, Up, "reports")
		w.probing = false
		tb.cfg.Changed()
	}
}

// noteNotice notes when the cloud takes a machine, nil if that is not announced.
func (tb *Table) noteNotice(w *Worker, notice *float64, now ident.MonotonicTime) {
	if notice == nil {
		w.Doomed = 0
		return
	}
	at := now.Add(time.Duration(*notice * float64(time.Second)))
	if w.Doomed == 0 {
		slog.Info("machine will be taken", "host", string(w.Host), "in_s", *notice)
		tb.cfg.Changed()
	}
	w.Doomed = max(at, 1)
}

// takeTask notes what a report says of one task.
func (tb *Table) takeTask(w *Worker, p api.TaskReport) {
	t := w.Tasks[p.TaskID]
	known := t != nil && t.Attempt == p.Attempt
	if !known {
		if p.Status != api.Ended {
			tb.orphan(w, p.TaskID, p.Attempt)
		}
		return
	}
	if p.Status == api.Running || p.Status == api.Flushing || p.Status == api.Gathering || p.Cause == api.CauseDone {
		w.cache(t.Job.Spec.Image, t.Job.Spec.ImageGB)
	}
	if p.Status != api.Ended {
		tb.jobs.Observe(t, p.Status)
		return
	}
	tb.ended(w, t, p)
}

// loseEarlier drops the tasks of sessions before the report's. A successor may find them
// beside newer ones, by which it knows the session already: their end was not durable yet
// when what took their room was. (It launched them in the new session, and a team was over
// its limit.)
func (tb *Table) loseEarlier(w *Worker, r *api.Report) {
	earlier := func(t *jobs.Task) bool { return t.Session < r.Session && !listed(r, attempt{t.TaskID(), t.Attempt}) }
	some := false
	for _, t := range w.Tasks {
		some = some || earlier(t)
	}
	if !some {
		return
	}
	for _, t := range tb.TasksOf(w) {
		if earlier(t) {
			tb.lose(w, t, "newer tenure")
		}
	}
}

// ended handles a task that exited. Its attempt is cleared from the worker only
// when that is durable: else a successor would start it again.
func (tb *Table) ended(w *Worker, t *jobs.Task, p api.TaskReport) {
	a := attempt{p.TaskID, p.Attempt}
	if now := tb.port.Now(); t.RunsAt > 0 {
		slog.Debug("task ended", "task", p.TaskID.String(), "cause", string(p.Cause), "host", string(w.Host),
			"ran_s", now.Sub(t.RunsAt).Seconds(), "job_age_s", now.Sub(t.Job.Arrived).Seconds(), "runtime_s", t.Job.Spec.RuntimeS)
	}
	w.unclear[a] = true
	durable := func() {
		if tb.dead {
			return
		}
		delete(w.unclear, a)
		tb.Push(w, api.Order{Verb: api.Clear, TaskID: a.piece, Attempt: a.try})
	}
	if p.Cause == api.CauseDone {
		w.absolve(t.Job)
		tb.cfg.Completed(t, w)
		tb.jobs.Complete(t, durable)
		if t.Job.Gang() {
			tb.stopRest(t.Job)
		}
		return
	}
	tb.cfg.Failed(t, w, p.Cause)
	if p.Cause == api.CauseError && !t.Job.Suspect {
		w.Blame(t.Job)
	}
	tb.jobs.Gone(t, durable)
}

// stopRest stops what is left on machines of a gang that is done.
func (tb *Table) stopRest(j *jobs.Job) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Held() {
			tb.StopTask(tb.Workers[t.Host], t, 0)
		}
	}
}

// reconcile finds what the report of a checkin proves to be gone, and the
// orders that are missing on the worker.
func (tb *Table) reconcile(w *Worker, r *api.Report) []api.Order {
	orders := []api.Order{}
	// What a command under way or queued names is left to it: a launch repeated
	// here could be carried out, end and be cleared before the command's own
	// comes and starts the task again.
	flying := func(a attempt) bool {
		named := func(o api.Order) bool { return o.TaskID == a.piece && o.Attempt == a.try }
		return slices.ContainsFunc(w.flying, named) || slices.ContainsFunc(w.queue, named)
	}
	for _, p := range r.Tasks {
		a := attempt{p.TaskID, p.Attempt}
		t := w.Tasks[p.TaskID]
		known := t != nil && t.Attempt == p.Attempt
		switch {
		case known && t.State == jobs.Stopping && t.Job.Phase == jobs.Cancelled && p.Status != api.Ended:
			// A command that says so may be lost, and this answer renews the lease.
			orders = append(orders, kill(a, 0))
		case flying(a):
		case p.Status == api.Ended:
			if !known && !w.unclear[a] {
				orders = append(orders, api.Order{Verb: api.Clear, TaskID: p.TaskID, Attempt: p.Attempt})
			}
		case !known:
			orders = append(orders, kill(a, 0))
		case t.State == jobs.Stopping:
			orders = append(orders, kill(a, tb.windDown(t)))
		}
	}
	// What an earlier term has placed is not launched: that term may have given its room,
	// or its zone, to others, and only that may have become durable. It is lost and
	// placed anew.
	// Without the newest token, a command of before may still be on its way to
	// the worker, so what is missing is not proven to be gone. Reports follow one
	// another: an order in the answer to an earlier one was carried out before
	// this report was sent, or never will be.
	fresh := r.Epoch == tb.epoch(w)
	for _, t := range tb.TasksOf(w) {
		a := attempt{t.TaskID(), t.Attempt}
		if listed(r, a) || flying(a) {
			continue
		}
		switch {
		case t.State == jobs.Assigned && t.Seen == "" && t.PlacedNow():
			if w.State == Up && t.Job.Phase == jobs.Open && t.Job.Ready() {
				orders = append(orders, launch(t))
			}
		case t.State == jobs.Assigned && fresh:
			tb.lose(w, t, "not in the report")
		case t.State == jobs.Stopping && fresh:
			tb.lose(w, t, "stopped before it started")
		}
	}
	return orders
}

// windDown gives a stopping task the rest of its time to save.
func (tb *Table) windDown(t *jobs.Task) time.Duration {
	left := t.WindDown - tb.port.Now().Sub(t.Since)
	if t.WindDown == 0 || left <= 0 {
		return 0
	}
	return t.WindDown
}

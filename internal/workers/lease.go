package workers

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Hears says whether a machine is up, was heard within d, and answers commands as far
// as is known.
func (tb *Table) Hears(h ident.MachineID, d time.Duration) bool {
	w := tb.Workers[h]
	return w != nil && w.State == Up && !w.dull && w.misses == 0 && w.deaf == 0 && w.Reported() && tb.port.Now().Sub(w.heard) <= d
}

// lose notes that a task is proven not to be on its machine.
func (tb *Table) lose(w *Worker, t *jobs.Task, why string) {
	slog.Info("task is gone", "task", t.TaskID().String(), "try", uint64(t.Attempt), "host", string(w.Host), "why", why)
	tb.Relocated++
	tb.jobs.Gone(t, nil)
}

// Silence returns for how long a worker has not been heard of; a new leader
// gives everybody a little time to come.
func (tb *Table) Silence(w *Worker) time.Duration { return tb.port.Now().Sub(w.heard) }

// Quiet marks a silent machine.
func (tb *Table) Quiet(w *Worker) { tb.to(w, Silent, "no reports") }

// leaseDrift covers clocks that run up to 0.05% apart, twice over.
const leaseDrift = 1.002

// Expired says whether the worker's lease is surely over, and with it its
// tasks: no report sent after the last answer can have been answered, by us or,
// in its grace, by the leader before us, or by a sibling that kept for either.
func (tb *Table) Expired(w *Worker) bool {
	from := max(tb.began.Add(tb.cfg.Grace), tb.cfg.Renewed())
	if w.everAns {
		from = max(from, w.answered)
	}
	return tb.port.Now() > from.Add(time.Duration(float64(tb.cfg.LeaseS)*leaseDrift)+time.Second)
}

// Expire drops the tasks of a worker whose lease is surely over.
func (tb *Table) Expire(w *Worker) {
	for _, t := range tb.TasksOf(w) {
		tb.lose(w, t, "lease over")
	}
	tb.clearOrphans(w)
}

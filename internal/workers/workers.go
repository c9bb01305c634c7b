// Package workers owns what is known of the machines: which sessions they are
// in, which tasks count on them, which orders are under way, and what proves
// that a task is gone.
package workers

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Lesser returns how many tasks of a lower priority count on any machine.
func (tb *Table) Lesser(r api.Priority) int { return lesser(&tb.ranks, r) }

// Port is what the table needs of the world.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Worker(Command, func(Answer))
}

// Config holds the workers' times and the term.
type Config struct {
	Term    ident.Term
	LeaseS  time.Duration
	Grace   time.Duration // for which an earlier leader may have answered on
	Catalog func(model string) *cloud.Model
	// Deposed is called when a worker has seen a later term.
	Deposed func()
	// Changed is called when room or tasks have changed.
	Changed func()
	// Failed is called for a task that ended for another cause than done.
	Failed func(t *jobs.Task, w *Worker, c api.Cause)
	// Completed is called for a task that completes, before that is noted; nil: nobody is.
	Completed func(t *jobs.Task, w *Worker)
	// Commit makes the machine's document.
	Commit func(w *Worker)
	// Renewed returns the latest time at which another node may have renewed a lease.
	Renewed func() ident.MonotonicTime
	// Asked is called when a command was answered, or was not in its time.
	Asked func(w *Worker, answered bool)
}

// Table holds all machines. It lives for one term.
type Table struct {
	Workers map[ident.MachineID]*Worker
	sorted  []*Worker            // in the order of their names
	orphans map[ident.TaskID]int // on how many machines
	ranks   [ranks]int           // tasks that count on a machine, by priority
	cfg     Config
	port    Port
	jobs    *jobs.Table
	began   ident.MonotonicTime
	dead    bool
	asked   map[ident.MachineID]bool // unknown machines that reported

	Relocated uint64 // tasks proven gone without having ended
	Fences    uint64
	Stale     uint64
}

// NewTable makes the machines' table of a term.
func NewTable(port Port, j *jobs.Table, cfg Config) *Table {
	if cfg.Completed == nil {
		cfg.Completed = func(*jobs.Task, *Worker) {}
	}
	return &Table{Workers: map[ident.MachineID]*Worker{}, orphans: map[ident.TaskID]int{}, asked: map[ident.MachineID]bool{}, cfg: cfg, port: port, jobs: j, began: port.Now()}
}

// Close ends the table with its term.
func (tb *Table) Close() { tb.dead = true }

// Sorted returns the machines in the order of their names, which is that of
// their creation. The slice must not be changed.
func (tb *Table) Sorted() []*Worker { return tb.sorted }

// place finds a name in the sorted machines.
func (tb *Table) place(h ident.MachineID) int {
	return sort.Search(len(tb.sorted), func(i int) bool { return tb.sorted[i].Host >= h })
}

// to is the one place where a machine changes its state.
func (tb *Table) to(w *Worker, s State, why string) {
	if w.State == s {
		return
	}
	slog.Debug("machine", "host", string(w.Host), "from", w.State.String(), "to", s.String(), "why", why)
	w.State, w.Since = s, tb.port.Now()
}

// Restore takes in a machine that an earlier term has put on record. One with an
// address had come up.
func (tb *Table) Restore(h ident.MachineID, model, site string, standby bool, born ident.MonotonicTime, addr string, g *Group) *Worker {
	w := tb.insert(h, model, site, standby, born)
	w.Group, w.Recorded = g, true
	tb.CameUp(w, addr)
	return w
}

// CameUp takes in an address that is on record, if none was known: the machine had come
// up by then.
func (tb *Table) CameUp(w *Worker, addr string) {
	if w.Addr == "" && addr != "" {
		w.Addr = addr
		tb.to(w, Up, "on record")
	}
}

// Add takes in a machine that was rented, loaded, listed or that reports.
func (tb *Table) Add(h ident.MachineID, model, site string, standby bool, born ident.MonotonicTime) *Worker {
	if w := tb.Workers[h]; w != nil {
		return w
	}
	w := tb.insert(h, model, site, standby, born)
	tb.cfg.Commit(w)
	return w
}

func (tb *Table) insert(h ident.MachineID, model, site string, standby bool, born ident.MonotonicTime) *Worker {
	now := tb.port.Now()
	w := &Worker{Host: h, Model: model, Zone: site, Spot: standby, Kind: tb.cfg.Catalog(model),
		Born: born, Since: now, IdleFrom: now, heard: now, Tasks: map[ident.TaskID]*jobs.Task{},
		orphans: map[ident.TaskID]ident.Attempt{}, unclear: map[attempt]bool{}}
	tb.Workers[h] = w
	i := tb.place(h)
	if i == len(tb.sorted) {
		tb.sorted = append(tb.sorted, w) // beyond what anybody walks over
		return w
	}
	// A copy: somebody may be walking over the old one.
	tb.sorted = slices.Insert(slices.Clone(tb.sorted), i, w)
	return w
}

// epoch is the token for a worker: the term, and how often we fenced off
// commands of our own.
func (tb *Table) epoch(w *Worker) ident.FencingToken {
	return ident.MakeFencingToken(tb.cfg.Term, w.fence)
}

// Hold counts a task on its machine.
func (tb *Table) Hold(w *Worker, t *jobs.Task) {
	w.Tasks[t.TaskID()] = t
	// A report of an earlier session than the placement's is a late one.
	w.Session = max(w.Session, t.Session)
	tb.count(w, t.Job.Spec, 1)
}

// Release stops counting it.
func (tb *Table) Release(w *Worker, t *jobs.Task) {
	if w.Tasks[t.TaskID()] != t {
		return
	}
	delete(w.Tasks, t.TaskID())
	tb.count(w, t.Job.Spec, -1)
	if len(w.Tasks) == 0 {
		w.VCPUs, w.Cards, w.MemoryGB, w.Arrays, w.Replicas = 0, 0, 0, 0, 0
		w.IdleFrom = tb.port.Now()
	}
	tb.cfg.Changed()
}

func (tb *Table) count(w *Worker, s *api.Spec, sign float64) {
	w.VCPUs += sign * s.VCPUs
	w.Cards += sign * s.Cards
	w.MemoryGB += sign * s.MemoryGB
	// Rounded, so that the order of the sums can't change what is decided by them.
	part := &w.Arrays
	if s.Shape != api.Batch {
		// Tasks that end by themselves, and that others wait for: users miss them at once.
		part = &w.Replicas
	}
	*part = math.Round((*part+sign*s.VCPUs)*1e6) / 1e6
	w.ranks[s.Priority.Level()] += int(sign)
	tb.ranks[s.Priority.Level()] += int(sign)
}

// Orphan says whether a piece is on some machine in a try that we don't know
// of. Then it must not start elsewhere.
func (tb *Table) Orphan(p ident.TaskID) bool { return tb.orphans[p] > 0 }

// orphan notes a piece in a try that we don't know of.
func (tb *Table) orphan(w *Worker, p ident.TaskID, try ident.Attempt) {
	if _, ok := w.orphans[p]; !ok {
		tb.orphans[p]++
	}
	w.orphans[p] = try
}

// clearOrphans forgets a machine's orphans.
func (tb *Table) clearOrphans(w *Worker) {
	for p := range w.orphans {
		if tb.orphans[p]--; tb.orphans[p] <= 0 {
			delete(tb.orphans, p)
		}
	}
	clear(w.orphans)
}

// TasksOf returns a copy in a fixed order: what follows changes the map, and
// seeded runs must repeat.
func (tb *Table) TasksOf(w *Worker) []*jobs.Task {
	out := make([]*jobs.Task, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *jobs.Task) int {
		return cmp.Or(cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Index, b.Index))
	})
	return out
}

// Away makes a machine one that is being returned.
func (tb *Table) Away(w *Worker, why string) { tb.to(w, Returning, why) }

// Drop notes that a machine is gone, and all that was on it.
func (tb *Table) Drop(w *Worker, why string) {
	tb.to(w, Gone, why)
	for _, t := range tb.TasksOf(w) {
		tb.lose(w, t, why)
	}
	tb.clearOrphans(w)
	w.queue, w.Plan = nil, nil
	tb.cfg.Commit(w)
	tb.cfg.Changed()
}

// Forget removes a machine that is gone from the table.
func (tb *Table) Forget(w *Worker) {
	delete(tb.Workers, w.Host)
	i := tb.place(w.Host)
	tb.sorted = slices.Delete(slices.Clone(tb.sorted), i, i+1)
}

// Uncordoned notes that a machine takes work again.
func (tb *Table) Uncordoned() { tb.cfg.Changed() }

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

// LowerPriorityTasks returns how many tasks of a lower priority count on any machine.
func (tb *Table) LowerPriorityTasks(priority api.Priority) int {
	return countLowerPriority(&tb.tasksByPriority, priority)
}

// Port is what the table needs of the world.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Worker(CommandCall, func(CommandResult))
}

// Config holds the workers' times and the term.
type Config struct {
	Term          ident.Term
	LeaseDuration time.Duration
	LeaderGrace   time.Duration // for which an earlier leader may have answered on
	Catalog       func(model string) *cloud.MachineType
	// OnDeposed is called when a worker has seen a later term.
	OnDeposed func()
	// OnCapacityChanged is called when room or tasks have changed.
	OnCapacityChanged func()
	// OnTaskFailed is called for a task that ended for another cause than done.
	OnTaskFailed func(t *jobs.Task, w *Worker, c api.Cause)
	// OnTaskCompleted is called for a task that completes, before that is noted; nil: nobody is.
	OnTaskCompleted func(t *jobs.Task, w *Worker)
	// Persist makes the machine's document.
	Persist func(w *Worker)
	// LastPeerRenewal returns the latest time at which another node may have renewed a lease.
	LastPeerRenewal func() ident.MonotonicTime
	// OnCommandResult is called when a command was answered, or was not in its time.
	OnCommandResult func(w *Worker, answered bool)
}

// Table holds all machines. It lives for one term.
type Table struct {
	Workers         map[ident.MachineID]*Worker
	sorted          []*Worker            // in the order of their names
	unknownAttempts map[ident.TaskID]int // on how many machines
	tasksByPriority [numPriorities]int   // tasks that count on a machine, by priority
	cfg             Config
	port            Port
	jobs            *jobs.Table
	startedAt       ident.MonotonicTime
	closed          bool
	verifying       map[ident.MachineID]bool // unknown machines that reported

	LostTasks       uint64 // tasks proven gone without having ended
	FencedCommands  uint64
	StaleHeartbeats uint64
}

// NewTable makes the machines' table of a term.
func NewTable(port Port, j *jobs.Table, cfg Config) *Table {
	if cfg.OnTaskCompleted == nil {
		cfg.OnTaskCompleted = func(*jobs.Task, *Worker) {}
	}
	return &Table{Workers: map[ident.MachineID]*Worker{}, unknownAttempts: map[ident.TaskID]int{}, verifying: map[ident.MachineID]bool{}, cfg: cfg, port: port, jobs: j, startedAt: port.Now()}
}

// Close ends the table with its term.
func (tb *Table) Close() { tb.closed = true }

// Sorted returns the machines in the order of their names, which is that of
// their creation. The slice must not be changed.
func (tb *Table) Sorted() []*Worker { return tb.sorted }

// sortedIndex finds a name in the sorted machines.
func (tb *Table) sortedIndex(id ident.MachineID) int {
	return sort.Search(len(tb.sorted), func(i int) bool { return tb.sorted[i].ID >= id })
}

// setState is the one place where a machine changes its state.
func (tb *Table) setState(w *Worker, next State, reason Reason) {
	if w.State == next {
		return
	}
	slog.Debug("machine state changed", "machine", string(w.ID), "from", w.State.String(), "to", next.String(), "reason", string(reason))
	w.State, w.StateSince = next, tb.port.Now()
}

// Restore takes in a machine that an earlier term has put on record. One with an
// address had come up.
func (tb *Table) Restore(info MachineInfo, addr string, group *RecordGroup) *Worker {
	w := tb.insert(info)
	w.Group, w.Persisted = group, true
	tb.RestoreAddress(w, addr)
	return w
}

// RestoreAddress takes in an address that is on record, if none was known: the machine had come
// up by then.
func (tb *Table) RestoreAddress(w *Worker, addr string) {
	if w.Addr == "" && addr != "" {
		w.Addr = addr
		tb.setState(w, Up, ReasonOnRecord)
	}
}

// Add takes in a machine that was rented, loaded, listed or that reports.
func (tb *Table) Add(info MachineInfo) *Worker {
	if w := tb.Workers[info.ID]; w != nil {
		return w
	}
	w := tb.insert(info)
	tb.cfg.Persist(w)
	return w
}

func (tb *Table) insert(info MachineInfo) *Worker {
	now := tb.port.Now()
	w := &Worker{MachineInfo: info, Type: tb.cfg.Catalog(info.Model), StateSince: now, IdleSince: now, lastContact: now, Tasks: map[ident.TaskID]*jobs.Task{},
		unknownAttempts: map[ident.TaskID]ident.Attempt{}, endsNotDurable: map[taskAttempt]bool{}}
	tb.Workers[info.ID] = w
	i := tb.sortedIndex(info.ID)
	if i == len(tb.sorted) {
		tb.sorted = append(tb.sorted, w) // beyond what anybody walks over
		return w
	}
	// A copy: somebody may be walking over the old one.
	tb.sorted = slices.Insert(slices.Clone(tb.sorted), i, w)
	return w
}

// fencingToken is the token for a worker: the term, and how often we fenced off
// commands of our own.
func (tb *Table) fencingToken(w *Worker) ident.FencingToken {
	return ident.MakeFencingToken(tb.cfg.Term, w.fenceCount)
}

// AddTask counts a task on its machine.
func (tb *Table) AddTask(w *Worker, t *jobs.Task) {
	w.Tasks[t.TaskID()] = t
	// A report of an earlier session than the placement's is a late one.
	w.Incarnation = max(w.Incarnation, t.Incarnation)
	tb.adjustUsage(w, t.Job.Spec, 1)
}

// RemoveTask stops counting it.
func (tb *Table) RemoveTask(w *Worker, t *jobs.Task) {
	if w.Tasks[t.TaskID()] != t {
		return
	}
	delete(w.Tasks, t.TaskID())
	tb.adjustUsage(w, t.Job.Spec, -1)
	if len(w.Tasks) == 0 {
		w.VCPUs, w.GPUs, w.MemoryGB, w.BatchVCPUs, w.ServiceVCPUs = 0, 0, 0, 0, 0
		w.IdleSince = tb.port.Now()
	}
	tb.cfg.OnCapacityChanged()
}

func (tb *Table) adjustUsage(w *Worker, s *api.Spec, sign float64) {
	w.VCPUs += sign * s.VCPUs
	w.GPUs += sign * s.GPUs
	w.MemoryGB += sign * s.MemoryGB
	// Rounded, so that the order of the sums can't change what is decided by them.
	vcpus := &w.BatchVCPUs
	if s.Shape != api.Batch {
		// Tasks that end by themselves, and that others wait for: users miss them at once.
		vcpus = &w.ServiceVCPUs
	}
	*vcpus = math.Round((*vcpus+sign*s.VCPUs)*1e6) / 1e6
	w.tasksByPriority[s.Priority.Level()] += int(sign)
	tb.tasksByPriority[s.Priority.Level()] += int(sign)
}

// HasUnknownAttempt says whether a piece is on some machine in a try that we don't know
// of. Then it must not start elsewhere.
func (tb *Table) HasUnknownAttempt(task ident.TaskID) bool { return tb.unknownAttempts[task] > 0 }

// addUnknownAttempt notes a piece in a try that we don't know of.
func (tb *Table) addUnknownAttempt(w *Worker, task ident.TaskID, attempt ident.Attempt) {
	if _, ok := w.unknownAttempts[task]; !ok {
		tb.unknownAttempts[task]++
	}
	w.unknownAttempts[task] = attempt
}

// clearUnknownAttempts forgets a machine's orphans.
func (tb *Table) clearUnknownAttempts(w *Worker) {
	for task := range w.unknownAttempts {
		if tb.unknownAttempts[task]--; tb.unknownAttempts[task] <= 0 {
			delete(tb.unknownAttempts, task)
		}
	}
	clear(w.unknownAttempts)
}

// SortedTasks returns a copy in a fixed order: what follows changes the map, and
// seeded runs must repeat.
func (tb *Table) SortedTasks(w *Worker) []*jobs.Task {
	out := make([]*jobs.Task, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *jobs.Task) int {
		return cmp.Or(cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Index, b.Index))
	})
	return out
}

// MarkTerminating makes a machine one that is being returned.
func (tb *Table) MarkTerminating(w *Worker, reason Reason) { tb.setState(w, Terminating, reason) }

// MarkTerminated notes that a machine is gone, and all that was on it.
func (tb *Table) MarkTerminated(w *Worker, reason Reason) {
	tb.setState(w, Terminated, reason)
	for _, t := range tb.SortedTasks(w) {
		tb.markTaskLost(w, t, reason)
	}
	tb.clearUnknownAttempts(w)
	w.queued, w.PlannedTasks = nil, nil
	tb.cfg.Persist(w)
	tb.cfg.OnCapacityChanged()
}

// Remove removes a machine that is gone from the table.
func (tb *Table) Remove(w *Worker) {
	delete(tb.Workers, w.ID)
	i := tb.sortedIndex(w.ID)
	tb.sorted = slices.Delete(slices.Clone(tb.sorted), i, i+1)
}

// Uncordon lets tasks be placed on a machine again that was to be drained.
func (tb *Table) Uncordon(w *Worker) {
	w.Cordoned = false
	tb.cfg.OnCapacityChanged()
}

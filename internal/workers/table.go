// Package workers keeps the state of the machines and of the agents on them: which tasks are
// allocated on each, which commands are under way, whether it can be reached, and what
// proves that a task no longer runs there.
//
// A task counts as gone from a machine only once that is proven: by a heartbeat with the newest
// fencing token, by a newer incarnation, by the expiry of the worker's lease, or by the
// provider's word that the machine is terminated.
package workers

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Port is the environment of a table. Its callbacks run in the event loop that calls the table.
type Port interface {
	// Now returns the time of the monotonic clock.
	Now() ident.MonotonicTime
	// After calls a function after a duration, in an event of its own.
	After(time.Duration, func())
	// Worker makes a call to a worker. The function is called once, with its result.
	Worker(CommandCall, func(CommandResult))
}

// Config holds the term, the times of workers, and the callbacks of the table's owner.
type Config struct {
	Term ident.Term
	// LeaseDuration is the time for which a response to a heartbeat renews a worker's lease.
	LeaseDuration time.Duration
	// LeaderGrace is the time into this term for which an earlier leader may have renewed leases.
	LeaderGrace time.Duration
	// Catalog returns a machine type by its name, nil if it is not listed.
	Catalog func(model string) *cloud.MachineType
	// OnDeposed is called when a worker has seen a later term. It ends the leadership.
	OnDeposed func()
	// OnCapacityChanged is called when free capacity or allocated tasks have changed.
	OnCapacityChanged func()
	// OnTaskFailed is called for a task that ended without having completed.
	OnTaskFailed func(t *jobs.Task, w *Worker, c api.Cause)
	// OnTaskCompleted is called for a task that completes, before its state changes. It may be nil.
	OnTaskCompleted func(t *jobs.Task, w *Worker)
	// Persist writes the record of a machine that was added, has changed or is terminated.
	Persist func(w *Worker)
	// LastPeerRenewal returns the latest time at which a peer may have renewed a worker's lease.
	LastPeerRenewal func() ident.MonotonicTime
	// OnCommandResult is called with the result of a command, before it takes effect.
	OnCommandResult func(w *Worker, answered bool)
}

// Table holds all machines of a term. It is not safe for concurrent use: all calls come from the
// node's event loop.
type Table struct {
	Workers map[ident.MachineID]*Worker
	sorted  []*Worker // by ID

	cfg       Config
	port      Port
	jobs      *jobs.Table
	startedAt ident.MonotonicTime
	closed    bool

	tasksByPriority taskCounts               // tasks that are allocated on any machine
	unknownAttempts map[ident.TaskID]int     // number of machines with an unknown attempt of the task
	probedUnknown   map[ident.MachineID]bool // unknown machines that are being probed

	LostTasks       uint64 // tasks that were proven gone without having ended
	FencedCommands  uint64 // commands without a response
	StaleHeartbeats uint64 // heartbeats that were not newer than the newest known one
}

// NewTable makes the table of a term.
func NewTable(port Port, j *jobs.Table, cfg Config) *Table {
	if cfg.OnTaskCompleted == nil {
		cfg.OnTaskCompleted = func(*jobs.Task, *Worker) {}
	}
	return &Table{
		Workers:         map[ident.MachineID]*Worker{},
		cfg:             cfg,
		port:            port,
		jobs:            j,
		startedAt:       port.Now(),
		unknownAttempts: map[ident.TaskID]int{},
		probedUnknown:   map[ident.MachineID]bool{},
	}
}

// Close ends the table with its term: results of commands have no effect any more.
func (tb *Table) Close() { tb.closed = true }

// Sorted returns the machines by ID, which is the order of their creation. The slice must not
// be changed.
func (tb *Table) Sorted() []*Worker { return tb.sorted }

// sortedIndex returns the position of an ID among the sorted machines.
func (tb *Table) sortedIndex(id ident.MachineID) int {
	return sort.Search(len(tb.sorted), func(i int) bool { return tb.sorted[i].ID >= id })
}

// setState is the only function that changes a machine's state.
func (tb *Table) setState(w *Worker, next State, reason Reason) {
	if w.State == next {
		return
	}
	slog.Debug("machine state changed", "machine", string(w.ID), "from", w.State.String(), "to", next.String(),
		"reason", string(reason))
	w.State, w.StateSince = next, tb.port.Now()
}

// Restore adds a machine from its record of an earlier term, with the address in that record.
func (tb *Table) Restore(info MachineInfo, addr string, group *RecordGroup) *Worker {
	w := tb.insert(info)
	w.Group, w.Persisted = group, true
	tb.RestoreAddress(w, addr)
	return w
}

// RestoreAddress sets the address of a machine from its record, if none is known. The machine was
// up when that record was written.
func (tb *Table) RestoreAddress(w *Worker, addr string) {
	if w.Addr == "" && addr != "" {
		w.Addr = addr
		tb.setState(w, Up, ReasonOnRecord)
	}
}

// Add adds a machine that has no record yet and persists it. If the ID is known, it returns the
// machine that has it.
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
	w := &Worker{
		MachineInfo:     info,
		Type:            tb.cfg.Catalog(info.Model),
		Tasks:           map[ident.TaskID]*jobs.Task{},
		StateSince:      now,
		reachability:    reachability{lastContact: now},
		unknownAttempts: map[ident.TaskID]ident.Attempt{},
		endsNotDurable:  map[taskAttempt]bool{},
	}
	tb.Workers[info.ID] = w
	i := tb.sortedIndex(info.ID)
	if i == len(tb.sorted) {
		tb.sorted = append(tb.sorted, w) // beyond the end of any slice that was returned
		return w
	}
	// In a copy: the old slice may be in use.
	tb.sorted = slices.Insert(slices.Clone(tb.sorted), i, w)
	return w
}

// AddTask allocates a task on its machine.
func (tb *Table) AddTask(w *Worker, t *jobs.Task) {
	w.Tasks[t.TaskID()] = t
	// A heartbeat of an earlier incarnation than the placement's is a late one.
	w.order.raiseIncarnation(t.Incarnation)
	w.Usage.add(t.Job.Spec)
	tb.tasksByPriority.add(t.Job.Spec.Priority, 1)
}

// RemoveTask ends the allocation of a task on its machine.
func (tb *Table) RemoveTask(w *Worker, t *jobs.Task) {
	if w.Tasks[t.TaskID()] != t {
		return
	}
	delete(w.Tasks, t.TaskID())
	w.Usage.remove(t.Job.Spec)
	tb.tasksByPriority.add(t.Job.Spec.Priority, -1)
	if len(w.Tasks) == 0 {
		w.Usage.clearAmounts()
	}
	tb.cfg.OnCapacityChanged()
}

// SortedTasks returns a machine's tasks in a new slice, ordered by job and index. Callers may change
// the map meanwhile, and the order of their actions is reproducible.
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

// MarkTerminating records that a machine's termination was requested.
func (tb *Table) MarkTerminating(w *Worker, reason Reason) { tb.setState(w, Terminating, reason) }

// MarkTerminated records that a machine is terminated, which ends all tasks on it.
func (tb *Table) MarkTerminated(w *Worker, reason Reason) {
	tb.setState(w, Terminated, reason)
	for _, t := range tb.SortedTasks(w) {
		tb.markTaskLost(w, t, reason)
	}
	tb.clearUnknownAttempts(w)
	w.commands.discard()
	w.PlannedTasks = nil
	tb.cfg.Persist(w)
	tb.cfg.OnCapacityChanged()
}

// Remove removes a terminated machine from the table.
func (tb *Table) Remove(w *Worker) {
	delete(tb.Workers, w.ID)
	i := tb.sortedIndex(w.ID)
	tb.sorted = slices.Delete(slices.Clone(tb.sorted), i, i+1)
}

// Uncordon allows placements on a cordoned machine again.
func (tb *Table) Uncordon(w *Worker) {
	w.Cordoned = false
	tb.cfg.OnCapacityChanged()
}

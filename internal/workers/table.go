// Package workers tracks the machines of the cluster and the agent process (the worker) on each of
// them: the tasks allocated on the machine, the commands queued for and in flight to its worker,
// whether the worker is reachable, and the state of its lease and fencing token.
//
// The package releases the resources of a task only when the task can no longer run on its machine.
// Apart from an end that the worker reported, the evidence is one of:
//   - a heartbeat that carries the newest fencing token and does not list the task
//   - a newer incarnation of the worker
//   - expiry of the worker's lease
//   - confirmation by the cloud provider that the machine is terminated
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

// Port is the interface through which a table reads the clock, starts timers and calls workers. Its
// callbacks run in the event loop that calls the table.
type Port interface {
	// Now returns the time of the monotonic clock.
	Now() ident.MonotonicTime
	// After calls the function after the duration, in a separate event.
	After(time.Duration, func())
	// Worker calls a worker's command endpoint and passes the result to the function, exactly once.
	Worker(CommandCall, func(CommandResult))
}

// Config holds the leader's term, the lease durations, and the callbacks of the table's owner.
type Config struct {
	Term ident.Term
	// LeaseDuration is how long a worker's lease lasts after a response to its heartbeat.
	LeaseDuration time.Duration
	// LeaderGrace is how long after the start of this term the previous leader may still have renewed
	// leases.
	LeaderGrace time.Duration
	// Catalog returns the machine type with the given name, or nil if the catalog does not list it.
	Catalog func(model string) *cloud.MachineType
	// OnLaterTerm is called when a worker has seen a later term. The callback ends the leadership.
	OnLaterTerm func()
	// OnTokensExhausted is called when a worker's fencing token can't be raised any more in this term. The callback
	// ends the leadership.
	OnTokensExhausted func()
	// OnCapacityChanged is called when the free capacity or the set of allocated tasks has changed.
	OnCapacityChanged func()
	// OnTaskFailed is called for a task that ended without completing.
	OnTaskFailed func(t *jobs.Task, w *Worker, c api.Cause)
	// OnTaskCompleted is called for a task that completed, before its state changes. It may be nil.
	OnTaskCompleted func(t *jobs.Task, w *Worker)
	// Persist writes the record of a machine that was added, changed or terminated.
	Persist func(w *Worker)
	// LastPeerRenewal returns the latest time at which a peer may have renewed a worker's lease.
	LastPeerRenewal func() ident.MonotonicTime
	// OnCommandResult is called with the result of a command call before the table applies it.
	OnCommandResult func(w *Worker, answered bool)
	// MayLaunch reports whether launch commands may be sent now. It may be nil: they may always be sent.
	MayLaunch func() bool
}

// Table holds all machines that the leader of a term knows. It is not safe for concurrent use: all
// calls come from the node's event loop.
type Table struct {
	Workers map[ident.MachineID]*Worker
	sorted  []*Worker // by ID

	cfg       Config
	port      Port
	jobs      *jobs.Table
	startedAt ident.MonotonicTime
	closed    bool

	tasksByPriority taskCounts               // allocated tasks on all machines
	unknownAttempts map[ident.TaskID]int     // number of machines that report an unknown attempt of the task
	probedUnknown   map[ident.MachineID]bool // unknown machines with a probe in flight

	LostTasks       uint64 // tasks that were lost with their machine, worker or lease; no end was reported
	FencedCommands  uint64 // command calls without a response, after which the fencing token was raised
	ClearFences     uint64 // raises of a fencing token before an attempt was cleared
	RejectedCalls   uint64 // command calls that a worker rejected as outdated
	UnknownAttempts uint64 // attempts that a machine runs and that this leader has not placed there, or considers gone
	StaleHeartbeats uint64 // heartbeats that were not newer than the newest one received
}

// NewTable returns an empty table for the term in the configuration.
func NewTable(port Port, jobTable *jobs.Table, cfg Config) *Table {
	if cfg.OnTaskCompleted == nil {
		cfg.OnTaskCompleted = func(*jobs.Task, *Worker) {}
	}
	if cfg.MayLaunch == nil {
		cfg.MayLaunch = func() bool { return true }
	}
	return &Table{
		Workers:         map[ident.MachineID]*Worker{},
		cfg:             cfg,
		port:            port,
		jobs:            jobTable,
		startedAt:       port.Now(),
		unknownAttempts: map[ident.TaskID]int{},
		probedUnknown:   map[ident.MachineID]bool{},
	}
}

// Close marks the term as ended. Results of commands that arrive later are ignored.
func (tb *Table) Close() { tb.closed = true }

// Sorted returns the machines ordered by ID, which is the order of their creation. Callers must not
// modify the slice.
func (tb *Table) Sorted() []*Worker { return tb.sorted }

// sortedIndex returns the position of an ID in the sorted machines, or the position to insert it at.
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

// Restore adds a machine from the record that an earlier term stored, with the address in that record.
func (tb *Table) Restore(info MachineInfo, addr string, group *RecordGroup) *Worker {
	w := tb.insert(info)
	w.Group, w.Persisted = group, true
	tb.RestoreAddress(w, addr)
	return w
}

// RestoreAddress sets a machine's address from its stored record, unless an address is known already.
// A record with an address was written after the machine came up, so the machine becomes Up.
func (tb *Table) RestoreAddress(w *Worker, addr string) {
	if w.Addr == "" && addr != "" {
		w.Addr = addr
		tb.setState(w, Up, ReasonRestored)
	}
}

// Add adds a machine that has no stored record yet and persists it. If a machine with the same ID is
// known, Add returns that machine instead.
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
		tb.sorted = append(tb.sorted, w) // slices returned earlier end before the new element
		return w
	}
	// Insert into a copy because a caller may still use the old slice.
	tb.sorted = slices.Insert(slices.Clone(tb.sorted), i, w)
	return w
}

// AddTask adds a task to the allocated tasks of its machine.
func (tb *Table) AddTask(w *Worker, t *jobs.Task) {
	w.Tasks[t.TaskID()] = t
	// A heartbeat from an incarnation before that of the placement is a delayed one, and stale.
	w.order.raiseIncarnation(t.Incarnation)
	w.Usage.add(t.Job.Spec)
	tb.tasksByPriority.add(t.Job.Spec.Priority, 1)
}

// RemoveTask removes a task from the allocated tasks of its machine and releases its resources.
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

// SortedTasks returns a machine's tasks in a new slice, ordered by job and index. Callers may modify
// w.Tasks while they iterate over the slice, and process the tasks in a reproducible order.
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

// MarkTerminating records that the termination of a machine was requested.
func (tb *Table) MarkTerminating(w *Worker, reason Reason) { tb.setState(w, Terminating, reason) }

// MarkTerminated records that a machine is terminated. All tasks on it are lost.
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

// Uncordon allows new placements on a cordoned machine again.
func (tb *Table) Uncordon(w *Worker) {
	w.Cordoned = false
	tb.cfg.OnCapacityChanged()
}

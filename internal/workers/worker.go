package workers

import (
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// State is the state of a machine's life cycle.
type State uint8

// The states of a machine. Terminated is final.
const (
	Booting     State = iota // provisioned or listed; its worker has sent no heartbeat in this term
	Up                       // its worker sends heartbeats
	Unreachable              // its worker's heartbeats have stopped
	Terminating              // its termination was requested; nothing is placed on it
	Terminated               // the provider has terminated it
)

// stateNames are the names in the metrics, which may not change; some differ from the constants'.
var stateNames = [...]string{
	Booting:     "booting",
	Up:          "up",
	Unreachable: "silent",
	Terminating: "returning",
	Terminated:  "gone",
}

// String returns the state's name in the metrics.
func (s State) String() string { return stateNames[s] }

// MachineInfo holds the properties that a machine has from its provisioning on.
type MachineInfo struct {
	ID        ident.MachineID
	Model     string // name of its type; the type itself is Worker.Type
	Zone      string
	Spot      bool
	CreatedAt ident.MonotonicTime // when it was provisioned, as far as known
}

// Worker is a machine and the agent process on it. Exported fields may be read by other packages;
// the comments on some fields name those that also write them.
type Worker struct {
	MachineInfo
	Addr  string             // of its worker, "" while not known; also set by the owner of the fleet
	Type  *cloud.MachineType // nil while the catalog does not list it
	Tasks map[ident.TaskID]*jobs.Task

	State            State
	StateSince       ident.MonotonicTime // when it entered its state
	ReclaimAt        ident.MonotonicTime // when the provider reclaims it; 0: not announced
	QuarantinedUntil ident.MonotonicTime // nothing is placed on it earlier; see Quarantine
	Cordoned         bool                // nothing is placed on it, it is drained to be terminated; set by scale in
	Slow             bool                // nothing is placed on it, its tasks take too long; set by its detection

	Usage
	reservation  *Reservation
	imageCache   imageCache
	failures     failureRecord
	PlannedTasks []*jobs.Task // scratch space of the planner, for its current plan

	order        heartbeatOrder
	fencing      fencing
	reachability reachability
	lease        lease
	commands     commandQueue

	unknownAttempts map[ident.TaskID]ident.Attempt // reported, and not known here
	endsNotDurable  map[taskAttempt]bool           // ended, and that is not durable yet

	Group     *RecordGroup // of its record
	Persisted bool         // its record is durable
}

// RecordGroup is a group of machines whose records share one key of the store. With a key for each
// machine, writing the records of a thousand machines would take the store half a minute, and
// nothing can be placed on a machine before its record is durable.
type RecordGroup struct {
	Doc     *commit.Document // the value of the key
	Members []*Worker
	Leaving []*Worker // former members; their records stay here until those in their next group are durable
	Deleted bool      // the key is deleted
}

// Allows reports whether tasks of the job may run on the machine, regardless of other tasks on it.
func (w *Worker) Allows(s *api.Spec) bool {
	if s.Zone != nil && *s.Zone != w.Zone || w.Spot && !s.Spot || w.Type == nil {
		return false
	}
	return AllowsModel(s, w.Model) && FitsEmpty(w.Type, s)
}

// AllowsModel reports whether tasks of the job may run on a type of machine. A job without a list of
// models may run on all.
func AllowsModel(s *api.Spec, model string) bool {
	return s.Models == nil || slices.Contains(s.Models, model)
}

// Schedulable reports whether tasks may be placed on the machine now.
func (w *Worker) Schedulable(now ident.MonotonicTime) bool {
	switch {
	case w.State != Up, w.ReclaimAt != 0, w.Cordoned, w.Slow, now < w.QuarantinedUntil:
		return false
	case w.reachability.unresponsive, w.order.incarnation == 0:
		return false
	}
	return w.Persisted // a successor must know every machine that has tasks
}

// Quarantine keeps new tasks off the machine until a time.
func (w *Worker) Quarantine(until ident.MonotonicTime) {
	w.QuarantinedUntil = max(w.QuarantinedUntil, until)
}

package workers

import (
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// State is a machine's state in its life cycle.
type State uint8

// The states of a machine. Terminated is final.
const (
	Booting     State = iota // provisioned or listed by the provider; no heartbeat received in this term
	Up                       // the worker sends heartbeats
	Unreachable              // the worker's heartbeats have stopped
	Terminating              // termination was requested; no tasks are placed on the machine
	Terminated               // the provider has terminated the machine
)

// stateNames are the states' names in metrics. Those must stay stable, so some differ from the names
// of the constants.
var stateNames = [...]string{
	Booting:     "booting",
	Up:          "up",
	Unreachable: "silent",
	Terminating: "returning",
	Terminated:  "gone",
}

// String returns the state's name in the metrics.
func (s State) String() string { return stateNames[s] }

// MachineInfo holds the properties of a machine that are fixed when it is provisioned.
type MachineInfo struct {
	ID        ident.MachineID
	Model     string // name of the machine type; see Worker.Type
	Zone      string
	Spot      bool
	CreatedAt ident.MonotonicTime // time of provisioning, or the best known estimate
}

// Worker is a machine and the agent process on it. Other packages may read the exported fields; the
// comments on some fields name the packages or functions outside this one that also write them.
type Worker struct {
	MachineInfo
	Addr  string             // address of the worker, "" if unknown; also set by the owner of the fleet
	Type  *cloud.MachineType // nil while the catalog does not list the machine type
	Tasks map[ident.TaskID]*jobs.Task

	State            State
	StateSince       ident.MonotonicTime // when the machine entered its state
	ReclaimAt        ident.MonotonicTime // when the provider reclaims the machine; 0: not announced
	QuarantinedUntil ident.MonotonicTime // no tasks are placed on the machine before; see Quarantine
	Cordoned         bool                // no new placements; drained for termination; set by scale-in
	Slow             bool                // no new placements; tasks take too long here; set by slow machine detection

	Usage
	reservation  *Reservation
	imageCache   imageCache
	failures     failureRecord
	PlannedTasks []*jobs.Task // scratch space of the planner for the current plan

	order        heartbeatOrder
	fencing      fencing
	reachability reachability
	lease        lease
	commands     commandQueue

	unknownAttempts map[ident.TaskID]ident.Attempt // attempts in the newest heartbeat that this leader does not know
	endsNotDurable  map[taskAttempt]bool           // ended attempts whose end is not durable yet

	Group     *RecordGroup // group that stores the machine's record
	Persisted bool         // the machine's record is durable
}

// RecordGroup is a group of machines whose records share one key of the store. With one key per
// machine, writing the records of a thousand machines would take the store half a minute, and no task
// can be placed on a machine before its record is durable.
type RecordGroup struct {
	Doc     *commit.Document // the value of the key
	Members []*Worker
	Leaving []*Worker // former members, whose records stay in this group until their new group is durable
	Deleted bool      // the key is deleted
}

// Allows reports whether the machine satisfies the constraints of the job (zone, spot, models) and is
// large enough for one of its tasks when empty.
func (w *Worker) Allows(s *api.Spec) bool {
	if s.Zone != nil && *s.Zone != w.Zone || w.Spot && !s.Spot || w.Type == nil {
		return false
	}
	return AllowsModel(s, w.Model) && FitsEmpty(w.Type, s)
}

// AllowsModel reports whether tasks of the job may run on a machine type. A job without a list of
// models may run on all types.
func AllowsModel(s *api.Spec, model string) bool {
	return s.Models == nil || slices.Contains(s.Models, model)
}

// Schedulable reports whether new tasks may be placed on the machine now.
func (w *Worker) Schedulable(now ident.MonotonicTime) bool {
	switch {
	case w.State != Up, w.ReclaimAt != 0, w.Cordoned, w.Slow, now < w.QuarantinedUntil:
		return false
	case w.reachability.unresponsive, w.order.incarnation == 0:
		return false
	}
	return w.Persisted // the next leader must know every machine that has tasks
}

// Quarantine prevents new placements on the machine until the given time. It never shortens a
// quarantine.
func (w *Worker) Quarantine(until ident.MonotonicTime) {
	w.QuarantinedUntil = max(w.QuarantinedUntil, until)
}

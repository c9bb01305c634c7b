package jobs

import (
	"fmt"

	"opaldale/internal/api"
)

// Phase is a job's state in its life cycle.
type Phase uint8

// The phases of a job. Cancelled and Done are final.
const (
	Open Phase = iota
	Cancelled
	Done
)

var phaseNames = [...]string{
	Open:      "open",
	Cancelled: "cancelled",
	Done:      "done",
}

// String returns the phase's name in the store.
func (p Phase) String() string { return phaseNames[p] }

// Status returns the API status of a job in a final phase, which has the same name as the phase.
func (p Phase) Status() api.Status { return api.Status(p.String()) }

// MarshalText encodes the phase as its name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes the name of a phase.
func (p *Phase) UnmarshalText(b []byte) error {
	for i, name := range phaseNames {
		if name == string(b) {
			*p = Phase(i)
			return nil
		}
	}
	return fmt.Errorf("unknown job phase %q: want one of %q", b, phaseNames)
}

// State is the state of a task.
type State uint8

// The states of a task. Completed is final.
const (
	Waiting   State = iota // not placed on a machine
	Placing                // placed on a machine; the placement is not durable yet
	Assigned               // the placement is durable; the task may be running on its machine
	Stopping               // a stop was requested; the task may still be running on its machine
	Completed              // the task has ended successfully
)

// stateNames are the states' names in logs and golden files. Those of the golden files must stay stable, so
// the name of Completed differs from the constant.
var stateNames = [...]string{
	Waiting:   "waiting",
	Placing:   "placing",
	Assigned:  "assigned",
	Stopping:  "stopping",
	Completed: "finished",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Allocated reports whether a task in this state uses resources of its machine.
func (s State) Allocated() bool { return s == Placing || s == Assigned || s == Stopping }

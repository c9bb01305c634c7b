package jobs

import (
	"fmt"

	"opaldale/internal/api"
)

// Phase is the state of a job's life cycle as its user sees it.
type Phase uint8

// The phases of a job. Done and Cancelled are final.
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

// Status returns the status of a job that is over, which has the name of its phase.
func (p Phase) Status() api.Status { return api.Status(p.String()) }

// MarshalText writes the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase's name.
func (p *Phase) UnmarshalText(b []byte) error {
	for i, name := range phaseNames {
		if name == string(b) {
			*p = Phase(i)
			return nil
		}
	}
	return fmt.Errorf("unknown phase %q", b)
}

// State is the state of a task.
type State uint8

// The states of a task. Completed is final.
const (
	Waiting  State = iota // to be placed
	Placing               // a machine was chosen, and that is not durable yet
	Assigned              // the placement is durable: it may run on its machine
	Stopping              // to be stopped: it may still run on its machine
	Completed
)

// stateNames are pinned by golden tests, so one differs from the constant's name.
var stateNames = [...]string{
	Waiting:   "waiting",
	Placing:   "placing",
	Assigned:  "assigned",
	Stopping:  "stopping",
	Completed: "finished",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Allocated reports whether a task in this state takes resources of its machine.
func (s State) Allocated() bool { return s == Placing || s == Assigned || s == Stopping }

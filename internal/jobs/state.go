package jobs

import (
	"fmt"

	"opaldale/internal/api"
)

// Phase is a job's course as its user sees it.
type Phase uint8

// The phases of a job. Done and Cancelled are final.
const (
	Open Phase = iota
	Cancelled
	Done
)

var phaseNames = [...]string{"open", "cancelled", "done"}

func (p Phase) String() string { return phaseNames[p] }

// Status is the status of a job that is over, which has the name of its phase.
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

// State is where a task stands.
type State uint8

// The states of a task. From Placing to Stopping it counts on its machine.
const (
	Waiting   State = iota // to be placed
	Placing                // a machine was chosen, not yet durable
	Assigned               // durable: may be on its machine
	Stopping               // told to stop, may be on its machine
	Completed              // completed
)

func (s State) String() string {
	return [...]string{"waiting", "placing", "assigned", "stopping", "finished"}[s]
}

// Allocated says whether a task in this state counts on its machine.
func (s State) Allocated() bool { return s == Placing || s == Assigned || s == Stopping }

// storageFormat says where a job's tasks are in the state service. All but the last are of the
// first format, and go with it: so do segments, a header's tasks and LSN, Convert, and a
// task's Line and Home.
type storageFormat uint8

const (
	inDocuments storageFormat = iota // in its header or its segments, and in the log since
	converting                       // on their way to the log alone
	inLog                            // in the log alone
)

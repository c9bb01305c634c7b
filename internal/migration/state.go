// Package migration carries moves of running tasks out. A move is an ordinary stop whose next
// placement is chosen beforehand: room is reserved at the destination, the move is recorded,
// the task is stopped, and once it is proven to have left its machine it is placed where the
// room was kept. At any point a move may be abandoned, and the task then goes the ordinary
// way. The package is pure: observations and times come in, effects go out.
package migration

import "fmt"

// State is where a move stands.
type State uint8

// The states of a move.
const (
	// Proposed: it is being recorded, and nothing has been stopped.
	Proposed State = iota
	// Stopping: the task was told to stop, and may still be on its machine.
	Stopping
	// Stopped: the task is proven to have left its machine.
	Stopped
	// Placing: the destination was chosen for the task's next attempt.
	Placing
	// Running: the task was seen to run at the destination, or has completed there.
	Running
	// Abandoned: the task goes the ordinary way.
	Abandoned
)

var stateNames = [...]string{"proposed", "stopping", "stopped", "placing", "running", "abandoned"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Ended says whether a move in that state is over.
func (s State) Ended() bool { return s == Running || s == Abandoned }

// Reason says how a move ended.
type Reason uint8

// The reasons for the end of a move.
const (
	NotEnded          Reason = iota
	Arrived                  // the task runs at the destination
	TaskCompleted            // the task completed before it was stopped
	JobClosed                // the job was cancelled, or is done
	NotNeeded                // what the move would make room for waits no more
	TeamRecovered            // a hot team cooled before the task was stopped
	AuthorityLost            // the node could not record decisions any more
	LinkSuspected            // a link to one of both zones is in doubt
	RecordOverdue            // the record was not durable in time
	TaskChanged              // the task was stopped, lost or placed by something else
	StopOverdue              // the task was not proven to have left in time
	DestinationClosed        // the destination takes no work any more
	DestinationTaken         // work of higher priority took the room
	TeamAtLimit              // the team's limit has no room for the task
	PlacementOverdue         // the destination could not be chosen in time
	StartOverdue             // the task was not seen to run at the destination in time
	LostAtDestination        // the task was lost before it ran there
	reasonCount
)

var reasonNames = [...]string{"", "arrived", "task completed", "job closed", "not needed", "team cooled", "authority lost", "link suspected",
	"record overdue", "task changed", "stop overdue", "destination closed", "destination taken", "team at its limit", "placement overdue",
	"start overdue", "lost at destination"}

func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

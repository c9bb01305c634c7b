// Package migration carries out moves of running tasks. A move is a graceful stop whose next placement
// is chosen beforehand: room is reserved at the destination, the move is recorded, the task is
// stopped, and once it is proven to have left its machine it is placed where the room was reserved.
// A move can be abandoned at any point; the task is then placed as any waiting task is.
//
// Table is a state machine that does no I/O and reads no clock: observations and times come in,
// effects go out. History keeps the durable record of moves.
package migration

import "opaldale/internal/enum"

// State is the state of a move.
type State uint8

// The states of a move.
const (
	// Proposed: the move is being recorded, and nothing has been stopped.
	Proposed State = iota
	// Stopping: the task was commanded to stop, and may still be on its machine.
	Stopping
	// Stopped: the task is proven to have left its machine.
	Stopped
	// Placing: the task's next attempt was assigned to the destination.
	Placing
	// Running: the task was reported as running at the destination, or has completed there.
	Running
	// Abandoned: the move ended without success; the task is placed as any waiting task is.
	Abandoned
)

var stateNames = [...]string{
	Proposed:  "proposed",
	Stopping:  "stopping",
	Stopped:   "stopped",
	Placing:   "placing",
	Running:   "running",
	Abandoned: "abandoned",
}

// String returns the name of a state for metrics and logs.
func (s State) String() string { return enum.Name(stateNames[:], s, "state") }

// Ended reports whether a move in that state is over.
func (s State) Ended() bool { return s == Running || s == Abandoned }

// Reason is the reason for which a move ended.
type Reason uint8

// The reasons for the end of a move.
const (
	NotEnded          Reason = iota
	Arrived                  // the task runs at the destination
	TaskCompleted            // the task completed before it was stopped
	JobClosed                // the job was cancelled, or is done
	NotNeeded                // the beneficiary waits no longer
	TeamRecovered            // an overloaded team recovered before the task was stopped
	AuthorityLost            // the node can't record decisions any more
	LinkSuspected            // a link to the zone of either machine is suspected to be broken
	RecordOverdue            // the record was not durable in time
	TaskChanged              // the task was stopped, lost or placed by something else
	StopOverdue              // there was no proof in time that the task has left its machine
	DestinationClosed        // the destination takes no work any more
	DestinationTaken         // work of higher priority took the room
	TeamAtLimit              // the team's limit has no room for the task
	PlacementOverdue         // the task could not be placed in time
	StartOverdue             // the task was not reported as running at the destination in time
	LostAtDestination        // the task was lost before it ran at the destination
	reasonCount
)

// reasonNames are part of the metrics and logs, and must not change.
var reasonNames = [reasonCount]string{
	NotEnded:          "",
	Arrived:           "arrived",
	TaskCompleted:     "task completed",
	JobClosed:         "job closed",
	NotNeeded:         "not needed",
	TeamRecovered:     "team cooled",
	AuthorityLost:     "authority lost",
	LinkSuspected:     "link suspected",
	RecordOverdue:     "record overdue",
	TaskChanged:       "task changed",
	StopOverdue:       "stop overdue",
	DestinationClosed: "destination closed",
	DestinationTaken:  "destination taken",
	TeamAtLimit:       "team at its limit",
	PlacementOverdue:  "placement overdue",
	StartOverdue:      "start overdue",
	LostAtDestination: "lost at destination",
}

// String returns the name of a reason for metrics and logs.
func (r Reason) String() string { return enum.Name(reasonNames[:], r, "reason") }

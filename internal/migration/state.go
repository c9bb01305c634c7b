// Package migration executes moves of running tasks to other machines. A move is a graceful stop with a
// predetermined next placement: capacity is reserved on the destination, the move is recorded, the task is
// stopped, and as soon as it is certain that the task no longer runs on the source, it is placed on the
// destination. A move can be abandoned at any point. A task that was stopped is then placed like any other
// waiting task.
//
// Table is the state machine of moves. It does no I/O and reads no clock: the caller supplies observations
// and times, and executes the effects that Table returns. History keeps the durable record of moves.
package migration

import "opaldale/internal/enum"

// State is the state of a move.
type State uint8

// The states of a move.
const (
	// Proposed: the move is being recorded, and the task has not been stopped.
	Proposed State = iota
	// Stopping: the task was commanded to stop, and may still run on the source.
	Stopping
	// Stopped: it is certain that the task no longer runs on the source.
	Stopped
	// Placing: the task's next attempt was assigned to the destination.
	Placing
	// Running: the task was reported as running at the destination, or has completed there.
	Running
	// Abandoned: the move ended without success. If the task was stopped, it is placed like any other
	// waiting task.
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

// Ended reports whether a move in state s has ended.
func (s State) Ended() bool { return s == Running || s == Abandoned }

// Reason is the reason why a move ended.
type Reason uint8

// The reasons why a move ended. All except NotEnded and Arrived are reasons for abandoning it.
const (
	NotEnded          Reason = iota
	Arrived                  // the task runs at the destination
	TaskCompleted            // the task completed before it was stopped
	JobClosed                // the job was cancelled or is done
	NotNeeded                // the beneficiary no longer waits
	TeamRecovered            // an overloaded team recovered before the task was stopped
	AuthorityLost            // the node has lost the authority to place tasks
	LinkSuspected            // the link to the zone of the source or the destination is not healthy
	RecordOverdue            // the record was not durable within Config.RecordTimeout
	TaskChanged              // the task was stopped, lost or placed for another reason
	StopOverdue              // the stop was not confirmed within the grace period plus Config.StopTimeout
	DestinationClosed        // the destination no longer accepts tasks
	DestinationTaken         // tasks of higher priority use the reserved capacity
	TeamAtLimit              // the team's limit does not allow the task
	PlacementOverdue         // the task could not be placed within Config.PlaceTimeout
	StartOverdue             // the task was not running at the destination within the image pull time plus Config.StartTimeout
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

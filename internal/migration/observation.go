package migration

import (
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// DestinationStatus reports whether a move's destination can still take its task.
type DestinationStatus uint8

// The states of a destination.
const (
	DestinationReady DestinationStatus = iota
	// DestinationUnschedulable: the machine is gone, silent, being terminated, or has a reclaim
	// notice.
	DestinationUnschedulable
	// DestinationFull: the reserved room was taken by other work.
	DestinationFull
)

// Observation is the state of a move's task and machines at one time.
type Observation struct {
	// The task.
	JobOpen           bool
	Task              jobs.State
	Attempt           ident.Attempt
	Machine           ident.MachineID // empty unless the task is allocated
	TaskRunning       bool            // the task was reported as running in its present attempt
	ReportedElsewhere bool            // a machine to which the task is not assigned reports it
	TeamAllows        bool            // the team's limit has room for the task

	// The beneficiary.
	BeneficiaryWaiting bool // the beneficiary still waits
	BeneficiaryPlaced  bool // the beneficiary was placed on the machine that the task leaves
	DemandRecovered    bool // an overloaded team has recovered since the move was proposed

	// The controller and the destination.
	HasAuthority bool // the node has the authority to place tasks
	LinksHealthy bool // no link to the zone of either machine is suspected to be broken
	Destination  DestinationStatus
}

// endReason returns TaskCompleted or JobClosed if the task no longer needs the move, else NotEnded.
func (o *Observation) endReason() Reason {
	switch {
	case o.Task == jobs.Completed:
		return TaskCompleted
	case !o.JobOpen:
		return JobClosed
	}
	return NotEnded
}

// destinationReason returns DestinationTaken or DestinationClosed if the destination can't take the
// task, else NotEnded.
func (o *Observation) destinationReason() Reason {
	switch o.Destination {
	case DestinationReady:
		return NotEnded
	case DestinationFull:
		return DestinationTaken
	default:
		return DestinationClosed
	}
}

// canPlace reports whether a task that has left its machine may be placed now.
func (o *Observation) canPlace() bool { return o.HasAuthority && !o.ReportedElsewhere }

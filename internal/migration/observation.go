package migration

import (
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// DestinationStatus tells whether a move's destination can still accept the task.
type DestinationStatus uint8

// The statuses of a destination.
const (
	DestinationReady DestinationStatus = iota
	// DestinationUnschedulable: the machine accepts no tasks, for example because it is unreachable,
	// being terminated, or has a reclaim notice.
	DestinationUnschedulable
	// DestinationFull: other tasks use the reserved capacity.
	DestinationFull
)

// Observation is the state of a move's task, beneficiary and machines at a point in time.
type Observation struct {
	// The task.
	JobOpen           bool // whether the job is neither cancelled nor done
	Task              jobs.State
	Attempt           ident.Attempt
	Machine           ident.MachineID // empty unless the task is allocated
	TaskRunning       bool            // whether the current attempt was reported as running
	ReportedElsewhere bool            // whether a machine to which the task is not assigned reports it
	TeamAllows        bool            // whether the team's limit allows one more task of the job

	// The beneficiary.
	BeneficiaryWaiting bool // whether the beneficiary still waits; always set if the task leaves a slow machine
	BeneficiaryPlaced  bool // whether the beneficiary was placed on the source
	DemandRecovered    bool // whether an overloaded team has recovered since the move was started

	// The controller and the destination.
	HasAuthority bool // whether the node has the authority to place tasks
	LinksHealthy bool // whether the links to the zones of both machines are healthy
	Destination  DestinationStatus
}

// endReason returns TaskCompleted or JobClosed if the task need no longer be moved, otherwise NotEnded.
func (o *Observation) endReason() Reason {
	switch {
	case o.Task == jobs.Completed:
		return TaskCompleted
	case !o.JobOpen:
		return JobClosed
	}
	return NotEnded
}

// destinationReason returns DestinationTaken or DestinationClosed if the destination can't accept the task,
// otherwise NotEnded.
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

// canPlace reports whether a task that no longer runs on the source may be placed now.
func (o *Observation) canPlace() bool { return o.HasAuthority && !o.ReportedElsewhere }

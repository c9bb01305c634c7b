package api

import (
	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// TaskStatus is the state of a task on its machine.
type TaskStatus string

// The states that workers report.
const (
	Pulling   TaskStatus = "pulling"   // the machine pulls the image
	Gathering TaskStatus = "gathering" // gangs only: the image is present, and the task waits for the other tasks of the gang
	Running   TaskStatus = "running"
	Flushing  TaskStatus = "flushing" // the task saves a checkpoint before it ends
	Ended     TaskStatus = "ended"
)

// Cause is the reason why a task ended.
type Cause string

// The causes that workers report.
const (
	CauseDone           Cause = "done"       // the task completed
	CauseStopped        Cause = "stopped"    // a kill command stopped the task
	CauseError          Cause = "error"      // the task failed
	CauseNoCapacity     Cause = "full"       // not started: the machine lacks the free capacity
	CauseBusy           Cause = "busy"       // not started: another attempt of the task is on the machine
	CauseUnknown        Cause = "unknown"    // not started: the worker does not know the task
	CauseGangMemberLost Cause = "mates_gone" // gangs only: another task of the gang was lost
	CauseGangIncomplete Cause = "incomplete" // gangs only: the other tasks of the gang did not start in time
)

// TaskReport is the state of one task in a heartbeat. An ended task is reported until a Clear command.
type TaskReport struct {
	TaskID           ident.TaskID  `json:"piece"`
	Attempt          ident.Attempt `json:"try"`
	Status           TaskStatus    `json:"status"`
	Cause            Cause         `json:"cause,omitempty"`  // ended tasks only
	CheckpointStored bool          `json:"stored,omitempty"` // ended tasks only: a checkpoint was saved
}

// Heartbeat is the periodic report of a worker. It is also the worker's response to commands.
type Heartbeat struct {
	MachineID      ident.MachineID      `json:"host"`
	Addr           string               `json:"addr"`  // address at which the worker accepts commands
	Model          string               `json:"model"` // machine type
	Zone           string               `json:"site"`
	Spot           bool                 `json:"standby"`
	Incarnation    ident.Incarnation    `json:"tenure"`    // starts at 1; increases whenever the worker's lease expires
	SequenceNumber ident.SequenceNumber `json:"serial"`    // increases with each heartbeat
	FencingToken   ident.FencingToken   `json:"epoch"`     // the highest one that the worker has received
	ReclaimNoticeS *float64             `json:"warning_s"` // time until the provider reclaims the machine; nil: not announced
	Tasks          []TaskReport         `json:"pieces"`
}

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken ident.FencingToken `json:"epoch"`
	Commands     []Command          `json:"orders"`
}

// ParseHeartbeat parses and validates a heartbeat. Its errors are of type *FieldError.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := decode.JSON(body, &heartbeat); err != nil {
		return nil, malformed(err)
	}
	switch {
	case heartbeat.MachineID == "":
		return nil, &FieldError{"host", "missing"}
	case heartbeat.Addr == "":
		return nil, &FieldError{"addr", "missing"}
	case heartbeat.Incarnation == 0:
		return nil, &FieldError{"tenure", "missing"}
	case heartbeat.Model == "" || heartbeat.Zone == "":
		return nil, &FieldError{"model", "model or site missing"}
	}
	for _, task := range heartbeat.Tasks {
		// An unknown status is accepted: such a task counts as one that occupies its resources.
		if task.Status == "" {
			return nil, &FieldError{"pieces", "status missing"}
		}
	}
	return &heartbeat, nil
}

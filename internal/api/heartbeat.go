package api

import (
	"encoding/json"

	"opaldale/internal/ident"
)

// TaskStatus is the state of a task on its machine.
type TaskStatus string

// The states that workers report.
const (
	Pulling   TaskStatus = "pulling"   // it waits for its image
	Gathering TaskStatus = "gathering" // of a gang: it has its image and waits for the other tasks
	Running   TaskStatus = "running"
	Flushing  TaskStatus = "flushing" // it saves a checkpoint, and ends then
	Ended     TaskStatus = "ended"
)

// Cause is the reason for which a task has ended.
type Cause string

// The causes that workers report.
const (
	CauseDone           Cause = "done"       // it has completed
	CauseStopped        Cause = "stopped"    // by a kill command
	CauseError          Cause = "error"      // it has failed
	CauseNoCapacity     Cause = "full"       // not started: the machine has no room for it
	CauseBusy           Cause = "busy"       // not started: the machine has another attempt of the task
	CauseUnknown        Cause = "unknown"    // not started: there is no such task
	CauseGangMemberLost Cause = "mates_gone" // of a gang: another task is gone
	CauseGangIncomplete Cause = "incomplete" // of a gang: the other tasks did not start in time
)

// TaskReport is the state of one task in a heartbeat. An ended task is reported until it is cleared.
type TaskReport struct {
	TaskID           ident.TaskID  `json:"piece"`
	Attempt          ident.Attempt `json:"try"`
	Status           TaskStatus    `json:"status"`
	Cause            Cause         `json:"cause,omitempty"`  // of an ended task
	CheckpointStored bool          `json:"stored,omitempty"` // an ended task has saved a checkpoint
}

// Heartbeat is the periodic report of a worker, and its response to commands.
type Heartbeat struct {
	MachineID      ident.MachineID      `json:"host"`
	Addr           string               `json:"addr"`  // where the worker takes commands
	Model          string               `json:"model"` // type of the machine
	Zone           string               `json:"site"`
	Spot           bool                 `json:"standby"`
	Incarnation    ident.Incarnation    `json:"tenure"`    // from 1; raised whenever the worker's lease expires
	SequenceNumber ident.SequenceNumber `json:"serial"`    // raised with every heartbeat
	FencingToken   ident.FencingToken   `json:"epoch"`     // the highest that the worker has seen
	ReclaimNoticeS *float64             `json:"warning_s"` // time until the machine is reclaimed; nil: not announced
	Tasks          []TaskReport         `json:"pieces"`
}

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken ident.FencingToken `json:"epoch"`
	Commands     []Command          `json:"orders"`
}

// ParseHeartbeat parses and checks a heartbeat. Its errors are those of encoding/json, for IDs those
// that wrap ident.ErrMalformed, or of type *FieldError.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, err
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
		// An unknown status is accepted: the task counts as one that takes its room.
		if task.Status == "" {
			return nil, &FieldError{"pieces", "status missing"}
		}
	}
	return &heartbeat, nil
}

// Package api holds the messages of the users' and the workers' interfaces and
// the checks on what comes in from them.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"opaldale/internal/ident"
)

// MaxBodyBytes is the largest request body that is read.
const MaxBodyBytes = 64 << 10

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// Shape tells arrays from services.
type Shape string

// The shapes of a job.
const (
	Batch   Shape = "batch"
	Service Shape = "service"
	Gang    Shape = "gang" // all tasks run at the same time, or none does
)

// Priority is a job's priority.
type Priority string

// The ranks, highest first.
const (
	Critical   Priority = "critical"
	High       Priority = "high"
	Standard   Priority = "standard"
	BestEffort Priority = "best_effort"
)

// Level orders ranks: a lower level goes first.
func (r Priority) Level() int {
	switch r {
	case Critical:
		return 0
	case High:
		return 1
	case Standard:
		return 2
	}
	return 3
}

// Spec is a job as its user submitted it.
type Spec struct {
	ID               ident.JobID `json:"id"`
	Class            string      `json:"lane"`
	Team             string      `json:"desk"`
	Shape            Shape       `json:"shape"`
	Priority         Priority    `json:"rank"`
	Tasks            int         `json:"pieces"`
	VCPUs            float64     `json:"vcpus"`
	GPUs             float64     `json:"cards"`
	MemoryGB         float64     `json:"memory_gb"`
	Image            string      `json:"bundle"`
	ImageGB          float64     `json:"image_gb"`
	Models           []string    `json:"models"`
	Zone             *string     `json:"site"`
	OneZone          bool        `json:"one_zone"`
	Spread           bool        `json:"apart"`
	Spot             bool        `json:"standby"`
	RuntimeS         float64     `json:"runtime_s"`
	CheckpointEveryS float64     `json:"snapshot_every_s"`
	CheckpointS      float64     `json:"snapshot_s"`
	DeadlineS        *float64    `json:"due_s"`
}

// FieldError names the field that made a message malformed.
type FieldError struct {
	Field, Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }

// requiredFields lists the fields of a submission that may not be null or absent.
var requiredFields = []string{"id", "lane", "desk", "shape", "rank", "pieces", "vcpus", "cards", "memory_gb",
	"bundle", "image_gb", "one_zone", "apart", "standby", "runtime_s", "snapshot_every_s", "snapshot_s"}

// ParseSpec reads and checks a submission. Its errors are for the user's 400.
func ParseSpec(body []byte) (*Spec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, &FieldError{"body", "not a JSON object"}
	}
	for _, field := range requiredFields {
		if raw, ok := fields[field]; !ok || bytes.Equal(raw, []byte("null")) {
			return nil, &FieldError{field, "missing"}
		}
	}
	var s Spec
	if err := json.Unmarshal(body, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return nil, &FieldError{typeErr.Field, "wrong type or out of range"}
		}
		return nil, &FieldError{"body", "malformed"}
	}
	return &s, s.validate()
}

func (s *Spec) validate() error {
	if _, err := ident.ParseJobID(string(s.ID)); err != nil {
		return &FieldError{"id", "not in the form j-000412"}
	}
	if s.Shape != Batch && s.Shape != Service && s.Shape != Gang {
		return &FieldError{"shape", "unknown"}
	}
	switch s.Priority {
	case Critical, High, Standard, BestEffort:
	default:
		return &FieldError{"rank", "unknown"}
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return &FieldError{"pieces", "must be from 1 to 100000"}
	}
	for _, text := range []struct {
		name, v string
	}{{"lane", s.Class}, {"desk", s.Team}, {"bundle", s.Image}} {
		if text.v == "" || len(text.v) > 200 {
			return &FieldError{text.name, "must have 1 to 200 bytes"}
		}
	}
	amounts := []struct {
		name string
		v    float64
	}{{"vcpus", s.VCPUs}, {"cards", s.GPUs}, {"memory_gb", s.MemoryGB}, {"image_gb", s.ImageGB},
		{"runtime_s", s.RuntimeS}, {"snapshot_every_s", s.CheckpointEveryS}, {"snapshot_s", s.CheckpointS}}
	if s.DeadlineS != nil {
		amounts = append(amounts, struct {
			name string
			v    float64
		}{"due_s", *s.DeadlineS})
	}
	for _, amount := range amounts {
		if amount.v < 0 || amount.v > 1e9 || math.IsNaN(amount.v) {
			return &FieldError{amount.name, "negative or out of range"}
		}
	}
	return nil
}

// CanCheckpoint says whether a task of the job can keep its progress when stopped.
func (s *Spec) CanCheckpoint() bool { return s.CheckpointEveryS > 0 && s.Shape != Service }

// Status is the state of a job as its user sees it.
type Status string

// The states of a job. StatusDone and StatusCancelled are final.
const (
	StatusQueued    Status = "queued"    // no task runs
	StatusRunning   Status = "running"   // at least one task runs
	StatusDone      Status = "done"      // all tasks have completed
	StatusCancelled Status = "cancelled" // its user has cancelled it
)

// JobView is the answer to a user about a job.
type JobView struct {
	ID      ident.JobID `json:"id"`
	Status  Status      `json:"status"`
	Done    int         `json:"done"`
	Running int         `json:"running"`
}

// JobStatus is the short answer to a submission or a cancellation.
type JobStatus struct {
	ID     ident.JobID `json:"id"`
	Status Status      `json:"status"`
}

// ErrorResponse is the body of every refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// TaskStatus is a task's state on its machine.
type TaskStatus string

// The states that workers report.
const (
	Pulling   TaskStatus = "pulling"
	Gathering TaskStatus = "gathering" // of a gang: has its image, waits for the others
	Running   TaskStatus = "running"
	Flushing  TaskStatus = "flushing"
	Ended     TaskStatus = "ended"
)

// Cause says why a task ended.
type Cause string

// The causes that workers report.
const (
	CauseDone           Cause = "done"
	CauseStopped        Cause = "stopped"
	CauseError          Cause = "error"
	CauseNoCapacity     Cause = "full"
	CauseBusy           Cause = "busy"
	CauseUnknown        Cause = "unknown"
	CauseGangMemberLost Cause = "mates_gone" // of a gang: another task is gone
	CauseGangIncomplete Cause = "incomplete" // of a gang: the others did not come in time
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	TaskID           ident.TaskID  `json:"piece"`
	Attempt          ident.Attempt `json:"try"`
	Status           TaskStatus    `json:"status"`
	Cause            Cause         `json:"cause,omitempty"`
	CheckpointStored bool          `json:"stored,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	MachineID      ident.MachineID      `json:"host"`
	Addr           string               `json:"addr"`
	Model          string               `json:"model"`
	Zone           string               `json:"site"`
	Spot           bool                 `json:"standby"`
	Incarnation    ident.Incarnation    `json:"tenure"`
	SequenceNumber ident.SequenceNumber `json:"serial"`
	FencingToken   ident.FencingToken   `json:"epoch"`
	ReclaimNoticeS *float64             `json:"warning_s"`
	Tasks          []TaskReport         `json:"pieces"`
}

// ParseHeartbeat reads and checks a worker's report.
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
		// A state that is unknown here is taken for one in which the task holds its room.
		if task.Status == "" {
			return nil, &FieldError{"pieces", "status missing"}
		}
	}
	return &heartbeat, nil
}

// Verb is what an order asks of a worker.
type Verb string

// The verbs that workers know.
const (
	Launch Verb = "launch"
	Kill   Verb = "kill"
	Clear  Verb = "clear"
)

// Command is one command to a worker.
type Command struct {
	Verb         Verb          `json:"verb"`
	TaskID       ident.TaskID  `json:"piece"`
	Attempt      ident.Attempt `json:"try"`
	GracePeriodS *float64      `json:"wind_down_s,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken ident.FencingToken `json:"epoch"`
	Commands     []Command          `json:"orders"`
}

// ContainsLaunch says whether any of the orders starts a task.
func ContainsLaunch(commands []Command) bool {
	return slices.ContainsFunc(commands, func(command Command) bool { return command.Verb == Launch })
}

// CommandRequest is the body of POST /commands.
type CommandRequest struct {
	FencingToken ident.FencingToken `json:"epoch"`
	Incarnation  ident.Incarnation  `json:"tenure"`
	Commands     []Command          `json:"orders"`
}

// JSON encodes a message of this package, none of which can fail to encode.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"

	"opaldale/internal/ident"
)

// Shape is the relation of the tasks of a job to each other.
type Shape string

// The shapes of a job.
const (
	Batch   Shape = "batch"   // tasks that run independently until they complete
	Service Shape = "service" // replicas that run until the job is cancelled
	Gang    Shape = "gang"    // tasks that run at the same time, or not at all
)

// Priority is the priority of a job.
type Priority string

// The priorities, highest first.
const (
	Critical   Priority = "critical"
	High       Priority = "high"
	Standard   Priority = "standard"
	BestEffort Priority = "best_effort"
)

// PriorityLevels is the number of levels of priorities.
const PriorityLevels = 4

// Level returns the order of the priority: 0 is the highest. An unknown priority has the lowest,
// PriorityLevels-1.
func (p Priority) Level() int {
	switch p {
	case Critical:
		return 0
	case High:
		return 1
	case Standard:
		return 2
	}
	return PriorityLevels - 1
}

// Spec is a job as its user submits it. Resources are those of each task.
type Spec struct {
	ID               ident.JobID `json:"id"`
	Class            string      `json:"lane"` // class of service, to which the objectives belong
	Team             string      `json:"desk"`
	Shape            Shape       `json:"shape"`
	Priority         Priority    `json:"rank"`
	Tasks            int         `json:"pieces"`
	VCPUs            float64     `json:"vcpus"`
	GPUs             float64     `json:"cards"`
	MemoryGB         float64     `json:"memory_gb"`
	Image            string      `json:"bundle"`
	ImageGB          float64     `json:"image_gb"`
	Models           []string    `json:"models"`           // types of machines that it may run on; nil: all
	Zone             *string     `json:"site"`             // the zone that it must run in; nil: any
	OneZone          bool        `json:"one_zone"`         // all tasks run in the same zone
	Spread           bool        `json:"apart"`            // a zone has at most half of the tasks, rounded up
	Spot             bool        `json:"standby"`          // tasks may run on spot machines
	RuntimeS         float64     `json:"runtime_s"`        // estimated running time of a task, without pulling its image
	CheckpointEveryS float64     `json:"snapshot_every_s"` // 0: a task saves none
	CheckpointS      float64     `json:"snapshot_s"`       // time that a task takes to save one when it is stopped
	DeadlineS        *float64    `json:"due_s"`            // time from submission to completion; nil: none
}

// CanCheckpoint reports whether a task of the job keeps its progress when it is stopped with a grace
// period.
func (s *Spec) CanCheckpoint() bool { return s.CheckpointEveryS > 0 && s.Shape != Service }

// requiredFields lists the fields of a submission that must be present and not null.
var requiredFields = []string{"id", "lane", "desk", "shape", "rank", "pieces", "vcpus", "cards", "memory_gb",
	"bundle", "image_gb", "one_zone", "apart", "standby", "runtime_s", "snapshot_every_s", "snapshot_s"}

// ParseSpec parses and checks a submission. Its errors are of type *FieldError, and meant for the
// user.
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

// The limits of a submission. The texts of its errors repeat them.
const (
	MaxTasks      = 100_000
	maxNameBytes  = 200
	maxAmount     = 1e9
	tasksProblem  = "must be from 1 to 100000"
	nameProblem   = "must have 1 to 200 bytes"
	amountProblem = "negative or out of range"
)

func (s *Spec) validate() error {
	for _, check := range []func() error{s.validateKind, s.validateNames, s.validateAmounts} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateKind checks the ID, and the fields with a fixed set of values.
func (s *Spec) validateKind() error {
	if _, err := ident.ParseJobID(string(s.ID)); err != nil {
		return &FieldError{"id", "not in the form j-000412"}
	}
	switch s.Shape {
	case Batch, Service, Gang:
	default:
		return &FieldError{"shape", "unknown"}
	}
	switch s.Priority {
	case Critical, High, Standard, BestEffort:
	default:
		return &FieldError{"rank", "unknown"}
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return &FieldError{"pieces", tasksProblem}
	}
	return nil
}

func (s *Spec) validateNames() error {
	names := []struct{ field, value string }{{"lane", s.Class}, {"desk", s.Team}, {"bundle", s.Image}}
	for _, name := range names {
		if name.value == "" || len(name.value) > maxNameBytes {
			return &FieldError{name.field, nameProblem}
		}
	}
	return nil
}

func (s *Spec) validateAmounts() error {
	type amount struct {
		field string
		value float64
	}
	amounts := []amount{
		{"vcpus", s.VCPUs}, {"cards", s.GPUs}, {"memory_gb", s.MemoryGB}, {"image_gb", s.ImageGB},
		{"runtime_s", s.RuntimeS}, {"snapshot_every_s", s.CheckpointEveryS}, {"snapshot_s", s.CheckpointS},
	}
	if s.DeadlineS != nil {
		amounts = append(amounts, amount{"due_s", *s.DeadlineS})
	}
	for _, a := range amounts {
		if a.value < 0 || a.value > maxAmount || math.IsNaN(a.value) {
			return &FieldError{a.field, amountProblem}
		}
	}
	return nil
}

// Status is the state of a job as its user sees it.
type Status string

// The states of a job. StatusDone and StatusCancelled are final.
const (
	StatusQueued    Status = "queued"    // no task runs
	StatusRunning   Status = "running"   // at least one task runs
	StatusDone      Status = "done"      // all tasks have completed
	StatusCancelled Status = "cancelled" // its user has cancelled it
)

// JobView is the response to a query for a job.
type JobView struct {
	ID      ident.JobID `json:"id"`
	Status  Status      `json:"status"`
	Done    int         `json:"done"`    // number of tasks that have completed
	Running int         `json:"running"` // number of tasks that run
}

// StatusResponse is the response to a submission or a cancellation.
type StatusResponse struct {
	ID     ident.JobID `json:"id"`
	Status Status      `json:"status"`
}

package api

import (
	"math"
	"slices"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// Shape is how the tasks of a job depend on each other.
type Shape string

// The shapes of a job.
const (
	Batch   Shape = "batch"   // tasks that run independently until they complete
	Service Shape = "service" // replicas that run until the job is cancelled
	Gang    Shape = "gang"    // tasks that must all run at the same time
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

// PriorityLevels is the number of priorities.
const PriorityLevels = 4

// Level returns the rank of the priority, from 0 for the highest to PriorityLevels-1 for the lowest. An
// unknown priority has the lowest rank.
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

// Spec is the specification of a job as submitted by a user. Resources are those of a single task.
type Spec struct {
	ID               ident.JobID `json:"id"`
	Class            string      `json:"lane"` // class of service; objectives apply to a class
	Team             string      `json:"desk"`
	Shape            Shape       `json:"shape"`
	Priority         Priority    `json:"rank"`
	Tasks            int         `json:"pieces"`
	VCPUs            float64     `json:"vcpus"`
	GPUs             float64     `json:"cards"`
	MemoryGB         float64     `json:"memory_gb"`
	Image            string      `json:"bundle"`
	ImageGB          float64     `json:"image_gb"`
	Models           []string    `json:"models"`           // machine types on which tasks may run; nil: all
	Zone             *string     `json:"site"`             // zone in which all tasks must run; nil: any
	OneZone          bool        `json:"one_zone"`         // all tasks run in the same zone
	Spread           bool        `json:"apart"`            // at most half of the tasks, rounded up, run in one zone
	Spot             bool        `json:"standby"`          // tasks may run on spot machines
	RuntimeS         float64     `json:"runtime_s"`        // estimated running time of a task, excluding the pull of its image
	CheckpointEveryS float64     `json:"snapshot_every_s"` // interval between checkpoints; 0: tasks save none
	CheckpointS      float64     `json:"snapshot_s"`       // time that a task needs to save a checkpoint when it is stopped
	DeadlineS        *float64    `json:"due_s"`            // time from submission to completion; nil: none
}

// CanCheckpoint reports whether a task of the job can save its progress when it is stopped with a grace
// period.
func (s *Spec) CanCheckpoint() bool { return s.CheckpointEveryS > 0 && s.Shape != Service }

// requiredFields are the fields that must be present and not null in a submission.
var requiredFields = []string{"id", "lane", "desk", "shape", "rank", "pieces", "vcpus", "cards", "memory_gb",
	"bundle", "image_gb", "one_zone", "apart", "standby", "runtime_s", "snapshot_every_s", "snapshot_s"}

// optionalFields are the other fields of a submission.
var optionalFields = []string{"models", "site", "due_s"}

// ParseSpec parses and validates a submission. Its errors are of type *FieldError and are sent to the user.
func ParseSpec(body []byte) (*Spec, error) {
	if err := checkFields(body); err != nil {
		return nil, malformed(err)
	}
	var s Spec
	if err := decode.JSON(body, &s); err != nil {
		return nil, malformed(err)
	}
	return &s, s.validate()
}

// checkFields checks that the required fields of a submission are present and not null, and that no field of a submission is
// given twice. It returns an error of type *FieldError, or of package decode if the body is not a JSON object.
func checkFields(body []byte) error {
	nulls := map[string]bool{}
	err := decode.Fields(body, func(name string, isNull bool) error {
		if !slices.Contains(requiredFields, name) && !slices.Contains(optionalFields, name) {
			return nil
		}
		if _, ok := nulls[name]; ok {
			return &FieldError{name, "given twice"}
		}
		nulls[name] = isNull
		return nil
	})
	if err != nil {
		return err
	}
	for _, name := range requiredFields {
		if isNull, ok := nulls[name]; !ok || isNull {
			return &FieldError{name, "missing"}
		}
	}
	return nil
}

// The limits on the fields of a submission. The error texts repeat the numbers.
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

// validateKind checks the job ID, the fields with a fixed set of values and the number of tasks.
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

// Status is the state of a job as shown to users.
type Status string

// The states of a job. StatusDone and StatusCancelled are final.
const (
	StatusQueued    Status = "queued"    // no task runs
	StatusRunning   Status = "running"   // at least one task runs
	StatusDone      Status = "done"      // all tasks have completed
	StatusCancelled Status = "cancelled" // a user cancelled the job
)

// JobView is the response to a query of a job.
type JobView struct {
	ID      ident.JobID `json:"id"`
	Status  Status      `json:"status"`
	Done    int         `json:"done"`    // number of completed tasks
	Running int         `json:"running"` // number of running tasks
	// WaitsFor is why tasks wait; "" if none does, or if the node that answers doesn't know.
	WaitsFor WaitsFor `json:"waits_for,omitempty"`
}

// WaitsFor is why tasks of a job wait for placement.
type WaitsFor string

// The reasons to wait.
const (
	WaitsForTeamLimit WaitsFor = "team limit"          // the team's limit has no room, or is reserved for another job
	WaitsForRetry     WaitsFor = "retry after failure" // tasks have failed, and are retried later
	WaitsForMachines  WaitsFor = "machines"            // no machine has room that the job may use
)

// StatusResponse is the response to a submission or a cancellation.
type StatusResponse struct {
	ID     ident.JobID `json:"id"`
	Status Status      `json:"status"`
}

// Package rebalance decides which running tasks are worth moving to another machine. If a task waits
// because no machine has enough free capacity, moving a smaller task may let it start at once. A task on a
// slow machine may complete sooner on another one.
//
// Plan does no I/O: its input is the state of the cluster, its result a list of proposed moves. Package
// migration executes them.
package rebalance

import (
	"time"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Task is a running task that may be moved.
type Task struct {
	ID                 ident.TaskID
	Team               string
	Need               jobs.Resources
	PriorityLevel      int           // 0 is the highest priority
	RunningFor         time.Duration // since its last start
	Remaining          time.Duration // as estimated by its owner; 0 if unknown, or if it runs until it is cancelled
	EstimatedRuntime   time.Duration // as estimated by its owner; 0 if unknown
	CheckpointInterval time.Duration // 0 if it writes no checkpoints
	CheckpointTime     time.Duration // time to write a checkpoint when it is stopped
	Replica            bool          // whether it is a replica of a service: a move causes downtime, but no loss of work
	MoveCount          int           // number of recorded moves of its job's tasks, including active ones
}

// Machine is a machine with its free capacity and its tasks. It accepts tasks, except as part of a SlowMachine.
type Machine struct {
	ID          ident.MachineID
	Zone        string
	Free        jobs.Resources
	Tasks       []Task       // its tasks that may be moved
	Completions []Completion // the expected completions of its tasks, in any order

	completionsSorted bool // whether Completions is sorted by time
}

// Completion is the expected completion of a task, which frees its resources.
type Completion struct {
	Remaining time.Duration
	Frees     jobs.Resources
}

// SlowMachine is a machine that is much slower than others. It accepts no tasks, and its tasks may be
// worth moving.
type SlowMachine struct {
	Machine
	Slowness float64 // run time of tasks as a multiple of their run time on other machines
}

// WaitingTask is a task that waits for free capacity.
type WaitingTask struct {
	ID            ident.TaskID
	Need          jobs.Resources
	PriorityLevel int // 0 is the highest priority
	WaitedFor     time.Duration
	// BootRemaining is the estimated time until a booting machine that may run it is up, 0 if there is none.
	BootRemaining time.Duration
	Allowed       func(*Machine) bool // whether it may run on a machine, regardless of the free capacity
}

// ActiveMove is a move that has not ended. It counts against the budgets.
type ActiveMove struct {
	Job           ident.JobID
	Team          string
	From, To      ident.MachineID
	Zone          string       // zone of the machine From
	BeneficiaryID ident.TaskID // the waiting task for which the move frees capacity
}

// Cluster is the state of the cluster, the input of Plan.
type Cluster struct {
	Machines     []*Machine
	Waiting      []WaitingTask  // in the order in which moves are planned for them
	SlowMachines []*SlowMachine // not included in Machines
	ActiveMoves  []ActiveMove
	// Fits reports whether a running task may be moved to a machine, and returns the time of the image
	// pull there.
	Fits func(*Task, *Machine) (pullTime time.Duration, ok bool)
}

// Budgets holds the maximum numbers of simultaneous moves in the cluster, from a zone, of a team, and
// from or to a machine, and the maximum total number of moves of a job.
type Budgets struct {
	Cluster, Zone, Team, Machine int
	Job                          int
}

// Config holds the budgets and thresholds of Plan.
type Config struct {
	Budgets Budgets
	// GainMargin is the minimum gain of a move as a multiple of its cost. It is above 1 because
	// estimates are often wrong by half.
	GainMargin float64
	// StartOverhead is the time for a move apart from the image pull and the checkpoint.
	StartOverhead time.Duration
	// MinWait is how long a task must have waited before other tasks are moved for it. Most tasks are
	// placed sooner than that, when other tasks complete.
	MinWait time.Duration
	// MinRuntime is how long a task must have run before it is moved. A task that has just started was
	// often stopped on another machine shortly before, and would be stopped again.
	MinRuntime time.Duration
}

// DefaultConfig returns the default configuration. The settings override some of its values.
func DefaultConfig() Config {
	return Config{
		Budgets:       Budgets{Cluster: 4, Zone: 2, Team: 2, Machine: 1, Job: 2},
		GainMargin:    2,
		StartOverhead: 2 * time.Second,
		MinWait:       5 * time.Second,
		MinRuntime:    30 * time.Second,
	}
}

// Purpose is the purpose of a move.
type Purpose uint8

// The purposes of moves.
const (
	FreesCapacity     Purpose = iota // frees capacity for a waiting task
	LeavesSlowMachine                // lets the moved task complete sooner on a faster machine
	purposeCount
)

// purposeNames are part of stored records, metrics and logs, and must not change.
var purposeNames = [purposeCount]string{
	FreesCapacity:     "makes room",
	LeavesSlowMachine: "leaves a slow machine",
}

// String returns the name of a purpose for records, metrics and logs.
func (p Purpose) String() string { return enum.Name(purposeNames[:], p, "source") }

// Move is a proposed move of a running task.
type Move struct {
	Purpose        Purpose
	Task           ident.TaskID
	Team           string
	Need           jobs.Resources
	From, To       ident.MachineID
	BeneficiaryID  ident.TaskID  // the waiting task for which capacity is freed, if the purpose is FreesCapacity
	ExpectedWait   time.Duration // remaining wait of the beneficiary without the move
	Gain           time.Duration // expected time by which the beneficiary starts sooner, or the moved task completes sooner
	Cost           time.Duration // expected loss of work and time of the move
	CheckpointTime time.Duration // grace period for a checkpoint; 0 if the task is terminated immediately
	ImagePullTime  time.Duration // at the destination
}

// Beneficiary returns the ID of the waiting task for which a move frees capacity, "" for other purposes.
func (m *Move) Beneficiary() string {
	if m.Purpose != FreesCapacity {
		return ""
	}
	return m.BeneficiaryID.String()
}

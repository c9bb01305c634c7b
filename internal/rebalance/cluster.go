// Package rebalance decides which running tasks are worth moving. A task that waits because no
// machine has enough room may start at once if a smaller one is moved, and a task on a slow machine
// may end sooner on another one.
//
// Plan is a pure function: the state of the cluster comes in, proposals come out. Package migration
// carries the proposals out.
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
	Remaining          time.Duration // by its owner's estimate; 0 if unknown, or if it runs until it is cancelled
	EstimatedRuntime   time.Duration // by its owner's estimate; 0 if unknown
	CheckpointInterval time.Duration // 0 if it writes no checkpoints
	CheckpointTime     time.Duration // for a checkpoint when it is stopped
	Replica            bool          // task of a service; a move costs its downtime, but no progress
	MoveCount          int           // moves of its job's tasks so far
}

// Machine is a machine that takes work.
type Machine struct {
	ID          ident.MachineID
	Zone        string
	Free        jobs.Resources
	Tasks       []Task       // those of its tasks that may be moved
	Completions []Completion // of those of its tasks that are expected to end, in any order

	completionsSorted bool // Completions are in the order of time
}

// Completion is when a task is expected to leave its machine, and what it frees.
type Completion struct {
	Remaining time.Duration
	Frees     jobs.Resources
}

// SlowMachine is a machine that is much slower than others. It takes no work, and its tasks may be
// worth moving.
type SlowMachine struct {
	Machine
	Slowness float64 // run time of tasks as a multiple of what they take elsewhere
}

// WaitingTask is a task that waits for room.
type WaitingTask struct {
	ID            ident.TaskID
	Need          jobs.Resources
	PriorityLevel int           // 0 is the highest priority
	WaitedFor     time.Duration // so far
	// BootRemaining is the time until a booting machine may have room for it, 0 if there is none.
	BootRemaining time.Duration
	Allowed       func(*Machine) bool // whether it may run on a machine, apart from room
}

// ActiveMove is a move that has not ended, which counts against the budgets.
type ActiveMove struct {
	Job           ident.JobID
	Team          string
	From, To      ident.MachineID
	Zone          string       // of the machine From
	BeneficiaryID ident.TaskID // the waiting task that gets the room
}

// Cluster is the input of a plan: the state of the cluster.
type Cluster struct {
	Machines     []*Machine
	Waiting      []WaitingTask  // in the order of precedence
	SlowMachines []*SlowMachine // not included in Machines
	ActiveMoves  []ActiveMove
	// Fits reports whether a running task may be moved to a machine, and how long its image pull would
	// take there.
	Fits func(*Task, *Machine) (pullTime time.Duration, ok bool)
}

// Budgets bound the simultaneous moves in the cluster, from a zone, of a team and from or to a
// machine, and the total number of moves of a job.
type Budgets struct {
	Cluster, Zone, Team, Machine int
	Job                          int
}

// Config holds the budgets and the thresholds by which moves are chosen.
type Config struct {
	Budgets Budgets
	// GainMargin is the gain that a move must have as a multiple of its cost: estimates are often
	// wrong by half.
	GainMargin float64
	// StartOverhead is the time that a move takes in addition to the image pull and the checkpoint.
	StartOverhead time.Duration
	// MinWait is how long a task must have waited before others are moved for it: most find room
	// sooner, as other tasks end.
	MinWait time.Duration
	// MinRuntime is how long a task must have run before it is moved: one that has just started was
	// often stopped elsewhere shortly before.
	MinRuntime time.Duration
}

// DefaultConfig returns the values that are used unless the settings override them.
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
	FreesCapacity     Purpose = iota // makes room for a task that waits
	LeavesSlowMachine                // lets the task end sooner elsewhere
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
	BeneficiaryID  ident.TaskID  // the waiting task that gets the room, if the purpose is FreesCapacity
	ExpectedWait   time.Duration // of the beneficiary without the move
	Gain           time.Duration // expected: how much sooner the beneficiary starts, or the moved task ends
	Cost           time.Duration // work lost and time spent
	CheckpointTime time.Duration // grace period for a checkpoint; 0 if the task is ended at once
	ImagePullTime  time.Duration // at the destination
}

// Beneficiary returns the ID of the task that a move makes room for, "" if that is not its purpose.
func (m *Move) Beneficiary() string {
	if m.Purpose != FreesCapacity {
		return ""
	}
	return m.BeneficiaryID.String()
}

// Package rebalance decides which running tasks are worth moving: a task that waits for room
// on one machine, where no machine has enough, may start at once if a smaller one goes
// elsewhere; and a task on a slow machine may end sooner on another one. It is pure: a picture of the cluster comes in, proposals come out, and nothing is
// stopped by it; package migration carries proposals out.
package rebalance

import (
	"fmt"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// Task is a running task that may be moved.
type Task struct {
	ID                 ident.TaskID
	Team               string
	Need               jobs.Resources
	PriorityLevel      int           // of its priority, 0 the highest
	RunningFor         time.Duration // since its last start
	Remaining          time.Duration // by its owner's estimate; 0: nothing is known, or it runs until it is cancelled
	EstimatedRuntime   time.Duration // run time by its owner's estimate; 0: nothing is known
	CheckpointInterval time.Duration // interval of its checkpoints, 0: it never saves
	CheckpointTime     time.Duration // time to save when it is stopped
	// Replica says that it serves as long as it runs, so that a move costs its absence.
	Replica   bool
	MoveCount int // how often its job's tasks have been moved
}

// Machine is a machine that takes work.
type Machine struct {
	ID          ident.MachineID
	Zone        string
	Free        jobs.Resources
	Tasks       []Task       // those on it that may be moved
	Completions []Completion // of what is on it and has an end in sight, in any order

	completionsSorted bool // Ends are in the order of time
}

// Completion is when a task is expected to leave its machine, and what it frees.
type Completion struct {
	Remaining time.Duration
	Frees     jobs.Resources
}

// SlowMachine is a machine that is much slower than others. It takes no work, and what is on it may be
// worth moving.
type SlowMachine struct {
	Machine
	Slowness float64 // how many times as long tasks take there
}

// WaitingTask is a task that finds no room.
type WaitingTask struct {
	ID            ident.TaskID
	Need          jobs.Resources
	PriorityLevel int           // of its priority, 0 the highest
	WaitedFor     time.Duration // so far
	// BootRemaining is when a machine that boots may have room for it; 0: none is on its way.
	BootRemaining time.Duration
	Allowed       func(*Machine) bool // whether it may run there
}

// ActiveMove is a move under way, which counts in the budgets.
type ActiveMove struct {
	Job           ident.JobID
	Team          string
	From, To      ident.MachineID
	Zone          string       // of the machine that it leaves
	BeneficiaryID ident.TaskID // which waits for it
}

// Cluster is what a plan is made from.
type Cluster struct {
	Machines     []*Machine
	Waiting      []WaitingTask  // in the order of their right
	SlowMachines []*SlowMachine // not among the machines
	ActiveMoves  []ActiveMove
	// Fits says whether a running task may go to a machine, and how long its image would
	// take to come there.
	Fits func(*Task, *Machine) (fetch time.Duration, ok bool)
}

// Budgets bound the moves under way at once, and those of a job in its life.
type Budgets struct {
	Cluster, Zone, Team, Machine int
	Job                          int
}

// Config holds what is needed to judge a move.
type Config struct {
	Budgets Budgets
	// GainMargin is how many times its cost a move must gain: estimates are often wrong by half.
	GainMargin float64
	// StartOverhead is how long a command and its confirmation take beside fetch and saving.
	StartOverhead time.Duration
	// MinWait is how long a task waits before others are moved for it: most find room
	// sooner by what ends anyway.
	MinWait time.Duration
	// MinRuntime is how long a task has run before it is moved: one that has just started is
	// missed by its user most, and mostly has just been stopped elsewhere.
	MinRuntime time.Duration
}

// DefaultConfig returns what is used where the operators name nothing.
func DefaultConfig() Config {
	return Config{
		Budgets:       Budgets{Cluster: 4, Zone: 2, Team: 2, Machine: 1, Job: 2},
		GainMargin:    2,
		StartOverhead: 2 * time.Second,
		MinWait:       5 * time.Second,
		MinRuntime:    30 * time.Second,
	}
}

// Purpose says what a move gains by.
type Purpose uint8

// The sources of gain.
const (
	FreesCapacity     Purpose = iota // for a task that waits
	LeavesSlowMachine                // the task ends sooner elsewhere
	purposeCount
)

var purposeNames = [purposeCount]string{"makes room", "leaves a slow machine"}

func (s Purpose) String() string {
	if s < purposeCount {
		return purposeNames[s]
	}
	return fmt.Sprintf("source %d", uint8(s))
}

// Move is a proposal.
type Move struct {
	Purpose        Purpose
	Task           ident.TaskID
	Team           string
	Need           jobs.Resources
	From, To       ident.MachineID
	BeneficiaryID  ident.TaskID  // which can start then, if room is made
	ExpectedWait   time.Duration // which that would have waited without it
	Gain           time.Duration // by which that starts sooner, or the moved task ends sooner
	Cost           time.Duration // work lost and time spent
	CheckpointTime time.Duration // time given to the task to save; 0: it is ended at once
	FetchTime      time.Duration // of its image, at the destination
}

// Beneficiary names the task that a move makes room for, if it does.
func (m *Move) Beneficiary() string {
	if m.Purpose != FreesCapacity {
		return ""
	}
	return m.BeneficiaryID.String()
}

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
	ID    ident.TaskID
	Team  string
	Need  jobs.Resources
	Level int           // of its priority, 0 the highest
	Ran   time.Duration // since its last start
	Left  time.Duration // by its owner's estimate; 0: nothing is known, or it runs until it is cancelled
	Whole time.Duration // run time by its owner's estimate; 0: nothing is known
	Saves time.Duration // interval of its checkpoints, 0: it never saves
	Save  time.Duration // time to save when it is stopped
	// Replica says that it serves as long as it runs, so that a move costs its absence.
	Replica bool
	Moved   int // how often its job's tasks have been moved
}

// Machine is a machine that takes work.
type Machine struct {
	Host  ident.MachineID
	Zone  string
	Free  jobs.Resources
	Tasks []Task // those on it that may be moved
	Ends  []End  // of what is on it and has an end in sight, in any order

	sorted bool // Ends are in the order of time
}

// End is when a task is expected to leave its machine, and what it frees.
type End struct {
	Left time.Duration
	Need jobs.Resources
}

// Slow is a machine that is much slower than others. It takes no work, and what is on it may be
// worth moving.
type Slow struct {
	Machine
	Slowness float64 // how many times as long tasks take there
}

// Waiting is a task that finds no room.
type Waiting struct {
	ID     ident.TaskID
	Need   jobs.Resources
	Level  int           // of its priority, 0 the highest
	Waited time.Duration // so far
	// Arriving is when a machine that boots may have room for it; 0: none is on its way.
	Arriving time.Duration
	Allowed  func(*Machine) bool // whether it may run there
}

// Active is a move under way, which counts in the budgets.
type Active struct {
	Job      ident.JobID
	Team     string
	From, To ident.MachineID
	Zone     string       // of the machine that it leaves
	For      ident.TaskID // which waits for it
}

// Picture is what a plan is made from.
type Picture struct {
	Machines []*Machine
	Waiting  []Waiting // in the order of their right
	Slow     []*Slow   // not among the machines
	Active   []Active
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
	// Margin is how many times its cost a move must gain: estimates are often wrong by half.
	Margin float64
	// Start is how long a command and its confirmation take beside fetch and saving.
	Start time.Duration
	// Patience is how long a task waits before others are moved for it: most find room
	// sooner by what ends anyway.
	Patience time.Duration
	// MinRan is how long a task has run before it is moved: one that has just started is
	// missed by its user most, and mostly has just been stopped elsewhere.
	MinRan time.Duration
}

// DefaultConfig returns what is used where the operators name nothing.
func DefaultConfig() Config {
	return Config{
		Budgets:  Budgets{Cluster: 4, Zone: 2, Team: 2, Machine: 1, Job: 2},
		Margin:   2,
		Start:    2 * time.Second,
		Patience: 5 * time.Second,
		MinRan:   30 * time.Second,
	}
}

// Source says what a move gains by.
type Source uint8

// The sources of gain.
const (
	MakesRoom  Source = iota // for a task that waits
	LeavesSlow               // the task ends sooner elsewhere
	sourceCount
)

var sourceNames = [sourceCount]string{"makes room", "leaves a slow machine"}

func (s Source) String() string {
	if s < sourceCount {
		return sourceNames[s]
	}
	return fmt.Sprintf("source %d", uint8(s))
}

// Move is a proposal.
type Move struct {
	Source   Source
	Task     ident.TaskID
	Team     string
	Need     jobs.Resources
	From, To ident.MachineID
	For      ident.TaskID  // which can start then, if room is made
	Wait     time.Duration // which that would have waited without it
	Gain     time.Duration // by which that starts sooner, or the moved task ends sooner
	Cost     time.Duration // work lost and time spent
	Save     time.Duration // time given to the task to save; 0: it is ended at once
	Fetch    time.Duration // of its image, at the destination
}

// Beneficiary names the task that a move makes room for, if it does.
func (m *Move) Beneficiary() string {
	if m.Source != MakesRoom {
		return ""
	}
	return m.For.String()
}

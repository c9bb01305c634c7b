package gang

import (
	"log/slog"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// State is the state of an attempt in its life cycle.
type State uint8

// The states of an attempt.
const (
	Placed        State = iota // all tasks have a machine; some placements may not be durable yet
	Gathering                  // launched: the tasks pull their image and wait for each other
	Running                    // all tasks were reported as running
	Checkpointing              // all tasks are being stopped with a grace period for saving a checkpoint
	Stopping                   // the remaining tasks are being stopped without a grace period
)

// stateNames are the names of the states in log messages. Some differ from the names of the constants.
var stateNames = [...]string{
	Placed:        "placed",
	Gathering:     "gathering",
	Running:       "running",
	Checkpointing: "saving",
	Stopping:      "ending",
}

// String returns the name of the state in log messages.
func (s State) String() string { return stateNames[s] }

// attempt is one attempt to run all tasks of a gang.
type attempt struct {
	job          *jobs.Job
	number       ident.Attempt
	state        State
	stateSince   ident.MonotonicTime
	placedAt     ident.MonotonicTime // when the first placements were made
	missingSince ident.MonotonicTime // when the first of the missing tasks was found missing; 0 if none is missing
	// placedThisTerm is set if the attempt began in this term. Only then does usedMachines contain all
	// machines on which a task of the attempt was placed.
	placedThisTerm bool
	usedMachines   map[ident.MachineID]bool
	launchedOn     map[int]ident.MachineID // by task index: the machine on which the task was last launched
}

func newAttempt(j *jobs.Job, number ident.Attempt, state State, now ident.MonotonicTime) *attempt {
	return &attempt{
		job:          j,
		number:       number,
		state:        state,
		stateSince:   now,
		placedAt:     now,
		usedMachines: map[ident.MachineID]bool{},
		launchedOn:   map[int]ident.MachineID{},
	}
}

// setState changes the state of an attempt and logs the change. All state changes go through it.
func (tb *Table) setState(a *attempt, next State, reason Reason) {
	if a.state == next {
		return
	}
	now := tb.now()
	slog.Debug("gang state changed", "job", string(a.job.Spec.ID), "attempt", uint64(a.number),
		"from", a.state.String(), "to", next.String(), "reason", string(reason),
		"age_s", now.Sub(a.job.SubmittedAt).Seconds(), "placed_s", now.Sub(a.placedAt).Seconds())
	a.state, a.stateSince = next, now
}

// hasUnlaunched reports whether any task has not been launched on its current machine.
func (a *attempt) hasUnlaunched() bool {
	for i, t := range a.job.Tasks.All() {
		if a.launchedOn[i] != t.MachineID {
			return true
		}
	}
	return false
}

// taskCounts holds the number of a gang's tasks in each state.
type taskCounts struct {
	missing  int // not allocated
	placing  int
	stopping int
	running  int // reported as running
}

func countTasks(j *jobs.Job) taskCounts {
	counts := taskCounts{missing: j.Tasks.Len() - j.AllocatedTasks}
	for _, t := range j.Tasks.All() {
		switch t.State {
		case jobs.Placing:
			counts.placing++
		case jobs.Stopping:
			counts.stopping++
		case jobs.Assigned:
			if t.ReportedStatus == api.Running {
				counts.running++
			}
		}
	}
	return counts
}

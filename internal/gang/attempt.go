package gang

import (
	"log/slog"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// State is the state of an attempt's life cycle.
type State uint8

// The states of an attempt.
const (
	Placed        State = iota // machines were chosen; the placements of some tasks are not durable
	Gathering                  // launched: the tasks pull their image and wait for each other
	Running                    // all tasks were reported running
	Checkpointing              // all tasks are being stopped with a grace period to save a checkpoint
	Stopping                   // all tasks that are left are being stopped without a grace period
)

// stateNames are the names in the log; some differ from the constants' names.
var stateNames = [...]string{
	Placed:        "placed",
	Gathering:     "gathering",
	Running:       "running",
	Checkpointing: "saving",
	Stopping:      "ending",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// attempt is one attempt to run a gang.
type attempt struct {
	job          *jobs.Job
	number       ident.Attempt
	state        State
	stateSince   ident.MonotonicTime
	placedAt     ident.MonotonicTime // when its first machines were chosen
	missingSince ident.MonotonicTime // when the first of the missing tasks was lost; 0: none is missing
	// placedThisTerm is set if the attempt began in this term, so that usedMachines has all machines
	// on which any of its tasks was placed.
	placedThisTerm bool
	usedMachines   map[ident.MachineID]bool
	launchedOn     map[int]ident.MachineID // machine on which each task was launched last, by its index
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

// setState is the only function that changes an attempt's state.
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

// hasUnlaunched reports whether any task was not launched on its present machine.
func (a *attempt) hasUnlaunched() bool {
	for i := range a.job.Tasks {
		if a.launchedOn[i] != a.job.Tasks[i].MachineID {
			return true
		}
	}
	return false
}

// taskCounts holds the numbers of a gang's tasks by state.
type taskCounts struct {
	missing  int // not allocated
	placing  int
	stopping int
	running  int // reported running
}

func countTasks(j *jobs.Job) taskCounts {
	counts := taskCounts{missing: len(j.Tasks) - j.AllocatedTasks}
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.State {
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

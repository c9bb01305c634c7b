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

// String returns the state's name.
func (s State) String() string {
	return [...]string{"placed", "gathering", "running", "saving", "ending"}[s]
}

// attempt is one attempt to run a gang.
type attempt struct {
	job          *jobs.Job
	number       ident.Attempt
	state        State
	stateSince   ident.MonotonicTime
	placedAt     ident.MonotonicTime // when its first machines were chosen
	missingSince ident.MonotonicTime // since when a task is missing; 0: none is
	// placedThisTerm reports that the attempt began in this term: all machines on which any of its
	// tasks was placed are known.
	placedThisTerm bool
	usedMachines   map[ident.MachineID]bool
	launchedOn     map[int]ident.MachineID // by the index of the task
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

// hasUnlaunched reports whether a task was not launched on its present machine.
func (a *attempt) hasUnlaunched() bool {
	for i := range a.job.Tasks {
		if a.launchedOn[i] != a.job.Tasks[i].MachineID {
			return true
		}
	}
	return false
}

// taskCounts holds numbers of a gang's tasks.
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

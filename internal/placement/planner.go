package placement

import (
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// Actions carry out what the planner decides. Each takes effect in the tables of jobs and
// machines at once, so that the next decision sees it.
type Actions interface {
	// Place assigns a waiting task to a machine.
	Place(t *jobs.Task, w *workers.Worker)
	// Preempt stops a task on its machine, with the grace period that it has for a checkpoint.
	Preempt(t *jobs.Task, w *workers.Worker, gracePeriod time.Duration)
	// PlaceGang places all waiting tasks of a gang.
	PlaceGang(j *jobs.Job, placements []gang.Placement)
	// GangUsedMachine reports whether the present attempt of a gang has had tasks on a machine.
	GangUsedMachine(j *jobs.Job, w *workers.Worker) bool
	// CanStopGang reports whether all tasks of a gang can be stopped together.
	CanStopGang(j *jobs.Job) bool
	// StopGang stops all tasks of a gang together, and lets them write checkpoints if they can. It
	// returns false if CanStopGang does.
	StopGang(j *jobs.Job) bool
}

// Planner assigns waiting tasks to machines. It keeps the plan, the reservations and the
// statistics; the state of a single dispatch is in dispatch. A planner belongs to one term of a
// leader and is used on that leader's event loop only.
type Planner struct {
	teams            *Teams
	jobs             *jobs.Table
	machineTable     *workers.Table
	actions          Actions
	now              func() ident.MonotonicTime
	config           Config
	finishObjectives map[string][]time.Duration // by class: within which times jobs should be done, ascending
	startObjectives  map[string]time.Duration   // by class: within which time tasks should start

	// ServiceHeadroom is the room in CPUs that batch jobs leave free on the on-demand machines of
	// a zone, for services to come.
	ServiceHeadroom map[string]float64

	// SpreadLoad reports whether work is spread over the machines that hold its image, the least
	// used first, rather than given to them in the order of their names.
	SpreadLoad func() bool

	// Stats counts the decisions since the planner was made.
	Stats Stats

	reservations  reservations
	lastFirstTask map[string]ident.MonotonicTime // by team: when a starved job last got its first task
	searchFrom    int                            // index of the open machine at which the next victim search begins
	freeOnDemand  map[string]float64             // free CPUs of on-demand machines by zone, as of the last dispatch
	storage       dispatchStorage
}

const (
	// maxPlacedPerDispatch bounds the tasks that one dispatch places, and with it the time for
	// which heartbeats and the renewal of the leader lease wait for it.
	maxPlacedPerDispatch = 300
	// minVictimSearch bounds the machines that a dispatch searches for victims; the bound is the
	// number of open machines where that is larger.
	minVictimSearch = 1000
	// maxPlansSearched bounds the plans that an idle machine searches for a task to steal.
	maxPlansSearched = 64
	// maxStarvationReserved bounds the machines reserved for starved batch jobs.
	maxStarvationReserved = 4
	// preemptionRetry is the delay before a task is placed whose victims write checkpoints first.
	preemptionRetry = 500 * time.Millisecond
)

// Stats counts the decisions of a planner.
type Stats struct {
	Rounds      uint64 // plans made
	ExtraRounds uint64 // of those, made during a dispatch for tasks that no plan named

	// Batch tasks by the rule that placed them.
	Planned  uint64 // on the machine that the plan names
	Local    uint64 // on a machine that holds the image, outside the plan
	Uncached uint64 // of an image that no eligible machine holds
	Stolen   uint64 // taken by an idle machine from the plan of another one

	Services  uint64 // service tasks
	Gangs     uint64 // whole gangs
	Preempted uint64 // tasks, or whole gangs, stopped to make room

	FetchedGB float64       // size of the images that placements had to pull
	PlanTime  time.Duration // spent on plans
}

// Config holds the settings of a planner.
type Config struct {
	// UseASM1 makes each round assign the waiting batch tasks with ASM1. Without it idle
	// machines take work from the queue alone.
	UseASM1 bool
	// Objectives are the service-level objectives by class of work.
	Objectives []settings.Objective
	// MaxWait is how long a job may wait for its first task before it counts as starved and goes
	// first.
	MaxWait time.Duration
	// GangWait is how long other work waits for room before a gang is preempted for it. It
	// exceeds the time in which most work gets room without preemption, for instance after the
	// loss of a rack or while a gang pulls its image.
	GangWait time.Duration
}

// NewPlanner makes a planner without a plan.
func NewPlanner(
	teams *Teams,
	jobTable *jobs.Table,
	machineTable *workers.Table,
	actions Actions,
	now func() ident.MonotonicTime,
	config Config,
) *Planner {
	p := &Planner{
		teams:            teams,
		jobs:             jobTable,
		machineTable:     machineTable,
		actions:          actions,
		now:              now,
		config:           config,
		finishObjectives: map[string][]time.Duration{},
		startObjectives:  map[string]time.Duration{},
		ServiceHeadroom:  map[string]float64{},
		SpreadLoad:       func() bool { return false },
		reservations:     newReservations(),
		lastFirstTask:    map[string]ident.MonotonicTime{},
	}
	for _, o := range config.Objectives {
		switch o.Kind {
		case settings.ObjectiveFinished:
			p.finishObjectives[o.Class] = append(p.finishObjectives[o.Class], settings.Seconds(o.WithinS))
		case settings.ObjectiveWait:
			p.startObjectives[o.Class] = settings.Seconds(o.WithinS)
		}
	}
	for _, a := range p.finishObjectives {
		slices.Sort(a)
	}
	return p
}

// Dispatch places the waiting tasks that can start now, without waiting for the next round. It
// returns true if it stopped at maxPlacedPerDispatch, so that there may be more to place.
func (p *Planner) Dispatch() bool { return p.newDispatch().run() }

// Round replaces the plan by a new one, and places nothing.
func (p *Planner) Round() { p.newDispatch().makePlan() }

// starved reports whether a job has waited too long for its first task.
func (p *Planner) starved(j *jobs.Job) bool {
	return j.AllocatedTasks+j.CompletedTasks == 0 && p.now().Sub(j.SubmittedAt) > p.config.MaxWait
}

// pullExceedsObjective reports whether a machine needs longer to pull a job's image than the part
// 1/divisor of the time within which tasks of its class should start.
func (p *Planner) pullExceedsObjective(j *jobs.Job, w *workers.Worker, divisor time.Duration) bool {
	limit, ok := p.startObjectives[j.Spec.Class]
	return ok && w.ImagePullTime(j.Spec) > limit/divisor
}

// isBatch reports whether a job's tasks are independent of each other and run to completion.
func isBatch(j *jobs.Job) bool { return j.Spec.Shape == api.Batch }

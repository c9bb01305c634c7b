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

// Actions execute the decisions of the planner. Each action updates the tables of jobs and machines
// before it returns, so that the next decision is based on the new state.
type Actions interface {
	// Place assigns a waiting task to a machine.
	Place(t *jobs.Task, w *workers.Worker)
	// Preempt stops a task on its machine. The grace period is the time for writing a checkpoint.
	Preempt(t *jobs.Task, w *workers.Worker, gracePeriod time.Duration)
	// PlaceGang places all waiting tasks of a gang.
	PlaceGang(j *jobs.Job, placements []gang.Placement)
	// GangUsedMachine reports whether the current attempt of a gang has placed a task on a machine.
	GangUsedMachine(j *jobs.Job, w *workers.Worker) bool
	// CanStopGang reports whether all tasks of a gang can be stopped together.
	CanStopGang(j *jobs.Job) bool
	// StopGang stops all tasks of a gang together, with a grace period for checkpoints if the job
	// supports them. It does nothing and returns false if CanStopGang returns false.
	StopGang(j *jobs.Job) bool
}

// Planner assigns waiting tasks to machines. It holds the state that lasts from one dispatch to the
// next, such as reservations and statistics; the dispatch type holds the state of a single dispatch. A
// leader creates a planner for its term and uses it only on its event loop, so a planner is not safe
// for concurrent use.
type Planner struct {
	teams            *Teams
	jobs             *jobs.Table
	machineTable     *workers.Table
	actions          Actions
	now              func() ident.MonotonicTime
	config           Config
	finishObjectives map[string][]time.Duration // by class: target times from submission to completion of a job, ascending
	startObjectives  map[string]time.Duration   // by class: target for the wait until tasks start

	// ServiceHeadroom is the number of CPUs, by zone, that batch jobs must leave free on on-demand
	// machines for future service tasks.
	ServiceHeadroom map[string]float64

	// SpreadLoad reports whether tasks go to the least used holder of their image, which spreads the
	// load. Otherwise machines are filled in the order of their names.
	SpreadLoad func() bool

	// Stats counts the decisions since the planner was created.
	Stats Stats

	reservations  reservations
	lastFirstTask map[string]ident.MonotonicTime // by team: when the first task of a starved job was last placed
	searchFrom    int                            // index of the schedulable machine at which the next victim search begins
	freeOnDemand  map[string]float64             // free CPUs of on-demand machines by zone, as of the last dispatch
	storage       dispatchStorage
}

const (
	// maxPlacedPerDispatch is the number of placed tasks at which a dispatch stops. It bounds the time
	// for which a dispatch delays heartbeats and the renewal of the leader lease.
	maxPlacedPerDispatch = 300
	// minVictimSearch limits the number of machines that a dispatch searches for victims. If there are
	// more schedulable machines than that, their number is the limit.
	minVictimSearch = 1000
	// maxPlansSearched is the maximum number of plans that are searched for a task to steal.
	maxPlansSearched = 64
	// maxStarvationReserved limits the reservations for starved batch jobs: none is added while this
	// many machines are reserved for starved jobs and gangs.
	maxStarvationReserved = 4
	// preemptionRetry is the delay before the planner retries to place a task whose victims write
	// checkpoints first.
	preemptionRetry = 500 * time.Millisecond
)

// Stats counts the decisions of a planner.
type Stats struct {
	Rounds      uint64 // planning rounds
	ExtraRounds uint64 // planning rounds during a dispatch, for tasks that were in no plan

	// Placed batch tasks, by placement rule. Tasks placed by preemption and the first tasks of starved jobs
	// are not counted.
	Planned  uint64 // placed on the machine that the plan assigns
	Local    uint64 // placed on a holder of the image, not by the plan
	Uncached uint64 // placed while no eligible machine had the image cached
	Stolen   uint64 // stolen by an idle machine from the plan of another machine

	Services  uint64 // placed service tasks, and delays of one until a victim has written its checkpoint
	Gangs     uint64 // placed gangs
	Preempted uint64 // preempted tasks; a preempted gang counts as one

	FetchedGB float64       // total size of the images that placements had to pull, in GB
	PlanTime  time.Duration // total duration of the planning rounds
}

// Config holds the settings of a planner.
type Config struct {
	// UseASM1 enables planning with ASM1 in each round. If it is false, there is no plan, and idle
	// machines take tasks from the queue.
	UseASM1 bool
	// Objectives are the service-level objectives by class of work.
	Objectives []settings.Objective
	// MaxWait is how long a job may wait for its first task to be placed. After that, the job is starved
	// and gets precedence.
	MaxWait time.Duration
	// GangWait is how long a task must have waited before gangs may be preempted for it. It is longer
	// than most tasks wait for free capacity without preemption, for example after the loss of a rack
	// or while a gang pulls its image.
	GangWait time.Duration
}

// NewPlanner returns a planner without a plan. now is the monotonic clock.
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

// Dispatch places the waiting tasks that can be placed now, without waiting for the next round. It
// returns true if it stopped at maxPlacedPerDispatch, in which case more tasks may be placeable.
func (p *Planner) Dispatch() bool { return p.newDispatch().run() }

// Round replaces the plan with a new one. It places no tasks.
func (p *Planner) Round() { p.newDispatch().makePlan() }

// starved reports whether a job has waited longer than Config.MaxWait for its first task to be placed.
func (p *Planner) starved(j *jobs.Job) bool {
	return j.AllocatedTasks+j.CompletedTasks == 0 && p.now().Sub(j.SubmittedAt) > p.config.MaxWait
}

// pullExceedsObjective reports whether a machine takes longer to pull a job's image than the start
// objective of the job's class, divided by divisor. It returns false if there is no such objective.
func (p *Planner) pullExceedsObjective(j *jobs.Job, w *workers.Worker, divisor time.Duration) bool {
	limit, ok := p.startObjectives[j.Spec.Class]
	return ok && w.ImagePullTime(j.Spec) > limit/divisor
}

// isBatch reports whether a job is a batch job: its tasks are independent and run to completion.
func isBatch(j *jobs.Job) bool { return j.Spec.Shape == api.Batch }

package placement

import (
	"slices"
	"time"

	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// Actions carry out what the planner decides. Both take effect at once in the
// tables, so that the next decision sees them.
type Actions interface {
	Place(t *jobs.Task, w *workers.Worker)
	Preempt(t *jobs.Task, w *workers.Worker, windDown time.Duration)
	// PlaceGang places all waiting tasks of a gang; GangUsedMachine says whether its present
	// attempt was on a machine before.
	PlaceGang(j *jobs.Job, picks []gang.Placement)
	GangUsedMachine(j *jobs.Job, w *workers.Worker) bool
	// CanStopGang says whether a whole gang can be stopped in order; StopGang does it.
	CanStopGang(j *jobs.Job) bool
	StopGang(j *jobs.Job) bool
}

// Planner holds the plan between rounds.
type Planner struct {
	teams            *Teams
	jobs             *jobs.Table
	machineTable     *workers.Table
	actions          Actions
	now              func() ident.MonotonicTime
	config           Config
	finishObjectives map[string][]time.Duration // by class: within which times jobs should be done, ascending
	startObjectives  map[string]time.Duration   // by class: within which time tasks should start

	// ServiceHeadroom is the room in CPUs that arrays leave free on the ordinary
	// machines of a zone, for services to come.
	ServiceHeadroom map[string]float64

	// SpreadLoad says whether the work of equal holders is spread over them, the least used first,
	// rather than taken by name.
	SpreadLoad func() bool

	Stats Stats

	// What follows is of one dispatch.
	openMachines       []*workers.Worker // the open machines, by name
	machinesWithRoom   []*workers.Worker // those in which some waiting task fits
	batchJobs          []*jobs.Job       // with tasks to place, in the order of their right
	firstBorrower      int               // the place in arrays of the first job of a team without a guarantee
	activeRange        jobRange          // the places in arrays of the jobs whose turn it is
	byImage            map[string][]int  // their places in arrays
	firstByImage       map[string]int    // the first of an image that may still have something to place
	uncachedJobs       []*jobs.Job       // whose image no machine holds that may take them, oldest first
	holdersByImage     map[string][]*workers.Worker
	imageCached        map[*jobs.Job]bool
	taskCursor         map[*jobs.Job]int
	plans              []*planQueue       // fullest first
	freeOnDemand       map[string]float64 // free CPUs of ordinary machines, by zone
	starvationReserved map[*workers.Worker]*jobs.Job
	reservations       map[*workers.Worker]reservation
	lastFirstTask      map[string]ident.MonotonicTime // when a team's job was last begun for having waited
	quotaBlocked       map[string]*jobs.Job           // jobs that wait too long for their team's limit
	victimSearches     map[victimSearchKey]*preemptionHeap
	placed             int
	machinesSearched   int // machines looked at for work to stop
	searchFrom         int // where the next such search begins
}

const (
	// maxPlacedPerDispatch bounds what one dispatch places, and with it for how long reports
	// and the renewal of the lease wait for it.
	maxPlacedPerDispatch = 300
	// minVictimSearch bounds the machines that a dispatch looks at for work to stop, or the
	// whole fleet where it is larger.
	minVictimSearch = 1000
	// maxPlansSearched bounds the plans that a machine looks into for something to steal.
	maxPlansSearched = 64
	// maxStarvationReserved bounds the machines kept free for jobs that wait too long.
	maxStarvationReserved = 4
)

// Stats counts what the planner did.
type Stats struct {
	Rounds, ExtraRounds              uint64
	Planned, Local, Uncached, Stolen uint64 // array tasks by the rule that placed them
	Services, Gangs, Preempted       uint64
	FetchedGB                        float64 // images placed where they were not held
	PlanTime                         time.Duration
}

// Config holds the settings of a planner.
type Config struct {
	// UseASM1 makes each round assign the waiting batch tasks with ASM1. Without it idle
	// machines take work from the queue alone.
	UseASM1 bool
	// Objectives are the service-level objectives by class of work.
	Objectives []settings.Objective
	// MaxWait is how long a job may wait for its first task before it goes first.
	MaxWait time.Duration
	// GangWait is how long other work waits for room before a gang is preempted for it. It
	// exceeds the time in which most work finds room by itself, for instance after the loss of
	// a rack or while a gang pulls its images.
	GangWait time.Duration
}

// The kinds of service-level objectives.
const (
	objectiveFinish = "finished" // a job is done within a time
	objectiveStart  = "wait"     // a task starts within a time
)

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
		teams:              teams,
		jobs:               jobTable,
		machineTable:       machineTable,
		actions:            actions,
		now:                now,
		config:             config,
		ServiceHeadroom:    map[string]float64{},
		SpreadLoad:         func() bool { return false },
		starvationReserved: map[*workers.Worker]*jobs.Job{},
		reservations:       map[*workers.Worker]reservation{},
		lastFirstTask:      map[string]ident.MonotonicTime{},
		finishObjectives:   map[string][]time.Duration{},
		startObjectives:    map[string]time.Duration{},
	}
	for _, o := range config.Objectives {
		switch o.Kind {
		case objectiveFinish:
			p.finishObjectives[o.Class] = append(p.finishObjectives[o.Class], settings.Seconds(o.WithinS))
		case objectiveStart:
			p.startObjectives[o.Class] = settings.Seconds(o.WithinS)
		}
	}
	for _, a := range p.finishObjectives {
		slices.Sort(a)
	}
	return p
}

// Dispatch places what can be placed now. Nothing waits for a round that could
// start at once. It returns true if it stopped early: there may be more to place.
func (p *Planner) Dispatch() bool {
	services, gangs := p.prepareDispatch()
	for _, j := range services {
		if p.placed >= maxPlacedPerDispatch {
			return true
		}
		p.placeService(j)
	}
	for _, j := range gangs {
		if p.placed >= maxPlacedPerDispatch {
			return true
		}
		p.placeGang(j)
	}
	if len(p.batchJobs) == 0 {
		return false
	}
	p.placeFirstTasks()
	p.fillIdleMachines()
	if p.placed < maxPlacedPerDispatch && p.hasStrandedTask() {
		// Waiting tasks whose holders are full and that no plan names yet could
		// not be stolen: an extra round lets the idle machines have them.
		p.Stats.ExtraRounds++
		p.plan()
		p.fillIdleMachines()
	}
	p.reclaimGuarantees()
	return p.placed >= maxPlacedPerDispatch
}

// Round makes a new plan.
func (p *Planner) Round() {
	p.prepareDispatch()
	p.plan()
}

// nextTask returns the job's first waiting task that may be placed now.
func (p *Planner) nextTask(j *jobs.Job) *jobs.Task {
	now := p.now()
	if j.PlaceableCount() == 0 {
		return nil
	}
	for i := p.taskCursor[j]; i < len(j.Tasks); i++ {
		t := &j.Tasks[i]
		if t.State == jobs.Waiting && now >= t.RetryAt && !p.machineTable.HasUnknownAttempt(t.TaskID()) {
			p.taskCursor[j] = i
			return t
		}
	}
	p.taskCursor[j] = len(j.Tasks)
	return nil
}

// isImageCached says whether a machine that may take the job's tasks holds its image. A
// holder in another zone, or one that is not open, must not keep an idle
// machine from fetching: the tasks would wait for ever.
func (p *Planner) isImageCached(j *jobs.Job) bool {
	held, ok := p.imageCached[j]
	if !ok {
		for _, w := range p.holdersOf(j.Spec.Image) {
			if w.Allows(j.Spec) && !j.AvoidedMachines[w.ID] && zoneAllows(j, w.Zone) {
				held = true
				break
			}
		}
		p.imageCached[j] = held
	}
	return held
}

// zoneAllows checks one_zone and apart against the job's other tasks.
func zoneAllows(j *jobs.Job, zone string) bool {
	s := j.Spec
	if s.OneZone {
		for z, n := range j.AllocatedByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !s.Spread || j.AllocatedByZone[zone] < (s.Tasks+1)/2
}

// eligible checks everything but room.
func (p *Planner) eligible(j *jobs.Job, w *workers.Worker) bool {
	if o := p.reservedFor(w); o != nil && o != j {
		return false
	}
	if o := p.quotaBlocked[j.Spec.Team]; o != nil && o != j && isBatch(j) {
		return false
	}
	return w.Allows(j.Spec) && !j.AvoidedMachines[w.ID] && zoneAllows(j, w.Zone) && p.teams.Allows(j.Spec, 1)
}

// hasRoom checks the room, and for arrays what is kept for services.
func (p *Planner) hasRoom(j *jobs.Job, w *workers.Worker) bool {
	return w.Fits(j.Spec) && p.KeepsServiceHeadroom(j, w)
}

// KeepsServiceHeadroom says whether a task more on a machine leaves what arrays must leave free for
// services.
func (p *Planner) KeepsServiceHeadroom(j *jobs.Job, w *workers.Worker) bool {
	return w.Spot || !isBatch(j) || p.freeOnDemand[w.Zone]-j.Spec.VCPUs >= p.ServiceHeadroom[w.Zone]-tolerance
}

func (p *Planner) place(t *jobs.Task, w *workers.Worker) {
	p.recordPlacement(t, w)
	p.actions.Place(t, w)
}

// recordPlacement notes what a placement takes.
func (p *Planner) recordPlacement(t *jobs.Task, w *workers.Worker) {
	if !w.HasImage(t.Job.Spec.Image) && !w.IsPullingImage(t.Job.Spec.Image) {
		p.Stats.FetchedGB += t.Job.Spec.ImageGB
	}
	if !w.Spot {
		p.freeOnDemand[w.Zone] -= t.Job.Spec.VCPUs
	}
	if p.starvationReserved[w] == t.Job {
		delete(p.starvationReserved, w)
	}
	p.ReleaseReservation(w, t.Job)
	p.placed++
}

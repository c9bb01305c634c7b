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
	// PlaceGang places all waiting tasks of a gang; GangUsed says whether its present
	// attempt was on a machine before.
	PlaceGang(j *jobs.Job, picks []gang.Placement)
	GangUsed(j *jobs.Job, w *workers.Worker) bool
	// Stoppable says whether a whole gang can be stopped in order; StopGang does it.
	Stoppable(j *jobs.Job) bool
	StopGang(j *jobs.Job) bool
}

// Planner holds the plan between rounds.
type Planner struct {
	teams *Teams
	jobs  *jobs.Table
	fleet *workers.Table
	act   Actions
	now   func() ident.MonotonicTime
	asm1  bool
	aims  map[string][]time.Duration // by lane: within which times jobs should be done, ascending
	waits map[string]time.Duration   // by lane: within which time tasks should start

	// Reserve is the room in CPUs that arrays leave free on the ordinary
	// machines of a zone, for services to come.
	Reserve map[string]float64

	// Even says whether the work of equal holders is spread over them, the least used first,
	// rather than taken by name.
	Even func() bool
	// MaxWait is how long a job may wait for its first task before it goes first.
	MaxWait time.Duration

	// GangWait is how long other work waits for room before a gang is stopped for it.
	// (Gangs were stopped at once when a rack was lost, and again before they had their
	// images, for replicas that found room within seconds.)
	GangWait time.Duration

	Stats Stats

	// What follows is of one dispatch.
	order    []*workers.Worker // the open machines, by name
	roomy    []*workers.Worker // those in which some waiting task fits
	arrays   []*jobs.Job       // with tasks to place, in the order of their right
	guests   int               // the place in arrays of the first job of a team without a guarantee
	turn     span              // the places in arrays of the jobs whose turn it is
	byImage  map[string][]int  // their places in arrays
	first    map[string]int    // the first of an image that may still have something to place
	unheld   []*jobs.Job       // whose image no machine holds that may take them, oldest first
	holders  map[string][]*workers.Worker
	held     map[*jobs.Job]bool
	cursor   map[*jobs.Job]int
	plans    []*stock           // fullest first
	free     map[string]float64 // free CPUs of ordinary machines, by zone
	reserved map[*workers.Worker]*jobs.Job
	promises map[*workers.Worker]promise
	begun    map[string]ident.MonotonicTime // when a team's job was last begun for having waited
	blocked  map[string]*jobs.Job           // jobs that wait too long for their team's limit
	searches map[searchKey]*offers
	placed   int
	searched int // machines looked at for work to stop
	from     int // where the next such search begins
}

const (
	// maxPlaced bounds what one dispatch places, and with it for how long reports
	// and the renewal of the lease wait for it.
	maxPlaced = 300
	// minSearched bounds the machines that a dispatch looks at for work to stop, or the
	// whole fleet where it is larger.
	minSearched = 1000
	// maxStocks bounds the plans that a machine looks into for something to steal.
	maxStocks = 64
	// maxReserved bounds the machines kept free for jobs that wait too long.
	maxReserved = 4
)

// Stats counts what the planner did.
type Stats struct {
	Rounds, Extra               uint64
	Planned, Local, New, Stolen uint64 // array tasks by the rule that placed them
	Services, Gangs, Preempted  uint64
	FetchedGB                   float64 // images placed where they were not held
	Took                        time.Duration
}

// NewPlanner makes a planner without a plan.
func NewPlanner(teams *Teams, j *jobs.Table, w *workers.Table, act Actions, now func() ident.MonotonicTime, asm1 bool, aims []settings.Objective) *Planner {
	p := &Planner{teams: teams, jobs: j, fleet: w, act: act, now: now, asm1: asm1, Reserve: map[string]float64{}, MaxWait: time.Hour, GangWait: time.Hour, Even: func() bool { return false },
		reserved: map[*workers.Worker]*jobs.Job{}, promises: map[*workers.Worker]promise{}, begun: map[string]ident.MonotonicTime{}, aims: map[string][]time.Duration{}, waits: map[string]time.Duration{}}
	for _, o := range aims {
		switch o.Kind {
		case "finished":
			p.aims[o.Class] = append(p.aims[o.Class], settings.Seconds(o.WithinS))
		case "wait":
			p.waits[o.Class] = settings.Seconds(o.WithinS)
		}
	}
	for _, a := range p.aims {
		slices.Sort(a)
	}
	return p
}

// Dispatch places what can be placed now. Nothing waits for a round that could
// start at once. It returns true if it stopped early: there may be more to place.
func (p *Planner) Dispatch() bool {
	services, gangs := p.prepare()
	for _, j := range services {
		if p.placed >= maxPlaced {
			return true
		}
		p.placeService(j)
	}
	for _, j := range gangs {
		if p.placed >= maxPlaced {
			return true
		}
		p.placeGang(j)
	}
	if len(p.arrays) == 0 {
		return false
	}
	p.begin()
	p.idle()
	if p.placed < maxPlaced && p.stranded() {
		// Waiting tasks whose holders are full and that no plan names yet could
		// not be stolen: an extra round lets the idle machines have them.
		p.Stats.Extra++
		p.plan()
		p.idle()
	}
	p.claimGuarantees()
	return p.placed >= maxPlaced
}

// Round makes a new plan.
func (p *Planner) Round() {
	p.prepare()
	p.plan()
}

// next returns the job's first waiting task that may be placed now.
func (p *Planner) next(j *jobs.Job) *jobs.Task {
	now := p.now()
	if j.PlaceableCount() == 0 {
		return nil
	}
	for i := p.cursor[j]; i < len(j.Tasks); i++ {
		t := &j.Tasks[i]
		if t.State == jobs.Waiting && now >= t.RetryAt && !p.fleet.HasUnknownAttempt(t.TaskID()) {
			p.cursor[j] = i
			return t
		}
	}
	p.cursor[j] = len(j.Tasks)
	return nil
}

// isHeld says whether a machine that may take the job's tasks holds its image. A
// holder in another zone, or one that is not open, must not keep an idle
// machine from fetching: the tasks would wait for ever.
func (p *Planner) isHeld(j *jobs.Job) bool {
	held, ok := p.held[j]
	if !ok {
		for _, w := range p.holding(j.Spec.Image) {
			if w.Allows(j.Spec) && !j.AvoidedMachines[w.ID] && zoneOK(j, w.Zone) {
				held = true
				break
			}
		}
		p.held[j] = held
	}
	return held
}

// zoneOK checks one_zone and apart against the job's other tasks.
func zoneOK(j *jobs.Job, site string) bool {
	s := j.Spec
	if s.OneZone {
		for z, n := range j.AllocatedByZone {
			if n > 0 && z != site {
				return false
			}
		}
	}
	return !s.Spread || j.AllocatedByZone[site] < (s.Tasks+1)/2
}

// may checks everything but room.
func (p *Planner) may(j *jobs.Job, w *workers.Worker) bool {
	if o := p.keptFor(w); o != nil && o != j {
		return false
	}
	if o := p.blocked[j.Spec.Team]; o != nil && o != j && arrays(j) {
		return false
	}
	return w.Allows(j.Spec) && !j.AvoidedMachines[w.ID] && zoneOK(j, w.Zone) && p.teams.Allows(j.Spec, 1)
}

// fits checks the room, and for arrays what is kept for services.
func (p *Planner) fits(j *jobs.Job, w *workers.Worker) bool {
	return w.Fits(j.Spec) && p.SparesReserve(j, w)
}

// SparesReserve says whether a task more on a machine leaves what arrays must leave free for
// services.
func (p *Planner) SparesReserve(j *jobs.Job, w *workers.Worker) bool {
	return w.Spot || !arrays(j) || p.free[w.Zone]-j.Spec.VCPUs >= p.Reserve[w.Zone]-slack
}

func (p *Planner) place(t *jobs.Task, w *workers.Worker) {
	p.account(t, w)
	p.act.Place(t, w)
}

// account notes what a placement takes.
func (p *Planner) account(t *jobs.Task, w *workers.Worker) {
	if !w.HasImage(t.Job.Spec.Image) && !w.IsPullingImage(t.Job.Spec.Image) {
		p.Stats.FetchedGB += t.Job.Spec.ImageGB
	}
	if !w.Spot {
		p.free[w.Zone] -= t.Job.Spec.VCPUs
	}
	if p.reserved[w] == t.Job {
		delete(p.reserved, w)
	}
	p.Withdraw(w, t.Job)
	p.placed++
}

// Within says whether a job lay within its team's guarantee at the last dispatch.
func (p *Planner) Within(j *jobs.Job) bool { return j.WithinQuota }

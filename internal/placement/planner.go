package placement

import (
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
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
	PlaceGang(j *jobs.Job, picks []gang.Pick)
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
	now   func() ident.Mono
	asm1  bool
	aims  map[string][]time.Duration // by lane: within which times jobs should be done, ascending
	waits map[string]time.Duration   // by lane: within which time tasks should start

	// Reserve is the room in CPUs that arrays leave free on the ordinary
	// machines of a zone, for services to come.
	Reserve map[string]float64

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
	begun    map[string]ident.Mono // when a team's job was last begun for having waited
	blocked  map[string]*jobs.Job  // jobs that wait too long for their team's limit
	searches map[searchKey]*offers
	placed   int
	searched int // machines looked at for work to stop
	from     int // where the next such search begins
}

// stock is a machine's plan while others steal from it.
type stock struct {
	w    *workers.Worker
	left int
	at   int // earlier tasks of the plan are placed
}

const (
	// maxPlaced bounds what one dispatch places, and with it for how long reports
	// and the renewal of the lease wait for it.
	maxPlaced = 300
	// maxSearched bounds the machines that a dispatch looks at for work to stop.
	maxSearched = 1000
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
func NewPlanner(teams *Teams, j *jobs.Table, w *workers.Table, act Actions, now func() ident.Mono, asm1 bool, aims []settings.Objective) *Planner {
	p := &Planner{teams: teams, jobs: j, fleet: w, act: act, now: now, asm1: asm1, Reserve: map[string]float64{}, MaxWait: time.Hour, GangWait: time.Hour,
		reserved: map[*workers.Worker]*jobs.Job{}, begun: map[string]ident.Mono{}, aims: map[string][]time.Duration{}, waits: map[string]time.Duration{}}
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

// maxPlanned bounds the tasks that a plan covers, and with it its time.
const maxPlanned = 4000

// waiting is a job with what its place in the order depends on.
type waiting struct {
	j       *jobs.Job
	guest   bool
	level   int
	urgency urgency
	work    float64
}

func (a *waiting) before(b *waiting) bool {
	switch {
	case a.guest != b.guest:
		return b.guest
	case (a.urgency == overdue) != (b.urgency == overdue):
		return a.urgency == overdue
	case a.urgency == overdue:
		return a.j.Seq < b.j.Seq
	case a.j.Within != b.j.Within:
		return a.j.Within
	case a.level != b.level:
		return a.level < b.level
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.urgency == reachable && a.work != b.work:
		return a.work < b.work
	}
	return a.j.Seq < b.j.Seq
}

// prepare sorts the waiting jobs and the machines for this dispatch.
func (p *Planner) prepare() (services, gangs []*jobs.Job) {
	now := p.now()
	p.teams.Guarantee(p.jobs)
	var arr, srv, gng []waiting
	need := jobs.NoNeed()
	for j := range p.jobs.Waiting {
		if now < j.RetryAt {
			continue
		}
		need.Least(j.Spec)
		w := waiting{j: j, guest: p.teams.Guest(j.Spec.Desk), level: j.Spec.Rank.Level(), urgency: p.urgency(j), work: work(j)}
		switch j.Spec.Shape {
		case api.Service:
			srv = append(srv, w)
		case api.Gang:
			gng = append(gng, w)
		default:
			arr = append(arr, w)
		}
	}
	sort.Slice(srv, func(i, k int) bool {
		a, b := &srv[i], &srv[k]
		if a.level != b.level && (a.urgency == overdue) == (b.urgency == overdue) {
			return a.level < b.level
		}
		return a.before(b)
	})
	for _, list := range [][]waiting{arr, gng} {
		sort.Slice(list, func(i, k int) bool { return list[i].before(&list[k]) })
	}
	for i := range gng {
		gangs = append(gangs, gng[i].j)
	}
	for i := range srv {
		services = append(services, srv[i].j)
	}
	p.arrays = p.arrays[:0]
	p.byImage, p.first = map[string][]int{}, map[string]int{}
	p.guests = len(arr)
	for i := range arr {
		j := arr[i].j
		if arr[i].guest {
			p.guests = min(p.guests, i)
		}
		p.arrays = append(p.arrays, j)
		p.byImage[j.Spec.Bundle] = append(p.byImage[j.Spec.Bundle], i)
	}
	p.order, p.roomy, p.plans, p.unheld = p.order[:0], p.roomy[:0], nil, nil
	p.held, p.holders = map[*jobs.Job]bool{}, nil
	p.free = map[string]float64{}
	p.cursor = map[*jobs.Job]int{}
	p.placed, p.searched = 0, 0
	p.searches = map[searchKey]*offers{}
	p.blocked = map[string]*jobs.Job{}
	for w, j := range p.reserved {
		if j.Waits() == 0 || j.Held > 0 || !w.Open(now) {
			delete(p.reserved, w)
		}
	}
	if len(p.jobs.Waiting) == 0 {
		return nil, nil
	}
	for _, w := range p.fleet.Sorted() {
		if !w.Open(now) || w.Kind == nil {
			continue
		}
		p.order = append(p.order, w)
		if w.Room(need) {
			p.roomy = append(p.roomy, w)
		}
		if !w.Standby {
			p.free[w.Site] += w.Kind.VCPUs - w.VCPUs
		}
	}
	return services, gangs
}

// holding returns the open machines that hold an image.
func (p *Planner) holding(bundle string) []*workers.Worker {
	if p.holders == nil {
		p.holders = map[string][]*workers.Worker{}
		for _, w := range p.order {
			for _, im := range w.Images() {
				p.holders[im.Bundle] = append(p.holders[im.Bundle], w)
			}
		}
	}
	return p.holders[bundle]
}

// Aim returns the shortest time within which jobs of a lane should be done, 0 if
// nothing is said.
func (p *Planner) Aim(lane string) time.Duration {
	if a := p.aims[lane]; len(a) > 0 {
		return a[0]
	}
	return 0
}

// urgency orders jobs of one priority by what can still be reached. In the order
// of arrival alone, a backlog of half a minute makes every job late, while
// starting the late ones later costs them nothing that counts.
type urgency uint8

const (
	overdue   urgency = iota // waits for longer than any job may
	pressing                 // the last aim is about to be missed
	reachable                // the first aim can be met
	late                     // the first aim is lost, the last is far
)

func (p *Planner) urgency(j *jobs.Job) urgency {
	age := p.now().Sub(j.Arrived)
	// The order below puts off what is large or late for as long as other work
	// comes; nothing else bounds how long.
	if age > overdueFactor*p.MaxWait && arrays(j) || !arrays(j) && p.unbegun(j) {
		return overdue
	}
	aims := p.aims[j.Spec.Lane]
	if j.Spec.DueS != nil {
		aims = append(slices.Clone(aims), settings.Seconds(*j.Spec.DueS))
		slices.Sort(aims)
	}
	if len(aims) == 0 {
		return reachable
	}
	end := age + settings.Seconds(j.Spec.RuntimeS)
	last := aims[len(aims)-1]
	switch {
	case end <= aims[0]:
		return reachable
	case end <= last && end > last*2/3:
		return pressing
	}
	return late
}

// overdueFactor is how many times the bound for its first task an array may take
// before its other tasks go first as well.
const overdueFactor = 3

// work is what a job still has to start, in CPU seconds as estimated.
func work(j *jobs.Job) float64 {
	return float64(j.Waits()) * j.Spec.VCPUs * max(j.Spec.RuntimeS, 1)
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

// begin gives arrays that wait too long for their first task a place for it, and
// sees to it that there is one: smaller tasks would take each time what becomes
// free, of a machine or of the team's limit, before it is enough. The largest jobs
// come first, since one task of each is all they take here; their others go in the
// usual order.
func (p *Planner) begin() {
	var late []*jobs.Job
	for _, j := range p.arrays {
		if p.unbegun(j) && p.next(j) != nil {
			late = append(late, j)
		}
	}
	size := func(j *jobs.Job) float64 { return float64(j.Spec.Pieces) * j.Spec.VCPUs }
	sort.Slice(late, func(i, k int) bool {
		if a, b := size(late[i]), size(late[k]); a != b {
			return a > b
		}
		return late[i].Seq < late[k].Seq
	})
	for _, j := range late {
		if begun, ok := p.begun[j.Spec.Desk]; ok && p.now().Sub(begun) < p.MaxWait/beginPart {
			continue
		}
		if !p.teams.Allows(j.Spec, 1) {
			if p.blocked[j.Spec.Desk] == nil {
				p.blocked[j.Spec.Desk] = j
			}
			continue
		}
		var fit, wait *workers.Worker
		for _, w := range p.roomy {
			if p.fits(j, w) && p.may(j, w) {
				if fit == nil || w.Holds(j.Spec.Bundle) {
					fit = w
				}
				if w.Holds(j.Spec.Bundle) {
					break
				}
			}
		}
		if fit != nil {
			p.begun[j.Spec.Desk] = p.now()
			p.place(p.next(j), fit)
			continue
		}
		if len(p.reserved) >= maxReserved || p.holdsBack(j) {
			continue
		}
		for _, w := range p.order {
			if p.reserved[w] == nil && p.may(j, w) && (wait == nil || w.Kind.VCPUs-w.VCPUs > wait.Kind.VCPUs-wait.VCPUs+slack) {
				wait = w
			}
		}
		if wait != nil {
			p.reserved[wait] = j
		}
	}
}

// beginPart paces first tasks that come before all others: so many in each team
// within MaxWait. In a backlog every job waits too long; giving each its first task
// at once left hardly any room for the others, and few jobs were ever done.
const beginPart = 24

// unbegun says whether a job has waited too long for its first task.
func (p *Planner) unbegun(j *jobs.Job) bool {
	return j.Held+j.Done == 0 && p.now().Sub(j.Arrived) > p.MaxWait
}

// holdsBack says whether a machine is kept for the job already.
func (p *Planner) holdsBack(j *jobs.Job) bool {
	for _, o := range p.reserved {
		if o == j {
			return true
		}
	}
	return false
}

// next returns the job's first waiting task that may be placed now.
func (p *Planner) next(j *jobs.Job) *jobs.Task {
	now := p.now()
	if j.Wants() == 0 {
		return nil
	}
	for i := p.cursor[j]; i < len(j.Tasks); i++ {
		t := &j.Tasks[i]
		if t.State == jobs.Waiting && now >= t.RetryAt && !p.fleet.Orphan(t.Piece()) {
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
		for _, w := range p.holding(j.Spec.Bundle) {
			if w.Allows(j.Spec) && !j.Shunned[w.Host] && zoneOK(j, w.Site) {
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
		for z, n := range j.Zones {
			if n > 0 && z != site {
				return false
			}
		}
	}
	return !s.Apart || j.Zones[site] < (s.Pieces+1)/2
}

// may checks everything but room.
func (p *Planner) may(j *jobs.Job, w *workers.Worker) bool {
	if o := p.reserved[w]; o != nil && o != j {
		return false
	}
	if o := p.blocked[j.Spec.Desk]; o != nil && o != j && arrays(j) {
		return false
	}
	return w.Allows(j.Spec) && !j.Shunned[w.Host] && zoneOK(j, w.Site) && p.teams.Allows(j.Spec, 1)
}

// fits checks the room, and for arrays what is kept for services.
func (p *Planner) fits(j *jobs.Job, w *workers.Worker) bool {
	if !w.Fits(j.Spec) {
		return false
	}
	return w.Standby || !arrays(j) ||
		p.free[w.Site]-j.Spec.VCPUs >= p.Reserve[w.Site]-slack
}

func (p *Planner) place(t *jobs.Task, w *workers.Worker) {
	p.account(t, w)
	p.act.Place(t, w)
}

// account notes what a placement takes.
func (p *Planner) account(t *jobs.Task, w *workers.Worker) {
	if !w.Holds(t.Job.Spec.Bundle) && !w.Pulls(t.Job.Spec.Bundle) {
		p.Stats.FetchedGB += t.Job.Spec.ImageGB
	}
	if !w.Standby {
		p.free[w.Site] -= t.Job.Spec.VCPUs
	}
	if p.reserved[w] == t.Job {
		delete(p.reserved, w)
	}
	p.placed++
}

// placeService goes first-fit: over the machines that hold the image, then over
// the others, then where work of less right can be stopped.
func (p *Planner) placeService(j *jobs.Job) {
	at := 0 // room only shrinks, so a holder that was passed over needs no second look
	for p.placed < maxPlaced {
		t := p.next(j)
		if t == nil || !p.teams.Allows(j.Spec, 1) {
			return
		}
		var found *workers.Worker
		for ; at < len(p.roomy); at++ {
			if w := p.roomy[at]; w.Holds(j.Spec.Bundle) && p.may(j, w) && p.fits(j, w) {
				found = w
				break
			}
		}
		if found == nil {
			// Where the image must be fetched anyway, on the machine with the most
			// room: the next ones then find it there.
			for _, w := range p.roomy {
				if (found == nil || w.Kind.VCPUs-w.VCPUs > found.Kind.VCPUs-found.VCPUs+slack) && p.may(j, w) && p.fits(j, w) {
					found = w
				}
			}
			// Unless fetching would take longer than its users want to wait.
			if found != nil && p.impatient(j, found) && p.preempt(t, true) {
				p.Stats.Services++
				continue
			}
		}
		if found == nil {
			if !p.preempt(t, false) {
				return
			}
			p.Stats.Services++
			continue
		}
		p.Stats.Services++
		p.place(t, found)
	}
}

// span is a part of the arrays that wait: from one place to before another.
type span struct{ from, to int }

// idle lets every machine with room take work. Teams without a guarantee have what the
// others leave: their tasks were local to the machines that they had filled, and took each
// place there that became free before guaranteed work, which then had to stop others.
func (p *Planner) idle() {
	p.take(span{0, p.guests})
	if p.guests < len(p.arrays) {
		p.take(span{p.guests, len(p.arrays)})
	}
}

// take lets every machine with room take work of some of the arrays, the cheap machines
// first.
func (p *Planner) take(turn span) {
	p.turn = turn
	clear(p.cursor)
	clear(p.first)
	p.unheld = p.unheld[:0]
	for _, j := range p.arrays[turn.from:turn.to] {
		if j.Waits() > 0 && !p.isHeld(j) {
			p.unheld = append(p.unheld, j)
		}
	}
	sort.Slice(p.unheld, func(i, k int) bool { return p.unheld[i].Seq < p.unheld[k].Seq })
	p.stock()
	need := p.least(turn)
	// What machines with room have the images of comes first on all of them: else the
	// first one by name takes a task, and fetches, that another has the image of.
	for _, pick := range []func(*workers.Worker) (*jobs.Task, *uint64){p.local, p.pick} {
		for _, standby := range []bool{true, false} {
			for _, w := range p.roomy {
				if w.Standby != standby {
					continue
				}
				for w.Room(need) && p.placed < maxPlaced {
					t, rule := pick(w)
					if t == nil {
						break
					}
					*rule++
					p.place(t, w)
				}
			}
		}
		clear(p.cursor)
		clear(p.first)
	}
}

// least returns the least that any waiting task of some arrays needs.
func (p *Planner) least(of span) jobs.Need {
	need := jobs.NoNeed()
	for _, j := range p.arrays[of.from:of.to] {
		if j.Waits() > 0 && p.teams.Allows(j.Spec, 1) {
			need.Least(j.Spec)
		}
	}
	return need
}

// stock sorts the plans for those who steal from them.
func (p *Planner) stock() {
	p.plans = p.plans[:0]
	for _, w := range p.order {
		n := 0
		for _, t := range w.Plan {
			if t.State == jobs.Waiting {
				n++
			}
		}
		if n > 0 {
			p.plans = append(p.plans, &stock{w: w, left: n})
		}
	}
	sort.SliceStable(p.plans, func(i, k int) bool { return p.plans[i].left > p.plans[k].left })
}

// steal finds a task for a machine in the fullest plan that has one, looking into
// so many plans at the most.
func (p *Planner) steal(w *workers.Worker) *jobs.Task {
	looked := 0
	for i := 0; i < len(p.plans) && looked < maxStocks; i++ {
		s := p.plans[i]
		if s.w == w || s.left <= 0 {
			continue
		}
		looked++
		plan := s.w.Plan
		for s.at < len(plan) && plan[s.at].State != jobs.Waiting {
			s.at++
		}
		for _, t := range plan[s.at:] {
			if !p.inTurn(t) {
				break // plans have the tasks in the order of their right
			}
			if !p.ready(t, w) {
				continue
			}
			// One less, and back to its place in the order.
			s.left--
			for k := i + 1; k < len(p.plans) && p.plans[k].left > s.left; k++ {
				p.plans[k-1], p.plans[k] = p.plans[k], s
			}
			return t
		}
	}
	return nil
}

// inTurn says whether a task's job is one of those whose turn it is, or of an earlier one.
func (p *Planner) inTurn(t *jobs.Task) bool {
	return p.turn.to > p.guests || !p.teams.Guest(t.Job.Spec.Desk)
}

// ready says whether a machine may have a task now.
func (p *Planner) ready(t *jobs.Task, w *workers.Worker) bool {
	now := p.now()
	return t.State == jobs.Waiting && t.Job.Phase == jobs.Open && t.Job.Wants() > 0 && now >= t.RetryAt && now >= t.Job.RetryAt &&
		p.fits(t.Job, w) && p.may(t.Job, w) && !p.fleet.Orphan(t.Piece())
}

// can says whether a machine may have any task of a job now.
func (p *Planner) can(j *jobs.Job, w *workers.Worker) bool {
	return j.Waits() > 0 && p.fits(j, w) && p.may(j, w) && p.next(j) != nil
}

// local chooses an array task for a machine without a fetch: what is planned for it,
// then what it holds the image of.
func (p *Planner) local(w *workers.Worker) (*jobs.Task, *uint64) {
	if j := p.reserved[w]; j != nil {
		// Kept for a gang: that is placed as a whole. (Its first task was taken alone.)
		if t := p.next(j); t != nil && !j.Gang() && p.ready(t, w) {
			return t, &p.Stats.Local
		}
		return nil, nil
	}
	for _, t := range w.Plan {
		if !p.inTurn(t) {
			break
		}
		if p.ready(t, w) {
			return t, &p.Stats.Planned
		}
	}
	best := p.turn.to
	for _, im := range w.Images() {
		list := p.byImage[im.Bundle]
		at := p.first[im.Bundle]
		for at < len(list) && p.arrays[list[at]].Waits() == 0 {
			at++
		}
		p.first[im.Bundle] = at
		for _, i := range list[at:] {
			if i >= best {
				break
			}
			if p.can(p.arrays[i], w) {
				best = i
			}
		}
	}
	if best < p.turn.to {
		return p.next(p.arrays[best]), &p.Stats.Local
	}
	return nil, nil
}

// pick chooses an array task for a machine: a local one, then the oldest whose image
// nobody holds, then one from the fullest plan.
func (p *Planner) pick(w *workers.Worker) (*jobs.Task, *uint64) {
	if t, rule := p.local(w); t != nil || p.reserved[w] != nil {
		return t, rule
	}
	for _, j := range p.unheld {
		if p.can(j, w) {
			return p.next(j), &p.Stats.New
		}
	}
	// Steal. Without a plan, from the waiting tasks at large.
	if !p.asm1 {
		for _, j := range p.arrays[p.turn.from:p.turn.to] {
			if p.can(j, w) {
				return p.next(j), &p.Stats.Stolen
			}
		}
		return nil, nil
	}
	return p.steal(w), &p.Stats.Stolen
}

// stranded says whether a waiting task that is in no plan, of an image that is
// held, could be taken by a machine with room.
func (p *Planner) stranded() bool {
	if !p.asm1 {
		return false
	}
	clear(p.cursor)
	planned := map[ident.HostID]bool{}
	for _, s := range p.plans {
		planned[s.w.Host] = true
	}
	need := p.least(span{0, len(p.arrays)})
	var room []*workers.Worker
	for _, w := range p.roomy {
		if w.Room(need) {
			room = append(room, w)
		}
	}
	if len(room) == 0 {
		return false
	}
	for _, j := range p.arrays {
		if j.Waits() == 0 || !p.teams.Allows(j.Spec, 1) || !p.isHeld(j) {
			continue
		}
		t := p.next(j)
		if t == nil || planned[t.Planned] {
			continue
		}
		for _, w := range room {
			if p.fits(j, w) && p.may(j, w) {
				return true
			}
		}
	}
	return false
}

// plan joins the waiting array tasks within their teams' limits to the machines
// that hold their image and could fit them, and runs ASM1.
func (p *Planner) plan() {
	began := time.Now()
	p.Stats.Rounds++
	for _, w := range p.fleet.Workers {
		for _, t := range w.Plan {
			t.Planned = ""
		}
		w.Plan = nil
	}
	if !p.asm1 {
		return
	}
	place := make(map[*workers.Worker]int32, len(p.order))
	for i, w := range p.order {
		place[w] = int32(i)
	}
	var groups []Group
	var tasks [][]*jobs.Task
	room := map[string]int{}
	total := 0
	for _, j := range p.arrays {
		left, ok := room[j.Spec.Desk]
		if !ok {
			left = p.teams.Room(j.Spec)
		}
		var of []*jobs.Task
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if left <= 0 || total >= maxPlanned {
				break
			}
			if t.State != jobs.Waiting {
				continue
			}
			left--
			total++
			of = append(of, t)
		}
		room[j.Spec.Desk] = left
		if len(of) == 0 {
			continue
		}
		g := Group{Tasks: len(of)}
		for _, w := range p.holding(j.Spec.Bundle) {
			if w.Allows(j.Spec) && !j.Shunned[w.Host] {
				g.Machines = append(g.Machines, place[w])
			}
		}
		groups = append(groups, g)
		tasks = append(tasks, of)
	}
	for g, owners := range ASM1(len(p.order), groups) {
		// Tasks come by priority, then arrival, and so does each plan.
		at := 0
		for _, o := range owners {
			w := p.order[o.Machine]
			for range o.Tasks {
				t := tasks[g][at]
				at++
				w.Plan = append(w.Plan, t)
				t.Planned = w.Host
			}
		}
	}
	p.Stats.Took += time.Since(began)
}

// Movable says whether a replica would find room on another machine that holds
// its image.
func (p *Planner) Movable(t *jobs.Task, from *workers.Worker) bool {
	j := t.Job
	if !p.teams.Allows(j.Spec, 0) {
		return false
	}
	now := p.now()
	for _, w := range p.fleet.Sorted() {
		if w == from || !w.Fits(j.Spec) || !w.Open(now) || !w.Allows(j.Spec) || !w.Holds(j.Spec.Bundle) {
			continue
		}
		// As if it had left its zone already.
		if w.Site == from.Site || zoneOK(j, w.Site) {
			return true
		}
	}
	return false
}

// Within says whether a job lay within its team's guarantee at the last dispatch.
func (p *Planner) Within(j *jobs.Job) bool { return j.Within }

// fetches estimates how long a machine would fetch a job's image.
func (p *Planner) fetches(j *jobs.Job, w *workers.Worker) time.Duration {
	if w.Kind.PullGBPerS <= 0 {
		return 0
	}
	return settings.Seconds(j.Spec.ImageGB / w.Kind.PullGBPerS)
}

// impatient says whether a job's users want it started sooner than a machine
// would have its image.
func (p *Planner) impatient(j *jobs.Job, w *workers.Worker) bool {
	limit, ok := p.waits[j.Spec.Lane]
	return ok && p.fetches(j, w) > limit
}

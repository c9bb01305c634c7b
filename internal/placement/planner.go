package placement

import (
	"slices"
	"sort"
	"time"

	"opaldale/internal/api"
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

	Stats  Stats
	within map[*jobs.Job]bool
	held   map[*jobs.Job]bool // whether a machine that the job may use holds its image, of this dispatch
	open   map[ident.HostID]bool
	order  []*workers.Worker
	arrays []*jobs.Job
	cursor map[*jobs.Job]int
	free   map[string]float64 // free CPUs of ordinary machines, by zone
}

// Stats counts what the planner did.
type Stats struct {
	Rounds, Extra               uint64
	Planned, Local, New, Stolen uint64 // array tasks by the rule that placed them
	Services, Preempted         uint64
	FetchedGB                   float64 // images placed where they were not held
	Took                        time.Duration
}

// NewPlanner makes a planner without a plan.
func NewPlanner(teams *Teams, j *jobs.Table, w *workers.Table, act Actions, now func() ident.Mono, asm1 bool, aims []settings.Objective) *Planner {
	p := &Planner{teams: teams, jobs: j, fleet: w, act: act, now: now, asm1: asm1, Reserve: map[string]float64{},
		aims: map[string][]time.Duration{}, waits: map[string]time.Duration{}}
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

// prepare sorts the waiting jobs and the machines for this dispatch.
func (p *Planner) prepare() (services []*jobs.Job) {
	now := p.now()
	byTeam := map[string][]*jobs.Job{}
	p.arrays = p.arrays[:0]
	for _, j := range p.jobs.Jobs {
		if j.Phase != jobs.Open || !j.Known {
			continue
		}
		byTeam[j.Spec.Desk] = append(byTeam[j.Spec.Desk], j)
		if j.Waits() == 0 || now < j.RetryAt {
			continue
		}
		if j.Spec.Shape == api.Service {
			services = append(services, j)
		} else {
			p.arrays = append(p.arrays, j)
		}
	}
	p.within = p.teams.Guaranteed(byTeam)
	before := func(a, b *jobs.Job) bool {
		if p.within[a] != p.within[b] {
			return p.within[a]
		}
		if la, lb := a.Spec.Rank.Level(), b.Spec.Rank.Level(); la != lb {
			return la < lb
		}
		ua, ub := p.urgency(a), p.urgency(b)
		if ua != ub {
			return ua < ub
		}
		if wa, wb := work(a), work(b); ua == reachable && wa != wb {
			return wa < wb
		}
		return a.Seq < b.Seq
	}
	sort.Slice(services, func(i, k int) bool {
		a, b := services[i], services[k]
		if la, lb := a.Spec.Rank.Level(), b.Spec.Rank.Level(); la != lb {
			return la < lb
		}
		return before(a, b)
	})
	sort.Slice(p.arrays, func(i, k int) bool { return before(p.arrays[i], p.arrays[k]) })
	p.order = p.order[:0]
	p.held = map[*jobs.Job]bool{}
	p.open = map[ident.HostID]bool{}
	p.free = map[string]float64{}
	p.cursor = map[*jobs.Job]int{}
	for _, w := range p.fleet.Sorted() {
		if !w.Open(now) || w.Kind == nil {
			continue
		}
		p.order = append(p.order, w)
		p.open[w.Host] = true
		if !w.Standby {
			p.free[w.Site] += w.Kind.VCPUs - w.VCPUs
		}
	}
	return services
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
	pressing  urgency = iota // the last aim is about to be missed
	reachable                // the first aim can be met
	late                     // the first aim is lost, the last is far
)

func (p *Planner) urgency(j *jobs.Job) urgency {
	aims := p.aims[j.Spec.Lane]
	if j.Spec.DueS != nil {
		aims = append(slices.Clone(aims), settings.Seconds(*j.Spec.DueS))
		slices.Sort(aims)
	}
	if len(aims) == 0 {
		return reachable
	}
	end := p.now().Sub(j.Arrived) + settings.Seconds(j.Spec.RuntimeS)
	last := aims[len(aims)-1]
	switch {
	case end <= aims[0]:
		return reachable
	case end <= last && end > last*2/3:
		return pressing
	}
	return late
}

// work is what a job still has to start, in CPU seconds as estimated.
func work(j *jobs.Job) float64 {
	return float64(j.Waits()) * j.Spec.VCPUs * max(j.Spec.RuntimeS, 1)
}

// Dispatch places what can be placed now. Nothing waits for a round that could
// start at once.
func (p *Planner) Dispatch() {
	services := p.prepare()
	for _, j := range services {
		p.placeService(j)
	}
	if len(p.arrays) == 0 {
		return
	}
	p.idle()
	if p.stranded() {
		// Waiting tasks whose holders are full and that no plan names yet could
		// not be stolen: an extra round lets the idle machines have them.
		p.Stats.Extra++
		p.plan()
		p.idle()
	}
	p.claimGuarantees()
}

// Round makes a new plan.
func (p *Planner) Round() {
	p.prepare()
	p.plan()
}

// next returns the job's first waiting task that may be placed now.
func (p *Planner) next(j *jobs.Job) *jobs.Task {
	now := p.now()
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
		for _, w := range p.order {
			if w.Holds(j.Spec.Bundle) && w.Allows(j.Spec) && !j.Shunned[w.Host] && zoneOK(j, w.Site) {
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
	return w.Allows(j.Spec) && !j.Shunned[w.Host] && zoneOK(j, w.Site) && p.teams.Allows(j.Spec, 1)
}

// fits checks the room, and for arrays what is kept for services.
func (p *Planner) fits(j *jobs.Job, w *workers.Worker) bool {
	if !w.Fits(j.Spec) {
		return false
	}
	return w.Standby || j.Spec.Shape == api.Service ||
		p.free[w.Site]-j.Spec.VCPUs >= p.Reserve[w.Site]-slack
}

func (p *Planner) place(t *jobs.Task, w *workers.Worker) {
	if !w.Holds(t.Job.Spec.Bundle) && !w.Pulls(t.Job.Spec.Bundle) {
		p.Stats.FetchedGB += t.Job.Spec.ImageGB
	}
	if !w.Standby {
		p.free[w.Site] -= t.Job.Spec.VCPUs
	}
	p.act.Place(t, w)
}

// placeService goes first-fit: over the machines that hold the image, then over
// the others, then where work of less right can be stopped.
func (p *Planner) placeService(j *jobs.Job) {
	for {
		t := p.next(j)
		if t == nil || !p.teams.Allows(j.Spec, 1) {
			return
		}
		var found *workers.Worker
		for _, w := range p.order {
			if p.may(j, w) && p.fits(j, w) {
				if w.Holds(j.Spec.Bundle) {
					found = w
					break
				}
				// Where the image must be fetched anyway, on the machine with the most
				// room: the next ones then find it there.
				if found == nil || w.Kind.VCPUs-w.VCPUs > found.Kind.VCPUs-found.VCPUs+slack {
					found = w
				}
			}
		}
		if found != nil && !found.Holds(j.Spec.Bundle) && p.impatient(j, found) && p.preempt(t, true) {
			// Fetching would take longer than its users want to wait.
			p.Stats.Services++
			continue
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

// idle lets every machine with room take work, the cheap ones first.
func (p *Planner) idle() {
	clear(p.cursor)
	for _, standby := range []bool{true, false} {
		for _, w := range p.order {
			if w.Standby != standby {
				continue
			}
			for {
				t, rule := p.pick(w)
				if t == nil {
					break
				}
				*rule++
				p.place(t, w)
			}
		}
	}
}

// pick chooses an array task for a machine: what is planned for it, then what it
// holds the image of, then the oldest whose image nobody holds, then one from
// the fullest plan.
func (p *Planner) pick(w *workers.Worker) (*jobs.Task, *uint64) {
	now := p.now()
	ready := func(t *jobs.Task) bool {
		return t.State == jobs.Waiting && t.Job.Phase == jobs.Open && now >= t.RetryAt && now >= t.Job.RetryAt &&
			p.may(t.Job, w) && p.fits(t.Job, w) && !p.fleet.Orphan(t.Piece())
	}
	for _, t := range w.Plan {
		if ready(t) {
			return t, &p.Stats.Planned
		}
	}
	var oldest *jobs.Job
	for _, j := range p.arrays {
		if j.Waits() == 0 || !p.may(j, w) || !p.fits(j, w) {
			continue
		}
		if w.Holds(j.Spec.Bundle) {
			if t := p.next(j); t != nil {
				return t, &p.Stats.Local
			}
		} else if !p.isHeld(j) && (oldest == nil || j.Seq < oldest.Seq) && p.next(j) != nil {
			oldest = j
		}
	}
	if oldest != nil {
		return p.next(oldest), &p.Stats.New
	}
	// Steal. Without a plan, from the waiting tasks at large.
	if !p.asm1 {
		for _, j := range p.arrays {
			if j.Waits() > 0 && p.may(j, w) && p.fits(j, w) {
				if t := p.next(j); t != nil {
					return t, &p.Stats.Stolen
				}
			}
		}
		return nil, nil
	}
	var best *jobs.Task
	most := 0
	for _, v := range p.order {
		if v == w {
			continue
		}
		n := 0
		var first *jobs.Task
		for _, t := range v.Plan {
			if t.State == jobs.Waiting {
				n++
				if first == nil && ready(t) {
					first = t
				}
			}
		}
		if first != nil && n > most {
			most, best = n, first
		}
	}
	return best, &p.Stats.Stolen
}

// stranded says whether a waiting task that is in no plan, of an image that is
// held, could be taken by a machine with room.
func (p *Planner) stranded() bool {
	if !p.asm1 {
		return false
	}
	clear(p.cursor)
	for _, j := range p.arrays {
		if j.Waits() == 0 || !p.isHeld(j) || !p.teams.Allows(j.Spec, 1) {
			continue
		}
		t := p.next(j)
		if t == nil || p.open[t.Planned] {
			continue
		}
		for _, w := range p.order {
			if p.may(j, w) && p.fits(j, w) {
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
	var tasks []*jobs.Task
	machines := make([][]int32, len(p.order))
	room := map[string]int{}
	for _, j := range p.arrays {
		left, ok := room[j.Spec.Desk]
		if !ok {
			left = p.teams.Room(j.Spec)
		}
		var holders []int
		for i, w := range p.order {
			if w.Holds(j.Spec.Bundle) && w.Allows(j.Spec) && !j.Shunned[w.Host] {
				holders = append(holders, i)
			}
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if left <= 0 || len(tasks) >= maxPlanned {
				break
			}
			if t.State != jobs.Waiting {
				continue
			}
			left--
			for _, h := range holders {
				machines[h] = append(machines[h], int32(len(tasks)))
			}
			tasks = append(tasks, t)
		}
		room[j.Spec.Desk] = left
	}
	for i, m := range ASM1(len(tasks), machines) {
		if m >= 0 {
			w := p.order[m]
			// Tasks come by priority, then arrival, and so does each plan.
			w.Plan = append(w.Plan, tasks[i])
			tasks[i].Planned = w.Host
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
		if w == from || !w.Open(now) || !w.Allows(j.Spec) || !w.Fits(j.Spec) || !w.Holds(j.Spec.Bundle) {
			continue
		}
		// As if it had left its zone already.
		if w.Site == from.Site || zoneOK(j, w.Site) {
			return true
		}
	}
	return false
}

// victim says whether a running task must give way to a job.
func (p *Planner) victim(v *jobs.Task, j *jobs.Job) bool {
	if v.State != jobs.Assigned {
		return false
	}
	if v.Job.Spec.Rank.Level() > j.Spec.Rank.Level() {
		return true
	}
	return p.within[j] && !p.within[v.Job] && v.Job.Spec.Desk != j.Spec.Desk && v.Job.Spec.Shape == api.Batch
}

// Within says whether a job lay within its team's guarantee at the last dispatch.
func (p *Planner) Within(j *jobs.Job) bool { return p.within[j] }

// fetches estimates how long a machine would fetch a job's image.
func (p *Planner) fetches(j *jobs.Job, w *workers.Worker) time.Duration {
	if w.Kind.PullGBPerS <= 0 {
		return 0
	}
	return settings.Seconds(j.Spec.ImageGB / w.Kind.PullGBPerS)
}

// preempt makes room for a task where least work is lost, and places it there;
// if holders is set, only where its image is.
func (p *Planner) preempt(t *jobs.Task, holders bool) bool {
	j := t.Job
	now := p.now()
	var best *workers.Worker
	var stop []*jobs.Task
	least := 0.0
	for _, w := range p.order {
		if !p.may(j, w) || holders && !w.Holds(j.Spec.Bundle) {
			continue
		}
		victims, cost, ok := p.victims(w, j, now)
		if !ok {
			continue
		}
		if !w.Holds(j.Spec.Bundle) {
			cost += p.fetches(j, w).Seconds() * 2 * max(j.Spec.VCPUs, 1)
		}
		if best == nil || cost < least {
			best, stop, least = w, victims, cost
		}
	}
	if best == nil {
		return false
	}
	wait := false
	for _, v := range stop {
		p.Stats.Preempted++
		d := time.Duration(0)
		if v.Job.Spec.Saves() {
			d = time.Duration(v.Job.Spec.SnapshotS*float64(time.Second)) + time.Millisecond
			wait = true
		}
		p.act.Preempt(v, best, d)
	}
	if wait {
		// They save first; the room is there when they have gone.
		t.RetryAt = now.Add(500 * time.Millisecond)
		return true
	}
	p.place(t, best)
	return true
}

// victims finds the cheapest set of tasks to stop on a machine so that a task of
// j fits, counting what is being stopped already as room.
func (p *Planner) victims(w *workers.Worker, j *jobs.Job, now ident.Mono) ([]*jobs.Task, float64, bool) {
	s := j.Spec
	vcpus, cards, mem := w.Kind.VCPUs-w.VCPUs, w.Kind.Cards-w.Cards, w.Kind.MemoryGB-w.MemoryGB
	var cand []*jobs.Task
	for _, v := range w.Tasks {
		if v.State == jobs.Stopping && v.WindDown == 0 {
			vcpus += v.Job.Spec.VCPUs
			cards += v.Job.Spec.Cards
			mem += v.Job.Spec.MemoryGB
		} else if p.victim(v, j) {
			cand = append(cand, v)
		}
	}
	cost := func(v *jobs.Task) float64 {
		ran := now.Sub(v.Since).Seconds()
		if v.Seen == "" || v.Seen == api.Pulling {
			ran = 0
		} else if v.RunsAt > 0 {
			ran = now.Sub(v.RunsAt).Seconds()
		}
		if v.Job.Spec.Saves() {
			ran = min(ran, v.Job.Spec.SnapshotEveryS)
		}
		return ran * max(v.Job.Spec.VCPUs, 1)
	}
	sort.Slice(cand, func(i, k int) bool {
		a, b := cost(cand[i]), cost(cand[k])
		if a != b {
			return a < b
		}
		if cand[i].Job.Seq != cand[k].Job.Seq {
			return cand[i].Job.Seq > cand[k].Job.Seq
		}
		return cand[i].Index > cand[k].Index
	})
	enough := func() bool {
		return vcpus >= s.VCPUs-slack && cards >= s.Cards-slack && mem >= s.MemoryGB-slack
	}
	var stop []*jobs.Task
	sum := 0.0
	for _, v := range cand {
		if enough() {
			break
		}
		stop = append(stop, v)
		sum += cost(v)
		vcpus += v.Job.Spec.VCPUs
		cards += v.Job.Spec.Cards
		mem += v.Job.Spec.MemoryGB
	}
	return stop, sum, enough()
}

// Guaranteed work waits this long for room before others' borrowed room is
// taken back: long enough for tasks that end by themselves, short against the
// aims of a few seconds.
const claimAfter = 500 * time.Millisecond

// claimGuarantees gives jobs within their team's guarantee what other teams have
// borrowed.
func (p *Planner) claimGuarantees() {
	now := p.now()
	clear(p.cursor)
	for _, j := range p.arrays {
		if !p.within[j] {
			continue
		}
		for j.Waits() > 0 && p.teams.Allows(j.Spec, 1) {
			t := p.next(j)
			if t == nil || now.Sub(t.Since) < claimAfter || !p.preempt(t, false) {
				break
			}
		}
	}
}

// impatient says whether a job's users want it started sooner than a machine
// would have its image.
func (p *Planner) impatient(j *jobs.Job, w *workers.Worker) bool {
	limit, ok := p.waits[j.Spec.Lane]
	return ok && p.fetches(j, w) > limit
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/gang"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// gangPlan says where a gang's waiting tasks would go.
type gangPlan struct {
	picks             []gang.Placement
	victims           []*jobs.Task  // preempted to make room
	pullTime          time.Duration // the longest pull of the image
	cost              float64       // work lost by preemption, in CPU seconds
	machines          int
	waitForCheckpoint bool // a victim writes a checkpoint first
}

// better says whether a gang starts sooner by a than by b, or else loses less, or else uses fewer
// machines. Any plan is better than none.
func (a *gangPlan) better(b *gangPlan) bool {
	return b == nil || cmp.Or(
		cmp.Compare(a.pullTime, b.pullTime),
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(a.machines, b.machines),
	) < 0
}

// gangPlanner chooses machines for the waiting tasks of one gang in one zone.
type gangPlanner struct {
	*dispatch
	job       *jobs.Job
	zone      string // may be anyZone
	plan      *gangPlan
	remaining []*jobs.Task             // without a machine yet
	used      map[*workers.Worker]bool // machines in the plan
	byZone    map[string]int           // the gang's tasks, allocated or in the plan
}

// planGang plans a gang's tasks in a zone, and returns nil if not all of them find a place. It
// takes machines that hold the image first; then, if that is quicker than to pull it, such
// machines with work of lower precedence; then the machines with the most room, so that few must
// pull the image; then any with work of lower precedence.
func (d *dispatch) planGang(j *jobs.Job, tasks []*jobs.Task, zone string) *gangPlan {
	g := &gangPlanner{
		dispatch:  d,
		job:       j,
		zone:      zone,
		plan:      &gangPlan{},
		remaining: tasks,
		used:      map[*workers.Worker]bool{},
		byZone:    map[string]int{},
	}
	for z, n := range j.AllocatedByZone {
		g.byZone[z] = n
	}
	holders, others := g.slots()
	for _, s := range holders {
		g.assign(s)
	}
	if !g.done() && d.hasVictims(j) && g.pullTooSlow() {
		g.preemptOn(holdsImage(j.Spec.Image))
	}
	for _, s := range others {
		if g.done() {
			break
		}
		g.notePull(s.worker)
		g.assign(s)
	}
	if !g.done() && d.hasVictims(j) && d.now().Sub(j.SubmittedAt) > reclaimAfter {
		g.preemptOn(anyMachine)
	}
	if !g.done() {
		return nil
	}
	return g.plan
}

// done says whether all tasks have a machine.
func (g *gangPlanner) done() bool { return len(g.remaining) == 0 }

// allowed says whether the gang may use a machine, apart from room.
func (g *gangPlanner) allowed(w *workers.Worker) bool {
	return inZone(w, g.zone) && g.eligible(g.job, w) && !g.actions.GangUsedMachine(g.job, w)
}

// machineSlots is how many tasks of a gang find room on a machine.
type machineSlots struct {
	worker *workers.Worker
	tasks  int
}

// slots lists the allowed machines with room, those that hold the image and the others apart, the
// most room first.
func (g *gangPlanner) slots() (holders, others []machineSlots) {
	spec := g.job.Spec
	for _, w := range g.machinesWithRoom {
		n := w.TaskCapacity(spec)
		if n <= 0 || !g.allowed(w) {
			continue
		}
		slots := machineSlots{worker: w, tasks: n}
		if w.HasImage(spec.Image) {
			holders = append(holders, slots)
		} else {
			others = append(others, slots)
		}
	}
	mostFirst := func(a, b machineSlots) int { return cmp.Compare(b.tasks, a.tasks) }
	slices.SortStableFunc(holders, mostFirst)
	slices.SortStableFunc(others, mostFirst)
	return holders, others
}

// assign gives tasks to a machine, as many as it has slots for and the zone may have. It returns
// false if that is none.
func (g *gangPlanner) assign(s machineSlots) bool {
	spec := g.job.Spec
	n := s.tasks
	if spec.Spread {
		n = min(n, maxTasksPerZone(spec)-g.byZone[s.worker.Zone])
	}
	n = min(n, len(g.remaining))
	if n <= 0 {
		return false
	}
	for _, t := range g.remaining[:n] {
		g.plan.picks = append(g.plan.picks, gang.Placement{Task: t, Worker: s.worker})
	}
	g.remaining = g.remaining[n:]
	g.byZone[s.worker.Zone] += n
	g.used[s.worker] = true
	g.plan.machines++
	return true
}

// notePull accounts for the pull of the image on a machine that doesn't hold it.
func (g *gangPlanner) notePull(w *workers.Worker) {
	g.plan.pullTime = max(g.plan.pullTime, w.ImagePullTime(g.job.Spec))
}

// pullTooSlow says whether the pull of the image takes a good part of the time within which the
// gang should start. One machine stands for all.
func (g *gangPlanner) pullTooSlow() bool {
	return len(g.openMachines) > 0 && g.pullExceedsObjective(g.job, g.openMachines[0], gangPullDivisor)
}

// gangOffer is what a gang can have preempted on a machine, and for how many of its tasks that
// makes room.
type gangOffer struct {
	*preemption
	tasks int
}

// costPerTask is the work lost for each task that finds room.
func (o gangOffer) costPerTask() float64 { return o.cost / float64(o.tasks) }

// holdsImage returns a filter of the machines that hold an image.
func holdsImage(image string) func(*workers.Worker) bool {
	return func(w *workers.Worker) bool { return w.HasImage(image) }
}

// anyMachine is a filter that accepts all machines.
func anyMachine(*workers.Worker) bool { return true }

// preemptOn assigns tasks to machines that a filter accepts and where work of lower precedence can
// be preempted, the least loss for each task first.
func (g *gangPlanner) preemptOn(accepts func(*workers.Worker) bool) {
	offers := g.offers(accepts)
	slices.SortStableFunc(offers, func(a, b gangOffer) int { return cmp.Compare(a.costPerTask(), b.costPerTask()) })
	for _, o := range offers {
		if g.done() {
			return
		}
		if !g.assign(machineSlots{worker: o.worker, tasks: o.tasks}) {
			continue
		}
		g.plan.victims = append(g.plan.victims, o.victims...)
		g.plan.cost += o.cost
		g.plan.waitForCheckpoint = g.plan.waitForCheckpoint || o.needsCheckpoint()
		if !o.worker.HasImage(g.job.Spec.Image) {
			g.notePull(o.worker)
		}
	}
}

// offers searches the machines that a filter accepts for victims.
func (g *gangPlanner) offers(accepts func(*workers.Worker) bool) []gangOffer {
	var offers []gangOffer
	enough := max(minGangSearch, g.job.Spec.Tasks)
	for _, w := range g.openMachines {
		if len(offers) >= enough || g.machinesSearched >= g.searchLimit() {
			break
		}
		if g.used[w] || !accepts(w) || !mayHaveVictims(w, g.job) || !g.allowed(w) {
			continue
		}
		g.machinesSearched++
		if offer, ok := g.offerOn(w); ok {
			offers = append(offers, offer)
		}
	}
	return offers
}

// offerOn finds room for as many of the remaining tasks on a machine as is found by halving their
// number.
func (g *gangPlanner) offerOn(w *workers.Worker) (gangOffer, bool) {
	request := victimRequest{job: g.job, now: g.now(), skipRecent: true}
	for n := len(g.remaining); n > 0; n /= 2 {
		request.need = tasksNeed(g.job, n)
		if found := g.chooseVictims(w, request); found != nil {
			return gangOffer{preemption: found, tasks: n}, true
		}
	}
	return gangOffer{}, false
}

// tasksNeed is what n tasks of a job need together.
func tasksNeed(j *jobs.Job, n int) jobs.Resources {
	return jobs.Resources{
		VCPUs:    float64(n) * j.Spec.VCPUs,
		GPUs:     float64(n) * j.Spec.GPUs,
		MemoryGB: float64(n) * j.Spec.MemoryGB,
	}
}

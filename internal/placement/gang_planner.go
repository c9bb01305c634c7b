package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"opaldale/internal/gang"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// gangPlan is a possible placement of all waiting tasks of a gang.
type gangPlan struct {
	placements        []gang.Placement
	victims           []*jobs.Task  // preempted to make room
	pullTime          time.Duration // the longest pull of the image
	cost              float64       // work lost by preemption, in CPU seconds
	machines          int
	waitForCheckpoint bool // a victim writes a checkpoint first
}

// betterThan reports whether a gang starts sooner by a than by b, or else preempts less work, or else
// uses fewer machines. Any plan is better than none.
func (a *gangPlan) betterThan(b *gangPlan) bool {
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

// planGang plans a gang's tasks in a zone, and returns nil if not all of them can be placed. It uses
// machines in this order: those with room that hold the image; if the image pull takes long, those
// that hold the image and have work to preempt; those with the most room, so that few must pull the
// image; any that have work to preempt.
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
	maps.Copy(g.byZone, j.AllocatedByZone)
	holders, others := g.machinesWithSlots()
	for _, s := range holders {
		g.assign(s)
	}
	if !g.allAssigned() && d.hasVictims(j) && g.pullTooSlow() {
		g.preemptOn(holdsImage(j.Spec.Image))
	}
	for _, s := range others {
		if g.allAssigned() {
			break
		}
		g.addPullTime(s.worker)
		g.assign(s)
	}
	if !g.allAssigned() && d.hasVictims(j) && d.now().Sub(j.SubmittedAt) > reclaimAfter {
		g.preemptOn(anyMachine)
	}
	if !g.allAssigned() {
		return nil
	}
	return g.plan
}

// allAssigned reports whether every task is assigned to a machine.
func (g *gangPlanner) allAssigned() bool { return len(g.remaining) == 0 }

// allowed reports whether the gang may use a machine, apart from room.
func (g *gangPlanner) allowed(w *workers.Worker) bool {
	return inZone(w, g.zone) && g.eligible(g.job, w) && !g.actions.GangUsedMachine(g.job, w)
}

// machineSlots is a machine and the number of a gang's tasks that it has room for.
type machineSlots struct {
	worker *workers.Worker
	tasks  int
}

// machinesWithSlots lists the allowed machines with room, those that hold the image and the others,
// each list by room in descending order.
func (g *gangPlanner) machinesWithSlots() (holders, others []machineSlots) {
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

// assign assigns remaining tasks to a machine, as many as its slots and the spread over zones allow.
// It returns false if it assigned none.
func (g *gangPlanner) assign(s machineSlots) bool {
	spec := g.job.Spec
	n := s.tasks
	if spec.Spread {
		n = min(n, MaxTasksPerZone(spec)-g.byZone[s.worker.Zone])
	}
	n = min(n, len(g.remaining))
	if n <= 0 {
		return false
	}
	for _, t := range g.remaining[:n] {
		g.plan.placements = append(g.plan.placements, gang.Placement{Task: t, Worker: s.worker})
	}
	g.remaining = g.remaining[n:]
	g.byZone[s.worker.Zone] += n
	g.used[s.worker] = true
	g.plan.machines++
	return true
}

// addPullTime accounts for the image pull of a machine that doesn't hold the image.
func (g *gangPlanner) addPullTime(w *workers.Worker) {
	g.plan.pullTime = max(g.plan.pullTime, w.ImagePullTime(g.job.Spec))
}

// pullTooSlow reports whether an image pull takes more of the start objective than gangPullDivisor
// allows, as estimated for the first open machine.
func (g *gangPlanner) pullTooSlow() bool {
	return len(g.openMachines) > 0 && g.pullExceedsObjective(g.job, g.openMachines[0], gangPullDivisor)
}

// gangPreemption is a preemption that makes room for a number of a gang's tasks.
type gangPreemption struct {
	*preemption
	tasks int
}

// costPerTask is the work lost for each task that gets room, in CPU seconds.
func (p gangPreemption) costPerTask() float64 { return p.cost / float64(p.tasks) }

// holdsImage returns a filter of the machines that hold an image.
func holdsImage(image string) func(*workers.Worker) bool {
	return func(w *workers.Worker) bool { return w.HasImage(image) }
}

// anyMachine is a filter that accepts all machines.
func anyMachine(*workers.Worker) bool { return true }

// preemptOn assigns tasks to machines that a filter accepts and on which work of lower precedence
// can be preempted, by cost per task in ascending order.
func (g *gangPlanner) preemptOn(accepts func(*workers.Worker) bool) {
	preemptions := g.findPreemptions(accepts)
	slices.SortStableFunc(preemptions, func(a, b gangPreemption) int { return cmp.Compare(a.costPerTask(), b.costPerTask()) })
	for _, candidate := range preemptions {
		if g.allAssigned() {
			return
		}
		if !g.assign(machineSlots{worker: candidate.worker, tasks: candidate.tasks}) {
			continue
		}
		g.plan.victims = append(g.plan.victims, candidate.victims...)
		g.plan.cost += candidate.cost
		g.plan.waitForCheckpoint = g.plan.waitForCheckpoint || candidate.needsCheckpoint()
		if !candidate.worker.HasImage(g.job.Spec.Image) {
			g.addPullTime(candidate.worker)
		}
	}
}

// findPreemptions searches the machines that a filter accepts for victims, within the limit of the
// dispatch.
func (g *gangPlanner) findPreemptions(accepts func(*workers.Worker) bool) []gangPreemption {
	var preemptions []gangPreemption
	enough := max(minGangSearch, g.job.Spec.Tasks)
	for _, w := range g.openMachines {
		if len(preemptions) >= enough || g.machinesSearched >= g.searchLimit() {
			break
		}
		if g.used[w] || !accepts(w) || !mayHaveVictims(w, g.job) || !g.allowed(w) {
			continue
		}
		g.machinesSearched++
		if candidate, ok := g.findPreemptionOn(w); ok {
			preemptions = append(preemptions, candidate)
		}
	}
	return preemptions
}

// findPreemptionOn finds a preemption that makes room for remaining tasks on a machine. It halves
// the number of tasks until there are enough victims.
func (g *gangPlanner) findPreemptionOn(w *workers.Worker) (gangPreemption, bool) {
	request := victimRequest{job: g.job, now: g.now(), skipRecent: true}
	for n := len(g.remaining); n > 0; n /= 2 {
		request.need = jobs.ResourcesOf(g.job.Spec).Times(n)
		if found := g.chooseVictims(w, request); found != nil {
			return gangPreemption{preemption: found, tasks: n}, true
		}
	}
	return gangPreemption{}, false
}

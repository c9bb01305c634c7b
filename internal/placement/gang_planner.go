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
	victims           []*jobs.Task  // tasks to preempt
	pullTime          time.Duration // the longest image pull on any of the machines
	cost              float64       // work lost by preemption, in CPU seconds
	machines          int
	waitForCheckpoint bool // whether a victim writes a checkpoint before it terminates
}

// betterThan reports whether plan a is better than plan b. A plan is better if its image pull is
// shorter, then if it preempts less work, and then if it uses fewer machines. Any plan is better than
// nil.
func (a *gangPlan) betterThan(b *gangPlan) bool {
	return b == nil || cmp.Or(
		cmp.Compare(a.pullTime, b.pullTime),
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(a.machines, b.machines),
	) < 0
}

// gangPlanner selects machines for the waiting tasks of one gang in one zone.
type gangPlanner struct {
	*dispatch
	job       *jobs.Job
	zone      string // may be anyZone
	plan      *gangPlan
	remaining []*jobs.Task             // tasks not assigned to a machine yet
	used      map[*workers.Worker]bool // machines in the plan
	byZone    map[string]int           // number of the gang's tasks by zone, allocated or in the plan
}

// planGang returns a plan that places all given tasks of a gang in a zone, or nil if they can't all be
// placed. It uses machines in this order:
//   - holders of the image with free capacity;
//   - if an image pull would take too long, holders on which work can be preempted;
//   - other machines with free capacity, those with the most first, so that few machines pull the image;
//   - once reclaimAfter has elapsed since the submission, any machines on which work can be preempted.
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

// allowed reports whether tasks of the gang may be placed on a machine, regardless of its free capacity.
func (g *gangPlanner) allowed(w *workers.Worker) bool {
	return inZone(w, g.zone) && g.eligible(g.job, w) && !g.actions.GangUsedMachine(g.job, w)
}

// machineSlots is a machine and the number of a gang's tasks that fit on it.
type machineSlots struct {
	worker *workers.Worker
	tasks  int
}

// machinesWithSlots returns the allowed machines with free capacity: the holders of the image and the
// others, each sorted by the number of tasks that fit, in descending order.
func (g *gangPlanner) machinesWithSlots() (holders, others []machineSlots) {
	spec := g.job.Spec
	for _, w := range g.machinesWithCapacity {
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

// assign assigns as many remaining tasks to a machine as its slots and the job's spread over zones
// allow. It returns false if it assigned none.
func (g *gangPlanner) assign(s machineSlots) bool {
	n := min(s.tasks, tasksLeftInZone(g.job, g.byZone, s.worker.Zone), len(g.remaining))
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

// addPullTime updates the pull time of the plan for a machine that doesn't have the image cached.
func (g *gangPlanner) addPullTime(w *workers.Worker) {
	g.plan.pullTime = max(g.plan.pullTime, w.ImagePullTime(g.job.Spec))
}

// pullTooSlow reports whether an image pull takes longer than the start objective divided by
// gangPullDivisor. It estimates the pull time on the first schedulable machine.
func (g *gangPlanner) pullTooSlow() bool {
	return len(g.schedulableMachines) > 0 && g.pullExceedsObjective(g.job, g.schedulableMachines[0], gangPullDivisor)
}

// gangPreemption is a preemption that frees capacity for a number of a gang's tasks.
type gangPreemption struct {
	*preemption
	tasks int
}

// costPerTask returns the work lost per task of the gang that is placed, in CPU seconds.
func (p gangPreemption) costPerTask() float64 { return p.cost / float64(p.tasks) }

// holdsImage returns a filter that accepts the machines with an image in the cache.
func holdsImage(image string) func(*workers.Worker) bool {
	return func(w *workers.Worker) bool { return w.HasImage(image) }
}

// anyMachine is a filter that accepts all machines.
func anyMachine(*workers.Worker) bool { return true }

// preemptOn assigns remaining tasks to machines that a filter accepts and on which work of lower
// precedence can be preempted, in ascending order of cost per task. It adds the victims to the plan.
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

// findPreemptions searches the machines that a filter accepts for victims. All searches of a dispatch
// share the limit on the number of machines.
func (g *gangPlanner) findPreemptions(accepts func(*workers.Worker) bool) []gangPreemption {
	var preemptions []gangPreemption
	maxCandidates := max(minGangSearch, g.job.Spec.Tasks)
	for _, w := range g.schedulableMachines {
		if len(preemptions) >= maxCandidates || g.machinesSearched >= g.searchLimit() {
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

// findPreemptionOn returns a preemption on a machine that frees capacity for some of the remaining
// tasks, and false if there is none. It tries all remaining tasks first and halves the number until
// the machine has enough victims.
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

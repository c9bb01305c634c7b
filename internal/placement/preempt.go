package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// canPreempt says whether a running task must give way to a job.
func (p *Planner) canPreempt(victim *jobs.Task, j *jobs.Job) bool {
	if victim.State != jobs.Assigned {
		return false
	}
	if victim.Job.Spec.Priority.Level() > j.Spec.Priority.Level() {
		return !isBatch(j) || j.WithinQuota || p.teams.IsBorrower(victim.Job.Spec.Team)
	}
	return j.WithinQuota && !victim.Job.WithinQuota && victim.Job.Spec.Team != j.Spec.Team && isBatch(victim.Job)
}

// victimSearchKey names a search for work to stop: whose tasks need room, and where it is
// looked for.
type victimSearchKey struct {
	job          *jobs.Job
	holdersOnly  bool // only on machines that hold the image
	includeGangs bool // whole gangs may be stopped as well
}

// preemption is a machine on which work can be stopped for a task.
type preemption struct {
	worker  *workers.Worker
	victims []*jobs.Task
	cost    float64
}

// preemptionHeap is a heap, the cheapest first.
type preemptionHeap []*preemption

func (o preemptionHeap) Len() int           { return len(o) }
func (o preemptionHeap) Less(i, k int) bool { return o[i].cost < o[k].cost }
func (o preemptionHeap) Swap(i, k int)      { o[i], o[k] = o[k], o[i] }
func (o *preemptionHeap) Push(x any)        { *o = append(*o, x.(*preemption)) }
func (o *preemptionHeap) Pop() any {
	old := *o
	x := old[len(old)-1]
	*o = old[:len(old)-1]
	return x
}

// preempt makes room for a task where least work is lost, and places it there;
// if holders is set, only where its image is.
func (p *Planner) preempt(t *jobs.Task, holdersOnly bool) bool {
	j := t.Job
	now := p.now()
	if !p.hasVictims(j) {
		return false
	}
	key := victimSearchKey{job: j, holdersOnly: holdersOnly, includeGangs: !holdersOnly && now.Sub(t.StateSince) > p.config.GangWait}
	best := p.cheapestPreemption(key, now)
	if best == nil {
		return false
	}
	wait := false
	for _, victim := range best.victims {
		wait = wait || victim.Job.Spec.CanCheckpoint()
		p.preemptVictim(victim, best.worker, now)
	}
	if wait {
		// They save first; the room is there when they have gone.
		t.RetryAt = now.Add(500 * time.Millisecond)
	} else {
		p.place(t, best.worker)
	}
	// The same machine may have more to give to the job's next task.
	if again := p.preemptionOn(key, best.worker, now); again != nil {
		heap.Push(p.victimSearches[key], again)
	}
	return true
}

// cheapestPreemption takes the best offer of a search. A job's tasks share one search in a
// dispatch. (With one for each task, and a bound on the machines looked at, a dispatch
// found room for a single task of a large fleet, and guaranteed work waited for seconds.)
func (p *Planner) cheapestPreemption(key victimSearchKey, now ident.MonotonicTime) *preemption {
	found := p.victimSearches[key]
	if found == nil {
		if p.machinesSearched >= p.searchLimit() {
			return nil
		}
		found = p.searchVictims(key, now)
		p.victimSearches[key] = found
	}
	for found.Len() > 0 {
		old := heap.Pop(found).(*preemption)
		// What was placed or stopped since may have changed it.
		o := p.preemptionOn(key, old.worker, now)
		switch {
		case o == nil:
		case o.cost > old.cost+tolerance && found.Len() > 0 && o.cost > (*found)[0].cost:
			heap.Push(found, o)
		default:
			return o
		}
	}
	return nil
}

// searchLimit returns how many machines a dispatch may look at for work to stop.
func (p *Planner) searchLimit() int { return max(minVictimSearch, len(p.openMachines)) }

// maxPreemptions bounds the machines that a search finds for a job, beside two for each of its
// tasks: the least work lost on so many is little more than that on all.
const maxPreemptions = 100

// searchVictims looks at machines for work that must give way, as many as the dispatch may
// still look at: first at those that hold the image, then at the others, from where the
// search before ended.
func (p *Planner) searchVictims(key victimSearchKey, now ident.MonotonicTime) *preemptionHeap {
	found := &preemptionHeap{}
	enough := maxPreemptions + 2*key.job.WaitingCount()
	look := func(w *workers.Worker) bool {
		if p.machinesSearched >= p.searchLimit() || found.Len() >= enough {
			return false
		}
		if !p.worthSearching(key, w) {
			return true
		}
		p.machinesSearched++
		if o := p.preemptionOn(key, w, now); o != nil {
			*found = append(*found, o)
		}
		return true
	}
	for _, w := range p.holdersOf(key.job.Spec.Image) {
		if !look(w) {
			break
		}
	}
	if !key.holdersOnly {
		p.searchNonHolders(key.job.Spec.Image, look)
	}
	heap.Init(found)
	return found
}

// searchNonHolders shows the machines that don't hold an image to a search until it has seen
// enough. The next one goes on from there.
func (p *Planner) searchNonHolders(image string, look func(*workers.Worker) bool) {
	for i := range p.openMachines {
		at := (p.searchFrom + i) % len(p.openMachines)
		w := p.openMachines[at]
		if w.HasImage(image) {
			continue
		}
		if !look(w) {
			p.searchFrom = at
			return
		}
	}
}

// worthSearching says whether it is worth to look at a machine for work to stop.
func (p *Planner) worthSearching(key victimSearchKey, w *workers.Worker) bool {
	j := key.job
	if w.LowerPriorityTasks(j.Spec.Priority) == 0 && (!j.WithinQuota || w.BatchVCPUs == 0) {
		return false
	}
	if key.holdersOnly && !w.HasImage(j.Spec.Image) {
		return false
	}
	return p.eligible(j, w)
}

// preemptionOn finds what would be stopped on a machine for one task of a job, nil if that makes
// no room.
func (p *Planner) preemptionOn(key victimSearchKey, w *workers.Worker, now ident.MonotonicTime) *preemption {
	if !p.worthSearching(key, w) {
		return nil
	}
	j := key.job
	stop, cost, ok := p.chooseVictims(w, j, jobs.ResourcesOf(j.Spec), now, key.holdersOnly, key.includeGangs)
	if !ok {
		return nil
	}
	if !w.HasImage(j.Spec.Image) {
		cost += w.ImagePullTime(j.Spec).Seconds() * 2 * max(j.Spec.VCPUs, 1)
	}
	return &preemption{worker: w, victims: stop, cost: cost}
}

// hasVictims says whether there is anything at all that must give way to a job.
func (p *Planner) hasVictims(j *jobs.Job) bool {
	if p.machineTable.LowerPriorityTasks(j.Spec.Priority) > 0 {
		return true
	}
	return j.WithinQuota && p.teams.OthersOverGuarantee(p.jobs, j.Spec.Team)
}

// gangRestartSeconds is what a gang loses by being stopped, in seconds of each of its tasks.
const gangRestartSeconds = 30

// preemptionCooldown is how long a task that gave way is spared. What has just started
// costs least to stop: the same tasks were stopped over and over, sixty times
// within half a minute, while services started on a fleet that booted.
const preemptionCooldown = time.Minute

func recentlyPreempted(t *jobs.Task, now ident.MonotonicTime) bool {
	return t.PreemptedAt > 0 && now.Sub(t.PreemptedAt) < preemptionCooldown
}

// victim is a task that may be stopped, and what is lost by it.
type victim struct {
	task *jobs.Task
	cost float64
}

// lostWork says how much work is lost when a task is stopped, in CPU seconds.
func lostWork(t *jobs.Task, now ident.MonotonicTime) float64 {
	lost := now.Sub(t.StateSince).Seconds()
	if t.ReportedStatus == "" || t.ReportedStatus == api.Pulling {
		lost = 0
	} else if t.RunningSince > 0 {
		lost = now.Sub(t.RunningSince).Seconds()
	}
	if t.Job.Spec.CanCheckpoint() {
		lost = min(lost, t.Job.Spec.CheckpointEveryS)
	}
	if recentlyPreempted(t, now) {
		lost += preemptionCooldown.Seconds()
	}
	if t.Job.IsGang() {
		// All of its tasks save, wait for each other and start again.
		lost = (lost + gangRestartSeconds) * float64(t.Job.Spec.Tasks)
	}
	return lost * max(t.Job.Spec.VCPUs, 1)
}

// chooseVictims finds the cheapest set of tasks to stop on a machine so that as much is free
// for j, counting what is being stopped already as room. With spare set, what gave
// way of late is left alone; gangs are stopped only with gangs set, and never again
// soon.
func (p *Planner) chooseVictims(w *workers.Worker, j *jobs.Job, need jobs.Resources, now ident.MonotonicTime, skipRecent, includeGangs bool) ([]*jobs.Task, float64, bool) {
	free := w.FreeFor(j.Spec.Priority)
	var candidates []victim
	add := func(v *jobs.Task) { candidates = append(candidates, victim{v, lostWork(v, now)}) }
	for _, v := range w.Tasks {
		if v.State == jobs.Stopping && v.GracePeriod == 0 {
			free = free.Add(jobs.ResourcesOf(v.Job.Spec))
		} else if v.Job.IsGang() {
			// Never a part of a gang: the whole of it, if all can be told in time.
			if includeGangs && !recentlyPreempted(v, now) && p.canPreempt(v, j) && p.actions.CanStopGang(v.Job) {
				add(v)
			}
		} else if p.canPreempt(v, j) && !(skipRecent && recentlyPreempted(v, now)) {
			add(v)
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.task.Job.Seq, a.task.Job.Seq), cmp.Compare(b.task.Index, a.task.Index))
	})
	var stop []*jobs.Task
	cost := 0.0
	for _, v := range candidates {
		if free.Covers(need) {
			break
		}
		stop = append(stop, v.task)
		cost += v.cost
		free = free.Add(jobs.ResourcesOf(v.task.Job.Spec))
	}
	return stop, cost, free.Covers(need)
}

// Guaranteed work waits this long for room before others' borrowed room is
// taken back: long enough for tasks that end by themselves, short against the
// aims of a few seconds.
const reclaimAfter = 500 * time.Millisecond

// reclaimGuarantees gives jobs within their team's guarantee what other teams have
// borrowed, and others what teams without a guarantee have of less urgent work: that
// is for hours to spare. (A vast array of a guest kept the house's jobs waiting for
// machines to boot.)
func (p *Planner) reclaimGuarantees() {
	now := p.now()
	clear(p.taskCursor)
	for _, j := range p.batchJobs {
		if !j.WithinQuota && (p.teams.IsBorrower(j.Spec.Team) || !p.teams.BorrowersActive()) {
			continue
		}
		for j.WaitingCount() > 0 && p.placed < maxPlacedPerDispatch && p.teams.Allows(j.Spec, 1) {
			t := p.nextTask(j)
			if t == nil || now.Sub(t.StateSince) < reclaimAfter || !p.preempt(t, false) {
				break
			}
		}
	}
}

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

// givesWay says whether a running task must give way to a job.
func (p *Planner) givesWay(v *jobs.Task, j *jobs.Job) bool {
	if v.State != jobs.Assigned {
		return false
	}
	if v.Job.Spec.Priority.Level() > j.Spec.Priority.Level() {
		return !arrays(j) || j.WithinQuota || p.teams.Guest(v.Job.Spec.Team)
	}
	return j.WithinQuota && !v.Job.WithinQuota && v.Job.Spec.Team != j.Spec.Team && arrays(v.Job)
}

// searchKey names a search for work to stop: whose tasks need room, and where it is
// looked for.
type searchKey struct {
	job     *jobs.Job
	holders bool // only on machines that hold the image
	gangs   bool // whole gangs may be stopped as well
}

// offer is a machine on which work can be stopped for a task.
type offer struct {
	worker *workers.Worker
	stop   []*jobs.Task
	cost   float64
}

// offers is a heap, the cheapest first.
type offers []*offer

func (o offers) Len() int           { return len(o) }
func (o offers) Less(i, k int) bool { return o[i].cost < o[k].cost }
func (o offers) Swap(i, k int)      { o[i], o[k] = o[k], o[i] }
func (o *offers) Push(x any)        { *o = append(*o, x.(*offer)) }
func (o *offers) Pop() any {
	old := *o
	x := old[len(old)-1]
	*o = old[:len(old)-1]
	return x
}

// preempt makes room for a task where least work is lost, and places it there;
// if holders is set, only where its image is.
func (p *Planner) preempt(t *jobs.Task, holders bool) bool {
	j := t.Job
	now := p.now()
	if !p.victims(j) {
		return false
	}
	key := searchKey{job: j, holders: holders, gangs: !holders && now.Sub(t.StateSince) > p.GangWait}
	best := p.cheapest(key, now)
	if best == nil {
		return false
	}
	wait := false
	for _, v := range best.stop {
		wait = wait || v.Job.Spec.CanCheckpoint()
		p.stopVictim(v, best.worker, now)
	}
	if wait {
		// They save first; the room is there when they have gone.
		t.RetryAt = now.Add(500 * time.Millisecond)
	} else {
		p.place(t, best.worker)
	}
	// The same machine may have more to give to the job's next task.
	if again := p.offer(key, best.worker, now); again != nil {
		heap.Push(p.searches[key], again)
	}
	return true
}

// cheapest takes the best offer of a search. A job's tasks share one search in a
// dispatch. (With one for each task, and a bound on the machines looked at, a dispatch
// found room for a single task of a large fleet, and guaranteed work waited for seconds.)
func (p *Planner) cheapest(key searchKey, now ident.MonotonicTime) *offer {
	found := p.searches[key]
	if found == nil {
		if p.searched >= p.searchLimit() {
			return nil
		}
		found = p.search(key, now)
		p.searches[key] = found
	}
	for found.Len() > 0 {
		old := heap.Pop(found).(*offer)
		// What was placed or stopped since may have changed it.
		o := p.offer(key, old.worker, now)
		switch {
		case o == nil:
		case o.cost > old.cost+slack && found.Len() > 0 && o.cost > (*found)[0].cost:
			heap.Push(found, o)
		default:
			return o
		}
	}
	return nil
}

// searchLimit returns how many machines a dispatch may look at for work to stop.
func (p *Planner) searchLimit() int { return max(minSearched, len(p.order)) }

// maxOffers bounds the machines that a search finds for a job, beside two for each of its
// tasks: the least work lost on so many is little more than that on all.
const maxOffers = 100

// search looks at machines for work that must give way, as many as the dispatch may
// still look at: first at those that hold the image, then at the others, from where the
// search before ended.
func (p *Planner) search(key searchKey, now ident.MonotonicTime) *offers {
	found := &offers{}
	enough := maxOffers + 2*key.job.WaitingCount()
	look := func(w *workers.Worker) bool {
		if p.searched >= p.searchLimit() || found.Len() >= enough {
			return false
		}
		if !p.mayOffer(key, w) {
			return true
		}
		p.searched++
		if o := p.offer(key, w, now); o != nil {
			*found = append(*found, o)
		}
		return true
	}
	for _, w := range p.holding(key.job.Spec.Image) {
		if !look(w) {
			break
		}
	}
	if !key.holders {
		p.lookAround(key.job.Spec.Image, look)
	}
	heap.Init(found)
	return found
}

// lookAround shows the machines that don't hold an image to a search until it has seen
// enough. The next one goes on from there.
func (p *Planner) lookAround(image string, look func(*workers.Worker) bool) {
	for i := range p.order {
		at := (p.from + i) % len(p.order)
		w := p.order[at]
		if w.HasImage(image) {
			continue
		}
		if !look(w) {
			p.from = at
			return
		}
	}
}

// mayOffer says whether it is worth to look at a machine for work to stop.
func (p *Planner) mayOffer(key searchKey, w *workers.Worker) bool {
	j := key.job
	if w.LowerPriorityTasks(j.Spec.Priority) == 0 && (!j.WithinQuota || w.BatchVCPUs == 0) {
		return false
	}
	if key.holders && !w.HasImage(j.Spec.Image) {
		return false
	}
	return p.may(j, w)
}

// offer finds what would be stopped on a machine for one task of a job, nil if that makes
// no room.
func (p *Planner) offer(key searchKey, w *workers.Worker, now ident.MonotonicTime) *offer {
	if !p.mayOffer(key, w) {
		return nil
	}
	j := key.job
	stop, cost, ok := p.choose(w, j, jobs.ResourcesOf(j.Spec), now, key.holders, key.gangs)
	if !ok {
		return nil
	}
	if !w.HasImage(j.Spec.Image) {
		cost += w.ImagePullTime(j.Spec).Seconds() * 2 * max(j.Spec.VCPUs, 1)
	}
	return &offer{worker: w, stop: stop, cost: cost}
}

// victims says whether there is anything at all that must give way to a job.
func (p *Planner) victims(j *jobs.Job) bool {
	if p.fleet.LowerPriorityTasks(j.Spec.Priority) > 0 {
		return true
	}
	return j.WithinQuota && p.teams.Borrow(p.jobs, j.Spec.Team)
}

// gangCost is what a gang loses by being stopped, in seconds of each of its tasks.
const gangCost = 30

// spareTime is how long a task that gave way is spared. What has just started
// costs least to stop: the same tasks were stopped over and over, sixty times
// within half a minute, while services started on a fleet that booted.
const spareTime = time.Minute

func spared(t *jobs.Task, now ident.MonotonicTime) bool {
	return t.PreemptedAt > 0 && now.Sub(t.PreemptedAt) < spareTime
}

// victim is a task that may be stopped, and what is lost by it.
type victim struct {
	task *jobs.Task
	cost float64
}

// lostBy says how much work is lost when a task is stopped, in CPU seconds.
func lostBy(t *jobs.Task, now ident.MonotonicTime) float64 {
	ran := now.Sub(t.StateSince).Seconds()
	if t.ReportedStatus == "" || t.ReportedStatus == api.Pulling {
		ran = 0
	} else if t.RunningSince > 0 {
		ran = now.Sub(t.RunningSince).Seconds()
	}
	if t.Job.Spec.CanCheckpoint() {
		ran = min(ran, t.Job.Spec.CheckpointEveryS)
	}
	if spared(t, now) {
		ran += spareTime.Seconds()
	}
	if t.Job.IsGang() {
		// All of its tasks save, wait for each other and start again.
		ran = (ran + gangCost) * float64(t.Job.Spec.Tasks)
	}
	return ran * max(t.Job.Spec.VCPUs, 1)
}

// choose finds the cheapest set of tasks to stop on a machine so that as much is free
// for j, counting what is being stopped already as room. With spare set, what gave
// way of late is left alone; gangs are stopped only with gangs set, and never again
// soon.
func (p *Planner) choose(w *workers.Worker, j *jobs.Job, need jobs.Resources, now ident.MonotonicTime, spare, gangs bool) ([]*jobs.Task, float64, bool) {
	free := w.FreeFor(j.Spec.Priority)
	var cand []victim
	add := func(v *jobs.Task) { cand = append(cand, victim{v, lostBy(v, now)}) }
	for _, v := range w.Tasks {
		if v.State == jobs.Stopping && v.GracePeriod == 0 {
			free = free.Add(jobs.ResourcesOf(v.Job.Spec))
		} else if v.Job.IsGang() {
			// Never a part of a gang: the whole of it, if all can be told in time.
			if gangs && !spared(v, now) && p.givesWay(v, j) && p.act.Stoppable(v.Job) {
				add(v)
			}
		} else if p.givesWay(v, j) && !(spare && spared(v, now)) {
			add(v)
		}
	}
	slices.SortFunc(cand, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.task.Job.Seq, a.task.Job.Seq), cmp.Compare(b.task.Index, a.task.Index))
	})
	var stop []*jobs.Task
	sum := 0.0
	for _, v := range cand {
		if free.Covers(need) {
			break
		}
		stop = append(stop, v.task)
		sum += v.cost
		free = free.Add(jobs.ResourcesOf(v.task.Job.Spec))
	}
	return stop, sum, free.Covers(need)
}

// Guaranteed work waits this long for room before others' borrowed room is
// taken back: long enough for tasks that end by themselves, short against the
// aims of a few seconds.
const claimAfter = 500 * time.Millisecond

// claimGuarantees gives jobs within their team's guarantee what other teams have
// borrowed, and others what teams without a guarantee have of less urgent work: that
// is for hours to spare. (A vast array of a guest kept the house's jobs waiting for
// machines to boot.)
func (p *Planner) claimGuarantees() {
	now := p.now()
	clear(p.cursor)
	for _, j := range p.arrays {
		if !j.WithinQuota && (p.teams.Guest(j.Spec.Team) || !p.teams.Guests()) {
			continue
		}
		for j.WaitingCount() > 0 && p.placed < maxPlaced && p.teams.Allows(j.Spec, 1) {
			t := p.next(j)
			if t == nil || now.Sub(t.StateSince) < claimAfter || !p.preempt(t, false) {
				break
			}
		}
	}
}

package placement

import (
	"container/heap"
	"sort"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// victim says whether a running task must give way to a job.
func (p *Planner) victim(v *jobs.Task, j *jobs.Job) bool {
	if v.State != jobs.Assigned {
		return false
	}
	if v.Job.Spec.Rank.Level() > j.Spec.Rank.Level() {
		return !arrays(j) || j.Within || p.teams.Guest(v.Job.Spec.Desk)
	}
	return j.Within && !v.Job.Within && v.Job.Spec.Desk != j.Spec.Desk && arrays(v.Job)
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
	key := searchKey{job: j, holders: holders, gangs: !holders && now.Sub(t.Since) > p.GangWait}
	best := p.cheapest(key, now)
	if best == nil {
		return false
	}
	wait := false
	for _, v := range best.stop {
		wait = wait || v.Job.Spec.Saves()
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
func (p *Planner) cheapest(key searchKey, now ident.Mono) *offer {
	found := p.searches[key]
	if found == nil {
		if p.searched >= maxSearched {
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

// search looks at machines for work that must give way, as many as the dispatch may
// still look at. Each search begins where one that was cut short ended.
func (p *Planner) search(key searchKey, now ident.Mono) *offers {
	found := &offers{}
	for i := range p.order {
		if p.searched >= maxSearched {
			p.from = (p.from + i) % len(p.order)
			break
		}
		w := p.order[(p.from+i)%len(p.order)]
		if !p.mayOffer(key, w) {
			continue
		}
		p.searched++
		if o := p.offer(key, w, now); o != nil {
			*found = append(*found, o)
		}
	}
	heap.Init(found)
	return found
}

// mayOffer says whether it is worth to look at a machine for work to stop.
func (p *Planner) mayOffer(key searchKey, w *workers.Worker) bool {
	j := key.job
	if w.Lesser(j.Spec.Rank) == 0 && (!j.Within || w.Arrays == 0) {
		return false
	}
	if key.holders && !w.Holds(j.Spec.Bundle) {
		return false
	}
	return p.may(j, w)
}

// offer finds what would be stopped on a machine for one task of a job, nil if that makes
// no room.
func (p *Planner) offer(key searchKey, w *workers.Worker, now ident.Mono) *offer {
	if !p.mayOffer(key, w) {
		return nil
	}
	j := key.job
	stop, cost, ok := p.choose(w, j, jobs.NeedOf(j.Spec), now, key.holders, key.gangs)
	if !ok {
		return nil
	}
	if !w.Holds(j.Spec.Bundle) {
		cost += p.fetches(j, w).Seconds() * 2 * max(j.Spec.VCPUs, 1)
	}
	return &offer{worker: w, stop: stop, cost: cost}
}

// victims says whether there is anything at all that must give way to a job.
func (p *Planner) victims(j *jobs.Job) bool {
	if p.fleet.Lesser(j.Spec.Rank) > 0 {
		return true
	}
	return j.Within && p.teams.Borrow(p.jobs, j.Spec.Desk)
}

// gangCost is what a gang loses by being stopped, in seconds of each of its tasks.
const gangCost = 30

// spareTime is how long a task that gave way is spared. What has just started
// costs least to stop: the same tasks were stopped over and over, sixty times
// within half a minute, while services started on a fleet that booted.
const spareTime = time.Minute

func spared(t *jobs.Task, now ident.Mono) bool {
	return t.GaveWay > 0 && now.Sub(t.GaveWay) < spareTime
}

// choose finds the cheapest set of tasks to stop on a machine so that as much is free
// for j, counting what is being stopped already as room. With spare set, what gave
// way of late is left alone; gangs are stopped only with gangs set, and never again
// soon.
func (p *Planner) choose(w *workers.Worker, j *jobs.Job, s jobs.Need, now ident.Mono, spare, gangs bool) ([]*jobs.Task, float64, bool) {
	vcpus, cards, mem := w.Kind.VCPUs-w.VCPUs, w.Kind.Cards-w.Cards, w.Kind.MemoryGB-w.MemoryGB
	var cand []*jobs.Task
	for _, v := range w.Tasks {
		if v.State == jobs.Stopping && v.WindDown == 0 {
			vcpus += v.Job.Spec.VCPUs
			cards += v.Job.Spec.Cards
			mem += v.Job.Spec.MemoryGB
		} else if v.Job.Gang() {
			// Never a part of a gang: the whole of it, if all can be told in time.
			if gangs && !spared(v, now) && p.victim(v, j) && p.act.Stoppable(v.Job) {
				cand = append(cand, v)
			}
		} else if p.victim(v, j) && !(spare && spared(v, now)) {
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
		if spared(v, now) {
			ran += spareTime.Seconds()
		}
		if v.Job.Gang() {
			// All of its tasks save, wait for each other and start again.
			ran = (ran + gangCost) * float64(v.Job.Spec.Pieces)
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
// borrowed, and others what teams without a guarantee have of less urgent work: that
// is for hours to spare. (A vast array of a guest kept the house's jobs waiting for
// machines to boot.)
func (p *Planner) claimGuarantees() {
	now := p.now()
	clear(p.cursor)
	for _, j := range p.arrays {
		if !j.Within && (p.teams.Guest(j.Spec.Desk) || !p.teams.Guests()) {
			continue
		}
		for j.Waits() > 0 && p.placed < maxPlaced && p.teams.Allows(j.Spec, 1) {
			t := p.next(j)
			if t == nil || now.Sub(t.Since) < claimAfter || !p.preempt(t, false) {
				break
			}
		}
	}
}

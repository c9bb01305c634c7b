package placement

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/gang"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// Gangs are the one kind of work that neither the plan nor first-fit covers: the plan
// joins tasks to machines one by one (paper, §2.1 and §5.2: independent tasks), and a
// part of a gang is of no use. Kept is that holders of the image come first.

// choice is where a gang's waiting tasks would go.
type choice struct {
	picks  []gang.Placement
	stop   []*jobs.Task  // to make room
	fetch  time.Duration // the slowest
	cost   float64       // of what is stopped
	spread int           // machines
	wait   bool          // what is stopped saves first
}

// better says whether a gang starts sooner by a, then whether less is lost by it.
func (a *choice) better(b *choice) bool {
	return b == nil || cmp.Or(cmp.Compare(a.fetch, b.fetch), cmp.Compare(a.cost, b.cost), cmp.Compare(a.spread, b.spread)) < 0
}

const (
	// gangSearch bounds the machines that are looked at for work to stop for a gang, or as
	// many as it has tasks.
	gangSearch = 64
	// gangHold is the part of MaxWait after which machines are kept for a gang that
	// finds no place, and gangHeld bounds those machines.
	gangHold = 8
	gangHeld = 16
)

// placeGang finds machines for all waiting tasks of a gang at once, or for none.
func (p *Planner) placeGang(j *jobs.Job) {
	if j.AllocatedTasks > 0 && !j.AcceptsReplacements {
		return
	}
	now := p.now()
	var tasks []*jobs.Task
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != jobs.Waiting {
			continue
		}
		if now < t.RetryAt || p.fleet.HasUnknownAttempt(t.TaskID()) {
			return
		}
		tasks = append(tasks, t)
	}
	if len(tasks) == 0 {
		return
	}
	if !p.teams.Allows(j.Spec, float64(len(tasks))) {
		if p.unbegun(j) && p.blocked[j.Spec.Team] == nil {
			p.blocked[j.Spec.Team] = j
		}
		return
	}
	var best *choice
	for _, site := range p.sites(j) {
		if c := p.gather(j, tasks, site); c != nil && c.better(best) {
			best = c
		}
	}
	if best == nil {
		if now.Sub(j.SubmittedAt) > p.MaxWait/gangHold {
			p.keep(j, len(tasks))
		}
		return
	}
	for _, v := range best.stop {
		p.stopVictim(v, p.fleet.Workers[v.MachineID], now)
	}
	if best.wait {
		for _, t := range tasks {
			t.RetryAt = now.Add(500 * time.Millisecond)
		}
		return
	}
	for _, k := range best.picks {
		p.account(k.Task, k.Worker)
	}
	for w, o := range p.reserved {
		if o == j {
			delete(p.reserved, w)
		}
	}
	p.Stats.Gangs++
	p.act.PlaceGang(j, best.picks)
}

// sites lists the zones that a gang could be in; "" stands for any of them together.
func (p *Planner) sites(j *jobs.Job) []string {
	if !j.Spec.OneZone {
		return []string{""}
	}
	var out []string
	for _, w := range p.order {
		if !slices.Contains(out, w.Zone) {
			out = append(out, w.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// gather chooses machines for a gang's tasks in a zone: holders of the image first,
// then, if that is quicker than to fetch it, holders with work of less right; then the
// machines with the most room, so that few must fetch; then any with such work.
func (p *Planner) gather(j *jobs.Job, tasks []*jobs.Task, site string) *choice {
	s := j.Spec
	now := p.now()
	c := &choice{}
	left := tasks
	taken := map[*workers.Worker]int{}
	zones := map[string]int{}
	for z, n := range j.AllocatedByZone {
		zones[z] = n
	}
	allowed := func(w *workers.Worker) bool {
		return (site == "" || w.Zone == site) && p.may(j, w) && !p.act.GangUsed(j, w)
	}
	take := func(w *workers.Worker, n int) {
		if s.Spread {
			n = min(n, (s.Tasks+1)/2-zones[w.Zone])
		}
		n = min(n, len(left))
		if n <= 0 {
			return
		}
		for _, t := range left[:n] {
			c.picks = append(c.picks, gang.Placement{Task: t, Worker: w})
		}
		left = left[n:]
		zones[w.Zone] += n
		taken[w] += n
		c.spread++
	}
	holders, others := p.placesFor(s, allowed)
	for _, r := range holders {
		take(r.w, r.n)
	}
	if len(left) > 0 && p.victims(j) && p.hasty(j) {
		p.evict(j, &left, c, taken, allowed, take, true)
	}
	for _, r := range others {
		if len(left) == 0 {
			break
		}
		c.fetch = max(c.fetch, r.w.ImagePullTime(j.Spec))
		take(r.w, r.n)
	}
	if len(left) > 0 && p.victims(j) && now.Sub(j.SubmittedAt) > claimAfter {
		p.evict(j, &left, c, taken, allowed, take, false)
	}
	if len(left) > 0 {
		return nil
	}
	return c
}

// places is how many tasks of a gang find room on a machine.
type places struct {
	w *workers.Worker
	n int
}

// placesFor lists the allowed machines with room, those that hold the image and the others apart,
// the most room first.
func (p *Planner) placesFor(s *api.Spec, allowed func(*workers.Worker) bool) (holders, others []places) {
	for _, w := range p.roomy {
		if n := w.TaskCapacity(s); n > 0 && allowed(w) {
			if w.HasImage(s.Image) {
				holders = append(holders, places{w, n})
			} else {
				others = append(others, places{w, n})
			}
		}
	}
	most := func(a, b places) int { return cmp.Compare(b.n, a.n) }
	slices.SortStableFunc(holders, most)
	slices.SortStableFunc(others, most)
	return holders, others
}

// evict goes on with machines where work of less right can be stopped.
func (p *Planner) evict(j *jobs.Job, left *[]*jobs.Task, c *choice, taken map[*workers.Worker]int, allowed func(*workers.Worker) bool,
	take func(*workers.Worker, int), holders bool) {
	s := j.Spec
	now := p.now()
	type offer struct {
		w    *workers.Worker
		n    int
		stop []*jobs.Task
		cost float64
	}
	var offers []offer
	enough := max(gangSearch, s.Tasks)
	for _, w := range p.order {
		if len(offers) >= enough || p.searched >= p.searchLimit() {
			break
		}
		if taken[w] > 0 || holders && !w.HasImage(s.Image) || w.LowerPriorityTasks(s.Priority) == 0 && (!j.WithinQuota || w.BatchVCPUs == 0) || !allowed(w) {
			continue
		}
		p.searched++
		for n := len(*left); n > 0; n /= 2 {
			need := jobs.Resources{VCPUs: float64(n) * s.VCPUs, GPUs: float64(n) * s.GPUs, MemoryGB: float64(n) * s.MemoryGB}
			if stop, cost, ok := p.choose(w, j, need, now, true, false); ok {
				offers = append(offers, offer{w, n, stop, cost})
				break
			}
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost/float64(a.n), b.cost/float64(b.n)) })
	for _, o := range offers {
		if len(*left) == 0 {
			return
		}
		before := len(*left)
		if take(o.w, o.n); len(*left) == before {
			continue
		}
		c.stop = append(c.stop, o.stop...)
		c.cost += o.cost
		for _, v := range o.stop {
			c.wait = c.wait || v.Job.Spec.CanCheckpoint()
		}
		if !o.w.HasImage(s.Image) {
			c.fetch = max(c.fetch, o.w.ImagePullTime(j.Spec))
		}
	}
}

// hasty says whether fetching a gang's image takes longer than its users want to wait,
// or at least a good part of that.
func (p *Planner) hasty(j *jobs.Job) bool {
	limit, ok := p.waits[j.Spec.Class]
	if !ok {
		return false
	}
	for _, w := range p.order {
		return w.ImagePullTime(j.Spec) > limit/2
	}
	return false
}

// keep holds machines of a zone for a gang that finds no place, as smaller tasks would
// take each time what becomes free: those with the most that ends by itself.
func (p *Planner) keep(j *jobs.Job, n int) {
	if len(p.reserved) > 0 {
		return // one at a time
	}
	var best []*workers.Worker
	for _, site := range p.sites(j) {
		var list []*workers.Worker
		places := func(w *workers.Worker) int {
			free := w.Type.VCPUs - w.VCPUs + w.BatchVCPUs
			if j.Spec.VCPUs <= 0 {
				return n
			}
			return int((free + slack) / j.Spec.VCPUs)
		}
		for _, w := range p.order {
			if (site == "" || w.Zone == site) && places(w) > 0 && p.may(j, w) {
				list = append(list, w)
			}
		}
		slices.SortStableFunc(list, func(a, b *workers.Worker) int { return cmp.Compare(places(b), places(a)) })
		sum := 0
		for i, w := range list {
			if sum += places(w); sum >= n {
				if i < gangHeld && (best == nil || i+1 < len(best)) {
					best = list[:i+1]
				}
				break
			}
		}
	}
	for _, w := range best {
		p.reserved[w] = j
	}
}

// stopVictim stops what must give way: a task, or the whole gang that it is of.
func (p *Planner) stopVictim(v *jobs.Task, w *workers.Worker, now ident.MonotonicTime) {
	if v.State != jobs.Assigned {
		return // stopped with its gang
	}
	p.Stats.Preempted++
	v.PreemptedAt = now
	if v.Job.IsGang() {
		for i := range v.Job.Tasks {
			v.Job.Tasks[i].PreemptedAt = now
		}
		p.act.StopGang(v.Job)
		return
	}
	p.act.Preempt(v, w, v.CheckpointGracePeriod())
}

// arrays says whether a job's tasks are independent ones that end.
func arrays(j *jobs.Job) bool { return j.Spec.Shape == api.Batch }

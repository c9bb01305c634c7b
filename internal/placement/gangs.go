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

// gangPlan is where a gang's waiting tasks would go.
type gangPlan struct {
	picks             []gang.Placement
	victims           []*jobs.Task  // to make room
	fetchTime         time.Duration // the slowest
	cost              float64       // of what is stopped
	machines          int           // machines
	waitForCheckpoint bool          // what is stopped saves first
}

// better says whether a gang starts sooner by a, then whether less is lost by it.
func (a *gangPlan) better(b *gangPlan) bool {
	return b == nil || cmp.Or(cmp.Compare(a.fetchTime, b.fetchTime), cmp.Compare(a.cost, b.cost), cmp.Compare(a.machines, b.machines)) < 0
}

const (
	// maxGangSearch bounds the machines that are looked at for work to stop for a gang, or as
	// many as it has tasks.
	maxGangSearch = 64
	// gangReserveDivisor is the part of MaxWait after which machines are kept for a gang that
	// finds no place, and maxGangReserved bounds those machines.
	gangReserveDivisor = 8
	maxGangReserved    = 16
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
		if now < t.RetryAt || p.machineTable.HasUnknownAttempt(t.TaskID()) {
			return
		}
		tasks = append(tasks, t)
	}
	if len(tasks) == 0 {
		return
	}
	if !p.teams.Allows(j.Spec, float64(len(tasks))) {
		if p.starved(j) && p.quotaBlocked[j.Spec.Team] == nil {
			p.quotaBlocked[j.Spec.Team] = j
		}
		return
	}
	var best *gangPlan
	for _, zone := range p.candidateZones(j) {
		if plan := p.planGang(j, tasks, zone); plan != nil && plan.better(best) {
			best = plan
		}
	}
	if best == nil {
		if now.Sub(j.SubmittedAt) > p.config.MaxWait/gangReserveDivisor {
			p.reserveForGang(j, len(tasks))
		}
		return
	}
	for _, victim := range best.victims {
		p.preemptVictim(victim, p.machineTable.Workers[victim.MachineID], now)
	}
	if best.waitForCheckpoint {
		for _, t := range tasks {
			t.RetryAt = now.Add(500 * time.Millisecond)
		}
		return
	}
	for _, pick := range best.picks {
		p.recordPlacement(pick.Task, pick.Worker)
	}
	for w, reservedFor := range p.starvationReserved {
		if reservedFor == j {
			delete(p.starvationReserved, w)
		}
	}
	p.Stats.Gangs++
	p.actions.PlaceGang(j, best.picks)
}

// candidateZones lists the zones that a gang could be in; "" stands for any of them together.
func (p *Planner) candidateZones(j *jobs.Job) []string {
	if !j.Spec.OneZone {
		return []string{""}
	}
	var out []string
	for _, w := range p.openMachines {
		if !slices.Contains(out, w.Zone) {
			out = append(out, w.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// planGang chooses machines for a gang's tasks in a zone: holders of the image first,
// then, if that is quicker than to fetch it, holders with work of less right; then the
// machines with the most room, so that few must fetch; then any with such work.
func (p *Planner) planGang(j *jobs.Job, tasks []*jobs.Task, zone string) *gangPlan {
	spec := j.Spec
	now := p.now()
	plan := &gangPlan{}
	remaining := tasks
	used := map[*workers.Worker]int{}
	zones := map[string]int{}
	for z, n := range j.AllocatedByZone {
		zones[z] = n
	}
	allowed := func(w *workers.Worker) bool {
		return (zone == "" || w.Zone == zone) && p.eligible(j, w) && !p.actions.GangUsedMachine(j, w)
	}
	assign := func(w *workers.Worker, n int) {
		if spec.Spread {
			n = min(n, (spec.Tasks+1)/2-zones[w.Zone])
		}
		n = min(n, len(remaining))
		if n <= 0 {
			return
		}
		for _, t := range remaining[:n] {
			plan.picks = append(plan.picks, gang.Placement{Task: t, Worker: w})
		}
		remaining = remaining[n:]
		zones[w.Zone] += n
		used[w] += n
		plan.machines++
	}
	holders, others := p.gangSlots(spec, allowed)
	for _, slots := range holders {
		assign(slots.worker, slots.tasks)
	}
	if len(remaining) > 0 && p.hasVictims(j) && p.fetchTooSlowForGang(j) {
		p.planEvictions(j, &remaining, plan, used, allowed, assign, true)
	}
	for _, slots := range others {
		if len(remaining) == 0 {
			break
		}
		plan.fetchTime = max(plan.fetchTime, slots.worker.ImagePullTime(j.Spec))
		assign(slots.worker, slots.tasks)
	}
	if len(remaining) > 0 && p.hasVictims(j) && now.Sub(j.SubmittedAt) > reclaimAfter {
		p.planEvictions(j, &remaining, plan, used, allowed, assign, false)
	}
	if len(remaining) > 0 {
		return nil
	}
	return plan
}

// machineSlots is how many tasks of a gang find room on a machine.
type machineSlots struct {
	worker *workers.Worker
	tasks  int
}

// gangSlots lists the allowed machines with room, those that hold the image and the others apart,
// the most room first.
func (p *Planner) gangSlots(s *api.Spec, allowed func(*workers.Worker) bool) (holders, others []machineSlots) {
	for _, w := range p.machinesWithRoom {
		if n := w.TaskCapacity(s); n > 0 && allowed(w) {
			if w.HasImage(s.Image) {
				holders = append(holders, machineSlots{w, n})
			} else {
				others = append(others, machineSlots{w, n})
			}
		}
	}
	most := func(a, b machineSlots) int { return cmp.Compare(b.tasks, a.tasks) }
	slices.SortStableFunc(holders, most)
	slices.SortStableFunc(others, most)
	return holders, others
}

// planEvictions goes on with machines where work of less right can be stopped.
func (p *Planner) planEvictions(j *jobs.Job, remaining *[]*jobs.Task, plan *gangPlan, used map[*workers.Worker]int, allowed func(*workers.Worker) bool,
	assign func(*workers.Worker, int), holdersOnly bool) {
	spec := j.Spec
	now := p.now()
	type offer struct {
		w    *workers.Worker
		n    int
		stop []*jobs.Task
		cost float64
	}
	var offers []offer
	enough := max(maxGangSearch, spec.Tasks)
	for _, w := range p.openMachines {
		if len(offers) >= enough || p.machinesSearched >= p.searchLimit() {
			break
		}
		if used[w] > 0 || holdersOnly && !w.HasImage(spec.Image) || w.LowerPriorityTasks(spec.Priority) == 0 && (!j.WithinQuota || w.BatchVCPUs == 0) || !allowed(w) {
			continue
		}
		p.machinesSearched++
		for n := len(*remaining); n > 0; n /= 2 {
			need := jobs.Resources{VCPUs: float64(n) * spec.VCPUs, GPUs: float64(n) * spec.GPUs, MemoryGB: float64(n) * spec.MemoryGB}
			if stop, cost, ok := p.chooseVictims(w, j, need, now, true, false); ok {
				offers = append(offers, offer{w, n, stop, cost})
				break
			}
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost/float64(a.n), b.cost/float64(b.n)) })
	for _, o := range offers {
		if len(*remaining) == 0 {
			return
		}
		before := len(*remaining)
		if assign(o.w, o.n); len(*remaining) == before {
			continue
		}
		plan.victims = append(plan.victims, o.stop...)
		plan.cost += o.cost
		for _, victim := range o.stop {
			plan.waitForCheckpoint = plan.waitForCheckpoint || victim.Job.Spec.CanCheckpoint()
		}
		if !o.w.HasImage(spec.Image) {
			plan.fetchTime = max(plan.fetchTime, o.w.ImagePullTime(j.Spec))
		}
	}
}

// fetchTooSlowForGang says whether fetching a gang's image takes longer than its users want to wait,
// or at least a good part of that.
func (p *Planner) fetchTooSlowForGang(j *jobs.Job) bool {
	limit, ok := p.startObjectives[j.Spec.Class]
	if !ok {
		return false
	}
	for _, w := range p.openMachines {
		return w.ImagePullTime(j.Spec) > limit/2
	}
	return false
}

// reserveForGang holds machines of a zone for a gang that finds no place, as smaller tasks would
// take each time what becomes free: those with the most that ends by itself.
func (p *Planner) reserveForGang(j *jobs.Job, tasks int) {
	if len(p.starvationReserved) > 0 {
		return // one at a time
	}
	var best []*workers.Worker
	for _, zone := range p.candidateZones(j) {
		var list []*workers.Worker
		places := func(w *workers.Worker) int {
			free := w.Type.VCPUs - w.VCPUs + w.BatchVCPUs
			if j.Spec.VCPUs <= 0 {
				return tasks
			}
			return int((free + tolerance) / j.Spec.VCPUs)
		}
		for _, w := range p.openMachines {
			if (zone == "" || w.Zone == zone) && places(w) > 0 && p.eligible(j, w) {
				list = append(list, w)
			}
		}
		slices.SortStableFunc(list, func(a, b *workers.Worker) int { return cmp.Compare(places(b), places(a)) })
		sum := 0
		for i, w := range list {
			if sum += places(w); sum >= tasks {
				if i < maxGangReserved && (best == nil || i+1 < len(best)) {
					best = list[:i+1]
				}
				break
			}
		}
	}
	for _, w := range best {
		p.starvationReserved[w] = j
	}
}

// preemptVictim stops what must give way: a task, or the whole gang that it is of.
func (p *Planner) preemptVictim(victim *jobs.Task, w *workers.Worker, now ident.MonotonicTime) {
	if victim.State != jobs.Assigned {
		return // stopped with its gang
	}
	p.Stats.Preempted++
	victim.PreemptedAt = now
	if victim.Job.IsGang() {
		for i := range victim.Job.Tasks {
			victim.Job.Tasks[i].PreemptedAt = now
		}
		p.actions.StopGang(victim.Job)
		return
	}
	p.actions.Preempt(victim, w, victim.CheckpointGracePeriod())
}

// isBatch says whether a job's tasks are independent ones that end.
func isBatch(j *jobs.Job) bool { return j.Spec.Shape == api.Batch }

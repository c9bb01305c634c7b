package placement

import (
	"cmp"
	"slices"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// Gangs are placed neither by the plan nor first-fit: both place tasks independently of each other
// (paper, §2.1 and §5.2), while a gang needs all of its tasks at once. As in the plan, machines that
// hold the image are preferred.

const (
	// minGangSearch bounds the candidate machines for preemption by a gang; the bound is the number
	// of its tasks where that is larger.
	minGangSearch = 64
	// Once a gang has waited for Config.MaxWait/gangReserveDivisor, machines are reserved for it, at
	// most maxGangReserved of them.
	gangReserveDivisor = 8
	maxGangReserved    = 16
	// If an image pull takes longer than the start objective divided by gangPullDivisor, a gang
	// preempts work on the machines that hold the image before others pull it.
	gangPullDivisor = 2
)

// placeGang finds machines for all waiting tasks of a gang at once, or for none.
func (d *dispatch) placeGang(j *jobs.Job) {
	if j.AllocatedTasks > 0 && !j.AcceptsReplacements {
		return
	}
	tasks := d.placeableGangTasks(j)
	if len(tasks) == 0 {
		return
	}
	if !d.teams.Allows(j.Spec, float64(len(tasks))) {
		if d.starved(j) {
			d.blockQuota(j)
		}
		return
	}
	plan := d.bestGangPlan(j, tasks)
	if plan != nil {
		d.carryOutGangPlan(j, tasks, plan)
		return
	}
	if d.now().Sub(j.SubmittedAt) > d.config.MaxWait/gangReserveDivisor {
		d.reserveForGang(j, len(tasks))
	}
}

// placeableGangTasks lists the waiting tasks of a gang, none if one of them may not be placed yet.
func (d *dispatch) placeableGangTasks(j *jobs.Job) []*jobs.Task {
	now := d.now()
	var tasks []*jobs.Task
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != jobs.Waiting {
			continue
		}
		if now < t.RetryAt || d.machineTable.HasUnknownAttempt(t.TaskID()) {
			return nil
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// bestGangPlan returns the best plan for a gang over the zones that it could be in, nil if there
// is none.
func (d *dispatch) bestGangPlan(j *jobs.Job, tasks []*jobs.Task) *gangPlan {
	var best *gangPlan
	for _, zone := range d.candidateZones(j) {
		if plan := d.planGang(j, tasks, zone); plan != nil && plan.betterThan(best) {
			best = plan
		}
	}
	return best
}

// carryOutGangPlan preempts the victims of a plan and places the gang, or lets it wait while the
// victims write their checkpoints.
func (d *dispatch) carryOutGangPlan(j *jobs.Job, tasks []*jobs.Task, plan *gangPlan) {
	now := d.now()
	for _, victim := range plan.victims {
		d.preemptVictim(victim, d.machineTable.Workers[victim.MachineID], now)
	}
	if plan.waitForCheckpoint {
		for _, t := range tasks {
			t.RetryAt = now.Add(preemptionRetry)
		}
		return
	}
	for _, pick := range plan.placements {
		d.recordPlacement(pick.Task, pick.Worker)
	}
	d.reservations.releaseStarved(j)
	d.Stats.Gangs++
	d.actions.PlaceGang(j, plan.placements)
}

// anyZone stands for all zones together.
const anyZone = ""

// inZone reports whether a machine is in a zone, or the zone is anyZone.
func inZone(w *workers.Worker, zone string) bool { return zone == anyZone || w.Zone == zone }

// candidateZones lists the zones that a gang could be in, anyZone alone if it may be in several
// at once.
func (d *dispatch) candidateZones(j *jobs.Job) []string {
	if !j.Spec.OneZone {
		return []string{anyZone}
	}
	var out []string
	for _, w := range d.openMachines {
		if !slices.Contains(out, w.Zone) {
			out = append(out, w.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// reserveForGang reserves machines of a zone for a gang that can't be placed, since smaller tasks
// would otherwise take any room that becomes free. It reserves as few machines as possible, and
// none while any are reserved for a starved job.
func (d *dispatch) reserveForGang(j *jobs.Job, tasks int) {
	if d.reservations.starvedCount() > 0 {
		return
	}
	var best []*workers.Worker
	for _, zone := range d.candidateZones(j) {
		machines := d.fewestMachinesFor(j, zone, tasks)
		if machines == nil || len(machines) > maxGangReserved {
			continue
		}
		if best == nil || len(machines) < len(best) {
			best = machines
		}
	}
	for _, w := range best {
		d.reservations.reserveStarved(w, j)
	}
}

// fewestMachinesFor returns the fewest machines of a zone that have room for a number of a gang's
// tasks once their batch tasks have ended, nil if the whole zone has too little.
func (d *dispatch) fewestMachinesFor(j *jobs.Job, zone string, tasks int) []*workers.Worker {
	slots := func(w *workers.Worker) int {
		if j.Spec.VCPUs <= 0 {
			return tasks
		}
		return int((unusedVCPUs(w) + w.BatchVCPUs + tolerance) / j.Spec.VCPUs)
	}
	var list []*workers.Worker
	for _, w := range d.openMachines {
		if inZone(w, zone) && slots(w) > 0 && d.eligible(j, w) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *workers.Worker) int { return cmp.Compare(slots(b), slots(a)) })
	sum := 0
	for i, w := range list {
		if sum += slots(w); sum >= tasks {
			return list[:i+1]
		}
	}
	return nil
}

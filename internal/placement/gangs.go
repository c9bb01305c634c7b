package placement

import (
	"cmp"
	"maps"
	"slices"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// Gangs are placed neither by the plan nor first-fit, since both place tasks independently of each
// other (paper, §2.1 and §5.2), while a gang needs all of its tasks at the same time. As in the plan,
// machines that have the image cached are preferred.

const (
	// minGangSearch limits the number of candidate machines for preemption by a gang. If the gang has
	// more tasks than that, the number of its tasks is the limit.
	minGangSearch = 64
	// gangReserveDivisor sets when machines are reserved for a gang: once it has waited for
	// Config.MaxWait/gangReserveDivisor.
	gangReserveDivisor = 8
	// maxGangReserved is the maximum number of machines reserved for a gang.
	maxGangReserved = 16
	// gangPullDivisor sets when an image pull is too slow for a gang: if it takes longer than the start
	// objective divided by gangPullDivisor. The gang then preempts work on the holders of the image
	// before other machines pull it.
	gangPullDivisor = 2
)

// placeGang places all waiting tasks of a gang, or none of them. If the gang can't be placed, it may
// reserve the team's quota or machines for it.
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
			d.reserveQuota(j)
		}
		return
	}
	plan := d.bestGangPlan(j, tasks)
	if plan != nil {
		d.applyGangPlan(j, tasks, plan)
		return
	}
	if d.now().Sub(j.SubmittedAt) > d.config.MaxWait/gangReserveDivisor {
		d.reserveForGang(j, len(tasks))
	}
}

// placeableGangTasks returns the waiting tasks of a gang, or nil if any of them may not be placed yet.
func (d *dispatch) placeableGangTasks(j *jobs.Job) []*jobs.Task {
	now := d.now()
	var tasks []*jobs.Task
	for _, t := range j.Tasks.All() {
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

// bestGangPlan returns the best plan for a gang over all candidate zones, or nil if there is none.
func (d *dispatch) bestGangPlan(j *jobs.Job, tasks []*jobs.Task) *gangPlan {
	var best *gangPlan
	for _, zone := range d.candidateZones(j) {
		if plan := d.planGang(j, tasks, zone); plan != nil && plan.betterThan(best) {
			best = plan
		}
	}
	return best
}

// applyGangPlan preempts the victims of a plan and places the gang. If a victim writes a checkpoint
// first, it places nothing and delays the tasks of the gang by preemptionRetry.
func (d *dispatch) applyGangPlan(j *jobs.Job, tasks []*jobs.Task, plan *gangPlan) {
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

// anyZone is the zone argument for placements that may use machines of all zones.
const anyZone = ""

// inZone reports whether a machine is in a zone. Every machine is in anyZone.
func inZone(w *workers.Worker, zone string) bool { return zone == anyZone || w.Zone == zone }

// candidateZones returns the zones to plan a gang for: each zone with schedulable machines if the gang
// must be in one zone, otherwise only anyZone.
func (d *dispatch) candidateZones(j *jobs.Job) []string {
	if !j.Spec.OneZone {
		return []string{anyZone}
	}
	var out []string
	for _, w := range d.schedulableMachines {
		if !slices.Contains(out, w.Zone) {
			out = append(out, w.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// reserveForGang reserves machines of a zone for a gang that can't be placed. Without reservations,
// smaller tasks would take all capacity that becomes free. It reserves as few machines as possible,
// and none while any machines are reserved for a starved job or a gang.
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
		d.reservations.reserveStarved(w, j, d.now())
	}
}

// fewestMachinesFor returns the smallest set of machines of a zone on which a number of a gang's tasks
// fit, within the gang's limit for each zone, after the batch tasks there have ended. It returns nil if there is none.
func (d *dispatch) fewestMachinesFor(j *jobs.Job, zone string, tasks int) []*workers.Worker {
	var list []machineSlots
	for _, w := range d.schedulableMachines {
		if !inZone(w, zone) || !d.reservations.canReserve(w, d.now()) || !d.eligible(j, w) || d.actions.GangUsedMachine(j, w) {
			continue
		}
		if slots := min(tasks, freeAfterBatch(w).TaskCapacity(j.Spec)); slots > 0 {
			list = append(list, machineSlots{worker: w, tasks: slots})
		}
	}
	slices.SortStableFunc(list, func(a, b machineSlots) int { return cmp.Compare(b.tasks, a.tasks) })
	var machines []*workers.Worker
	byZone := maps.Clone(j.AllocatedByZone)
	if byZone == nil {
		byZone = map[string]int{}
	}
	for _, candidate := range list {
		n := min(candidate.tasks, tasksLeftInZone(j, byZone, candidate.worker.Zone))
		if n <= 0 {
			continue
		}
		machines = append(machines, candidate.worker)
		byZone[candidate.worker.Zone] += n
		if tasks -= n; tasks <= 0 {
			return machines
		}
	}
	return nil
}

// tasksLeftInZone returns how many more tasks of a job may be in a zone, given its tasks by zone.
func tasksLeftInZone(j *jobs.Job, byZone map[string]int, zone string) int {
	if !j.Spec.Spread {
		return j.Spec.Tasks
	}
	return MaxTasksPerZone(j.Spec) - byZone[zone]
}

// freeAfterBatch returns the resources of a machine that are free once its batch tasks have ended.
func freeAfterBatch(w *workers.Worker) jobs.Resources {
	free := w.Free()
	for _, t := range w.Tasks {
		if isBatch(t.Job) {
			free = free.Add(jobs.ResourcesOf(t.Job.Spec))
		}
	}
	return free
}

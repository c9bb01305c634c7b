package placement

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// allows reports whether a machine satisfies the constraints of a job other than free capacity and zone.
func allows(w *workers.Worker, j *jobs.Job) bool {
	return w.Allows(j.Spec) && !j.AvoidedMachines[w.ID]
}

// zoneAllows reports whether one more task in a zone satisfies the job's one_zone and spread
// constraints, given the tasks that are already allocated.
func zoneAllows(j *jobs.Job, zone string) bool {
	s := j.Spec
	if s.OneZone {
		for z, n := range j.AllocatedByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !s.Spread || j.AllocatedByZone[zone] < MaxTasksPerZone(s)
}

// MaxTasksPerZone returns the maximum number of tasks in one zone for a job that is spread over zones.
func MaxTasksPerZone(s *api.Spec) int { return (s.Tasks + 1) / 2 }

// ZonesSuffice reports whether a job can have all of its tasks running at some time, if its tasks fit in a number of zones. Only
// gangs need all at once: an array that is spread over zones and has one zone runs half of its tasks after the other half, and a
// service runs as many replicas as it may.
func ZonesSuffice(s *api.Spec, zones int) bool {
	if s.OneZone {
		zones = min(zones, 1)
	}
	return s.Shape != api.Gang || !s.Spread || zones*MaxTasksPerZone(s) >= s.Tasks
}

// unusedVCPUs returns the number of CPUs of a machine that no task uses, whether reserved or not.
func unusedVCPUs(w *workers.Worker) float64 { return w.Type.VCPUs - w.VCPUs }

// hasCapacity reports whether a task of a job fits into the free capacity of a machine. For a batch job,
// the headroom for services must remain free as well.
func (p *Planner) hasCapacity(j *jobs.Job, w *workers.Worker) bool {
	return w.Fits(j.Spec) && p.KeepsServiceHeadroom(j, w)
}

// maxHeadroomWait is how long a job without any placed task waits before the headroom for services no longer binds it. It is
// shorter than the time for which any job may be left waiting beside free capacity.
const maxHeadroomWait = time.Minute

// KeepsServiceHeadroom reports whether one more task of a job may be placed on a machine as far as the headroom for services is
// concerned, based on the free capacity at the last dispatch. Only batch tasks on on-demand machines are restricted, except for
// one task of a job that has waited for maxHeadroomWait.
func (p *Planner) KeepsServiceHeadroom(j *jobs.Job, w *workers.Worker) bool {
	if w.Spot || !isBatch(j) || p.freeOnDemand[w.Zone]-j.Spec.VCPUs >= p.ServiceHeadroom[w.Zone]-tolerance {
		return true
	}
	return j.AllocatedTasks == 0 && p.now().Sub(j.SubmittedAt) >= maxHeadroomWait
}

// eligible reports whether a task of a job may be placed on a machine, regardless of its free capacity.
func (d *dispatch) eligible(j *jobs.Job, w *workers.Worker) bool {
	if !d.reservations.on(w).Admits(j) || isBatch(j) && !d.reservations.quotas[j.Spec.Team].Admits(j) {
		return false
	}
	return allows(w, j) && zoneAllows(j, w.Zone) && d.teams.Allows(j.Spec, 1)
}

// canRunOn reports whether a task of a job may be placed on a machine and fits there.
func (d *dispatch) canRunOn(j *jobs.Job, w *workers.Worker) bool {
	return d.hasCapacity(j, w) && d.eligible(j, w)
}

// isImageCached reports whether any machine that may run the job's tasks has its image cached. Machines
// that are unschedulable or in a zone that the job may not use are ignored: otherwise no other machine
// would pull the image, and the tasks would never be placed.
func (d *dispatch) isImageCached(j *jobs.Job) bool {
	cached, ok := d.imageCached[j]
	if !ok {
		for _, w := range d.holdersOf(j.Spec.Image) {
			if allows(w, j) && zoneAllows(j, w.Zone) {
				cached = true
				break
			}
		}
		d.imageCached[j] = cached
	}
	return cached
}

// nextTask returns the job's first waiting task that may be placed now, or nil if there is none.
func (d *dispatch) nextTask(j *jobs.Job) *jobs.Task {
	now := d.now()
	if j.PlaceableCount() == 0 {
		return nil
	}
	for i := d.taskCursor[j]; i < j.Tasks.Len(); i++ {
		t := j.Tasks.At(i)
		if t.State == jobs.Waiting && now >= t.RetryAt && !d.machineTable.HasUnknownAttempt(t.TaskID()) {
			d.taskCursor[j] = i
			return t
		}
	}
	d.taskCursor[j] = j.Tasks.Len()
	return nil
}

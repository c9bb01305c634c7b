package placement

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// allows checks what a job requires of a machine apart from room and zone.
func allows(w *workers.Worker, j *jobs.Job) bool {
	return w.Allows(j.Spec) && !j.AvoidedMachines[w.ID]
}

// zoneAllows checks the constraints one_zone and spread against the job's allocated tasks.
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

// MaxTasksPerZone is how many tasks of a job that is spread over zones may be in one of them.
func MaxTasksPerZone(s *api.Spec) int { return (s.Tasks + 1) / 2 }

// unusedVCPUs are the CPUs of a machine that no task uses, reserved or not.
func unusedVCPUs(w *workers.Worker) float64 { return w.Type.VCPUs - w.VCPUs }

// hasRoom checks the room on a machine, and for batch jobs the headroom kept for services.
func (p *Planner) hasRoom(j *jobs.Job, w *workers.Worker) bool {
	return w.Fits(j.Spec) && p.KeepsServiceHeadroom(j, w)
}

// KeepsServiceHeadroom reports whether one more task of a job on a machine leaves the room that
// batch jobs must leave free for services, as of the last dispatch.
func (p *Planner) KeepsServiceHeadroom(j *jobs.Job, w *workers.Worker) bool {
	return w.Spot || !isBatch(j) || p.freeOnDemand[w.Zone]-j.Spec.VCPUs >= p.ServiceHeadroom[w.Zone]-tolerance
}

// eligible reports whether a machine may take a task of a job, apart from room.
func (d *dispatch) eligible(j *jobs.Job, w *workers.Worker) bool {
	if reservedFor := d.reservations.jobOn(w); reservedFor != nil && reservedFor != j {
		return false
	}
	if blockedFor := d.quotaBlocked[j.Spec.Team]; blockedFor != nil && blockedFor != j && isBatch(j) {
		return false
	}
	return allows(w, j) && zoneAllows(j, w.Zone) && d.teams.Allows(j.Spec, 1)
}

// canRunOn reports whether a machine may take a task of a job, and has room for it.
func (d *dispatch) canRunOn(j *jobs.Job, w *workers.Worker) bool {
	return d.hasRoom(j, w) && d.eligible(j, w)
}

// isImageCached reports whether a machine that may take the job's tasks holds its image. Machines in
// other zones and those that take no work don't count: if they did, no other machine would pull
// the image, and the tasks would never be placed.
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

// nextTask returns the job's first waiting task that may be placed now, nil if there is none.
func (d *dispatch) nextTask(j *jobs.Job) *jobs.Task {
	now := d.now()
	if j.PlaceableCount() == 0 {
		return nil
	}
	for i := d.taskCursor[j]; i < len(j.Tasks); i++ {
		t := &j.Tasks[i]
		if t.State == jobs.Waiting && now >= t.RetryAt && !d.machineTable.HasUnknownAttempt(t.TaskID()) {
			d.taskCursor[j] = i
			return t
		}
	}
	d.taskCursor[j] = len(j.Tasks)
	return nil
}

package placement

import (
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// reservations are the machines whose room only one job may take. Without them smaller tasks
// would take whatever becomes free before it is enough for a larger one.
type reservations struct {
	starved map[*workers.Worker]*jobs.Job        // for a job that has waited too long, until it gets a task
	timed   map[*workers.Worker]timedReservation // for the beneficiary of a migration, until a time
}

// timedReservation keeps the room on a machine for a job until a time.
type timedReservation struct {
	job   *jobs.Job
	until ident.MonotonicTime
}

func newReservations() reservations {
	return reservations{
		starved: map[*workers.Worker]*jobs.Job{},
		timed:   map[*workers.Worker]timedReservation{},
	}
}

// jobOn returns the job that alone may take a machine's room, nil if any may. A starved job has
// precedence over the beneficiary of a migration.
func (r *reservations) jobOn(w *workers.Worker) *jobs.Job {
	if j := r.starved[w]; j != nil {
		return j
	}
	return r.timed[w].job
}

// isReservedForStarved reports whether a machine is reserved for a starved job.
func (r *reservations) isReservedForStarved(w *workers.Worker) bool { return r.starved[w] != nil }

// starvedCount is how many machines are reserved for starved jobs.
func (r *reservations) starvedCount() int { return len(r.starved) }

// hasStarvedReservation reports whether a machine is reserved for a starved job already.
func (r *reservations) hasStarvedReservation(j *jobs.Job) bool {
	for _, reservedFor := range r.starved {
		if reservedFor == j {
			return true
		}
	}
	return false
}

// reserveStarved reserves a machine for a starved job.
func (r *reservations) reserveStarved(w *workers.Worker, j *jobs.Job) { r.starved[w] = j }

// consume ends the reservations of a machine for a job once a task of the job is placed there.
func (r *reservations) consume(w *workers.Worker, j *jobs.Job) {
	if r.starved[w] == j {
		delete(r.starved, w)
	}
	r.releaseTimed(w, j)
}

// releaseStarved ends all reservations for a starved job.
func (r *reservations) releaseStarved(j *jobs.Job) {
	for w, reservedFor := range r.starved {
		if reservedFor == j {
			delete(r.starved, w)
		}
	}
}

// releaseTimed ends the timed reservation of a machine if it is for the job.
func (r *reservations) releaseTimed(w *workers.Worker, j *jobs.Job) {
	if r.timed[w].job == j {
		delete(r.timed, w)
	}
}

// expire ends the reservations that have timed out, whose job has got what it waits for, or whose
// machine takes no work.
func (r *reservations) expire(now ident.MonotonicTime) {
	for w, j := range r.starved {
		if j.WaitingCount() == 0 || j.AllocatedTasks > 0 || !w.Schedulable(now) {
			delete(r.starved, w)
		}
	}
	for w, entry := range r.timed {
		if now >= entry.until || entry.job.WaitingCount() == 0 || !w.Schedulable(now) {
			delete(r.timed, w)
		}
	}
}

// ReserveFor keeps what becomes free on a machine for a job until a time.
func (p *Planner) ReserveFor(w *workers.Worker, j *jobs.Job, until ident.MonotonicTime) {
	p.reservations.timed[w] = timedReservation{job: j, until: until}
}

// ReleaseReservation ends a reservation made by ReserveFor, if it is for the job.
func (p *Planner) ReleaseReservation(w *workers.Worker, j *jobs.Job) {
	p.reservations.releaseTimed(w, j)
}

// IsReserved reports whether a machine's room is kept for some job.
func (p *Planner) IsReserved(w *workers.Worker) bool { return p.reservations.jobOn(w) != nil }

package placement

import (
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// reservations records the machines on which only one job may be placed. Without reservations, smaller
// tasks would take freed capacity before enough of it is free for a larger task.
type reservations struct {
	starved map[*workers.Worker]*jobs.Job        // for a starved job or gang, until one of its tasks is placed
	timed   map[*workers.Worker]timedReservation // for the job that a migration frees capacity for
}

// timedReservation reserves the free capacity of a machine for a job until a point in time.
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

// jobOn returns the job that a machine is reserved for, or nil if it isn't reserved. The reservation
// for a starved job takes precedence over a timed reservation.
func (r *reservations) jobOn(w *workers.Worker) *jobs.Job {
	if j := r.starved[w]; j != nil {
		return j
	}
	return r.timed[w].job
}

// isReservedForStarved reports whether a machine is reserved for a starved job or a gang.
func (r *reservations) isReservedForStarved(w *workers.Worker) bool { return r.starved[w] != nil }

// starvedCount returns the number of machines that are reserved for starved jobs and gangs.
func (r *reservations) starvedCount() int { return len(r.starved) }

// hasStarvedReservation reports whether any machine is reserved for a given starved job.
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

// consume removes the reservations of a machine for a job, after a task of the job was placed there.
func (r *reservations) consume(w *workers.Worker, j *jobs.Job) {
	if r.starved[w] == j {
		delete(r.starved, w)
	}
	r.releaseTimed(w, j)
}

// releaseStarved removes all reservations for a starved job.
func (r *reservations) releaseStarved(j *jobs.Job) {
	for w, reservedFor := range r.starved {
		if reservedFor == j {
			delete(r.starved, w)
		}
	}
}

// releaseTimed removes the timed reservation of a machine if it is for the given job.
func (r *reservations) releaseTimed(w *workers.Worker, j *jobs.Job) {
	if r.timed[w].job == j {
		delete(r.timed, w)
	}
}

// expire removes the reservations that have expired, those whose job no longer needs them, and those of
// machines that are not schedulable.
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

// ReserveFor reserves the free capacity of a machine for a job until a point in time.
func (p *Planner) ReserveFor(w *workers.Worker, j *jobs.Job, until ident.MonotonicTime) {
	p.reservations.timed[w] = timedReservation{job: j, until: until}
}

// ReleaseReservation removes the reservation of a machine made by ReserveFor, if it is for the given job.
func (p *Planner) ReleaseReservation(w *workers.Worker, j *jobs.Job) {
	p.reservations.releaseTimed(w, j)
}

// IsReserved reports whether a machine is reserved for a job.
func (p *Planner) IsReserved(w *workers.Worker) bool { return p.reservations.jobOn(w) != nil }

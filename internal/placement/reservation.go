package placement

import (
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// reservation keeps the room that a move makes on a machine for the job that it is made for, until
// a time: smaller tasks would take it otherwise as soon as it is there.
type reservation struct {
	job   *jobs.Job
	until ident.MonotonicTime
}

// ReserveFor keeps what becomes free on a machine for a job until a time.
func (p *Planner) ReserveFor(w *workers.Worker, j *jobs.Job, until ident.MonotonicTime) {
	p.reservations[w] = reservation{j, until}
}

// ReleaseReservation ends the promise of a machine, if there is one to the job.
func (p *Planner) ReleaseReservation(w *workers.Worker, j *jobs.Job) {
	if p.reservations[w].job == j {
		delete(p.reservations, w)
	}
}

// IsReserved says whether a machine's room is kept for some job.
func (p *Planner) IsReserved(w *workers.Worker) bool { return p.reservedFor(w) != nil }

// reservedFor returns the job that alone may use a machine's room at present, nil if any may.
func (p *Planner) reservedFor(w *workers.Worker) *jobs.Job {
	if j := p.starvationReserved[w]; j != nil {
		return j
	}
	return p.reservations[w].job
}

// expireReservations drops what is not needed any more, or has lasted for long enough.
func (p *Planner) expireReservations(now ident.MonotonicTime) {
	for w, entry := range p.reservations {
		if now >= entry.until || entry.job.WaitingCount() == 0 || !w.Schedulable(now) {
			delete(p.reservations, w)
		}
	}
}

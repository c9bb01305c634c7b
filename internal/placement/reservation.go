package placement

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// maxReservationTime is how long capacity stays reserved for a starved job or a gang. It is shorter than the time for which
	// any job may be left waiting beside free capacity.
	maxReservationTime = time.Minute
	// reservationPause is how long capacity is not reserved again after a reservation has expired, so that other jobs can be
	// placed there.
	reservationPause = 10 * time.Second
)

// reservationEndReason is why a reservation for a starved job or a gang ended, as logged.
type reservationEndReason string

const (
	endPlaced         reservationEndReason = "job placed"
	endNotNeeded      reservationEndReason = "job no longer waits"
	endUnschedulable  reservationEndReason = "machine not schedulable"
	endQuotaAvailable reservationEndReason = "quota available"
	endExpired        reservationEndReason = "reservation expired"
)

// Reservation is capacity that only one job, and more urgent ones, may use until a point in time.
type Reservation struct {
	Job   *jobs.Job
	Since ident.MonotonicTime
	Until ident.MonotonicTime
}

// Admits reports whether a job may use the reserved capacity: the job that it is reserved for, and jobs of a higher priority.
// The zero reservation admits all jobs.
func (r Reservation) Admits(j *jobs.Job) bool {
	return r.Job == nil || r.Job == j || j.Spec.Priority.Level() < r.Job.Spec.Priority.Level()
}

// reservations records the machines and the quotas on which only one job, and more urgent ones, may be placed. Without
// reservations, smaller tasks would take freed capacity before enough of it is free for a larger task.
type reservations struct {
	starved map[*workers.Worker]Reservation // for a starved job or gang, until one of its tasks is placed
	timed   map[*workers.Worker]Reservation // for the job that a migration frees capacity for
	quotas  map[string]Reservation          // by team: for a starved job or gang, against other batch jobs of the team

	// pausedMachines and pausedQuotas hold until when capacity is not reserved again.
	pausedMachines map[*workers.Worker]ident.MonotonicTime
	pausedQuotas   map[string]ident.MonotonicTime
}

func newReservations() reservations {
	return reservations{
		starved:        map[*workers.Worker]Reservation{},
		timed:          map[*workers.Worker]Reservation{},
		quotas:         map[string]Reservation{},
		pausedMachines: map[*workers.Worker]ident.MonotonicTime{},
		pausedQuotas:   map[string]ident.MonotonicTime{},
	}
}

// on returns the reservation of a machine, or the zero reservation if it isn't reserved. The reservation for a starved job
// takes precedence over a timed reservation.
func (r *reservations) on(w *workers.Worker) Reservation {
	if reservation, ok := r.starved[w]; ok {
		return reservation
	}
	return r.timed[w]
}

// canReserve reports whether a machine may be reserved for a starved job or a gang now.
func (r *reservations) canReserve(w *workers.Worker, now ident.MonotonicTime) bool {
	_, reserved := r.starved[w]
	return !reserved && now >= r.pausedMachines[w]
}

// starvedCount returns the number of machines that are reserved for starved jobs and gangs.
func (r *reservations) starvedCount() int { return len(r.starved) }

// hasStarvedReservation reports whether any machine is reserved for a given starved job.
func (r *reservations) hasStarvedReservation(j *jobs.Job) bool {
	for _, reservation := range r.starved {
		if reservation.Job == j {
			return true
		}
	}
	return false
}

// reserveStarved reserves a machine for a starved job or a gang.
func (r *reservations) reserveStarved(w *workers.Worker, j *jobs.Job, now ident.MonotonicTime) {
	r.starved[w] = Reservation{Job: j, Since: now, Until: now.Add(maxReservationTime)}
	slog.Info("machine reserved", "machine", string(w.ID), "job", string(j.Spec.ID), "for_s", maxReservationTime.Seconds())
}

// reserveQuota reserves the quota of a job's team for the job, unless it is reserved already or must not be reserved yet.
func (r *reservations) reserveQuota(j *jobs.Job, now ident.MonotonicTime) {
	team := j.Spec.Team
	if _, reserved := r.quotas[team]; reserved || now < r.pausedQuotas[team] {
		return
	}
	r.quotas[team] = Reservation{Job: j, Since: now, Until: now.Add(maxReservationTime)}
	slog.Info("quota reserved", "team", team, "job", string(j.Spec.ID), "for_s", maxReservationTime.Seconds())
}

// consume removes the reservations of a machine for a job, after a task of the job was placed there.
func (r *reservations) consume(w *workers.Worker, j *jobs.Job) {
	if r.starved[w].Job == j {
		r.endStarved(w, endPlaced)
	}
	r.releaseTimed(w, j)
}

// releaseStarved removes all reservations of machines for a starved job that was placed.
func (r *reservations) releaseStarved(j *jobs.Job) {
	for _, w := range sortedMachines(r.starved) {
		if r.starved[w].Job == j {
			r.endStarved(w, endPlaced)
		}
	}
}

// endStarved removes the reservation of a machine for a starved job or a gang.
func (r *reservations) endStarved(w *workers.Worker, reason reservationEndReason) {
	slog.Info("machine no longer reserved",
		"machine", string(w.ID), "job", string(r.starved[w].Job.Spec.ID), "reason", string(reason))
	delete(r.starved, w)
}

// releaseTimed removes the timed reservation of a machine if it is for the given job.
func (r *reservations) releaseTimed(w *workers.Worker, j *jobs.Job) {
	if r.timed[w].Job == j {
		delete(r.timed, w)
	}
}

// sortedMachines returns the machines of a map of reservations, by name.
func sortedMachines(list map[*workers.Worker]Reservation) []*workers.Worker {
	return slices.SortedFunc(maps.Keys(list), func(a, b *workers.Worker) int { return cmp.Compare(a.ID, b.ID) })
}

// expire removes the reservations that have expired, those whose job no longer needs them, and those of
// machines that are not schedulable. quotaAllows reports whether the quota of a job's team has room for the job.
func (r *reservations) expire(now ident.MonotonicTime, quotaAllows func(*jobs.Job) bool) {
	r.expireStarved(now)
	for w, reservation := range r.timed {
		if now >= reservation.Until || reservation.Job.WaitingCount() == 0 || !w.Schedulable(now) {
			delete(r.timed, w)
		}
	}
	r.expireQuotas(now, quotaAllows)
	maps.DeleteFunc(r.pausedMachines, func(_ *workers.Worker, until ident.MonotonicTime) bool { return now >= until })
	maps.DeleteFunc(r.pausedQuotas, func(_ string, until ident.MonotonicTime) bool { return now >= until })
}

func (r *reservations) expireStarved(now ident.MonotonicTime) {
	for _, w := range sortedMachines(r.starved) {
		switch reservation := r.starved[w]; {
		case reservation.Job.WaitingCount() == 0 || reservation.Job.AllocatedTasks > 0:
			r.endStarved(w, endNotNeeded)
		case !w.Schedulable(now):
			r.endStarved(w, endUnschedulable)
		case now >= reservation.Until:
			r.pausedMachines[w] = now.Add(reservationPause)
			r.endStarved(w, endExpired)
		}
	}
}

func (r *reservations) expireQuotas(now ident.MonotonicTime, quotaAllows func(*jobs.Job) bool) {
	for _, team := range slices.Sorted(maps.Keys(r.quotas)) {
		reservation := r.quotas[team]
		var reason reservationEndReason
		switch {
		case reservation.Job.WaitingCount() == 0 || reservation.Job.AllocatedTasks > 0:
			reason = endNotNeeded
		case quotaAllows(reservation.Job):
			reason = endQuotaAvailable
		case now >= reservation.Until:
			reason = endExpired
			r.pausedQuotas[team] = now.Add(reservationPause)
		default:
			continue
		}
		slog.Info("quota no longer reserved", "team", team, "job", string(reservation.Job.Spec.ID), "reason", string(reason))
		delete(r.quotas, team)
	}
}

// ReserveFor reserves the free capacity of a machine for a job until a point in time.
func (p *Planner) ReserveFor(w *workers.Worker, j *jobs.Job, until ident.MonotonicTime) {
	p.reservations.timed[w] = Reservation{Job: j, Since: p.now(), Until: until}
}

// ReleaseReservation removes the reservation of a machine made by ReserveFor, if it is for the given job.
func (p *Planner) ReleaseReservation(w *workers.Worker, j *jobs.Job) {
	p.reservations.releaseTimed(w, j)
}

// IsReserved reports whether a machine is reserved for a job.
func (p *Planner) IsReserved(w *workers.Worker) bool { return p.ReservationOn(w).Job != nil }

// ReservationOn returns the reservation of a machine, or the zero reservation if it isn't reserved.
func (p *Planner) ReservationOn(w *workers.Worker) Reservation { return p.reservations.on(w) }

// MachineReservations returns the reservations of machines for starved jobs and gangs, by machine.
func (p *Planner) MachineReservations() map[ident.MachineID]Reservation {
	list := make(map[ident.MachineID]Reservation, len(p.reservations.starved))
	for w, reservation := range p.reservations.starved {
		list[w.ID] = reservation
	}
	return list
}

package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// Reservation keeps room on a machine for a task that is about to be placed there. Only work of a
// higher priority may use that room.
type Reservation struct {
	Resources jobs.Resources
	Priority  api.Priority
}

// Reserve keeps room on the machine. It returns false if there is a reservation already or
// not as much room.
func (w *Worker) Reserve(r Reservation) bool {
	if w.reservation != nil || !w.HasRoom(r.Resources) {
		return false
	}
	w.reservation = &r
	return true
}

// ReleaseReservation gives up the machine's reservation.
func (w *Worker) ReleaseReservation() { w.reservation = nil }

// HasReservation reports whether the machine has a reservation.
func (w *Worker) HasReservation() bool { return w.reservation != nil }

// ReservationCovered reports whether the machine has a reservation and still the room for it:
// work of a higher priority may have taken that.
func (w *Worker) ReservationCovered() bool {
	return w.reservation != nil && w.unused().Covers(w.reservation.Resources)
}

// unused returns the resources that no task takes, none while the machine's type is not known.
func (w *Worker) unused() jobs.Resources {
	if w.Type == nil {
		return jobs.Resources{}
	}
	return capacityOf(w.Type).Sub(w.Usage.allocated())
}

// Free returns the resources that neither a task nor the reservation takes.
func (w *Worker) Free() jobs.Resources {
	if w.reservation == nil {
		return w.unused()
	}
	return w.unused().Sub(w.reservation.Resources)
}

// FreeFor returns the resources that work of a priority may use, including those that are reserved
// for a lower priority.
func (w *Worker) FreeFor(p api.Priority) jobs.Resources {
	if w.reservation != nil && w.reservation.Priority.Level() > p.Level() {
		return w.unused()
	}
	return w.Free()
}

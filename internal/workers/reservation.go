package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// Reservation keeps room on a machine for a task that is about to be placed there. For
// other work that room is taken, except for work of a higher priority.
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

// unused is what no task takes; nothing while the machine's type is not known.
func (w *Worker) unused() jobs.Resources {
	if w.Type == nil {
		return jobs.Resources{}
	}
	return capacityOf(w.Type).Sub(w.Usage.allocated())
}

// Free is what neither a task nor the reservation takes.
func (w *Worker) Free() jobs.Resources {
	if w.reservation == nil {
		return w.unused()
	}
	return w.unused().Sub(w.reservation.Resources)
}

// FreeFor is what work of a priority may use, which includes a reservation of a lower priority.
func (w *Worker) FreeFor(p api.Priority) jobs.Resources {
	if w.reservation != nil && w.reservation.Priority.Level() > p.Level() {
		return w.unused()
	}
	return w.Free()
}

package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// Reservation holds free resources of a machine for a task that is about to be placed there. Only tasks
// with a higher priority may use the reserved resources.
type Reservation struct {
	Resources jobs.Resources
	Priority  api.Priority
}

// Reserve adds a reservation to the machine. It returns false if the machine already has a reservation or
// too few free resources.
func (w *Worker) Reserve(r Reservation) bool {
	if w.reservation != nil || !w.HasCapacityFor(r.Resources) {
		return false
	}
	w.reservation = &r
	return true
}

// ReleaseReservation removes the machine's reservation, if any.
func (w *Worker) ReleaseReservation() { w.reservation = nil }

// HasReservation reports whether the machine has a reservation.
func (w *Worker) HasReservation() bool { return w.reservation != nil }

// ReservationCovered reports whether the machine has a reservation and its unallocated resources still
// cover it. Tasks with a higher priority may have been placed on the reserved resources.
func (w *Worker) ReservationCovered() bool {
	return w.reservation != nil && w.unused().Covers(w.reservation.Resources)
}

// unused returns the resources that are not allocated to tasks, whether reserved or not. It returns zero
// resources if the machine type is unknown.
func (w *Worker) unused() jobs.Resources {
	if w.Type == nil {
		return jobs.Resources{}
	}
	return CapacityOf(w.Type).Sub(w.Usage.allocated())
}

// Free returns the resources that are neither allocated to tasks nor reserved.
func (w *Worker) Free() jobs.Resources {
	if w.reservation == nil {
		return w.unused()
	}
	return w.unused().Sub(w.reservation.Resources)
}

// FreeFor returns the resources available to tasks with the given priority, including resources reserved
// with a lower priority.
func (w *Worker) FreeFor(p api.Priority) jobs.Resources {
	if w.reservation != nil && w.reservation.Priority.Level() > p.Level() {
		return w.unused()
	}
	return w.Free()
}

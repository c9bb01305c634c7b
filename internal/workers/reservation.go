package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// Reservation keeps room on a machine for a task that is about to come there. Other work finds
// that room taken, but for work of a higher priority.
type Reservation struct {
	Resources jobs.Resources
	Priority  api.Priority
}

// Reserve keeps room; false if the machine has a reservation already, or not as much room.
func (w *Worker) Reserve(r Reservation) bool {
	if w.reservation != nil || !w.HasRoom(r.Resources) {
		return false
	}
	w.reservation = &r
	return true
}

// ReleaseReservation gives up what was reserved.
func (w *Worker) ReleaseReservation() { w.reservation = nil }

// HasReservation says whether the machine has a reservation.
func (w *Worker) HasReservation() bool { return w.reservation != nil }

// ReservationCovered says whether the machine still has what is kept: work of a higher priority may
// have taken it.
func (w *Worker) ReservationCovered() bool {
	return w.reservation != nil && w.unused().Covers(w.reservation.Resources)
}

// unused is what no task takes; nothing while the machine's type is not known.
func (w *Worker) unused() jobs.Resources {
	if w.Type == nil {
		return jobs.Resources{}
	}
	return jobs.Resources{VCPUs: w.Type.VCPUs - w.VCPUs, GPUs: w.Type.GPUs - w.GPUs, MemoryGB: w.Type.MemoryGB - w.MemoryGB}
}

// Free is what neither a task takes nor a reservation keeps.
func (w *Worker) Free() jobs.Resources {
	if w.reservation == nil {
		return w.unused()
	}
	return w.unused().Sub(w.reservation.Resources)
}

// FreeFor is what work of a priority may use: a reservation of lower priority gives way.
func (w *Worker) FreeFor(p api.Priority) jobs.Resources {
	if w.reservation != nil && w.reservation.Priority.Level() > p.Level() {
		return w.unused()
	}
	return w.Free()
}

package workers

import (
	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// Reservation keeps room on a machine for a task that is about to come there. Other work finds
// that room taken, but for work of a higher priority.
type Reservation struct {
	Need     jobs.Need
	Priority api.Priority
}

// Reserve keeps room; false if the machine has a reservation already, or not as much room.
func (w *Worker) Reserve(r Reservation) bool {
	if w.reservation != nil || !w.Room(r.Need) {
		return false
	}
	w.reservation = &r
	return true
}

// Unreserve gives up what was reserved.
func (w *Worker) Unreserve() { w.reservation = nil }

// Keeps says whether the machine has a reservation.
func (w *Worker) Keeps() bool { return w.reservation != nil }

// ReservationHolds says whether the machine still has what is kept: work of a higher priority may
// have taken it.
func (w *Worker) ReservationHolds() bool {
	return w.reservation != nil && w.unused().Covers(w.reservation.Need)
}

// unused is what no task takes; nothing while the machine's type is not known.
func (w *Worker) unused() jobs.Need {
	if w.Kind == nil {
		return jobs.Need{}
	}
	return jobs.Need{VCPUs: w.Kind.VCPUs - w.VCPUs, Cards: w.Kind.Cards - w.Cards, MemoryGB: w.Kind.MemoryGB - w.MemoryGB}
}

// Free is what neither a task takes nor a reservation keeps.
func (w *Worker) Free() jobs.Need {
	if w.reservation == nil {
		return w.unused()
	}
	return w.unused().Minus(w.reservation.Need)
}

// FreeFor is what work of a priority may use: a reservation of lower priority gives way.
func (w *Worker) FreeFor(p api.Priority) jobs.Need {
	if w.reservation != nil && w.reservation.Priority.Level() > p.Level() {
		return w.unused()
	}
	return w.Free()
}

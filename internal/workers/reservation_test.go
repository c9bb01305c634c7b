package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
)

// TestReservation: what is reserved is taken for other work, but for work of a higher priority,
// and free again once it is given up.
func TestReservation(t *testing.T) {
	w := &Worker{Kind: &cloud.Model{VCPUs: 8, MemoryGB: 32}, VCPUs: 2}
	four, six := jobs.Need{VCPUs: 4}, jobs.Need{VCPUs: 6}
	spec := &api.Spec{Tasks: 9, VCPUs: 2}
	if w.Reserve(Reservation{Need: jobs.Need{VCPUs: 7}}) || w.Keeps() {
		t.Error("more is reserved than there is")
	}
	if !w.Reserve(Reservation{Need: four, Priority: api.Standard}) || w.Reserve(Reservation{Need: jobs.Need{VCPUs: 1}}) {
		t.Error("room is not reserved, or twice")
	}
	if w.Room(four) || w.Places(spec) != 1 || w.Free().VCPUs != 2 {
		t.Errorf("beside the reservation: %v, %d places, %v free", w.Room(four), w.Places(spec), w.Free())
	}
	if w.FreeFor(api.High) != w.unused() || w.FreeFor(api.Standard) != w.Free() || w.FreeFor(api.BestEffort) != w.Free() {
		t.Errorf("by priority: %v, %v, %v", w.FreeFor(api.High), w.FreeFor(api.Standard), w.FreeFor(api.BestEffort))
	}
	if !w.ReservationHolds() {
		t.Error("the reservation is lost")
	}
	w.VCPUs = 5
	if w.ReservationHolds() {
		t.Error("a reservation holds though its room was taken")
	}
	w.VCPUs = 2
	w.Unreserve()
	if w.ReservationHolds() || w.Keeps() || !w.Room(six) {
		t.Error("the reservation is not given up")
	}
}

package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
)

// TestReservation: reserved room is not available to other work, except to work of a higher priority, until
// the reservation is released.
func TestReservation(t *testing.T) {
	w := &Worker{Type: &cloud.MachineType{VCPUs: 8, MemoryGB: 32}, Usage: Usage{VCPUs: 2}}
	four, six := jobs.Resources{VCPUs: 4}, jobs.Resources{VCPUs: 6}
	spec := &api.Spec{Tasks: 9, VCPUs: 2}
	if w.Reserve(Reservation{Resources: jobs.Resources{VCPUs: 7}}) || w.HasReservation() {
		t.Error("more is reserved than there is")
	}
	if !w.Reserve(Reservation{Resources: four, Priority: api.Standard}) {
		t.Error("room is not reserved")
	}
	if w.Reserve(Reservation{Resources: jobs.Resources{VCPUs: 1}}) {
		t.Error("room is reserved twice")
	}
	if w.HasRoom(four) || w.TaskCapacity(spec) != 1 || w.Free().VCPUs != 2 {
		t.Errorf("beside the reservation: has room %v, for %d tasks, %v free", w.HasRoom(four), w.TaskCapacity(spec), w.Free())
	}
	if w.FreeFor(api.High) != w.unused() || w.FreeFor(api.Standard) != w.Free() || w.FreeFor(api.BestEffort) != w.Free() {
		t.Errorf("by priority: %v, %v, %v", w.FreeFor(api.High), w.FreeFor(api.Standard), w.FreeFor(api.BestEffort))
	}
	if !w.ReservationCovered() {
		t.Error("the reservation is not covered")
	}
	w.VCPUs = 5
	if w.ReservationCovered() {
		t.Error("the reservation is covered though its room was taken")
	}
	w.VCPUs = 2
	w.ReleaseReservation()
	if w.ReservationCovered() || w.HasReservation() || !w.HasRoom(six) {
		t.Error("the reservation is not released")
	}
}

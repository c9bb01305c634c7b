package workers

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/jobs"
)

// TestReservation checks that reserved resources are available only to tasks with a higher priority until the
// reservation is released.
func TestReservation(t *testing.T) {
	w := &Worker{Type: &cloud.MachineType{VCPUs: 8, MemoryGB: 32}, Usage: Usage{VCPUs: 2}}
	four, six := jobs.Resources{VCPUs: 4}, jobs.Resources{VCPUs: 6}
	spec := &api.Spec{Tasks: 9, VCPUs: 2}
	if w.Reserve(Reservation{Resources: jobs.Resources{VCPUs: 7}}) || w.HasReservation() {
		t.Error("reserved 7 vCPUs on a machine with 6 free, want failure")
	}
	if !w.Reserve(Reservation{Resources: four, Priority: api.Standard}) {
		t.Error("reserving 4 of 6 free vCPUs failed, want success")
	}
	if w.Reserve(Reservation{Resources: jobs.Resources{VCPUs: 1}}) {
		t.Error("a second reservation succeeded, want failure")
	}
	if w.HasCapacityFor(four) || w.TaskCapacity(spec) != 1 || w.Free().VCPUs != 2 {
		t.Errorf("with 4 of 6 vCPUs reserved: has 4 free %v, capacity %d tasks, %v free; want false, 1 task, 2 vCPUs free",
			w.HasCapacityFor(four), w.TaskCapacity(spec), w.Free())
	}
	if w.FreeFor(api.High) != w.unused() || w.FreeFor(api.Standard) != w.Free() || w.FreeFor(api.BestEffort) != w.Free() {
		t.Errorf("free for high, standard, best effort: got %v, %v, %v; want %v, %v, %v",
			w.FreeFor(api.High), w.FreeFor(api.Standard), w.FreeFor(api.BestEffort), w.unused(), w.Free(), w.Free())
	}
	if !w.ReservationCovered() {
		t.Errorf("reservation is not covered with %v unused, want covered", w.unused())
	}
	w.VCPUs = 5
	if w.ReservationCovered() {
		t.Errorf("reservation is covered with only %v unused, want not covered", w.unused())
	}
	w.VCPUs = 2
	w.ReleaseReservation()
	if w.ReservationCovered() || w.HasReservation() || !w.HasCapacityFor(six) {
		t.Errorf("after release: covered %v, has reservation %v, has 6 vCPUs free %v; want false, false, true",
			w.ReservationCovered(), w.HasReservation(), w.HasCapacityFor(six))
	}
}

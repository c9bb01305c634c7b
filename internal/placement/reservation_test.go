package placement

import (
	"testing"
	"time"

	"opaldale/internal/jobs"
)

// TestReservation checks that no other job is placed on a machine that is reserved for a job until that job
// is placed, the reservation expires, or the reservation is released.
func TestReservation(t *testing.T) {
	allocated := func(j *jobs.Job) bool { return j.Tasks.At(0).State.Allocated() }
	c, first, other := newReservedCluster()
	if c.planner.Dispatch(); allocated(other) || !c.planner.IsReserved(c.machines.Sorted()[0]) {
		t.Error("another job is placed on the reserved machine, or the reservation was removed")
	}
	first.Tasks.At(0).RetryAt = 0
	if c.planner.Dispatch(); !allocated(first) {
		t.Error("the job with the reservation is not placed")
	}
	if c.planner.Dispatch(); !allocated(other) || c.planner.IsReserved(c.machines.Sorted()[0]) {
		t.Error("the machine is still reserved after the job with the reservation is placed")
	}

	c, _, other = newReservedCluster()
	c.now = c.now.Add(11 * time.Second)
	if c.planner.Dispatch(); !allocated(other) {
		t.Error("the other job is not placed after the reservation has expired")
	}

	c, first, other = newReservedCluster()
	c.planner.ReleaseReservation(c.machines.Sorted()[0], other)
	if c.planner.Dispatch(); allocated(other) {
		t.Error("the other job is placed after a release that was not for the job with the reservation")
	}
	c.planner.ReleaseReservation(c.machines.Sorted()[0], first)
	if c.planner.Dispatch(); !allocated(other) {
		t.Error("the other job is not placed after the reservation was released")
	}
}

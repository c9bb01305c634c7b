package placement

import (
	"testing"
	"time"

	"opaldale/internal/jobs"
)

// TestReservation: room that is reserved for a job goes to no other one until the job is placed, the
// reservation times out, or it is released.
func TestReservation(t *testing.T) {
	allocated := func(j *jobs.Job) bool { return j.Tasks[0].State.Allocated() }
	c, first, other := newReservedCluster()
	if c.planner.Dispatch(); allocated(other) || !c.planner.IsReserved(c.machines.Sorted()[0]) {
		t.Error("another job has the room")
	}
	first.Tasks[0].RetryAt = 0
	if c.planner.Dispatch(); !allocated(first) {
		t.Error("the job that it is reserved for has not got the room")
	}
	if c.planner.Dispatch(); !allocated(other) || c.planner.IsReserved(c.machines.Sorted()[0]) {
		t.Error("the rest of the room is still reserved")
	}

	c, _, other = newReservedCluster()
	c.now = c.now.Add(11 * time.Second)
	if c.planner.Dispatch(); !allocated(other) {
		t.Error("room is reserved beyond its time")
	}

	c, first, other = newReservedCluster()
	c.planner.ReleaseReservation(c.machines.Sorted()[0], other)
	if c.planner.Dispatch(); allocated(other) {
		t.Error("a release for another job ends the reservation")
	}
	c.planner.ReleaseReservation(c.machines.Sorted()[0], first)
	if c.planner.Dispatch(); !allocated(other) {
		t.Error("room is reserved though the reservation is released")
	}
}

package placement

import (
	"testing"
	"time"

	"opaldale/internal/jobs"
)

// TestReservation: room that is kept for a job goes to no other one, until that has it, the time is
// over, or the promise is withdrawn.
func TestReservation(t *testing.T) {
	held := func(j *jobs.Job) bool { return j.Tasks[0].State.Allocated() }
	l, first, other := newReservedCluster()
	if l.planner.Dispatch(); held(other) || !l.planner.IsReserved(l.machines.Sorted()[0]) {
		t.Error("another job has the room")
	}
	first.Tasks[0].RetryAt = 0
	if l.planner.Dispatch(); !held(first) {
		t.Error("the job that it is kept for has not got the room")
	}
	if l.planner.Dispatch(); !held(other) || l.planner.IsReserved(l.machines.Sorted()[0]) {
		t.Error("the rest of the room is kept on")
	}

	l, _, other = newReservedCluster()
	l.now = l.now.Add(11 * time.Second)
	if l.planner.Dispatch(); !held(other) {
		t.Error("room is kept beyond its time")
	}

	l, first, other = newReservedCluster()
	l.planner.ReleaseReservation(l.machines.Sorted()[0], other)
	if l.planner.Dispatch(); held(other) {
		t.Error("another job withdraws the promise")
	}
	l.planner.ReleaseReservation(l.machines.Sorted()[0], first)
	if l.planner.Dispatch(); !held(other) {
		t.Error("room is kept though the promise is withdrawn")
	}
}

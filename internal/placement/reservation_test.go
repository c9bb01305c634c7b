package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// newReservedCluster makes one empty machine whose room is kept for a job that can't be placed yet, and
// another job that waits.
func newReservedCluster() (l *testCluster, first, other *jobs.Job) {
	l = newTestCluster(0)
	l.heartbeat(l.machines.Add(workers.MachineInfo{ID: "host-000001", Model: "m16", Zone: "east", Spot: true, CreatedAt: l.now}))
	first, other = l.submitAs("red", api.Standard, 1), l.submitAs("red", api.Standard, 1)
	first.Tasks[0].RetryAt = l.now.Add(time.Hour)
	l.planner.ReserveFor(l.machines.Sorted()[0], first, l.now.Add(10*time.Second))
	return l, first, other
}

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

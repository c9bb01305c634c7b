package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// TestRecentlyPreemptedIsSpared checks that a recently preempted task is not the cheapest victim, although
// it has just started and would lose the least work. Otherwise it would be preempted repeatedly.
func TestRecentlyPreemptedIsSpared(t *testing.T) {
	c := newTestCluster(1)
	c.submit(api.Batch, 4, 4)
	c.dispatchAll()
	w := c.machines.Sorted()[0]
	c.heartbeat(w)
	j := &jobs.Job{Spec: &api.Spec{Priority: api.Critical, VCPUs: 4, Shape: api.Service}}
	c.now = c.now.Add(30 * time.Second)
	request := victimRequest{job: j, need: jobs.ResourcesOf(j.Spec), now: c.now}
	first := c.planner.chooseVictims(w, request)
	if first == nil || len(first.victims) != 1 {
		t.Fatalf("got preemption %+v, want one victim", first)
	}
	first.victims[0].PreemptedAt = c.now
	if next := c.planner.chooseVictims(w, request); next == nil || next.victims[0] == first.victims[0] {
		t.Errorf("got preemption %+v, want a victim that was not preempted recently", next)
	}
	for _, v := range w.Tasks {
		v.PreemptedAt = c.now
	}
	skippingRecent := request
	skippingRecent.skipRecent = true
	if c.planner.chooseVictims(w, skippingRecent) != nil {
		t.Error("got a preemption of recently preempted tasks with skipRecent, want none")
	}
	if c.planner.chooseVictims(w, request) == nil {
		t.Error("got no preemption without skipRecent, want one of a recently preempted task")
	}
}

// TestGuaranteedJobIsPlacedAtOnce checks that a single dispatch preempts borrowers for all tasks of a
// guaranteed job, although the cluster has more machines than a dispatch may search for each task
// separately.
func TestGuaranteedJobIsPlacedAtOnce(t *testing.T) {
	c := newBorrowedCluster(900, 0)
	j := c.submitAs("red", api.Standard, 80)
	c.now = c.now.Add(time.Second)
	c.planner.Dispatch()
	if j.AllocatedTasks != 80 {
		t.Errorf("got %d of 80 tasks allocated after the first dispatch, want 80", j.AllocatedTasks)
	}
	if n := c.planner.Stats.Preempted; n != 80 {
		t.Errorf("got %d tasks preempted for 80 tasks of the same size, want 80", n)
	}
}

// TestBorrowersComeLast checks that the tasks of a team with a guarantee are placed before those of a
// borrower, although they need an image pull and the borrower's image is cached on the machine. The
// borrower gets the remaining capacity.
func TestBorrowersComeLast(t *testing.T) {
	c := newBorrowedCluster(2, 3)
	j := c.submitAs("red", api.Standard, 2)
	borrower := c.jobs.Jobs["j-1"]
	allocatedBefore := borrower.AllocatedTasks
	c.planner.Round()
	c.planner.Dispatch()
	if j.AllocatedTasks != 2 || borrower.AllocatedTasks != allocatedBefore+1 {
		t.Errorf("got %d tasks of the other team and %d more of the borrower allocated, want 2 and 1",
			j.AllocatedTasks, borrower.AllocatedTasks-allocatedBefore)
	}
}

package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// TestRecentlyPreemptedIsSpared: a recently preempted task is not the cheapest victim, although it has
// just started.
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
		t.Fatalf("%+v", first)
	}
	first.victims[0].PreemptedAt = c.now
	if next := c.planner.chooseVictims(w, request); next == nil || next.victims[0] == first.victims[0] {
		t.Errorf("the same task again: %+v", next)
	}
	for _, v := range w.Tasks {
		v.PreemptedAt = c.now
	}
	skippingRecent := request
	skippingRecent.skipRecent = true
	if c.planner.chooseVictims(w, skippingRecent) != nil {
		t.Error("a task that was preempted recently is preempted though there is room elsewhere")
	}
	if c.planner.chooseVictims(w, request) == nil {
		t.Error("nothing is preempted though there is no other room")
	}
}

// TestGuaranteedJobIsPlacedAtOnce: one dispatch preempts borrowers for all tasks of a guaranteed job,
// in a cluster with more machines than a dispatch could search for each task.
func TestGuaranteedJobIsPlacedAtOnce(t *testing.T) {
	c := newBorrowedCluster(900, 0)
	j := c.submitAs("red", api.Standard, 80)
	c.now = c.now.Add(time.Second)
	c.planner.Dispatch()
	if j.AllocatedTasks != 80 {
		t.Errorf("%d of 80 tasks are placed by the first dispatch", j.AllocatedTasks)
	}
	if n := c.planner.Stats.Preempted; n != 80 {
		t.Errorf("%d tasks were stopped for 80 of the same size", n)
	}
}

// TestBorrowersComeLast: room on a machine that holds the image of a borrower goes to another team's
// tasks, though they must pull their image and the borrower's waiting tasks are local there. The
// borrower gets the rest.
func TestBorrowersComeLast(t *testing.T) {
	c := newBorrowedCluster(2, 3)
	j := c.submitAs("red", api.Standard, 2)
	borrower := c.jobs.Jobs["j-1"]
	allocatedBefore := borrower.AllocatedTasks
	c.planner.Round()
	c.planner.Dispatch()
	if j.AllocatedTasks != 2 || borrower.AllocatedTasks != allocatedBefore+1 {
		t.Errorf("%d of 2 tasks of the other team are placed, and %d more of the borrower",
			j.AllocatedTasks, borrower.AllocatedTasks-allocatedBefore)
	}
}

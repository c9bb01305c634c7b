package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// allocatedByZone returns the number of allocated tasks of a job by zone.
func allocatedByZone(c *testCluster, j *jobs.Job) map[string]int {
	out := map[string]int{}
	for i := range j.Tasks.Len() {
		if t := j.Tasks.At(i); t.State.Allocated() {
			out[c.machines.Workers[t.MachineID].Zone]++
		}
	}
	return out
}

// TestGangsPlaceAllOrNothing checks that a gang is placed only when a zone has capacity for all of its
// tasks. A gang that waits for capacity must not occupy any.
func TestGangsPlaceAllOrNothing(t *testing.T) {
	c := newTwoZoneCluster(2, 1) // two tasks of 8 CPUs on each machine
	j := c.submitGang(5, 8, true)
	c.dispatchAll()
	if j.AllocatedTasks > 0 {
		t.Fatalf("got %d of 5 tasks allocated in a zone with capacity for 4, want 0", j.AllocatedTasks)
	}
	anywhere := c.submitGang(6, 8, false)
	if c.dispatchAll(); anywhere.AllocatedTasks != 6 {
		t.Fatalf("got %d of 6 tasks allocated in a cluster with capacity for 6, want 6", anywhere.AllocatedTasks)
	}
	c = newTwoZoneCluster(2, 3)
	j = c.submitGang(5, 8, true)
	if c.dispatchAll(); j.AllocatedTasks != 5 || allocatedByZone(c, j)["west"] != 5 {
		t.Errorf("got %d tasks allocated, by zone %v; want 5, all in west", j.AllocatedTasks, allocatedByZone(c, j))
	}
}

// TestGangsGoToHolders checks that a gang is placed on machines that have its image cached rather than on
// machines with more free capacity.
func TestGangsGoToHolders(t *testing.T) {
	c := newTwoZoneCluster(6, 0)
	first := c.submitGang(2, 2, true)
	c.dispatchAll()
	w := c.machines.Workers[first.Tasks.At(0).MachineID]
	c.heartbeat(w)
	second := c.submitGang(4, 2, true)
	c.dispatchAll()
	for i := range second.Tasks.Len() {
		if second.Tasks.At(i).MachineID != w.ID {
			t.Errorf("task %d is on %s, want %s, which has the image cached", i, second.Tasks.At(i).MachineID, w.ID)
		}
	}
}

// TestGangsPreemptBatch checks that batch jobs of lower priority are preempted for all tasks of a gang
// together, once the gang has waited for reclaimAfter.
func TestGangsPreemptBatch(t *testing.T) {
	c := newTwoZoneCluster(3, 0)
	c.submit(api.Batch, 12, 4)
	c.dispatchAll()
	for _, w := range c.machines.Sorted() {
		c.heartbeat(w)
	}
	j := c.submitGang(6, 4, true)
	c.now = c.now.Add(2 * reclaimAfter)
	c.dispatchAll()
	if j.AllocatedTasks != 6 {
		t.Errorf("got %d of 6 tasks allocated, want all", j.AllocatedTasks)
	}
}

// TestGangsDontStarve checks that machines are reserved for a gang that has waited for long. Otherwise a
// steady stream of smaller tasks would take all capacity that becomes free.
func TestGangsDontStarve(t *testing.T) {
	c := newTwoZoneCluster(2, 0)
	c.planner.config.MaxWait = 40 * time.Second
	for range 8 {
		c.submit(api.Batch, 1, 4)
	}
	c.dispatchAll()
	j := c.submitGang(2, 16, true)
	j.Spec.Priority = api.Standard // the same as the batch jobs, so nothing is preempted for the gang
	for step := 0; step < 60 && j.AllocatedTasks == 0; step++ {
		c.now = c.now.Add(time.Second)
		// Each second, one task completes and another is submitted.
		for _, w := range c.machines.Sorted() {
			if list := c.machines.SortedTasks(w); len(list) > 0 {
				c.jobs.Complete(list[0], nil)
				break
			}
		}
		c.submit(api.Batch, 1, 4)
		c.dispatchAll()
	}
	if j.AllocatedTasks != 2 {
		t.Errorf("got %d of 2 tasks allocated after a minute, want 2", j.AllocatedTasks)
	}
}

// TestGangsAtRandom checks invariants on random clusters and jobs: either all tasks of a gang are allocated
// or none, gangs with the one_zone constraint are in one zone, and teams stay within their limit.
func TestGangsAtRandom(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5))
		c := newTwoZoneCluster(1+rng.IntN(6), 1+rng.IntN(6))
		c.planner.teams.byName["red"].CPUsMax = float64(20 + rng.IntN(200))
		var gangs []*jobs.Job
		for step := range 40 {
			c.now = c.now.Add(time.Second)
			switch rng.IntN(4) {
			case 0:
				gangs = append(gangs, c.submitGang(1+rng.IntN(8), float64(1+rng.IntN(8)), rng.IntN(2) == 0))
			case 1:
				c.submit(api.Batch, 1+rng.IntN(10), float64(1+rng.IntN(4)))
			case 2:
				completeSome(c, gangs, rng)
			}
			c.dispatchAll()
			if err := checkGangs(c, gangs); err != nil {
				t.Fatalf("seed %d step %d: %v", seed, step, err)
			}
		}
	}
}

// completeSome completes the first task of about a third of the gangs whose tasks are all allocated.
func completeSome(c *testCluster, gangs []*jobs.Job, rng *rand.Rand) {
	for _, j := range gangs {
		if j.AllocatedTasks == j.Tasks.Len() && rng.IntN(3) == 0 {
			c.jobs.Complete(j.Tasks.At(0), nil)
		}
	}
}

// checkGangs returns an error if the team red exceeds its limit or one of its gangs violates a constraint.
func checkGangs(c *testCluster, gangs []*jobs.Job) error {
	used := 0.0
	for _, w := range c.machines.Sorted() {
		used += w.VCPUs
	}
	if most := c.planner.teams.byName["red"].CPUsMax; used > most+tolerance {
		return fmt.Errorf("team red uses %v CPUs, over its limit of %v", used, most)
	}
	for _, j := range gangs {
		if j.Phase == jobs.Open && j.AllocatedTasks != 0 && j.AllocatedTasks != j.Tasks.Len() {
			return fmt.Errorf("got %d of %d tasks of gang %s, want all or none", j.AllocatedTasks, j.Tasks.Len(), j.Spec.ID)
		}
		if z := allocatedByZone(c, j); j.Spec.OneZone && len(z) > 1 {
			return fmt.Errorf("gang %s is allocated in zones %v, want one zone", j.Spec.ID, z)
		}
	}
	return nil
}

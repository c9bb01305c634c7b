package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// allocatedByZone counts the allocated tasks of a job by zone.
func allocatedByZone(c *testCluster, j *jobs.Job) map[string]int {
	out := map[string]int{}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Allocated() {
			out[c.machines.Workers[t.MachineID].Zone]++
		}
	}
	return out
}

// TestGangsPlaceAllOrNothing: a gang is placed when a zone has room for all of it, not for
// a part, and never holds room while it waits for more.
func TestGangsPlaceAllOrNothing(t *testing.T) {
	c := newTwoZoneCluster(2, 1) // two tasks of 8 CPUs on each machine
	j := c.submitGang(5, 8, true)
	c.dispatchAll()
	if j.AllocatedTasks > 0 {
		t.Fatalf("%d of 5 tasks hold room for 4", j.AllocatedTasks)
	}
	anywhere := c.submitGang(6, 8, false)
	if c.dispatchAll(); anywhere.AllocatedTasks != 6 {
		t.Fatalf("%d of 6 tasks are placed where there is room for 6", anywhere.AllocatedTasks)
	}
	c = newTwoZoneCluster(2, 3)
	j = c.submitGang(5, 8, true)
	if c.dispatchAll(); j.AllocatedTasks != 5 || allocatedByZone(c, j)["west"] != 5 {
		t.Errorf("%d tasks are placed: %v", j.AllocatedTasks, allocatedByZone(c, j))
	}
}

// TestGangsGoToHolders: machines that hold the image are preferred to those with the most room.
func TestGangsGoToHolders(t *testing.T) {
	c := newTwoZoneCluster(6, 0)
	first := c.submitGang(2, 2, true)
	c.dispatchAll()
	w := c.machines.Workers[first.Tasks[0].MachineID]
	c.heartbeat(w)
	second := c.submitGang(4, 2, true)
	c.dispatchAll()
	for i := range second.Tasks {
		if second.Tasks[i].MachineID != w.ID {
			t.Errorf("task %d is on %s, which has no image", i, second.Tasks[i].MachineID)
		}
	}
}

// TestGangsPreemptBatch: batch jobs of a lower priority are preempted for all tasks of a gang at
// once, after reclaimAfter.
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
		t.Errorf("%d of 6 tasks are placed", j.AllocatedTasks)
	}
}

// TestGangsDontStarve: machines are reserved for a gang that has waited for long, though smaller tasks
// would fill any room.
func TestGangsDontStarve(t *testing.T) {
	c := newTwoZoneCluster(2, 0)
	c.planner.config.MaxWait = 40 * time.Second
	for range 8 {
		c.submit(api.Batch, 1, 4)
	}
	c.dispatchAll()
	j := c.submitGang(2, 16, true)
	j.Spec.Priority = api.Standard // nothing is preempted for it
	for step := 0; step < 60 && j.AllocatedTasks == 0; step++ {
		c.now = c.now.Add(time.Second)
		// Each second a task ends and another comes.
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
		t.Errorf("%d of 2 tasks are placed after a minute", j.AllocatedTasks)
	}
}

// TestGangsAtRandom: whatever the machines and the jobs, a gang is allocated whole or not at all, in
// one zone if it must be, and within its team's limit.
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

// completeSome completes the first task of about a third of the gangs that are allocated whole.
func completeSome(c *testCluster, gangs []*jobs.Job, rng *rand.Rand) {
	for _, j := range gangs {
		if j.AllocatedTasks == len(j.Tasks) && rng.IntN(3) == 0 {
			c.jobs.Complete(&j.Tasks[0], nil)
		}
	}
}

// checkGangs checks the limit of the team red and the constraints of its gangs.
func checkGangs(c *testCluster, gangs []*jobs.Job) error {
	used := 0.0
	for _, w := range c.machines.Sorted() {
		used += w.VCPUs
	}
	if most := c.planner.teams.byName["red"].CPUsMax; used > most+tolerance {
		return fmt.Errorf("the team uses %v of %v CPUs", used, most)
	}
	for _, j := range gangs {
		if j.Phase == jobs.Open && j.AllocatedTasks != 0 && j.AllocatedTasks != len(j.Tasks) {
			return fmt.Errorf("%d of %d tasks of %s are allocated", j.AllocatedTasks, len(j.Tasks), j.Spec.ID)
		}
		if z := allocatedByZone(c, j); j.Spec.OneZone && len(z) > 1 {
			return fmt.Errorf("%s is in %v", j.Spec.ID, z)
		}
	}
	return nil
}

package placement

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// usedVCPURange returns the CPUs in use on the fullest and on the emptiest of the first machines.
func usedVCPURange(c *testCluster, machines int) (most, least float64) {
	least = 1e9
	for _, w := range c.machines.Sorted()[:machines] {
		most, least = max(most, w.VCPUs), min(least, w.VCPUs)
	}
	return most, least
}

// TestSpreadLoadOverHolders: with even placement the tasks of a job go to its holders in
// turn; without it the first by name are filled. Neither goes to machines that would fetch.
func TestSpreadLoadOverHolders(t *testing.T) {
	for _, even := range []bool{false, true} {
		c := newClusterWithHolders(12, 8)
		c.planner.SpreadLoad = func() bool { return even }
		c.submitAs("red", api.Standard, 48)
		c.dispatchAll()
		most, least := usedVCPURange(c, 8)
		if even && most-least > 1 || !even && most-least < 8 {
			t.Errorf("even %v: between %v and %v CPUs are in use", even, least, most)
		}
		for _, w := range c.machines.Sorted()[8:] {
			if w.VCPUs > 0 {
				t.Errorf("even %v: %s, which doesn't hold the image, has work", even, w.ID)
			}
		}
	}
}

// TestSpreadLoadServices: replicas go to the least used holder.
func TestSpreadLoadServices(t *testing.T) {
	for _, even := range []bool{false, true} {
		c := newClusterWithHolders(6, 6)
		c.planner.SpreadLoad = func() bool { return even }
		j := c.submitAs("red", api.Critical, 12)
		j.Spec.Shape = api.Service
		c.dispatchAll()
		held := 0
		for i := range j.Tasks {
			if j.Tasks[i].State != jobs.Waiting {
				held++
			}
		}
		most, least := usedVCPURange(c, 6)
		if held != 12 || even && most-least > 1 || !even && most-least < 4 {
			t.Errorf("even %v: %d replicas are placed, between %v and %v CPUs in use", even, held, least, most)
		}
	}
}

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

// TestSpreadLoadOverHolders: if load is spread, the tasks of a job go in turn to the machines that hold
// its image; otherwise the first by name are filled. No task goes to machines that would pull it.
func TestSpreadLoadOverHolders(t *testing.T) {
	for _, spread := range []bool{false, true} {
		c := newClusterWithHolders(12, 8)
		c.planner.SpreadLoad = func() bool { return spread }
		c.submitAs("red", api.Standard, 48)
		c.dispatchAll()
		most, least := usedVCPURange(c, 8)
		if spread && most-least > 1 || !spread && most-least < 8 {
			t.Errorf("spread %v: between %v and %v CPUs are in use", spread, least, most)
		}
		for _, w := range c.machines.Sorted()[8:] {
			if w.VCPUs > 0 {
				t.Errorf("spread %v: %s, which doesn't hold the image, has work", spread, w.ID)
			}
		}
	}
}

// TestSpreadLoadServices: if load is spread, replicas go to the least used machine that holds their image.
func TestSpreadLoadServices(t *testing.T) {
	for _, spread := range []bool{false, true} {
		c := newClusterWithHolders(6, 6)
		c.planner.SpreadLoad = func() bool { return spread }
		j := c.submitAs("red", api.Critical, 12)
		j.Spec.Shape = api.Service
		c.dispatchAll()
		placed := 0
		for i := range j.Tasks {
			if j.Tasks[i].State != jobs.Waiting {
				placed++
			}
		}
		most, least := usedVCPURange(c, 6)
		if placed != 12 || spread && most-least > 1 || !spread && most-least < 4 {
			t.Errorf("spread %v: %d replicas are placed, between %v and %v CPUs in use", spread, placed, least, most)
		}
	}
}

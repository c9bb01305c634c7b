package placement

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// usedVCPURange returns the largest and the smallest number of CPUs in use on one of the first machines.
func usedVCPURange(c *testCluster, machines int) (most, least float64) {
	least = 1e9
	for _, w := range c.machines.Sorted()[:machines] {
		most, least = max(most, w.VCPUs), min(least, w.VCPUs)
	}
	return most, least
}

// TestSpreadLoadOverHolders checks that the tasks of a job are spread evenly over the machines that have
// its image cached if SpreadLoad is true, and otherwise fill these machines in the order of their names.
// In both cases, no task may go to a machine that would have to pull the image.
func TestSpreadLoadOverHolders(t *testing.T) {
	for _, spread := range []bool{false, true} {
		c := newClusterWithHolders(12, 8)
		c.planner.SpreadLoad = func() bool { return spread }
		c.submitAs("red", api.Standard, 48)
		c.dispatchAll()
		most, least := usedVCPURange(c, 8)
		if spread && most-least > 1 || !spread && most-least < 8 {
			t.Errorf("SpreadLoad %v: got %v to %v CPUs in use, want a difference of at most 1 if true, at least 8 if false",
				spread, least, most)
		}
		for _, w := range c.machines.Sorted()[8:] {
			if w.VCPUs > 0 {
				t.Errorf("SpreadLoad %v: %s doesn't have the image cached, but %v of its CPUs are in use", spread, w.ID, w.VCPUs)
			}
		}
	}
}

// TestSpreadLoadServices checks that each replica goes to the least used machine that has its image cached if
// SpreadLoad is true, and otherwise to the first such machine by name.
func TestSpreadLoadServices(t *testing.T) {
	for _, spread := range []bool{false, true} {
		c := newClusterWithHolders(6, 6)
		c.planner.SpreadLoad = func() bool { return spread }
		j := c.submitAs("red", api.Critical, 12)
		j.Spec.Shape = api.Service
		c.dispatchAll()
		placed := 0
		for i := range j.Tasks.Len() {
			if j.Tasks.At(i).State != jobs.Waiting {
				placed++
			}
		}
		most, least := usedVCPURange(c, 6)
		if placed != 12 || spread && most-least > 1 || !spread && most-least < 4 {
			t.Errorf("SpreadLoad %v: got %d of 12 replicas placed, %v to %v CPUs in use per machine", spread, placed, least, most)
		}
	}
}

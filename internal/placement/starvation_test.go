package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// testMaxWait is the starvation timeout of newStarvationCluster. A gang may get reservations after an eighth of it.
const testMaxWait = 40 * time.Second

// newStarvationCluster returns a cluster of on-demand machines with 16 CPUs and 32 GB each in one zone.
func newStarvationCluster(machines int) *testCluster {
	c := newTwoZoneCluster(machines, 0)
	c.planner.config.MaxWait = testMaxWait
	return c
}

// submitJob submits a job of the team red with a priority.
func (c *testCluster) submitJob(shape api.Shape, priority api.Priority, tasks int, vcpus, memoryGB float64) *jobs.Job {
	return c.add(api.Spec{Team: "red", Shape: shape, Priority: priority, Tasks: tasks, VCPUs: vcpus, MemoryGB: memoryGB,
		Image: "img", ImageGB: 1, RuntimeS: 60})
}

// waitUntilPlaced dispatches every second until a task of a job is placed, and returns how long that took. It gives up after
// ten minutes.
func (c *testCluster) waitUntilPlaced(j *jobs.Job) time.Duration {
	began := c.now
	for j.AllocatedTasks == 0 && c.now.Sub(began) < 10*time.Minute {
		c.dispatchAll()
	}
	return c.now.Sub(began)
}

// TestNoReservationForImpossibleGang guards against a machine that is reserved for ever for a gang that fits nowhere, while other
// jobs wait beside free capacity. Only one of the reasons is about CPUs.
func TestNoReservationForImpossibleGang(t *testing.T) {
	for name, spec := range map[string]api.Spec{
		"spread over one zone":   {Tasks: 4, VCPUs: 2, MemoryGB: 2, Spread: true},
		"too much memory":        {Tasks: 4, VCPUs: 2, MemoryGB: 20},
		"too many CPUs":          {Tasks: 4, VCPUs: 10, MemoryGB: 2},
		"a machine of its own":   {Tasks: 3, VCPUs: 12, MemoryGB: 2},
		"memory held by service": {Tasks: 2, VCPUs: 1, MemoryGB: 30},
	} {
		t.Run(name, func(t *testing.T) {
			c := newStarvationCluster(2)
			c.submitJob(api.Service, api.Critical, 1, 1, 4)
			c.dispatchAll()
			spec.Team, spec.Shape, spec.Priority, spec.Image, spec.RuntimeS = "red", api.Gang, api.High, "img-gang", 30
			gang := c.add(spec)
			c.now = c.now.Add(2 * testMaxWait)
			c.dispatchAll()
			service := c.submitJob(api.Service, api.BestEffort, 14, 2, 2) // needs both machines
			if c.dispatchAll(); service.AllocatedTasks != 14 || gang.AllocatedTasks > 0 {
				t.Errorf("got %d replicas and %d tasks of the gang placed, want 14 and 0",
					service.AllocatedTasks, gang.AllocatedTasks)
			}
		})
	}
}

// newWaitingGang returns a cluster with a full machine and a machine with free capacity, both of which are reserved for a gang
// that has to wait until the batch tasks on them have ended.
func newWaitingGang(t *testing.T) (*testCluster, *jobs.Job) {
	t.Helper()
	c := newStarvationCluster(2)
	c.submitJob(api.Batch, api.Standard, 6, 4, 2)
	c.dispatchAll()
	gang := c.submitJob(api.Gang, api.Standard, 2, 16, 2)
	c.now = c.now.Add(testMaxWait / 4)
	c.dispatchAll()
	if len(c.planner.MachineReservations()) != 2 {
		t.Fatalf("got %d machines reserved, want 2", len(c.planner.MachineReservations()))
	}
	return c, gang
}

// TestReservationEnds checks that a reservation delays other jobs that fit by at most maxReservationTime, and more urgent jobs
// not at all.
func TestReservationEnds(t *testing.T) {
	for _, shape := range []api.Shape{api.Batch, api.Service} {
		c, _ := newWaitingGang(t)
		if waited := c.waitUntilPlaced(c.submitJob(shape, api.High, 1, 2, 2)); waited > time.Second {
			t.Errorf("%s of a higher priority: got it placed after %v, want at once", shape, waited)
		}
		c, gang := newWaitingGang(t)
		waited := c.waitUntilPlaced(c.submitJob(shape, api.Standard, 1, 2, 2))
		if waited < 2*time.Second || waited > maxReservationTime {
			t.Errorf("%s of the same priority: got it placed after %v, want a wait of at most %v",
				shape, waited, maxReservationTime)
		}
		for _, w := range c.machines.Sorted() {
			for _, task := range c.machines.SortedTasks(w) {
				c.jobs.Complete(task, nil)
			}
		}
		if c.dispatchAll(); gang.AllocatedTasks != 2 {
			t.Errorf("got %d of 2 tasks of the gang placed once both machines are empty, want 2", gang.AllocatedTasks)
		}
	}
}

// TestQuotaReservation checks for how long the other arrays of a team at its limit wait for a starved one: not at all if the
// team's services leave no room for the starved job, else for at most maxReservationTime.
func TestQuotaReservation(t *testing.T) {
	for name, x := range map[string]struct {
		serviceCPUs      float64
		minWait, maxWait time.Duration
	}{
		"services leave no room":    {serviceCPUs: 10, maxWait: time.Second},
		"batch tasks leave no room": {serviceCPUs: 2, minWait: 30 * time.Second, maxWait: maxReservationTime + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newStarvationCluster(2)
			c.planner.teams.byName["red"].CPUsMax = 16
			c.submitJob(api.Service, api.Critical, 1, x.serviceCPUs, 2)
			c.submitJob(api.Batch, api.Standard, 1, 14-x.serviceCPUs, 2)
			c.dispatchAll()
			starved := c.submitJob(api.Batch, api.Standard, 1, 8, 2)
			c.now = c.now.Add(2 * testMaxWait)
			c.dispatchAll()
			small := c.submitJob(api.Batch, api.Standard, 1, 1, 2)
			if waited := c.waitUntilPlaced(small); waited < x.minWait || waited > x.maxWait {
				t.Errorf("got the small job placed after %v, want from %v to %v", waited, x.minWait, x.maxWait)
			}
			if starved.AllocatedTasks > 0 {
				t.Error("the starved job was placed over the team's limit")
			}
		})
	}
}

// TestHeadroomBindsForAWhile guards against an array that may not use spot machines and waits beside free capacity for as long as
// long tasks run, because the capacity is kept for services that may arrive.
func TestHeadroomBindsForAWhile(t *testing.T) {
	c := newStarvationCluster(1)
	c.planner.config.MaxWait = time.Hour
	c.planner.ServiceHeadroom["east"] = 8
	c.submitJob(api.Batch, api.Standard, 2, 4, 2)
	c.dispatchAll()
	array := c.submitJob(api.Batch, api.Standard, 3, 2, 2)
	if waited := c.waitUntilPlaced(array); waited < maxHeadroomWait || waited > maxHeadroomWait+2*time.Second {
		t.Errorf("got the array placed after %v, want after %v", waited, maxHeadroomWait)
	}
	if c.dispatchAll(); array.AllocatedTasks != 1 {
		t.Errorf("got %d tasks placed in the headroom, want 1", array.AllocatedTasks)
	}
}

package fleet

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/placement"
	"opaldale/internal/workers"
)

// TestReservedMachineIsNoCapacity guards against a job that waits for ever because placement doesn't use a reserved machine,
// while the autoscaler takes the job to fit there and provisions none. A job of a higher priority may use the machine.
func TestReservedMachineIsNoCapacity(t *testing.T) {
	for _, x := range []struct {
		priority api.Priority
		want     int
	}{{api.Standard, 1}, {api.High, 1}, {api.Critical, 0}} {
		r := newHarness()
		r.addMachines(1)
		gang := r.submit(&api.Spec{ID: "j-1", Team: "red", Shape: api.Gang, Priority: api.High, Tasks: 1, VCPUs: 8})
		r.reservations = map[*workers.Worker]placement.Reservation{
			r.table.Sorted()[0]: {Job: gang, Since: r.now, Until: r.now.Add(time.Hour)},
		}
		r.submit(&api.Spec{ID: "j-2", Team: "red", Shape: api.Service, Priority: x.priority, Tasks: 1, VCPUs: 2})
		gang.RetryAt = r.now.Add(time.Hour)
		gang.Suspect = true // so that it is not packed itself
		r.advance(time.Second, r.manager)
		if got := r.countCalls(cloud.Provision); got != x.want {
			t.Errorf("job of priority %s: got %d provisioning requests, want %d", x.priority, got, x.want)
		}
	}
}

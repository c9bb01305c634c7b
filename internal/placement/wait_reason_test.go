package placement

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

// TestWaitReason checks the reason that users see for a waiting job.
func TestWaitReason(t *testing.T) {
	c := newStarvationCluster(1)
	c.planner.teams.byName["red"].CPUsMax = 40
	check := func(name string, j *jobs.Job, want api.WaitsFor) {
		t.Helper()
		c.dispatchAll()
		if got := c.planner.WaitReason(j); got != want {
			t.Errorf("%s: got reason %q, want %q", name, got, want)
		}
	}
	placed := c.submitJob(api.Batch, api.Standard, 4, 4, 2)
	check("job with all tasks placed", placed, "")
	check("job without a machine", c.submitJob(api.Batch, api.Standard, 1, 4, 2), api.WaitsForMachines)
	gang := c.submitJob(api.Gang, api.Standard, 2, 16, 2)
	check("gang of which one task is within the limit", gang, api.WaitsForTeamLimit)
	failed := c.submitJob(api.Batch, api.Standard, 1, 4, 2)
	failed.RetryAt = c.now.Add(time.Hour)
	check("job that is retried later", failed, api.WaitsForRetry)
	c.jobs.Cancel(failed, func() {})
	check("cancelled job", failed, "")
}

package controller

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

const (
	// storeCutOffAfter is how long a node goes without being served by the store before it counts as cut off.
	storeCutOffAfter = 2 * time.Second
	// maxCancelledJobs bounds the memory kept for jobs that are known to be cancelled: those of the last
	// minute, were 4,000 machines each to lose several to cancellations in it.
	maxCancelledJobs = 20_000
)

// renewLeaseWithoutLeader answers a worker while neither the leader nor the store serves this node: both are
// cut off alike, or the leader has died and no successor can be elected. The work goes on for as long as the
// last leader allowed.
func (c *Controller) renewLeaseWithoutLeader(heartbeat *api.Heartbeat) (Response, bool) {
	now := c.env.Now()
	if !c.renewer.MayRenew(now, heartbeat.FencingToken) || now.Sub(c.storeLastServed) < storeCutOffAfter {
		return Response{}, false
	}
	c.renewer.RecordRenewal(now)
	c.LeasesKept++
	response := api.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []api.Command{}}
	for _, task := range heartbeat.Tasks {
		// A kill is safe whoever leads; without it the task ends only with the lease.
		if _, ok := c.cancelledJobs.Get(task.TaskID.Job); ok && task.Status != api.Ended {
			response.Commands = append(response.Commands, workers.KillCommand(task.TaskID, task.Attempt))
		}
	}
	return jsonResponse(http.StatusOK, response), true
}

// rememberIfCancelled records a job whose status is known to be cancelled, which is final.
func (c *Controller) rememberIfCancelled(id ident.JobID, status api.Status) {
	if status == api.StatusCancelled {
		c.cancelledJobs.Put(id, struct{}{})
	}
}

package controller

// This file renews leases of workers while neither the leader nor the store is reachable.

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
	// maxCancelledJobs bounds the cancelled jobs that are remembered. It is enough for a minute in which each of
	// 4,000 machines loses several jobs to cancellations.
	maxCancelledJobs = 20_000
)

// renewLeaseWithoutLeader answers a worker's heartbeat while neither the leader nor the store is reachable: both are cut
// off from this node, or the leader has failed and no successor can be elected. The worker keeps its tasks for as
// long as the last leader allowed. It returns false if this node may not renew the lease.
func (c *Controller) renewLeaseWithoutLeader(heartbeat *api.Heartbeat) (Response, bool) {
	now := c.env.Now()
	if !c.renewer.MayRenew(now, heartbeat.FencingToken) || now.Sub(c.storeLastServed) < storeCutOffAfter {
		return Response{}, false
	}
	c.renewer.RecordRenewal(now)
	c.LeasesKept++
	response := api.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []api.Command{}}
	for _, task := range heartbeat.Tasks {
		// A kill is safe without leadership; otherwise the task would run until the lease expires.
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

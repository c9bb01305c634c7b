package controller

// This file renews worker leases while neither the leader nor the store is reachable.

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

const (
	// storeUnreachableAfter is the time without a usable response from the store after which a node considers the store
	// unreachable.
	storeUnreachableAfter = 2 * time.Second
	// maxCancelledJobs limits the number of cancelled jobs that a node remembers. It covers one minute in which each
	// of 4,000 machines loses several jobs to cancellations.
	maxCancelledJobs = 20_000
)

// renewLeaseWithoutLeader answers a worker's heartbeat while neither the leader nor the store is reachable: this node is
// partitioned from both, or the leader has failed and no successor can be elected. The worker keeps its tasks for as long
// as the last leader permitted. The result is false if this node may not renew the lease.
func (c *Controller) renewLeaseWithoutLeader(heartbeat *api.Heartbeat) (Response, bool) {
	now := c.env.Now()
	if !c.renewer.MayRenew(now, heartbeat.FencingToken) || now.Sub(c.storeLastServed) < storeUnreachableAfter {
		return Response{}, false
	}
	c.renewer.RecordRenewal(now)
	c.LeasesRenewedWithoutLeader++
	response := api.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []api.Command{}}
	for _, task := range heartbeat.Tasks {
		// Killing a task is safe without leadership. Without the command it would run until the lease expires.
		if _, ok := c.cancelledJobs.Get(task.TaskID.Job); ok && task.Status != api.Ended {
			response.Commands = append(response.Commands, workers.KillCommand(task.TaskID, task.Attempt))
		}
	}
	return jsonResponse(http.StatusOK, response), true
}

// rememberIfCancelled records a job if its status is cancelled, which is final.
func (c *Controller) rememberIfCancelled(id ident.JobID, status api.Status) {
	if status == api.StatusCancelled {
		c.cancelledJobs.Put(id, struct{}{})
	}
}

package controller

// This file forwards requests to the leader, and answers those that a follower can answer itself.

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/decode"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

const (
	forwardTimeout = 1500 * time.Millisecond
	// pollForwardTimeout is shorter than forwardTimeout, since polls can also be answered from the store.
	pollForwardTimeout = 700 * time.Millisecond
)

// route is the path by which this node forwards requests to the leader.
type route struct {
	leader    ident.NodeID
	known     bool         // the leader is known; if not, reachable is false
	via       ident.NodeID // the peer that relays requests; empty for the direct route
	reachable bool         // frames are expected to arrive
}

// leaderRoute returns the best route to the leader: the direct one, or one through a peer if the direct link is down.
func (c *Controller) leaderRoute() route {
	best := c.directRoute()
	if !best.known || best.reachable && !c.links.PeerDown(best.leader) {
		return best
	}
	if via, ok := c.links.RelayFor(best.leader); ok {
		best.via, best.reachable = via, true
	}
	return best
}

// directRoute returns the route to the leader without a relay.
func (c *Controller) directRoute() route {
	leader, known := c.election.Leader()
	return route{leader: leader, known: known, reachable: known && c.peerReachable(leader)}
}

// forward sends a request to the leader. Exactly one of reply and onTimeout is called.
func (c *Controller) forward(r request, to route, timeout time.Duration, reply func(Response), onTimeout func()) {
	c.Forwarded++
	c.lastForwardID++
	id := c.lastForwardID
	deadline := c.env.Now().Add(timeout)
	// After a pause of the process, an outdated response may be read before the timer fires. The deadline invalidates it.
	c.pendingForwards[id] = func(response Response) { reply(response.limitValidity(deadline)) }
	frame := &transport.Frame{
		Type:   transport.MsgRequest,
		ID:     id,
		Method: r.method,
		JobID:  string(r.jobID),
		Body:   r.body,
	}
	if to.via != "" {
		frame.Type = transport.MsgRelayRequest
		c.Relayed++
		c.env.SendPeer(to.via, frame)
	} else {
		c.env.SendPeer(to.leader, frame)
	}
	c.env.After(timeout, func() {
		if c.pendingForwards[id] != nil {
			delete(c.pendingForwards, id)
			onTimeout()
		}
	})
}

// completeForward passes the leader's response to the request that waits for it. A response that arrives after the request
// has timed out is dropped.
func (c *Controller) completeForward(frame *transport.Frame) {
	reply := c.pendingForwards[frame.ID]
	if reply == nil {
		return
	}
	delete(c.pendingForwards, frame.ID)
	reply(Response{Status: int(frame.Status), RetryAfterS: int(frame.RetryAfterS), Body: frame.Body})
}

// HandleRequest handles a request that a user or a worker has sent to this node: a leader serves it, another node forwards
// it to the leader. jobID is used by GetJob and CancelJob, body by SubmitJob and WorkerHeartbeat. reply is called once,
// during this call or in a later event.
func (c *Controller) HandleRequest(method transport.Method, jobID string, body []byte, reply func(Response)) {
	r := request{method: method, jobID: ident.JobID(jobID), body: body, direct: true}
	if c.leader != nil {
		c.serveAsLeader(r, reply)
		return
	}
	if method == transport.WorkerHeartbeat {
		c.links.SampleWorkerHeartbeat(body)
	}
	toLeader := c.leaderRoute()
	switch method {
	case transport.SubmitJob:
		c.forwardSubmission(r, toLeader, reply)
	case transport.GetJob:
		c.forwardPoll(r, toLeader, reply)
	case transport.WorkerHeartbeat:
		c.forwardWorkerHeartbeat(r, toLeader, reply)
	default:
		c.forwardOrRefuse(r, toLeader, reply)
	}
}

// forwardSubmission forwards a submission unless it is malformed. A gang is forwarded only if the packed format is known to
// be enabled, since a leader of an earlier version would reject the gang as malformed.
func (c *Controller) forwardSubmission(r request, toLeader route, reply func(Response)) {
	spec, err := api.ParseSpec(r.body)
	if err != nil {
		reply(errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	if spec.Shape == api.Gang && c.formatLevel < ident.FormatPacked {
		c.requirePackedFormat(func() { c.forwardOrRefuse(r, toLeader, reply) }, reply)
		return
	}
	c.forwardOrRefuse(r, toLeader, reply)
}

// forwardPoll forwards a poll. It answers the poll from the store if the leader is unreachable, times out or returns a
// server error.
func (c *Controller) forwardPoll(r request, toLeader route, reply func(Response)) {
	fallBack := func() { c.pollFromStore(r.jobID, reply) }
	if !toLeader.reachable {
		fallBack()
		return
	}
	poll := request{method: r.method, jobID: r.jobID}
	c.forward(poll, toLeader, pollForwardTimeout, func(response Response) {
		if response.Status >= http.StatusInternalServerError {
			fallBack()
			return
		}
		reply(response)
	}, fallBack)
}

// forwardWorkerHeartbeat forwards a worker's heartbeat. If the leader is unreachable, this node renews the lease itself if
// that is permitted, or redirects the worker to the leader. The heartbeat is parsed only in that case: heartbeats are the
// most frequent requests, and the leader parses them as well.
func (c *Controller) forwardWorkerHeartbeat(r request, toLeader route, reply func(Response)) {
	if toLeader.reachable {
		c.forwardOrRefuse(r, toLeader, reply)
		return
	}
	heartbeat, err := api.ParseHeartbeat(r.body)
	if err != nil {
		reply(errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	if response, ok := c.renewLeaseWithoutLeader(heartbeat); ok {
		reply(response)
		return
	}
	if toLeader.known {
		reply(jsonResponse(http.StatusMisdirectedRequest, struct {
			Home ident.NodeID `json:"home"`
		}{toLeader.leader}))
		return
	}
	c.forwardOrRefuse(r, toLeader, reply)
}

// requirePackedFormat reads the format level and calls then if the packed format is enabled; otherwise it refuses the
// request. Remove it together with the legacy format.
func (c *Controller) requirePackedFormat(then func(), reply func(Response)) {
	c.refreshFormatLevel(func() {
		if c.formatLevel < ident.FormatPacked {
			c.refuse(reply, earlierVersionMayRun)
			return
		}
		then()
	})
}

// refreshFormatLevel reads the format level from the store. It calls then whether or not the read succeeds.
func (c *Controller) refreshFormatLevel(then func()) {
	read := kvstore.Request{Op: kvstore.Get, Key: election.TermKey, Timeout: storeTimeout}
	c.env.Store(read, func(r kvstore.Response) {
		if r.Outcome == kvstore.OK {
			if _, level, err := election.DecodeTerm(r.Value); err == nil {
				c.formatLevel = max(c.formatLevel, level)
			}
		}
		then()
	})
}

// forwardOrRefuse forwards a request. It refuses the request if the leader is unreachable or doesn't respond in time.
func (c *Controller) forwardOrRefuse(r request, toLeader route, reply func(Response)) {
	if !toLeader.reachable {
		c.refuse(reply, noLeader)
		return
	}
	c.forward(r, toLeader, forwardTimeout, func(response Response) {
		if r.method == transport.CancelJob {
			c.rememberCancellation(response)
		}
		reply(response)
	}, func() {
		c.refuse(reply, leaderTimedOut)
	})
}

// rememberCancellation records the job if the leader's response confirms its cancellation.
func (c *Controller) rememberCancellation(response Response) {
	var status api.StatusResponse
	if response.Status == http.StatusOK && decode.JSON(response.Body, &status) == nil {
		c.rememberIfCancelled(status.ID, status.Status)
	}
}

// serveRelayed handles a request that a peer asks this node to relay: a leader serves it, another node forwards it. It uses
// only the direct route, so that no request takes more than two hops.
func (c *Controller) serveRelayed(r request, reply func(Response)) {
	if c.leader != nil {
		c.serveAsLeader(r, reply)
		return
	}
	c.forwardOrRefuse(r, c.directRoute(), reply)
}

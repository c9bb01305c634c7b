package controller

// This file forwards requests to the leader, and answers those that a follower can answer itself.

import (
	"encoding/json"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

const (
	forwardTimeout = 1500 * time.Millisecond
	// pollForwardTimeout is shorter, since the store answers polls as well.
	pollForwardTimeout = 700 * time.Millisecond
)

// route is the path by which this node forwards requests to the leader.
type route struct {
	leader    ident.NodeID
	known     bool         // leader is known to lead; otherwise the route is not reachable
	via       ident.NodeID // the peer that relays requests; empty: none
	reachable bool         // frames probably arrive
}

// leaderRoute returns the best route to the leader: direct, or by a peer that reaches it if the direct link is down.
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
	// If the process pauses, the answer may be read before the timer fires, and be too old.
	c.pendingForwards[id] = func(a Response) { reply(a.limitValidity(deadline)) }
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

// completeForward passes the leader's answer to the request that waits for it. An answer that comes after the timeout of
// the request is dropped.
func (c *Controller) completeForward(frame *transport.Frame) {
	reply := c.pendingForwards[frame.ID]
	if reply == nil {
		return
	}
	delete(c.pendingForwards, frame.ID)
	reply(Response{Status: int(frame.Status), RetryAfterS: int(frame.RetryAfterS), Body: frame.Body})
}

// HandleRequest serves a request that a user or a worker has sent to this node, or forwards it to the leader. jobID is used
// by GetJob and CancelJob, body by SubmitJob and WorkerHeartbeat. reply is called once, during this call or in a later
// event.
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

// forwardSubmission forwards a submission, unless it is malformed. A gang is forwarded only if the format
// level is known to be raised, since a leader of an earlier version would call it malformed.
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

// forwardPoll forwards a poll, and answers it from the store if the leader can't.
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

// forwardWorkerHeartbeat forwards a worker's heartbeat. If the leader is out of reach, this node renews the
// lease itself where it may, or refers the worker to the leader. The heartbeat is parsed only then: it is the
// most frequent request, and the leader parses it as well.
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

// requirePackedFormat reads the format level and calls then if the packed format is in force; otherwise it refuses the
// request. To be removed with the first format.
func (c *Controller) requirePackedFormat(then func(), reply func(Response)) {
	c.refreshFormatLevel(func() {
		if c.formatLevel < ident.FormatPacked {
			c.refuse(reply, earlierVersionMayRun)
			return
		}
		then()
	})
}

// refreshFormatLevel reads the format level from the store, and calls then whether or not the store has answered.
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

// forwardOrRefuse forwards a request, or refuses it if the leader is out of reach or doesn't answer in time.
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
		c.refuse(reply, leaderSilent)
	})
}

// rememberCancellation records the job that the leader acknowledges as cancelled.
func (c *Controller) rememberCancellation(response Response) {
	var status api.StatusResponse
	if response.Status == http.StatusOK && json.Unmarshal(response.Body, &status) == nil {
		c.rememberIfCancelled(status.ID, status.Status)
	}
}

// serveRelayed forwards a request to the leader on behalf of a peer, or answers it as the leader. It uses only the direct
// route, so that no request takes more than two hops.
func (c *Controller) serveRelayed(r request, reply func(Response)) {
	if c.leader != nil {
		c.serveAsLeader(r, reply)
		return
	}
	c.forwardOrRefuse(r, c.directRoute(), reply)
}

package controller

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

// route is how requests come to the leader.
type route struct {
	leader    ident.NodeID
	via       ident.NodeID // a sibling that passes them on; empty: directly
	reachable bool         // they probably arrive
}

// leaderRoute finds the way to the leader: directly, or by a sibling that reaches it.
func (c *Controller) leaderRoute() (best route, known bool) {
	best.leader, known = c.election.Leader()
	if !known {
		return best, false
	}
	best.reachable = c.reachable(best.leader)
	if c.links == nil || best.reachable && !c.links.countsAsDown(best.leader) {
		return best, true
	}
	if via, ok := c.links.relayFor(best.leader); ok {
		best.via, best.reachable = via, true
	}
	return best, true
}

// forward asks the leader; without an answer in time, lost is called.
func (c *Controller) forward(toLeader route, method transport.Method, jobID string, body []byte, timeout time.Duration, reply func(Response), onTimeout func()) {
	c.Forwarded++
	c.lastForwardID++
	id := c.lastForwardID
	deadline := c.env.Now().Add(timeout)
	// Should this process stand still, the answer may be read before the timer runs.
	c.pendingForwards[id] = func(a Response) { reply(a.limitValidity(deadline)) }
	frame := &transport.Frame{Type: transport.MsgRequest, ID: id, Method: method, JobID: jobID, Body: body}
	if toLeader.via != "" {
		frame.Type = transport.MsgRelayRequest
		c.Relayed++
		c.env.SendPeer(toLeader.via, frame)
	} else {
		c.env.SendPeer(toLeader.leader, frame)
	}
	c.env.After(timeout, func() {
		if c.pendingForwards[id] != nil {
			delete(c.pendingForwards, id)
			onTimeout()
		}
	})
}

// HandleRequest takes a request from a user or a worker of this node.
func (c *Controller) HandleRequest(method transport.Method, jobID string, body []byte, reply func(Response)) {
	if c.leader != nil {
		c.serveAsLeader(method, jobID, body, true, reply)
		return
	}
	if c.links != nil && method == transport.WorkerHeartbeat {
		c.links.sampleWorkerHeartbeat(body)
	}
	toLeader, known := c.leaderRoute()
	reachable := toLeader.reachable
	switch method {
	case transport.SubmitJob:
		spec, err := api.ParseSpec(body)
		if err != nil {
			reply(errorResponse(http.StatusBadRequest, err.Error()))
			return
		}
		if spec.Shape == api.Gang && c.formatLevel < ident.FormatPacked {
			// A leader of an earlier version would call it malformed.
			c.requirePackedFormat(func() { c.forwardOrRefuse(toLeader, method, jobID, body, reply) }, reply)
			return
		}
	case transport.GetJob:
		if !reachable {
			c.pollFromStore(jobID, reply)
			return
		}
		c.forward(toLeader, method, jobID, nil, pollForwardTimeout, func(r Response) {
			if r.Status >= 500 {
				c.pollFromStore(jobID, reply)
				return
			}
			reply(r)
		}, func() { c.pollFromStore(jobID, reply) })
		return
	case transport.WorkerHeartbeat:
		// Otherwise read by the leader; reading it here as well doubles the cost of
		// what comes most often.
		if !reachable {
			r, err := api.ParseHeartbeat(body)
			if err != nil {
				reply(errorResponse(http.StatusBadRequest, err.Error()))
				return
			}
			if a, ok := c.renewLeaseWithoutLeader(r); ok {
				reply(a)
				return
			}
		}
		if known && !reachable {
			reply(jsonResponse(http.StatusMisdirectedRequest, struct {
				Home ident.NodeID `json:"home"`
			}{toLeader.leader}))
			return
		}
	}
	c.forwardOrRefuse(toLeader, method, jobID, body, reply)
}

// requirePackedFormat reads the format level; then is called if gangs may be passed on. It goes with
// the first format.
func (c *Controller) requirePackedFormat(then func(), reply func(Response)) {
	c.refreshFormatLevel(func() {
		if c.formatLevel < ident.FormatPacked {
			c.Refused++
			reply(unavailable("some nodes may run an earlier version"))
			return
		}
		then()
	})
}

// refreshFormatLevel reads the format level from the state service, as far as that answers; then is
// called either way.
func (c *Controller) refreshFormatLevel(then func()) {
	c.env.Store(kvstore.Request{Op: kvstore.Get, Key: election.TermKey, Timeout: storeTimeout}, func(r kvstore.Response) {
		if r.Outcome == kvstore.OK {
			if _, l, err := election.DecodeTerm(r.Value); err == nil {
				c.formatLevel = max(c.formatLevel, l)
			}
		}
		then()
	})
}

// forwardOrRefuse hands a request to the leader.
func (c *Controller) forwardOrRefuse(toLeader route, method transport.Method, jobID string, body []byte, reply func(Response)) {
	if !toLeader.reachable {
		c.Refused++
		reply(unavailable("no leader at present"))
		return
	}
	c.forward(toLeader, method, jobID, body, forwardTimeout, func(r Response) {
		var a api.JobStatus
		if method == transport.CancelJob && r.Status == http.StatusOK && json.Unmarshal(r.Body, &a) == nil {
			c.rememberIfCancelled(a.ID, a.Status)
		}
		reply(r)
	}, func() {
		c.Refused++
		reply(unavailable("the leader did not answer"))
	})
}

// serveRelayed passes a sibling's request on to the leader, or answers it as the leader. It goes
// directly from here, so that no request takes more than two steps.
func (c *Controller) serveRelayed(frame *transport.Frame, reply func(Response)) {
	if c.leader != nil {
		c.serveAsLeader(frame.Method, frame.JobID, frame.Body, false, reply)
		return
	}
	to, known := c.election.Leader()
	c.forwardOrRefuse(route{leader: to, reachable: known && c.reachable(to)}, frame.Method, frame.JobID, frame.Body, reply)
}

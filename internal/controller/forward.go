package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/statesvc"
)

// route is how requests come to the leader.
type route struct {
	to  ident.NodeID
	via ident.NodeID // a sibling that passes them on; empty: directly
	up  bool         // they probably arrive
}

// leaderRoute finds the way to the leader: directly, or by a sibling that reaches it.
func (c *Controller) leaderRoute() (r route, known bool) {
	r.to, known = c.elect.Leader()
	if !known {
		return r, false
	}
	r.up = c.reachable(r.to)
	if c.links == nil || r.up && !c.links.doubtful(r.to) {
		return r, true
	}
	if via, ok := c.links.relay(r.to); ok {
		r.via, r.up = via, true
	}
	return r, true
}

// forward asks the leader; without an answer in time, lost is called.
func (c *Controller) forward(r route, v mesh.Verb, job string, body []byte, limit time.Duration, reply func(Reply), lost func()) {
	c.Forwarded++
	c.askID++
	id := c.askID
	until := c.env.Now().Add(limit)
	// Should this process stand still, the answer may be read before the timer runs.
	c.asks[id] = func(a Reply) { reply(a.within(until)) }
	frame := &mesh.Frame{Kind: mesh.Ask, ID: id, Verb: v, Job: job, Body: body}
	if r.via != "" {
		frame.Kind = mesh.Relay
		c.Relayed++
		c.env.Mesh(r.via, frame)
	} else {
		c.env.Mesh(r.to, frame)
	}
	c.env.After(limit, func() {
		if c.asks[id] != nil {
			delete(c.asks, id)
			lost()
		}
	})
}

// Request takes a request from a user or a worker of this node.
func (c *Controller) Request(v mesh.Verb, job string, body []byte, reply func(Reply)) {
	if c.lead != nil {
		c.serve(v, job, body, true, reply)
		return
	}
	if c.links != nil && v == mesh.Checkin {
		c.links.sample(body)
	}
	way, known := c.leaderRoute()
	up := way.up
	switch v {
	case mesh.Submit:
		s, err := api.ParseSpec(body)
		if err != nil {
			reply(problem(http.StatusBadRequest, err.Error()))
			return
		}
		if s.Shape == api.Gang && c.level < ident.FormatPacked {
			// A leader of an earlier version would call it malformed.
			c.learn(func() { c.pass(way, v, job, body, reply) }, reply)
			return
		}
	case mesh.Poll:
		if !up {
			c.read(job, reply)
			return
		}
		c.forward(way, v, job, nil, pollTime, func(r Reply) {
			if r.Status >= 500 {
				c.read(job, reply)
				return
			}
			reply(r)
		}, func() { c.read(job, reply) })
		return
	case mesh.Checkin:
		// Otherwise read by the leader; reading it here as well doubles the cost of
		// what comes most often.
		if !up {
			r, err := api.ParseHeartbeat(body)
			if err != nil {
				reply(problem(http.StatusBadRequest, err.Error()))
				return
			}
			if a, ok := c.keepLease(r); ok {
				reply(a)
				return
			}
		}
		if known && !up {
			reply(answer(http.StatusMisdirectedRequest, struct {
				Home ident.NodeID `json:"home"`
			}{way.to}))
			return
		}
	}
	c.pass(way, v, job, body, reply)
}

// learn reads the format level; then is called if gangs may be passed on. It goes with
// the first format.
func (c *Controller) learn(then func(), reply func(Reply)) {
	c.readLevel(func() {
		if c.level < ident.FormatPacked {
			c.Refused++
			reply(unavailable("some nodes may run an earlier version"))
			return
		}
		then()
	})
}

// readLevel reads the format level from the state service, as far as that answers; then is
// called either way.
func (c *Controller) readLevel(then func()) {
	c.env.Store(statesvc.Request{Op: statesvc.Get, Key: election.TermKey, Timeout: commitTime}, func(r statesvc.Response) {
		if r.Outcome == statesvc.OK {
			if _, l, err := election.DecodeTerm(r.Value); err == nil {
				c.level = max(c.level, l)
			}
		}
		then()
	})
}

// pass hands a request to the leader.
func (c *Controller) pass(way route, v mesh.Verb, job string, body []byte, reply func(Reply)) {
	if !way.up {
		c.Refused++
		reply(unavailable("no leader at present"))
		return
	}
	c.forward(way, v, job, body, forwardTime, func(r Reply) {
		var a api.JobStatus
		if v == mesh.Cancel && r.Status == http.StatusOK && json.Unmarshal(r.Body, &a) == nil {
			c.learned(a.ID, a.Status)
		}
		reply(r)
	}, func() {
		c.Refused++
		reply(unavailable("the leader did not answer"))
	})
}

// relayed passes a sibling's request on to the leader, or answers it as the leader. It goes
// directly from here, so that no request takes more than two steps.
func (c *Controller) relayed(f *mesh.Frame, reply func(Reply)) {
	if c.lead != nil {
		c.serve(f.Verb, f.Job, f.Body, false, reply)
		return
	}
	to, known := c.elect.Leader()
	c.pass(route{to: to, up: known && c.reachable(to)}, f.Verb, f.Job, f.Body, reply)
}

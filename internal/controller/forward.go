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

// forward asks a sibling; without an answer in time, lost is called.
func (c *Controller) forward(to ident.NodeID, v mesh.Verb, job string, body []byte, limit time.Duration, reply func(Reply), lost func()) {
	c.Forwarded++
	c.askID++
	id := c.askID
	until := c.env.Now().Add(limit)
	// Should this process stand still, the answer may be read before the timer runs.
	c.asks[id] = func(r Reply) { reply(r.within(until)) }
	c.env.Mesh(to, &mesh.Frame{Kind: mesh.Ask, ID: id, Verb: v, Job: job, Body: body})
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
	to, known := c.elect.Leader()
	up := known && c.reachable(to)
	switch v {
	case mesh.Submit:
		s, err := api.ParseSpec(body)
		if err != nil {
			reply(problem(http.StatusBadRequest, err.Error()))
			return
		}
		if s.Shape == api.Gang && c.level < ident.Packed {
			// A leader of an earlier version would call it malformed.
			c.learn(func() { c.pass(to, up, v, job, body, reply) }, reply)
			return
		}
	case mesh.Poll:
		if !up {
			c.read(job, reply)
			return
		}
		c.forward(to, v, job, nil, pollTime, func(r Reply) {
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
			r, err := api.ParseReport(body)
			if err != nil {
				reply(problem(http.StatusBadRequest, err.Error()))
				return
			}
			if a, ok := c.vouched(r); ok {
				reply(a)
				return
			}
		}
		if known && !up {
			reply(answer(http.StatusMisdirectedRequest, struct {
				Home ident.NodeID `json:"home"`
			}{to}))
			return
		}
	}
	c.pass(to, up, v, job, body, reply)
}

// learn reads the format level; then is called if gangs may be passed on. It goes with
// the first format.
func (c *Controller) learn(then func(), reply func(Reply)) {
	c.env.State(statesvc.Request{Op: statesvc.Get, Path: election.TermKey, Timeout: commitTime}, func(r statesvc.Reply) {
		if r.Outcome == statesvc.OK {
			if _, l, err := election.ReadTerm(r.Value); err == nil {
				c.level = max(c.level, l)
			}
		}
		if c.level < ident.Packed {
			c.Refused++
			reply(unavailable("some nodes may run an earlier version"))
			return
		}
		then()
	})
}

// pass hands a request to the leader.
func (c *Controller) pass(to ident.NodeID, up bool, v mesh.Verb, job string, body []byte, reply func(Reply)) {
	if !up {
		c.Refused++
		reply(unavailable("no leader at present"))
		return
	}
	c.forward(to, v, job, body, forwardTime, func(r Reply) {
		var a api.Ack
		if v == mesh.Cancel && r.Status == http.StatusOK && json.Unmarshal(r.Body, &a) == nil {
			c.learned(a.ID, a.Status)
		}
		reply(r)
	}, func() {
		c.Refused++
		reply(unavailable("the leader did not answer"))
	})
}

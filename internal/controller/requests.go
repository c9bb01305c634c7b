package controller

import (
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// request is a request of a user or a worker, as it comes in and as it is forwarded.
type request struct {
	method transport.Method
	jobID  ident.JobID // of GetJob and CancelJob
	body   []byte      // of SubmitJob and WorkerHeartbeat
	direct bool        // it came to this node from its sender, not by a peer
}

// requestOf returns the request that a peer's frame carries.
func requestOf(frame *transport.Frame) request {
	return request{method: frame.Method, jobID: ident.JobID(frame.JobID), body: frame.Body}
}

// HandleFrame takes in a message of a peer. One of an unknown node is ignored.
func (c *Controller) HandleFrame(from ident.NodeID, frame *transport.Frame) {
	sender := c.peers[from]
	if sender == nil {
		return
	}
	sender.lastHeard, sender.everHeard = c.env.Now(), true
	c.links.FrameReceived(from, sender.lastHeard)
	switch frame.Type {
	case transport.MsgLinkState:
		c.links.MergeAdvertisements(frame)
	case transport.MsgTransferLeader:
		c.election.PreferSuccessor(frame.Node, frame.Term)
	case transport.MsgHeartbeat:
		if frame.Node != "" {
			c.election.ObserveLeader(frame.Node, frame.Term)
		}
		c.handleHeartbeat(from, sender, frame)
	case transport.MsgRequest:
		c.serveAsLeader(requestOf(frame), c.responder(from, frame.ID))
	case transport.MsgRelayRequest:
		c.serveRelayed(requestOf(frame), c.responder(from, frame.ID))
	case transport.MsgResponse:
		if reply := c.pendingForwards[frame.ID]; reply != nil {
			delete(c.pendingForwards, frame.ID)
			reply(Response{Status: int(frame.Status), RetryAfterS: int(frame.RetryAfterS), Body: frame.Body})
		}
	}
}

// responder returns the function that answers a peer's request.
func (c *Controller) responder(to ident.NodeID, id uint64) func(Response) {
	return func(r Response) {
		c.env.SendPeer(to, &transport.Frame{
			Type:        transport.MsgResponse,
			ID:          id,
			Status:      uint16(r.Status),
			RetryAfterS: uint16(r.RetryAfterS),
			Body:        r.Body,
		})
	}
}

// serveAsLeader answers a request as the leader, or refuses it.
func (c *Controller) serveAsLeader(r request, reply func(Response)) {
	switch r.method {
	case transport.SubmitJob:
		// A malformed submission gets the same status at every node at any time, also between two leaders.
		spec, err := api.ParseSpec(r.body)
		switch {
		case err != nil:
			reply(errorResponse(http.StatusBadRequest, err.Error()))
		case c.acceptsSubmissions(reply):
			c.leader.submit(spec, reply)
		}
	case transport.GetJob:
		if !c.allows(authority.ServeReads) {
			// Past the validity of its lease a leader's memory may be behind its successor's.
			c.pollFromStore(r.jobID, reply)
			return
		}
		c.leader.getJob(r.jobID, reply)
	case transport.CancelJob:
		if c.acceptsSubmissions(reply) {
			c.leader.cancel(r.jobID, reply)
		}
	case transport.WorkerHeartbeat:
		c.handleWorkerHeartbeat(r, reply)
	}
}

// acceptsSubmissions reports whether this node may take requests of users that change jobs; otherwise it
// has refused the request.
func (c *Controller) acceptsSubmissions(reply func(Response)) bool {
	if c.allows(authority.AcceptSubmissions) {
		return true
	}
	c.refuse(reply, noLeader)
	return false
}

// handleWorkerHeartbeat answers a worker's heartbeat.
func (c *Controller) handleWorkerHeartbeat(r request, reply func(Response)) {
	heartbeat, err := api.ParseHeartbeat(r.body)
	if err != nil {
		reply(errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	var commands *api.HeartbeatResponse
	var validUntil ident.MonotonicTime
	if l := c.leader; l != nil {
		c.links.NoteWorkerHeartbeat(heartbeat, r.direct)
		if c.allows(authority.CommandWorkers) {
			commands = l.workers.HandleHeartbeat(heartbeat)
			if commands != nil && api.ContainsLaunch(commands.Commands) {
				// Should this process pause now, a successor may have reported the job as cancelled before
				// the answer goes out.
				validUntil = c.election.LeaseExpiry()
			}
			l.noteWorkerHeartbeat(l.workers.Workers[heartbeat.MachineID], r.direct)
		} else if c.allows(authority.RenewWorkerLeases) {
			commands = l.workers.RenewLeaseOnly(heartbeat)
		}
	}
	if commands == nil {
		reply(unavailable(notEntitled))
		return
	}
	response := jsonResponse(http.StatusOK, commands)
	response.ValidUntil = validUntil
	reply(response)
}

package controller

// This file dispatches messages from peers, and serves requests on the leader.

import (
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// request is a request from a user or a worker, as received and as forwarded to the leader.
type request struct {
	method transport.Method
	jobID  ident.JobID // of GetJob and CancelJob
	body   []byte      // of SubmitJob and WorkerHeartbeat
	direct bool        // received from the client itself, not forwarded by a peer
}

// requestOf returns the request that a peer's frame carries.
func requestOf(frame *transport.Frame) request {
	return request{method: frame.Method, jobID: ident.JobID(frame.JobID), body: frame.Body}
}

// HandleFrame handles a message from a peer. Messages from nodes that are not configured as peers are ignored.
func (c *Controller) HandleFrame(from ident.NodeID, frame *transport.Frame) {
	sender := c.peers[from]
	if sender == nil {
		return
	}
	sender.lastReceivedAt, sender.hasReceived = c.env.Now(), true
	c.links.FrameReceived(from, sender.lastReceivedAt)
	switch frame.Type {
	case transport.MsgLinkState:
		c.links.MergeAdvertisements(frame)
	case transport.MsgTransferLeader:
		c.election.PreferSuccessor(frame.Node, frame.Term)
	case transport.MsgHeartbeat:
		c.receivePeerHeartbeat(from, sender, frame)
	case transport.MsgRequest:
		c.serveAsLeader(requestOf(frame), c.responder(from, frame.ID))
	case transport.MsgRelayRequest:
		c.serveRelayed(requestOf(frame), c.responder(from, frame.ID))
	case transport.MsgResponse:
		c.completeForward(frame)
	}
}

// responder returns a function that sends a peer the response to its request with the given ID.
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

// serveAsLeader answers a request from the leader's tables, or refuses it. Peers may still forward requests to a node whose
// term has ended, so c.leader may be nil here.
func (c *Controller) serveAsLeader(r request, reply func(Response)) {
	switch r.method {
	case transport.SubmitJob:
		// A malformed submission gets the same status from every node, whether it leads or not.
		spec, err := api.ParseSpec(r.body)
		switch {
		case err != nil:
			reply(errorResponse(http.StatusBadRequest, err.Error()))
		case c.acceptsSubmissions(reply):
			c.leader.submit(spec, reply)
		}
	case transport.GetJob:
		if !c.allows(authority.ServeReads) {
			// The tables of a leader whose lease has expired may be older than those of its successor.
			c.pollFromStore(r.jobID, reply)
			return
		}
		c.leader.getJob(r.jobID, reply)
	case transport.CancelJob:
		if c.acceptsSubmissions(reply) {
			c.leader.cancel(r.jobID, reply)
		}
	case transport.WorkerHeartbeat:
		c.serveWorkerHeartbeat(r, reply)
	}
}

// acceptsSubmissions reports whether this node may accept requests that change jobs. If it may not, acceptsSubmissions
// calls reply with a refusal.
func (c *Controller) acceptsSubmissions(reply func(Response)) bool {
	if c.allows(authority.AcceptSubmissions) {
		return true
	}
	c.refuse(reply, noLeader)
	return false
}

// serveWorkerHeartbeat responds to a worker's heartbeat.
func (c *Controller) serveWorkerHeartbeat(r request, reply func(Response)) {
	heartbeat, err := api.ParseHeartbeat(r.body)
	if err != nil {
		reply(errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	var commands *api.HeartbeatResponse
	var validUntil ident.MonotonicTime
	if c.leader != nil {
		commands, validUntil = c.leader.respondToHeartbeat(heartbeat, r.direct)
	}
	if commands == nil {
		reply(unavailable(noAuthority))
		return
	}
	response := jsonResponse(http.StatusOK, commands)
	response.ValidUntil = validUntil
	reply(response)
}

// respondToHeartbeat renews a worker's lease and returns the commands for the worker, to the extent that the leader's
// authority permits. commands is nil if no response may be sent. validUntil is the expiry of the response; 0 means
// that it does not expire.
func (l *leaderTerm) respondToHeartbeat(heartbeat *api.Heartbeat, direct bool) (
	commands *api.HeartbeatResponse, validUntil ident.MonotonicTime,
) {
	c := l.controller
	c.links.RecordWorkerHeartbeat(heartbeat, direct)
	if !c.allows(authority.CommandWorkers) {
		if c.allows(authority.RenewWorkerLeases) {
			commands = l.workers.RenewLeaseOnly(heartbeat)
		}
		return commands, 0
	}
	commands = l.workers.HandleHeartbeat(heartbeat)
	if commands != nil && api.ContainsLaunch(commands.Commands) {
		// If the process pauses before it sends the response, a successor may have reported the job as cancelled
		// by then.
		validUntil = c.election.LeaseExpiry()
	}
	l.recordHeartbeatContact(l.workers.Workers[heartbeat.MachineID], direct)
	return commands, validUntil
}

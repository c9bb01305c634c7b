package controller

// This file exchanges heartbeats with the other controllers, and determines which of them are reachable.

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/renewal"
	"opaldale/internal/transport"
)

const (
	heartbeatInterval = 700 * time.Millisecond
	peerTimeout       = 2500 * time.Millisecond
	// leaderLinkGrace is how long the link to the leader may be down before this node reports itself unhealthy to the
	// load balancer. It is longer than an election takes.
	leaderLinkGrace = 4 * time.Second
	// storeProbeAfter is the time without contact with the leader after which a follower probes the store.
	storeProbeAfter = 2 * time.Second
)

// peer is the state of another controller node as seen from this node.
type peer struct {
	lastReceivedAt  ident.MonotonicTime // arrival of the last message of any type
	hasReceived     bool
	lastHeartbeatID uint64 // ID of the last heartbeat received
}

// receivedWithin reports whether a message from the peer has arrived within d before now.
func (p *peer) receivedWithin(d time.Duration, now ident.MonotonicTime) bool {
	return p.hasReceived && now.Sub(p.lastReceivedAt) < d
}

// sendHeartbeats sends a heartbeat to each peer, and repeats that every heartbeatInterval. A heartbeat says whether this
// node leads, and echoes the ID of the last heartbeat received from the peer.
func (c *Controller) sendHeartbeats() {
	now := c.env.Now()
	frame := c.heartbeatFrame(now)
	c.sentHeartbeats.Record(frame.ID, now)
	var ownAdvertisement links.Advertisement
	if c.links.Enabled() {
		ownAdvertisement = c.links.OwnAdvertisement()
	}
	for _, s := range c.settings.Peers {
		peerFrame := frame
		peerFrame.Heartbeat.EchoID = c.peers[s.Node].lastHeartbeatID
		c.env.SendPeer(s.Node, &peerFrame)
		if c.links.Enabled() {
			c.links.HeartbeatSent(s.Node, now)
			c.links.SendAdvertisements(s.Node, ownAdvertisement, now)
		}
	}
	c.env.After(heartbeatInterval, c.sendHeartbeats)
}

// heartbeatFrame returns the next heartbeat, without an echo. A follower that has had no contact with the leader for
// storeProbeAfter also probes the store, since it may renew worker leases by itself only if both are unreachable.
func (c *Controller) heartbeatFrame(now ident.MonotonicTime) transport.Frame {
	frame := transport.Frame{
		Type: transport.MsgHeartbeat,
		ID:   c.rng.Uint64(),
		Heartbeat: transport.PeerHeartbeat{
			UptimeMS:       transport.ToMillis(now.Sub(0)),
			SinceLeaderMS:  transport.NeverMS,
			SinceRenewalMS: transport.NeverMS,
		},
	}
	if c.election.LeaseValid() {
		frame.Node, frame.Term = c.settings.Node, c.election.Term()
		if c.leader.loaded() {
			frame.Heartbeat.LeaseAllowanceMS = transport.ToMillis(c.leader.leaseAllowance(now))
		}
	}
	if age, ever := c.renewer.SinceRenewal(now); ever {
		frame.Heartbeat.SinceRenewalMS = transport.ToMillis(age)
	}
	if age, ever := c.renewer.SinceLeader(now); ever {
		frame.Heartbeat.SinceLeaderMS = transport.ToMillis(age)
		if age > storeProbeAfter && c.leader == nil {
			c.probeStore()
		}
	}
	return frame
}

// probeStore reads a key from the store to check whether the store serves this node.
func (c *Controller) probeStore() {
	request := kvstore.Request{Op: kvstore.Get, Key: election.LeaderKey, Timeout: storeTimeout}
	c.env.Store(request, func(r kvstore.Response) {
		if r.Outcome != kvstore.NoResponse && r.Outcome != kvstore.Unavailable && r.Outcome != kvstore.RateLimited {
			c.storeLastServed = c.env.Now()
		}
	})
}

// receivePeerHeartbeat processes a peer's heartbeat: the leader that it names, and the heartbeat of this node that it
// echoes.
func (c *Controller) receivePeerHeartbeat(from ident.NodeID, sender *peer, frame *transport.Frame) {
	if frame.Node != "" {
		c.election.ObserveLeader(frame.Node, frame.Term)
	}
	now := c.env.Now()
	sender.lastHeartbeatID = frame.ID
	heartbeat := &frame.Heartbeat
	sentAt, echoed := c.sentHeartbeats.SentAt(heartbeat.EchoID)
	if echoed {
		c.links.HeartbeatEchoed(from, sentAt, now)
	}
	if frame.Node != "" {
		c.links.ObserveTerm(frame.Term, now)
	}
	if echoed && frame.Node == from {
		c.renewer.Permit(frame.Term, sentAt, transport.FromMillis(heartbeat.LeaseAllowanceMS))
	}
	if c.leader == nil {
		return
	}
	if echoed {
		c.leader.renewals.ObserveEcho(from, now, sentAt, peerStatus(heartbeat))
	} else {
		c.leader.renewals.ObserveHeartbeat(from, now)
	}
}

// peerStatus returns the sender's status as reported in its heartbeat.
func peerStatus(heartbeat *transport.PeerHeartbeat) renewal.PeerStatus {
	return renewal.PeerStatus{
		ProcessAge:   transport.FromMillis(heartbeat.UptimeMS),
		SinceLeader:  transport.FromMillis(heartbeat.SinceLeaderMS),
		HasRenewed:   heartbeat.SinceRenewalMS != transport.NeverMS,
		SinceRenewal: transport.FromMillis(heartbeat.SinceRenewalMS),
	}
}

// leaderLinkBrieflyDown reports whether messages from the leader have arrived recently, and the link to it has been down for
// at most leaderLinkGrace. A link counts as down before the leader's lease expires, so without the grace a failover would
// make all nodes unhealthy for seconds.
func (c *Controller) leaderLinkBrieflyDown(leader ident.NodeID) bool {
	if !c.links.Enabled() || !c.receivedFromPeerWithin(leader, peerTimeout) {
		return false
	}
	d, _ := c.links.PeerDownFor(leader)
	return d <= leaderLinkGrace
}

// receivedFromPeerWithin reports whether a message from a peer has arrived within d.
func (c *Controller) receivedFromPeerWithin(n ident.NodeID, d time.Duration) bool {
	p := c.peers[n]
	return p != nil && p.receivedWithin(d, c.env.Now())
}

// receivedFromAnyPeerWithin reports whether a message from any peer has arrived within d.
func (c *Controller) receivedFromAnyPeerWithin(d time.Duration) bool {
	now := c.env.Now()
	for _, p := range c.peers {
		if p.receivedWithin(d, now) {
			return true
		}
	}
	return false
}

// peerReachable reports whether frames to a peer are expected to arrive.
func (c *Controller) peerReachable(n ident.NodeID) bool {
	if !c.links.PeerDelivering(n) {
		return false // the peer's messages may still arrive here, but this node's do not reach it
	}
	return c.receivedFromPeerWithin(n, peerTimeout)
}

// peerIDs returns the IDs of the other nodes.
func (c *Controller) peerIDs() []ident.NodeID {
	ids := make([]ident.NodeID, 0, len(c.settings.Peers))
	for _, s := range c.settings.Peers {
		ids = append(ids, s.Node)
	}
	return ids
}

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
	// leaderLinkGrace is how long the link to the leader may be down before the load balancer should use
	// another node: longer than an election takes.
	leaderLinkGrace = 4 * time.Second
	// storeProbeAfter is how long a node goes without hearing from the leader before it probes the store.
	storeProbeAfter = 2 * time.Second
)

// peer is another controller as seen from this node.
type peer struct {
	lastHeard       ident.MonotonicTime // when any message last arrived
	everHeard       bool
	lastHeartbeatID uint64 // ID of the last heartbeat received
}

// heardWithin reports whether anything has come from the peer within d before now.
func (p *peer) heardWithin(d time.Duration, now ident.MonotonicTime) bool {
	return p.everHeard && now.Sub(p.lastHeard) < d
}

// sendHeartbeats sends each peer a heartbeat now and at intervals from then on. It says whether this node leads, and which
// heartbeat of the peer it received last.
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

// heartbeatFrame returns the next heartbeat, without an echo. A follower that has not heard from the leader for
// storeProbeAfter also probes the store, since it may renew leases by itself only if both are unreachable.
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

// probeStore reads a key from the store, to see whether it serves this node.
func (c *Controller) probeStore() {
	request := kvstore.Request{Op: kvstore.Get, Key: election.LeaderKey, Timeout: storeTimeout}
	c.env.Store(request, func(r kvstore.Response) {
		if r.Outcome != kvstore.NoAnswer && r.Outcome != kvstore.Unavailable && r.Outcome != kvstore.RateLimited {
			c.storeLastServed = c.env.Now()
		}
	})
}

// receivePeerHeartbeat processes a peer's heartbeat: which node it reports to lead, and which heartbeat of this node it
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

// peerStatus returns the status that a heartbeat reports of its sender.
func peerStatus(heartbeat *transport.PeerHeartbeat) renewal.PeerStatus {
	return renewal.PeerStatus{
		ProcessAge:   transport.FromMillis(heartbeat.UptimeMS),
		SinceLeader:  transport.FromMillis(heartbeat.SinceLeaderMS),
		HasRenewed:   heartbeat.SinceRenewalMS != transport.NeverMS,
		SinceRenewal: transport.FromMillis(heartbeat.SinceRenewalMS),
	}
}

// leaderLinkBrieflyDown reports whether the link to the leader has been down for at most leaderLinkGrace. A link counts as
// down before the lease expires, so without the grace a failover would make all nodes unhealthy for seconds.
func (c *Controller) leaderLinkBrieflyDown(leader ident.NodeID) bool {
	if !c.links.Enabled() || !c.heardWithin(leader, peerTimeout) {
		return false
	}
	d, _ := c.links.PeerDownFor(leader)
	return d <= leaderLinkGrace
}

// heardWithin reports whether a peer was heard within d.
func (c *Controller) heardWithin(n ident.NodeID, d time.Duration) bool {
	p := c.peers[n]
	return p != nil && p.heardWithin(d, c.env.Now())
}

// heardAnyPeerWithin reports whether any peer was heard within d.
func (c *Controller) heardAnyPeerWithin(d time.Duration) bool {
	now := c.env.Now()
	for _, p := range c.peers {
		if p.heardWithin(d, now) {
			return true
		}
	}
	return false
}

// peerReachable reports whether frames to a peer probably arrive.
func (c *Controller) peerReachable(n ident.NodeID) bool {
	if !c.links.PeerDelivering(n) {
		return false // the peer may still be heard, but does not receive
	}
	return c.heardWithin(n, peerTimeout)
}

// peerIDs returns the names of the other nodes.
func (c *Controller) peerIDs() []ident.NodeID {
	ids := make([]ident.NodeID, 0, len(c.settings.Peers))
	for _, s := range c.settings.Peers {
		ids = append(ids, s.Node)
	}
	return ids
}

package controller

// This file connects the controller to its link tracker, and reports the state of the node's links.

import (
	"opaldale/internal/ident"
	"opaldale/internal/linktracker"
)

// trackedNode implements linktracker.Node.
type trackedNode struct{ controller *Controller }

// newLinkTracker returns the node's link tracker, nil if link tracking is disabled.
func newLinkTracker(c *Controller) *linktracker.Tracker {
	if !c.settings.Tuning.Links.Enabled {
		return nil
	}
	config := linktracker.Config{Node: c.settings.Node, Peers: c.peerIDs(), Links: c.settings.Tuning.Links}
	return linktracker.New(config, trackedNode{c}, c.env, c.rng)
}

func (n trackedNode) IsLeader() bool { return n.controller.leader != nil }

func (n trackedNode) FormatLevel() ident.FormatLevel { return n.controller.formatLevel }

func (n trackedNode) RefreshFormatLevel(done func()) { n.controller.refreshFormatLevel(done) }

func (n trackedNode) ProbeStore() { n.controller.probeStore() }

func (n trackedNode) Reachable(id ident.NodeID) bool { return n.controller.peerReachable(id) }

func (n trackedNode) LastHeartbeatID(id ident.NodeID) uint64 {
	return n.controller.peers[id].lastHeartbeatID
}

func (n trackedNode) HeartbeatSentAt(id uint64) (ident.MonotonicTime, bool) {
	return n.controller.sentHeartbeats.SentAt(id)
}

// LinksEvaluated implements linktracker.Node: a leader compares its links with those of its peers.
func (n trackedNode) LinksEvaluated(now ident.MonotonicTime) {
	if l := n.controller.leader; l != nil && l.loaded() {
		l.evaluateHandover(now)
	}
	n.controller.updateAuthority()
}

// LinkReport returns a report on the node's links for operators.
func (c *Controller) LinkReport() linktracker.Report {
	report := linktracker.Report{
		Node:           c.settings.Node,
		Enabled:        c.links.Enabled(),
		Authority:      c.updateAuthority().String(),
		Links:          []linktracker.LinkEntry{},
		Advertisements: []linktracker.AdvertisementEntry{},
		Handovers:      []linktracker.HandoverEntry{},
		Dropped:        map[string]uint64{},
	}
	if !c.links.Enabled() {
		return report
	}
	if c.leader != nil {
		report.Handover = c.leader.handover.State().String()
	}
	c.links.FillReport(&report)
	return report
}

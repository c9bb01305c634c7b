package controller

// This file derives what the node may decide from its leadership, its store and a handover under way.

import (
	"log/slog"

	"opaldale/internal/authority"
)

// updateAuthority brings the node's authority up to date, logs a change of it, and returns it.
func (c *Controller) updateAuthority() authority.State {
	from, to := c.authority.Update(c.authorityFacts())
	if from != to && c.links.Enabled() {
		slog.Info("authority changed", "from", from.String(), "to", to.String())
	}
	return to
}

// authorityFacts gathers what the node's authority depends on.
func (c *Controller) authorityFacts() authority.Facts {
	l := c.leader
	if l == nil || l.closed() {
		return authority.Facts{Leadership: authority.NotLeader}
	}
	return authority.Facts{
		Leadership:    c.leadership(),
		StateLoaded:   l.loaded(),
		StoreWritable: !l.committer.StoreUnavailable(),
		HandingOver:   l.handover != nil && l.handover.Begun(),
	}
}

// leadership returns whether the leader's lease is valid, expired, or expired for less than the renewal grace. The term must
// not be closed.
func (c *Controller) leadership() authority.Leadership {
	valid := c.election.LeaseValid()
	withinGrace := c.election.WithinGrace(c.renewalGrace)
	switch {
	case valid:
		return authority.LeaseValid
	case withinGrace:
		return authority.LeaseInGrace
	}
	return authority.LeaseExpired
}

// allows reports whether this node has the authority for an action at this moment. Every decision of a leader, and every
// answer from its tables, must be guarded by it.
func (c *Controller) allows(action authority.Action) bool { return c.updateAuthority().Allows(action) }

// mayManageFleet reports whether machines may be provisioned, terminated and fenced. If links are not watched, that
// includes a leader that can't write to the store.
func (c *Controller) mayManageFleet() bool {
	state := c.updateAuthority()
	return state.Allows(authority.Scale) || !c.links.Enabled() && state == authority.StoreDown
}

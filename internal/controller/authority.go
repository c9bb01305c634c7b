package controller

// This file derives the actions that the node may take from its leadership, the store's availability and a handover
// in progress.

import (
	"log/slog"

	"opaldale/internal/authority"
)

// updateAuthority recomputes the node's authority, logs a change, and returns the new state.
func (c *Controller) updateAuthority() authority.State {
	from, to := c.authority.Update(c.authorityFacts())
	if from != to && c.links.Enabled() {
		slog.Info("authority changed", "from", from.String(), "to", to.String())
	}
	return to
}

// authorityFacts returns the inputs from which the node's authority is derived.
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

// leadership returns whether the leader's lease is valid, has expired within the renewal grace, or has expired longer ago.
// It must not be called for a closed term.
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

// allows reports whether the node's current authority permits an action. A leader must check it before every decision, and
// before every response from its tables.
func (c *Controller) allows(action authority.Action) bool { return c.updateAuthority().Allows(action) }

// mayManageFleet reports whether this node may provision, terminate and fence machines. While link tracking is disabled, a
// leader that can't write to the store may do so as well.
func (c *Controller) mayManageFleet() bool {
	state := c.updateAuthority()
	return state.Allows(authority.Scale) || !c.links.Enabled() && state == authority.StoreDown
}

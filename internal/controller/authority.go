package controller

import (
	"log/slog"

	"opaldale/internal/authority"
)

// updateAuthority returns what this node may decide at this moment, and logs a change of it.
func (c *Controller) updateAuthority() authority.State {
	from, to := c.authority.Update(c.authorityFacts())
	if from != to && c.links.Enabled() {
		slog.Info("authority changed", "from", from.String(), "to", to.String())
	}
	return to
}

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

// leadership returns how sure the node can be of its leadership, in a term that has not been closed.
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

// allows reports whether this node may do something at this moment. All decisions of a leader, and what it answers
// users and workers, are checked by it.
func (c *Controller) allows(action authority.Action) bool { return c.updateAuthority().Allows(action) }

// mayManageFleet reports whether machines may be provisioned, terminated and fenced. If links are not watched, a
// leader goes on with that while it can't write.
func (c *Controller) mayManageFleet() bool {
	state := c.updateAuthority()
	return state.Allows(authority.Scale) || !c.links.Enabled() && state == authority.StoreDown
}

package controller

import (
	"log/slog"

	"opaldale/internal/authority"
)

// updateAuthority returns what this node may decide at this moment, and logs a change of it.
func (c *Controller) updateAuthority() authority.State {
	facts := authority.Facts{IsLeader: c.leader != nil}
	if l := c.leader; l != nil && !l.closed() {
		facts.LeaseValid = c.election.LeaseValid()
		facts.WithinGrace = c.election.WithinGrace(c.renewalGrace)
		facts.StateLoaded = l.loaded()
		facts.StoreWritable = !l.committer.StoreUnavailable()
		facts.HandingOver = l.handover != nil && l.handover.Begun()
	}
	before, changed := c.authority.Update(facts)
	after := c.authority.State()
	if changed && c.links.Enabled() {
		slog.Info("authority changed", "from", before.String(), "to", after.String())
	}
	return after
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

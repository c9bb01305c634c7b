package controller

import (
	"log/slog"

	"opaldale/internal/authority"
)

// authorityNow returns what this node may decide at this moment.
func (c *Controller) authorityNow() authority.State {
	facts := authority.Facts{IsLeader: c.lead != nil}
	if l := c.lead; l != nil && !l.dead {
		facts.LeaseValid = c.elect.LeaseValid()
		facts.WithinGrace = c.elect.WithinGrace(c.grace)
		facts.StateLoaded = l.ready
		facts.StoreWritable = !l.commits.StoreUnavailable()
		facts.HandingOver = l.handover != nil && l.handover.Begun()
	}
	before, changed := c.authority.Update(facts)
	now := c.authority.State()
	if changed && c.links != nil {
		slog.Info("authority", "from", before.String(), "to", now.String())
	}
	return now
}

// may says whether this node may do something at this moment. All decisions of a leader, and
// what it tells users and workers, are checked by it.
func (c *Controller) may(a authority.Action) bool { return c.authorityNow().Allows(a) }

// mayTend says whether the fleet may be looked after. Without the view of links a leader
// that can't record goes on to rent and to fence.
func (c *Controller) mayTend() bool {
	state := c.authorityNow()
	return state.Allows(authority.Scale) || c.links == nil && state == authority.StoreDown
}

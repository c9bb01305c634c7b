package controller

import (
	"log/slog"

	"opaldale/internal/authority"
)

// authorityNow returns what this node may decide at this moment.
func (c *Controller) authorityNow() authority.State {
	facts := authority.Facts{Leads: c.lead != nil}
	if l := c.lead; l != nil && !l.dead {
		facts.Sure = c.elect.Valid()
		facts.InGrace = c.elect.Within(c.grace)
		facts.Loaded = l.ready
		facts.Recording = !l.commits.Down()
		facts.Yields = l.handover != nil && l.handover.Yields()
	}
	before, changed := c.authority.Move(facts)
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
	return state.Allows(authority.Rent) || c.links == nil && state == authority.Holding
}

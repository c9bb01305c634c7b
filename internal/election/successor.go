package election

import (
	"time"

	"opaldale/internal/ident"
)

// successorPreference is the successor announced by a leader that hands over.
type successorPreference struct {
	node  ident.NodeID
	until ident.MonotonicTime // other nodes do not claim the leader key before this time
}

// successorHeadStart is how long other nodes wait for the preferred successor to claim the leader key first.
// Safety does not depend on it: every claim is a compare-and-swap transaction on the leader key.
const successorHeadStart = 600 * time.Millisecond

// PreferSuccessor records the successor announced by the leader of a term. It does nothing if node is empty,
// if the term is earlier than the latest known one, or if this node leads.
func (e *Elector) PreferSuccessor(node ident.NodeID, term ident.Term) {
	if e.state == Leading || node == "" || term < e.knownLeader.Term {
		return
	}
	until := e.port.Now().Add(callTimeout + successorHeadStart)
	e.preferred = successorPreference{node: node, until: until}
}

// deferToOthers reports whether the node must wait for other nodes to claim first. If so, it schedules the
// next read of the leader key for the end of the delay.
func (e *Elector) deferToOthers() bool {
	delay := e.claimDelay()
	if delay <= 0 {
		return false
	}
	e.setState(Following, deferring)
	e.afterInState(delay, e.checkLeader)
	return true
}

// claimDelay returns how long the node waits before it claims a leader key without a holder. CampaignDelay is
// applied once after each leader.
func (e *Elector) claimDelay() time.Duration {
	left := e.preferred.until.Sub(e.port.Now())
	if e.preferred.node == e.self {
		return 0
	}
	if left > 0 {
		delay := min(left, successorHeadStart)
		e.preferred.until = e.port.Now().Add(delay)
		return delay
	}
	if e.CampaignDelay == nil || e.campaignDelayed {
		return 0
	}
	e.campaignDelayed = true
	return e.CampaignDelay()
}

package election

import (
	"time"

	"opaldale/internal/ident"
)

// successorPreference is the successor that a leader has named when it handed over.
type successorPreference struct {
	node  ident.NodeID
	until ident.MonotonicTime // other nodes do not claim before that
}

// successorHeadStart is for how long other nodes let the preferred successor claim first. Safety
// does not depend on it: every claim is a transaction on the leader key.
const successorHeadStart = 600 * time.Millisecond

// PreferSuccessor takes note of the successor named by the leader of a term. An empty node names
// none. A leader of an earlier term than the latest known is ignored.
func (e *Elector) PreferSuccessor(node ident.NodeID, term ident.Term) {
	if e.state == Leading || node == "" || term < e.knownLeader.Term {
		return
	}
	until := e.port.Now().Add(callTimeout + successorHeadStart)
	e.preferred = successorPreference{node: node, until: until}
}

// deferToOthers reports whether the node lets others claim first. If so, the leader key is read
// again when the node's turn has come.
func (e *Elector) deferToOthers() bool {
	delay := e.claimDelay()
	if delay <= 0 {
		return false
	}
	e.setState(Following, deferring)
	e.afterInState(delay, e.checkLeader)
	return true
}

// claimDelay returns how long the node waits before it claims a free leader key.
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

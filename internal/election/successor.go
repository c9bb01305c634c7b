package election

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// successorPreference is a leader's word on who should follow it.
type successorPreference struct {
	node  ident.NodeID
	until ident.MonotonicTime // others claim the lead no earlier
}

// successorHeadStart is for how long others let the preferred successor claim first. It is no
// condition of safety: whoever claims goes through the transaction on the leader key.
const successorHeadStart = 600 * time.Millisecond

// HandOver ends the term in one transaction, after which anybody may claim the lead, and
// takes no part for a while. Nothing is decided in this term any more from the call on,
// whatever becomes of the transaction: without it the term ends with its lease.
func (e *Elector) HandOver(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	request := kvstore.Request{
		Op:        kvstore.Txn,
		Compares:  []kvstore.Compare{e.leaderKey},
		Mutations: []kvstore.Mutation{{Delete: e.leaderKey.Key}},
		Timeout:   callTimeout,
	}
	term := e.term
	e.port.Store(request, func(response kvstore.Response) {
		slog.Info("term was ended", "term", uint64(term), "outcome", response.Outcome.String())
	})
	e.stepDown(reason)
}

// PreferSuccessor takes the word of the leader of a term on who should follow it; nobody, if the node
// is empty. An earlier leader's word counts for nothing.
func (e *Elector) PreferSuccessor(node ident.NodeID, term ident.Term) {
	if e.state == Leading || node == "" || term < e.knownLeader.Term {
		return
	}
	e.preferred = successorPreference{node: node, until: e.port.Now().Add(callTimeout + successorHeadStart)}
}

// deferToOthers says whether the node lets others claim the lead first, and looks again when
// its turn has come.
func (e *Elector) deferToOthers() bool {
	wait := e.preferred.until.Sub(e.port.Now())
	switch {
	case e.preferred.node == e.self:
		return false
	case wait > 0:
		wait = min(wait, successorHeadStart)
		e.preferred.until = e.port.Now().Add(wait)
	case e.CampaignDelay != nil && !e.campaignDelayed:
		wait = e.CampaignDelay()
		e.campaignDelayed = true
	}
	if wait <= 0 {
		return false
	}
	e.setState(Following, "lets others claim first")
	generation := e.generation
	e.port.After(wait, func() {
		if e.generation == generation {
			e.checkLeader()
		}
	})
	return true
}

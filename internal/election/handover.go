package election

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// preference is a leader's word on who should follow it.
type preference struct {
	node  ident.NodeID
	until ident.Mono // others claim the lead no earlier
}

// preferredTime is for how long others let the preferred successor claim first. It is no
// condition of safety: whoever claims goes through the transaction on the leader key.
const preferredTime = 600 * time.Millisecond

// HandOver ends the term in one transaction, after which anybody may claim the lead, and
// takes no part for a while. Nothing is decided in this term any more from the call on,
// whatever becomes of the transaction: without it the term ends with its lease.
func (m *Machine) HandOver(rest time.Duration, why string) {
	if m.state != Leading {
		return
	}
	m.rest = m.port.Now().Add(rest)
	request := statesvc.Request{
		Op:      statesvc.Txn,
		If:      []statesvc.Cond{m.key},
		Then:    []statesvc.Change{{Delete: m.key.Path}},
		Timeout: callTime,
	}
	term := m.term
	m.port.State(request, func(r statesvc.Reply) {
		slog.Info("term was ended", "term", uint64(term), "outcome", r.Outcome.String())
	})
	m.stepDown(why)
}

// Prefer takes the word of the leader of a term on who should follow it; nobody, if the node
// is empty. An earlier leader's word counts for nothing.
func (m *Machine) Prefer(node ident.NodeID, t ident.Term) {
	if m.state == Leading || node == "" || t < m.known.Term {
		return
	}
	m.preferred = preference{node: node, until: m.port.Now().Add(callTime + preferredTime)}
}

// standsBack says whether the node lets others claim the lead first, and looks again when
// its turn has come.
func (m *Machine) standsBack() bool {
	wait := m.preferred.until.Sub(m.port.Now())
	switch {
	case m.preferred.node == m.self:
		return false
	case wait > 0:
		wait = min(wait, preferredTime)
		m.preferred.until = m.port.Now().Add(wait)
	case m.Hesitate != nil && !m.hesitated:
		wait = m.Hesitate()
		m.hesitated = true
	}
	if wait <= 0 {
		return false
	}
	m.to(Following, "lets others claim first")
	round := m.round
	m.port.After(wait, func() {
		if m.round == round {
			m.look()
		}
	})
	return true
}

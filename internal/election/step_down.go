package election

import (
	"log/slog"
	"time"

	"opaldale/internal/kvstore"
)

// StepDownReason says why a node stopped leading. The owner of an Elector adds reasons of its own.
type StepDownReason string

// The reasons found by the election itself.
const (
	LaterTermKnown StepDownReason = "a later term is known"
	LeaseLost      StepDownReason = "the lease has expired"
	LeaderKeyLost  StepDownReason = "the leader key is gone or held by another node"
)

// Resign ends the node's leadership by revoking its lease, and makes it abstain from candidacy
// for a while. It does nothing if the node does not lead.
func (e *Elector) Resign(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.revokeLease(e.leaseID)
	e.stepDown(reason)
}

// HandOver ends the node's leadership by deleting the leader key in one transaction, after which
// any node may claim it, and makes this node abstain from candidacy for a while. The term is
// over from the call on, whatever becomes of the transaction: if it is lost, the key is deleted
// with the lease. It does nothing if the node does not lead.
func (e *Elector) HandOver(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.deleteLeaderKey()
	e.stepDown(reason)
}

// Depose ends the node's leadership after the owner has learned that the term is over. It does
// nothing if the node does not lead.
func (e *Elector) Depose(reason StepDownReason) {
	if e.state == Leading {
		e.stepDown(reason)
	}
}

// stepDown ends the term, and starts to follow.
func (e *Elector) stepDown(reason StepDownReason) {
	slog.Info("stepped down", "term", uint64(e.term), "reason", string(reason))
	e.setState(Following, transitionReason(reason))
	e.knownLeader = knownLeader{}
	e.callbacks.OnStoppedLeading(reason)
	e.checkLeader()
}

// deleteLeaderKey deletes the leader key, provided that it is still this node's.
func (e *Elector) deleteLeaderKey() {
	request := kvstore.Request{
		Op:        kvstore.Txn,
		Compares:  []kvstore.Compare{e.leaderKey},
		Mutations: []kvstore.Mutation{{Delete: e.leaderKey.Key}},
		Timeout:   callTimeout,
	}
	term := e.term
	e.port.Store(request, func(response kvstore.Response) {
		slog.Info("leader key deleted", "term", uint64(term), "outcome", response.Outcome.String())
	})
}

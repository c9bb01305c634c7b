package election

import (
	"log/slog"
	"time"

	"opaldale/internal/kvstore"
)

// StepDownReason is the reason why a node stopped leading. The owner of an Elector may define further
// reasons.
type StepDownReason string

// The reasons detected by the Elector itself.
const (
	LaterTermKnown StepDownReason = "a later term is known"
	LeaseLost      StepDownReason = "the lease has expired"
	LeaderKeyLost  StepDownReason = "the leader key is gone or held by another node"
)

// Resign ends the node's leadership by revoking its lease. The node is no candidate again before
// abstain has elapsed. Resign does nothing if the node does not lead.
func (e *Elector) Resign(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.revokeLease(e.leaseID)
	e.stepDown(reason)
}

// HandOver ends the node's leadership by deleting the leader key in one transaction, so that any other
// node may claim it at once. The node is no candidate again before abstain has elapsed. The term ends
// with the call, whatever the outcome of the transaction: if it is lost, the key is deleted when the
// lease expires. HandOver does nothing if the node does not lead.
func (e *Elector) HandOver(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.deleteLeaderKey()
	e.stepDown(reason)
}

// Depose ends the node's leadership. The owner calls it when it has learned that the term is over. It
// does nothing if the node does not lead.
func (e *Elector) Depose(reason StepDownReason) {
	if e.state == Leading {
		e.stepDown(reason)
	}
}

// stepDown ends the term and makes the node a follower.
func (e *Elector) stepDown(reason StepDownReason) {
	slog.Info("stepped down", "term", uint64(e.term), "reason", string(reason))
	e.setState(Following, transitionReason(reason))
	e.knownLeader = knownLeader{}
	e.callbacks.OnStoppedLeading(reason)
	e.checkLeader()
}

// deleteLeaderKey deletes the leader key if this node still holds it.
func (e *Elector) deleteLeaderKey() {
	request := kvstore.Request{
		Op:        kvstore.Txn,
		Compares:  []kvstore.Compare{e.leaderKey},
		Mutations: []kvstore.Mutation{{Delete: e.leaderKey.Key}},
		Timeout:   callTimeout,
	}
	term := e.term
	e.port.Store(request, func(response kvstore.Response) {
		slog.Info("leader key deletion completed", "term", uint64(term), "outcome", response.Outcome.String())
	})
}

package election

import (
	"log/slog"
	"time"

	"opaldale/internal/kvstore"
)

// StepDownReason is the reason why a node stopped leading. The owner of an Elector may define more reasons.
type StepDownReason string

// The reasons that the Elector itself detects.
const (
	LaterTermKnown StepDownReason = "a peer reported a leader of a later term"
	LeaseLost      StepDownReason = "leader lease expired or revoked"
	LeaderKeyLost  StepDownReason = "leader key deleted or held by another node"
)

// Resign ends the node's leadership by revoking its lease. The node does not campaign again until abstain
// has elapsed. Resign does nothing if the node does not lead.
func (e *Elector) Resign(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.revokeLease(e.leaseID)
	e.stepDown(reason)
}

// HandOver ends the node's leadership by deleting the leader key in one transaction, so that any other
// node may claim it immediately. The node does not campaign again until abstain has elapsed. HandOver ends
// the term without waiting for the response: if the transaction is lost, the store deletes the key when
// the lease expires. HandOver does nothing if the node does not lead.
func (e *Elector) HandOver(abstain time.Duration, reason StepDownReason) {
	if e.state != Leading {
		return
	}
	e.abstainUntil = e.port.Now().Add(abstain)
	e.deleteLeaderKey()
	e.stepDown(reason)
}

// StepDown makes the node step down without revoking its lease or deleting the leader key. The owner calls it
// when it has evidence that the term must end, such as a later term or a conflicting write. It does
// nothing if the node does not lead.
func (e *Elector) StepDown(reason StepDownReason) {
	if e.state == Leading {
		e.stepDown(reason)
	}
}

// stepDown ends the term, returns the node to Following and reads the leader key.
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

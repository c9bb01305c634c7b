// Package renewal lets a node that does not lead renew the leases of workers for a while, when
// both are cut off from the leader but not from each other, so that their tasks go on. The node
// sends the workers no commands to start tasks.
//
// The leader bounds the time for which it allows that, so that a lease renewed in its place
// expires before a job that was cancelled since must have stopped. For that it must know when
// peers may have renewed leases at the latest.
//
// As heartbeats may be delayed for minutes, both sides count from what the other has echoed: a
// node from when it sent the heartbeat that the leader echoed while it was sure to lead, and the
// leader from when it sent the heartbeat that the node echoed.
package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// MinLeaderSilence is how long a node must be without the leader before it renews leases.
const MinLeaderSilence = 4 * time.Second

// Renewer decides when a node that does not lead may renew worker leases. The zero Renewer has no
// permit.
type Renewer struct {
	permit      *permit              // nil before the first
	lastRenewal *ident.MonotonicTime // nil before the first
}

// permit is what the leader of a term allows this node.
type permit struct {
	term         ident.Term
	leaderSeenAt ident.MonotonicTime // the leader was sure to lead at some time after that
	allowance    time.Duration       // leases may be renewed for so long from leaderSeenAt on
}

// Permit records that the leader of a term was sure to lead at some time after leaderSeenAt, and
// allows the renewal of leases for a while from then on. A permit that is older than the present
// one, or of an earlier term, is ignored.
func (r *Renewer) Permit(term ident.Term, leaderSeenAt ident.MonotonicTime, allowance time.Duration) {
	if r.permit != nil && (term < r.permit.term || leaderSeenAt < r.permit.leaderSeenAt) {
		return
	}
	r.permit = &permit{term: term, leaderSeenAt: leaderSeenAt, allowance: allowance}
}

// SinceLeader returns the time since a leader was last known to be sure of its lease, false if none
// ever was.
func (r *Renewer) SinceLeader(now ident.MonotonicTime) (time.Duration, bool) {
	if r.permit == nil {
		return 0, false
	}
	return now.Sub(r.permit.leaderSeenAt), true
}

// MayRenew reports whether the lease of a worker may be renewed whose latest fencing token is
// known. A token of a later term than the permit's shows that another leader has followed.
func (r *Renewer) MayRenew(now ident.MonotonicTime, token ident.FencingToken) bool {
	silence, permitted := r.SinceLeader(now)
	if !permitted || silence <= MinLeaderSilence || silence >= ident.LeastElapsed(r.permit.allowance) {
		return false
	}
	return token != 0 && token.Term() <= r.permit.term
}

// RecordRenewal records that a lease was renewed.
func (r *Renewer) RecordRenewal(now ident.MonotonicTime) { r.lastRenewal = &now }

// SinceRenewal returns the time since the last renewal of a lease, false if there was none.
func (r *Renewer) SinceRenewal(now ident.MonotonicTime) (time.Duration, bool) {
	if r.lastRenewal == nil {
		return 0, false
	}
	return now.Sub(*r.lastRenewal), true
}

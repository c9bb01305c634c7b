// Package renewal lets a node that does not lead renew the leases of workers for a limited time when
// both are partitioned from the leader but not from each other, so that running tasks continue. The
// node sends no commands that start tasks.
//
// The leader limits that time by an allowance, so that a lease renewed on its behalf expires before
// the deadline by which a job cancelled since must have stopped. To that end it bounds the latest
// time at which peers may have renewed leases.
//
// Since heartbeats may be delayed for minutes, both sides measure time from heartbeats that the other
// side has echoed: a node from the time at which it sent the heartbeat that the leader echoed while
// its lease was valid, and the leader from the time at which it sent the heartbeat that the node echoed.
package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// MinLeaderSilence is how long a node must have had no contact with the leader before it renews leases.
const MinLeaderSilence = 4 * time.Second

// Renewer decides when a node that does not lead may renew worker leases. The zero Renewer has no
// permit.
type Renewer struct {
	permit      *permit              // nil before the first
	lastRenewal *ident.MonotonicTime // nil before the first
}

// permit is the permission of a leader to renew leases on its behalf.
type permit struct {
	term         ident.Term
	leaderSeenAt ident.MonotonicTime // the leader's lease was valid at some time after this
	allowance    time.Duration       // how long after leaderSeenAt leases may be renewed
}

// Permit records that the lease of the leader of a term was valid at some time after leaderSeenAt, and
// that the leader permits the renewal of worker leases until allowance after that. A permit that is
// older than the present one, or of an earlier term, is ignored.
func (r *Renewer) Permit(term ident.Term, leaderSeenAt ident.MonotonicTime, allowance time.Duration) {
	if r.permit != nil && (term < r.permit.term || leaderSeenAt < r.permit.leaderSeenAt) {
		return
	}
	r.permit = &permit{term: term, leaderSeenAt: leaderSeenAt, allowance: allowance}
}

// SinceLeader returns the time since a leader's lease was last known to be valid, or false if none
// ever was.
func (r *Renewer) SinceLeader(now ident.MonotonicTime) (time.Duration, bool) {
	if r.permit == nil {
		return 0, false
	}
	return now.Sub(r.permit.leaderSeenAt), true
}

// MayRenew reports whether the lease of a worker with the given latest fencing token may be renewed. A
// zero token is unknown; a token of a later term than the permit's shows that a later leader was elected.
func (r *Renewer) MayRenew(now ident.MonotonicTime, token ident.FencingToken) bool {
	silence, permitted := r.SinceLeader(now)
	if !permitted || silence <= MinLeaderSilence || silence >= ident.LeastElapsed(r.permit.allowance) {
		return false
	}
	return token != 0 && token.Term() <= r.permit.term
}

// RecordRenewal records that this node has renewed a worker lease.
func (r *Renewer) RecordRenewal(now ident.MonotonicTime) { r.lastRenewal = &now }

// SinceRenewal returns the time since the last renewal of a worker lease, or false if there was none.
func (r *Renewer) SinceRenewal(now ident.MonotonicTime) (time.Duration, bool) {
	if r.lastRenewal == nil {
		return 0, false
	}
	return now.Sub(*r.lastRenewal), true
}

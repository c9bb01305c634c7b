// Package renewal lets a node that does not lead renew the leases of workers for a limited time when
// both are partitioned from the leader but not from each other, so that running tasks continue. The
// node sends no commands that start tasks.
//
// The leader limits that time by an allowance, because a job that was cancelled during the partition must
// stop by a deadline: every lease that a peer renews must expire before it. The leader also tracks the
// latest time at which peers may have renewed leases.
//
// Heartbeats may be delayed for minutes, so each side measures time only from its own heartbeats that the
// other side has echoed. A node counts from when it sent the heartbeat that the leader echoed while the
// leader lease was valid; the leader counts from when it sent the heartbeat that the node echoed.
package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// MinLeaderSilence is the time without contact with the leader after which a node may renew leases.
const MinLeaderSilence = 4 * time.Second

// Renewer decides when a node that does not lead may renew worker leases. The zero Renewer has no
// permit.
type Renewer struct {
	permit      *permit              // nil before the first permit
	lastRenewal *ident.MonotonicTime // nil before the first renewal
}

// permit is a leader's permission to renew worker leases on its behalf.
type permit struct {
	term         ident.Term
	leaderSeenAt ident.MonotonicTime // the leader's lease was valid at some time after this
	allowance    time.Duration       // how long after leaderSeenAt leases may be renewed
}

// Permit records that the lease of the leader of a term was valid at some time after leaderSeenAt, and
// that the leader permits the renewal of worker leases until leaderSeenAt plus allowance. A permit of an
// earlier term, or older than the current one, is ignored.
func (r *Renewer) Permit(term ident.Term, leaderSeenAt ident.MonotonicTime, allowance time.Duration) {
	if r.permit != nil && (term < r.permit.term || leaderSeenAt < r.permit.leaderSeenAt) {
		return
	}
	r.permit = &permit{term: term, leaderSeenAt: leaderSeenAt, allowance: allowance}
}

// SinceLeader returns the time since a leader lease was last known to be valid, or false if no leader lease has
// been known to be valid.
func (r *Renewer) SinceLeader(now ident.MonotonicTime) (time.Duration, bool) {
	if r.permit == nil {
		return 0, false
	}
	return now.Sub(r.permit.leaderSeenAt), true
}

// MayRenew reports whether the lease of a worker with the given latest fencing token may be renewed. The time
// since a leader lease was last known to be valid must be above MinLeaderSilence and below the allowance. The
// token must not be zero (unknown), or of a later term than the permit, which means that a later leader was
// elected.
func (r *Renewer) MayRenew(now ident.MonotonicTime, token ident.FencingToken) bool {
	silence, permitted := r.SinceLeader(now)
	if !permitted || silence <= MinLeaderSilence || silence >= ident.LeastElapsed(r.permit.allowance) {
		return false
	}
	return token != 0 && token.Term() <= r.permit.term
}

// RecordRenewal records that this node has renewed a worker lease at the given time.
func (r *Renewer) RecordRenewal(now ident.MonotonicTime) { r.lastRenewal = &now }

// SinceRenewal returns the time since this node last renewed a worker lease, or false if it renewed none.
func (r *Renewer) SinceRenewal(now ident.MonotonicTime) (time.Duration, bool) {
	if r.lastRenewal == nil {
		return 0, false
	}
	return now.Sub(*r.lastRenewal), true
}

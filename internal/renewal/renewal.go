// Package renewal lets a node that is cut off together with workers, but not from
// them, keep their leases for a while on behalf of the leader it heard last: their
// tasks go on. It answers without orders, and only for a time after which a lease
// given by it is over before any job cancelled since must be gone.
//
// Both sides count from what the other has echoed, since beats may be held up for
// minutes: a node from when it sent the beat that a leader answered while surely
// leading, a leader from when it sent the beat that the node answered.
package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// MinLeaderSilence is how long a node must be without the leader before it keeps leases.
const MinLeaderSilence = 4 * time.Second

// driftMargin is the part by which times are counted against the one who counts: steady
// clocks drift apart by at most 0.05%.
const driftMargin = 0.001

// shorten returns the least time that passes on any node's clock while d passes on another's.
func shorten(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - driftMargin)) }

// SentHeartbeats remembers when the newest beats were sent.
type SentHeartbeats struct {
	ids   [64]uint64
	times [64]ident.MonotonicTime
	count int
}

// Record notes a beat.
func (h *SentHeartbeats) Record(id uint64, at ident.MonotonicTime) {
	h.ids[h.count%len(h.ids)], h.times[h.count%len(h.ids)] = id, at
	h.count++
}

// SentAt returns when a beat was sent, if it is a recent one of this process.
func (h *SentHeartbeats) SentAt(id uint64) (ident.MonotonicTime, bool) {
	for i := range min(h.count, len(h.ids)) {
		if h.ids[i] == id {
			return h.times[i], true
		}
	}
	return 0, false
}

// Renewer is a node that doesn't lead.
type Renewer struct {
	term         ident.Term
	leaderSeenAt ident.MonotonicTime // the leader surely led after that
	allowance    time.Duration       // and allows to keep leases for so long from then on
	permitted    bool
	lastRenewal  ident.MonotonicTime // when we last kept
	hasRenewed   bool
}

// Permit notes that a leader surely led at some time after at.
func (r *Renewer) Permit(term ident.Term, leaderSeenAt ident.MonotonicTime, allowance time.Duration) {
	if r.permitted && (term < r.term || leaderSeenAt < r.leaderSeenAt) {
		return
	}
	r.permitted, r.term, r.leaderSeenAt, r.allowance = true, term, leaderSeenAt, allowance
}

// SinceLeader returns for how long no leader was heard to lead; false if none ever was.
func (r *Renewer) SinceLeader(now ident.MonotonicTime) (time.Duration, bool) {
	return now.Sub(r.leaderSeenAt), r.permitted
}

// MayRenew says whether the lease of a worker that has seen a token may be renewed. A
// token of a later term is a successor's.
func (r *Renewer) MayRenew(now ident.MonotonicTime, token ident.FencingToken) bool {
	age := now.Sub(r.leaderSeenAt)
	return r.permitted && age > MinLeaderSilence && age < shorten(r.allowance) && token != 0 && token.Term() <= r.term
}

// RecordRenewal notes that a lease was renewed.
func (r *Renewer) RecordRenewal(now ident.MonotonicTime) { r.lastRenewal, r.hasRenewed = now, true }

// SinceRenewal returns how long ago that was last done, if ever.
func (r *Renewer) SinceRenewal(now ident.MonotonicTime) (time.Duration, bool) {
	return now.Sub(r.lastRenewal), r.hasRenewed
}

// PeerStatus is what a sibling says of itself with a beat.
type PeerStatus struct {
	ProcessAge   time.Duration // of its process
	SinceLeader  time.Duration // how long ago it last heard a leader lead
	HasRenewed   bool          // it has kept, for the last time
	SinceRenewal time.Duration // so long ago
}

// Registry is a leader's knowledge of when siblings may have renewed leases.
type Registry struct {
	grace time.Duration
	peers map[ident.NodeID]*peerEntry
}

type peerEntry struct {
	lastHeard   ident.MonotonicTime // newest beat: it can't have heard us lead later
	knownUntil  ident.MonotonicTime // all it did until then is known
	lastRenewal ident.MonotonicTime // the last that is known, or may have been
}

// NewRegistry makes an empty one; grace is the longest that a leader allows.
func NewRegistry(grace time.Duration) *Registry {
	return &Registry{grace: grace, peers: map[ident.NodeID]*peerEntry{}}
}

// ObserveHeartbeat notes a peer's heartbeat that echoes none of this process. It may have been
// delayed for any time, so that nothing in it dates the peer's renewals.
func (r *Registry) ObserveHeartbeat(from ident.NodeID, now ident.MonotonicTime) {
	r.entry(from).lastHeard = now
}

// ObserveEcho notes a peer's heartbeat that echoes one which this process sent at sentAt: the
// peer's status was true at some time between sentAt and now.
func (r *Registry) ObserveEcho(from ident.NodeID, now, sentAt ident.MonotonicTime, status PeerStatus) {
	e := r.entry(from)
	if startedAt := now.Add(-status.ProcessAge); startedAt > e.knownUntil && e.lastHeard > 0 {
		// An earlier process of the peer may have renewed leases after the last time known.
		e.lastRenewal = max(e.lastRenewal, min(startedAt, e.latestPossibleRenewal(r)))
	}
	if status.HasRenewed {
		e.lastRenewal = max(e.lastRenewal, now.Add(-shorten(status.SinceRenewal)))
	}
	silenceLeft := MinLeaderSilence - status.SinceLeader
	e.knownUntil = max(e.knownUntil, sentAt.Add(max(0, shorten(silenceLeft))))
	e.lastHeard = now
}

func (r *Registry) entry(peer ident.NodeID) *peerEntry {
	e := r.peers[peer]
	if e == nil {
		e = &peerEntry{}
		r.peers[peer] = e
	}
	return e
}

func (e *peerEntry) latestPossibleRenewal(r *Registry) ident.MonotonicTime {
	return e.lastHeard.Add(r.grace)
}

// LatestRenewal returns the latest time at which any sibling may have renewed a lease.
func (r *Registry) LatestRenewal(now ident.MonotonicTime) ident.MonotonicTime {
	latest := ident.MonotonicTime(0)
	for _, e := range r.peers {
		latest = max(latest, e.lastRenewal)
		if now > e.knownUntil {
			latest = max(latest, min(now, e.latestPossibleRenewal(r)))
		}
	}
	return latest
}

package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// PeerStatus is a peer's status in a heartbeat.
type PeerStatus struct {
	ProcessAge   time.Duration
	SinceLeader  time.Duration // as Renewer.SinceLeader, very long if there was no leader
	HasRenewed   bool          // whether the process has renewed a lease
	SinceRenewal time.Duration // since the last renewal, if HasRenewed
}

// Registry is a leader's knowledge of when its peers may have renewed leases.
type Registry struct {
	maxAllowance time.Duration
	peers        map[ident.NodeID]*peerEntry
}

// peerEntry is what is known of one peer, whichever of its processes did it.
type peerEntry struct {
	// lastHeartbeatAt is when the newest heartbeat arrived. The peer cannot have learned of this leader
	// later, as far as is known.
	lastHeartbeatAt ident.MonotonicTime
	// knownUntil is the time up to which all renewals of the peer are covered by lastRenewal.
	knownUntil ident.MonotonicTime
	// lastRenewal bounds the time of the last renewal before knownUntil.
	lastRenewal ident.MonotonicTime
}

// NewRegistry returns the registry of a new term. maxAllowance is the longest time for which a
// leader allows peers to renew leases.
func NewRegistry(maxAllowance time.Duration) *Registry {
	return &Registry{maxAllowance: maxAllowance, peers: map[ident.NodeID]*peerEntry{}}
}

// ObserveHeartbeat records a peer's heartbeat that echoes none of this process. It may have been
// delayed for any time, so that its status does not date the peer's renewals.
func (r *Registry) ObserveHeartbeat(from ident.NodeID, now ident.MonotonicTime) {
	r.entry(from).lastHeartbeatAt = now
}

// ObserveEcho records a peer's heartbeat that echoes one which this process sent at sentAt: the
// peer's status was true at some time between sentAt and now.
func (r *Registry) ObserveEcho(from ident.NodeID, now, sentAt ident.MonotonicTime, status PeerStatus) {
	e := r.entry(from)
	if startedAt := now.Add(-status.ProcessAge); startedAt > e.knownUntil && e.lastHeartbeatAt > 0 {
		// An earlier process of the peer may have renewed leases after knownUntil.
		e.lastRenewal = max(e.lastRenewal, min(startedAt, r.latestPossibleRenewal(e)))
	}
	if status.HasRenewed {
		e.lastRenewal = max(e.lastRenewal, now.Add(-ident.LeastElapsed(status.SinceRenewal)))
	}
	// The peer renews nothing before MinLeaderSilence is over.
	silenceLeft := ident.LeastElapsed(MinLeaderSilence - status.SinceLeader)
	e.knownUntil = max(e.knownUntil, sentAt.Add(max(0, silenceLeft)))
	e.lastHeartbeatAt = now
}

func (r *Registry) entry(peer ident.NodeID) *peerEntry {
	e := r.peers[peer]
	if e == nil {
		e = &peerEntry{}
		r.peers[peer] = e
	}
	return e
}

// latestPossibleRenewal returns the time after which the peer may not renew leases, unless it hears of
// this leader again.
func (r *Registry) latestPossibleRenewal(e *peerEntry) ident.MonotonicTime {
	return e.lastHeartbeatAt.Add(r.maxAllowance)
}

// LatestRenewal returns the latest time at which any peer may have renewed a lease, 0 if none can
// have.
func (r *Registry) LatestRenewal(now ident.MonotonicTime) ident.MonotonicTime {
	latest := ident.MonotonicTime(0)
	for _, e := range r.peers {
		latest = max(latest, e.lastRenewal)
		if now > e.knownUntil {
			latest = max(latest, min(now, r.latestPossibleRenewal(e)))
		}
	}
	return latest
}

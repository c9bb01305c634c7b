package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// PeerStatus is the status that a peer reports in a heartbeat.
type PeerStatus struct {
	ProcessAge   time.Duration
	SinceLeader  time.Duration // as Renewer.SinceLeader; very large if there was no leader
	HasRenewed   bool          // whether the process has renewed a lease
	SinceRenewal time.Duration // since the last renewal, if HasRenewed
}

// Registry tracks, for a leader, when its peers may have renewed worker leases. It is not safe for
// concurrent use.
type Registry struct {
	maxAllowance time.Duration
	peers        map[ident.NodeID]*peerEntry
}

// peerEntry is the state of one peer across all of its processes.
type peerEntry struct {
	// lastHeartbeatAt is when the newest heartbeat arrived. Permits of this leader count from the
	// sending of a heartbeat that it has received, and so from no later time.
	lastHeartbeatAt ident.MonotonicTime
	// knownUntil is the time up to which lastRenewal covers all renewals of the peer.
	knownUntil ident.MonotonicTime
	// lastRenewal is an upper bound on the time of the last renewal before knownUntil, 0 if there
	// was none.
	lastRenewal ident.MonotonicTime
}

// NewRegistry returns the registry of a new term. maxAllowance is the longest time for which a
// leader allows peers to renew leases.
func NewRegistry(maxAllowance time.Duration) *Registry {
	return &Registry{maxAllowance: maxAllowance, peers: map[ident.NodeID]*peerEntry{}}
}

// ObserveHeartbeat records a peer's heartbeat that echoes no heartbeat of this process. It may have been
// delayed arbitrarily, so that its status does not date the peer's renewals.
func (r *Registry) ObserveHeartbeat(from ident.NodeID, now ident.MonotonicTime) {
	r.entry(from).lastHeartbeatAt = now
}

// ObserveEcho records a peer's heartbeat that echoes one which this process sent at sentAt. The peer's
// status was taken at some time between sentAt and now.
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

// latestPossibleRenewal returns the time after which the peer may not renew leases, unless this
// leader receives another heartbeat of it.
func (r *Registry) latestPossibleRenewal(e *peerEntry) ident.MonotonicTime {
	return e.lastHeartbeatAt.Add(r.maxAllowance)
}

// LatestRenewal returns the latest time up to now at which any peer may have renewed a lease, 0 if no
// peer can have done so.
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

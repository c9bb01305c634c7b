package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// PeerStatus is the renewal status that a peer reports in a heartbeat.
type PeerStatus struct {
	ProcessAge   time.Duration // since the start of the process
	SinceLeader  time.Duration // result of Renewer.SinceLeader; very large if no leader was known
	HasRenewed   bool          // the process has renewed a worker lease
	SinceRenewal time.Duration // since the last renewal, if HasRenewed
}

// Registry tracks for the leader when its peers may have renewed worker leases. It is not safe for
// concurrent use.
type Registry struct {
	maxAllowance time.Duration
	peers        map[ident.NodeID]*peerEntry
}

// peerEntry is the state of one peer. It is kept when the peer's process restarts.
type peerEntry struct {
	// lastHeartbeatAt is when the newest heartbeat of the peer arrived. The peer counts a permit from
	// the time at which it sent a heartbeat that this leader received, so from lastHeartbeatAt or earlier.
	lastHeartbeatAt ident.MonotonicTime
	// knownUntil is the time up to which lastRenewal accounts for all renewals by the peer.
	knownUntil ident.MonotonicTime
	// lastRenewal is an upper bound on the time of the peer's last renewal before knownUntil, 0 if the
	// peer renewed no lease.
	lastRenewal ident.MonotonicTime
}

// NewRegistry returns the registry of a new term. maxAllowance is the maximum time for which a leader permits
// peers to renew leases after its last contact with them.
func NewRegistry(maxAllowance time.Duration) *Registry {
	return &Registry{maxAllowance: maxAllowance, peers: map[ident.NodeID]*peerEntry{}}
}

// ObserveHeartbeat records a peer's heartbeat that echoes no heartbeat of this process. The heartbeat may have
// been delayed by any time, so its status cannot bound the time of the peer's renewals.
func (r *Registry) ObserveHeartbeat(from ident.NodeID, now ident.MonotonicTime) {
	r.entry(from).lastHeartbeatAt = now
}

// ObserveEcho records a peer's heartbeat that echoes a heartbeat sent by this process at sentAt. The peer
// determined its status at some time between sentAt and now.
func (r *Registry) ObserveEcho(from ident.NodeID, now, sentAt ident.MonotonicTime, status PeerStatus) {
	e := r.entry(from)
	if startedAt := now.Add(-status.ProcessAge); startedAt > e.knownUntil && e.lastHeartbeatAt > 0 {
		// An earlier process of the peer may have renewed leases after knownUntil.
		e.lastRenewal = max(e.lastRenewal, min(startedAt, r.latestPossibleRenewal(e)))
	}
	if status.HasRenewed {
		e.lastRenewal = max(e.lastRenewal, now.Add(-ident.LeastElapsed(status.SinceRenewal)))
	}
	// The peer renews no lease until it has had no contact with the leader for MinLeaderSilence.
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

// latestPossibleRenewal returns the time after which the peer may not renew leases, unless this leader
// receives another heartbeat from it.
func (r *Registry) latestPossibleRenewal(e *peerEntry) ident.MonotonicTime {
	return e.lastHeartbeatAt.Add(r.maxAllowance)
}

// LatestRenewal returns the latest time, at most now, at which any peer may have renewed a lease. It returns 0
// if no peer can have renewed one.
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

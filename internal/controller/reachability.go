package controller

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// isolatedAfter is how long a leader may hear neither peers nor machines before it resigns.
	isolatedAfter = 2500 * time.Millisecond
	// maxIsolationProbes bounds the machines that a leader probes at a time to learn whether it is isolated.
	maxIsolationProbes = 4
	// minUnansweredProbes is how many machines must have left a probe unanswered before a leader counts as isolated.
	minUnansweredProbes = 2
	// directContactTimeout is how long a leader may go without an exchange with any machine itself before it
	// suspects its own links.
	directContactTimeout = 2 * time.Second
	// minUnreachableMachines is how many machines that peers hear must be out of the leader's reach before it resigns.
	minUnreachableMachines = 3
	// reachProbeInterval paces the probes that find them.
	reachProbeInterval = 100 * time.Millisecond
	// resignationPause is how long a node that has resigned is no candidate.
	resignationPause = 12 * time.Second
)

// The reasons for which a leader gives up its term, beside those of the election itself.
const (
	unreadableRecord     election.StepDownReason = "unreadable record"
	leaderIsolated       election.StepDownReason = "neither peers nor machines are heard"
	machinesHeardByPeers election.StepDownReason = "machines are heard by peers only"
	noHeartbeatSource    election.StepDownReason = "no source of heartbeats"
	laterTermSeen        election.StepDownReason = "a worker has seen a later term"
)

// resign ends the term and leaves leadership to a peer.
func (l *leaderTerm) resign(reason election.StepDownReason) {
	l.controller.election.Resign(resignationPause, reason)
}

// isolated reports whether this node hears no peer and, with several machines up, none of them either. A
// leader that is cut off from everything but the store would keep its lease, and the cluster, for as long
// as the partition lasts. Machines that have been silent for long are probed: in a small fleet heartbeats leave longer
// gaps than isolatedAfter.
func (l *leaderTerm) isolated() bool {
	now := l.env.Now()
	if len(l.controller.settings.Peers) == 0 || now.Sub(l.startedAt) < isolatedAfter {
		return false
	}
	if l.controller.heardAnyPeerWithin(isolatedAfter / 2) {
		return false
	}
	unanswered, probed, lastHeard := 0, 0, ident.MonotonicTime(0)
	for _, w := range l.workers.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		lastHeard = max(lastHeard, w.LastContact())
		switch {
		case now.Sub(w.LastContact()) < isolatedAfter/2:
		case w.MissedResponses() > 0:
			unanswered++
		case probed < maxIsolationProbes && l.workers.Probe(w):
			probed++
		}
	}
	return !l.controller.heardAnyPeerWithin(peerTimeout) && now.Sub(lastHeard) >= isolatedAfter &&
		unanswered >= minUnansweredProbes
}

// machineContact is what a leader knows of its own exchanges with machines.
type machineContact struct {
	last        ident.MonotonicTime      // when a machine last reached this node, or this node a machine
	unreachable map[*workers.Worker]bool // heard by peers, and not reached from here since then
	probedAt    ident.MonotonicTime      // when a machine that peers hear was last probed
}

// recent reports whether there was an exchange of late.
func (c *machineContact) recent(now ident.MonotonicTime) bool {
	return now.Sub(c.last) < directContactTimeout
}

// probeDue reports whether a machine that peers hear should be probed.
func (c *machineContact) probeDue(now ident.MonotonicTime) bool {
	return now.Sub(c.last) > directContactTimeout && now.Sub(c.probedAt) > reachProbeInterval
}

// note notes an exchange.
func (c *machineContact) note(now ident.MonotonicTime) {
	c.last = now
	clear(c.unreachable)
}

// noteWorkerHeartbeat notes that a machine's heartbeat arrived, directly or by a peer. A leader without any direct
// contact of late probes the machines that its peers hear.
func (l *leaderTerm) noteWorkerHeartbeat(machine *workers.Worker, direct bool) {
	now := l.env.Now()
	switch {
	case direct:
		l.contact.note(now)
	case machine != nil && l.contact.probeDue(now) && l.workers.Probe(machine):
		l.contact.probedAt = now
	}
}

// noteCommandOutcome notes whether a machine answered a command. Machines that peers hear and this node doesn't reach
// show that the leader is cut off from them, not they from the cluster. It must leave leadership to a peer
// rather than fence them for their silence, which would take the whole fleet with all its replicas.
func (l *leaderTerm) noteCommandOutcome(machine *workers.Worker, answered bool) {
	now := l.env.Now()
	if answered {
		l.contact.note(now)
		return
	}
	heardByPeers := machine.ReportedThisTerm() && now.Sub(machine.LastContact()) <= 2*directContactTimeout
	if l.contact.recent(now) || !heardByPeers {
		return
	}
	if l.controller.links.Enabled() {
		return // the handover to a better placed peer takes care of it
	}
	l.contact.unreachable[machine] = true
	if len(l.contact.unreachable) >= minUnreachableMachines && l.controller.election.LeaseValid() {
		l.resign(machinesHeardByPeers)
	}
}

// leaseAllowance returns for how long from now on peers may renew leases of workers for this leader. A lease
// that is renewed at the very end of it must expire before cancel_s is over, for each cancelled job that may
// still have tasks on machines.
func (l *leaderTerm) leaseAllowance(now ident.MonotonicTime) time.Duration {
	left := l.controller.renewalGrace
	for _, j := range l.jobs.Jobs {
		if j.Phase == jobs.Cancelled && j.AllocatedTasks > 0 {
			left = min(left, l.controller.renewalGrace-now.Sub(j.ClosedAt))
		}
	}
	return max(0, left)
}

// zonePeersSilent reports whether there are peers in a zone, and all of them are silent.
func (l *leaderTerm) zonePeersSilent(zone string) bool {
	silentPeers := 0
	for _, s := range l.controller.settings.Peers {
		if s.Zone != zone {
			continue
		}
		if l.controller.reachable(s.Node) {
			return false
		}
		silentPeers++
	}
	return silentPeers > 0
}

// hasHeartbeatSource reports whether a peer is heard that would forward heartbeats of workers, or there are no
// peers at all.
func (l *leaderTerm) hasHeartbeatSource() bool {
	return l.controller.heardAnyPeerWithin(peerTimeout) || len(l.controller.settings.Peers) == 0
}

// requireHeartbeatSource is hasHeartbeatSource for a leader that hears no machine either. Without a source of
// heartbeats it resigns, since a peer may have one; with links watched the handover takes care of that.
func (l *leaderTerm) requireHeartbeatSource() bool {
	if l.hasHeartbeatSource() {
		return true
	}
	if !l.controller.links.Enabled() {
		l.resign(noHeartbeatSource)
	}
	return false
}

package controller

// This file detects that a leader is cut off from its peers or machines, and makes it resign.

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
	// minUnreachableMachines is how many machines must be heard by peers only before the leader resigns.
	minUnreachableMachines = 3
	// reachProbeInterval is the shortest interval between probes of machines that are heard by peers only.
	reachProbeInterval = 100 * time.Millisecond
	// resignationPause is how long a node that has resigned does not campaign.
	resignationPause = 12 * time.Second
)

// The reasons for which a leader resigns or is deposed, in addition to those of package election.
const (
	unreadableRecord     election.StepDownReason = "unreadable record"
	leaderIsolated       election.StepDownReason = "neither peers nor machines are heard"
	machinesHeardByPeers election.StepDownReason = "machines are heard by peers only"
	noHeartbeatSource    election.StepDownReason = "no source of heartbeats"
	laterTermSeen        election.StepDownReason = "a worker has seen a later term"
)

// resign ends the term, and leaves leadership to a peer for at least resignationPause.
func (l *leaderTerm) resign(reason election.StepDownReason) {
	l.controller.election.Resign(resignationPause, reason)
}

// detectIsolation reports whether this node hears neither its peers nor, with several machines up, any of these. A
// leader that is cut off from everything but the store would keep its lease for as long as the partition lasts. Silent
// machines are probed, since in a small fleet the gaps between heartbeats are longer than isolatedAfter.
func (l *leaderTerm) detectIsolation() bool {
	now := l.env.Now()
	if len(l.controller.settings.Peers) == 0 || now.Sub(l.startedAt) < isolatedAfter {
		return false
	}
	if l.controller.heardAnyPeerWithin(isolatedAfter / 2) {
		return false
	}
	unanswered, lastHeard := l.probeSilentMachines(now)
	return !l.controller.heardAnyPeerWithin(peerTimeout) && now.Sub(lastHeard) >= isolatedAfter &&
		unanswered >= minUnansweredProbes
}

// probeSilentMachines probes some of the machines that have not been heard recently. It returns how many machines have
// left an earlier probe unanswered, and when a machine was last heard.
func (l *leaderTerm) probeSilentMachines(now ident.MonotonicTime) (unanswered int, lastHeard ident.MonotonicTime) {
	probed := 0
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
	return unanswered, lastHeard
}

// machineContact records a leader's own exchanges with machines, as opposed to heartbeats that peers forward.
type machineContact struct {
	last        ident.MonotonicTime      // when a machine last reached this node, or this node a machine
	unreachable map[*workers.Worker]bool // heard by peers, and not reached by this node since last
	probedAt    ident.MonotonicTime      // when a machine that peers hear was last probed
}

// recent reports whether there was an exchange within directContactTimeout.
func (c *machineContact) recent(now ident.MonotonicTime) bool {
	return now.Sub(c.last) < directContactTimeout
}

// probeDue reports whether a machine that peers hear should be probed.
func (c *machineContact) probeDue(now ident.MonotonicTime) bool {
	return now.Sub(c.last) > directContactTimeout && now.Sub(c.probedAt) > reachProbeInterval
}

// record records an exchange with a machine: its links and those of this node work.
func (c *machineContact) record(now ident.MonotonicTime) {
	c.last = now
	clear(c.unreachable)
}

// recordHeartbeatContact records that a machine's heartbeat arrived, directly or by a peer. A leader without
// recent contact of its own probes the machines that its peers hear.
func (l *leaderTerm) recordHeartbeatContact(machine *workers.Worker, direct bool) {
	now := l.env.Now()
	switch {
	case direct:
		l.contact.record(now)
	case machine != nil && l.contact.probeDue(now) && l.workers.Probe(machine):
		l.contact.probedAt = now
	}
}

// recordCommandOutcome records whether a machine answered a command. If several
// machines are heard by peers but not reached by the leader, it is the leader that is partitioned: it resigns, since
// otherwise it would fence the whole fleet for its silence.
func (l *leaderTerm) recordCommandOutcome(machine *workers.Worker, answered bool) {
	now := l.env.Now()
	if answered {
		l.contact.record(now)
		return
	}
	heardByPeers := machine.ReportedThisTerm() && now.Sub(machine.LastContact()) <= 2*directContactTimeout
	if l.contact.recent(now) || !heardByPeers {
		return
	}
	if l.controller.links.Enabled() {
		return // evaluateHandover hands over to a peer with better links
	}
	l.contact.unreachable[machine] = true
	if len(l.contact.unreachable) >= minUnreachableMachines && l.controller.election.LeaseValid() {
		l.resign(machinesHeardByPeers)
	}
}

// leaseAllowance returns for how long from now on peers may renew leases of workers without the leader. A lease renewed at
// the end of the allowance must expire within cancel_s of the cancellation of each job that may still have tasks on
// machines.
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
		if l.controller.peerReachable(s.Node) {
			return false
		}
		silentPeers++
	}
	return silentPeers > 0
}

// hasHeartbeatSource reports whether a peer is heard, which would forward heartbeats of workers, or there are no peers.
func (l *leaderTerm) hasHeartbeatSource() bool {
	return l.controller.heardAnyPeerWithin(peerTimeout) || len(l.controller.settings.Peers) == 0
}

// requireHeartbeatSource is hasHeartbeatSource for a leader that hears no machine either. Without a source of
// heartbeats it resigns, since a peer may have one; if links are watched, evaluateHandover hands over instead.
func (l *leaderTerm) requireHeartbeatSource() bool {
	if l.hasHeartbeatSource() {
		return true
	}
	if !l.controller.links.Enabled() {
		l.resign(noHeartbeatSource)
	}
	return false
}

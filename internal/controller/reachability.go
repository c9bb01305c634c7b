package controller

// This file detects that a leader is partitioned from its peers or machines, and makes it resign.

import (
	"time"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// isolatedAfter is the time without messages from peers and machines after which a leader resigns.
	isolatedAfter = 2500 * time.Millisecond
	// maxIsolationProbes limits the machines that a leader probes per check for its isolation.
	maxIsolationProbes = 4
	// minUnansweredProbes is the number of machines that must have left a probe unanswered before a leader counts as
	// isolated.
	minUnansweredProbes = 2
	// directContactTimeout is the time without direct contact with any machine after which a leader suspects its own
	// links.
	directContactTimeout = 2 * time.Second
	// minUnreachableMachines is the number of machines reachable only through peers at which the leader resigns.
	minUnreachableMachines = 3
	// reachProbeInterval is the minimum interval between probes of machines whose heartbeats arrive only through peers.
	reachProbeInterval = 100 * time.Millisecond
	// resignationPause is how long a node does not campaign after it has resigned.
	resignationPause = 12 * time.Second
)

// The reasons why a leader resigns or steps down, in addition to those of package election.
const (
	unreadableRecord       election.StepDownReason = "unreadable record in store"
	leaderIsolated         election.StepDownReason = "no messages from peers or machines"
	machinesReachPeersOnly election.StepDownReason = "machines reachable only through peers"
	noHeartbeatSource      election.StepDownReason = "no messages from peers while machines are unreachable"
	laterTermSeen          election.StepDownReason = "a worker reported a later term"
	tokensExhausted        election.StepDownReason = "fencing tokens of the term used up"
)

// resign ends the term. This node does not campaign again for resignationPause.
func (l *leaderTerm) resign(reason election.StepDownReason) {
	l.controller.election.Resign(resignationPause, reason)
}

// detectIsolation reports whether this node receives messages neither from its peers nor from any machine, and at least
// minUnansweredProbes machines have left a probe unanswered. Without this check a leader that is partitioned from
// everything but the store would keep its lease for as long as the partition lasts. Machines without recent contact are
// probed, since in a small fleet the gaps between heartbeats are longer than isolatedAfter.
func (l *leaderTerm) detectIsolation() bool {
	now := l.env.Now()
	if len(l.controller.settings.Peers) == 0 || now.Sub(l.startedAt) < isolatedAfter {
		return false
	}
	if l.controller.receivedFromAnyPeerWithin(isolatedAfter / 2) {
		return false
	}
	unanswered, lastContact := l.probeSilentMachines(now)
	return !l.controller.receivedFromAnyPeerWithin(peerTimeout) && now.Sub(lastContact) >= isolatedAfter &&
		unanswered >= minUnansweredProbes
}

// probeSilentMachines probes some of the machines without recent contact. It returns how many machines have left an earlier
// probe unanswered, and the time of the last contact with any machine.
func (l *leaderTerm) probeSilentMachines(now ident.MonotonicTime) (unanswered int, lastContact ident.MonotonicTime) {
	probed := 0
	for _, w := range l.workers.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		lastContact = max(lastContact, w.LastContact())
		switch {
		case now.Sub(w.LastContact()) < isolatedAfter/2:
		case w.MissedResponses() > 0:
			unanswered++
		case probed < maxIsolationProbes && l.workers.Probe(w):
			probed++
		}
	}
	return unanswered, lastContact
}

// machineContact records a leader's direct contact with machines, as opposed to heartbeats that peers forward.
type machineContact struct {
	last        ident.MonotonicTime      // time of the last direct contact with a machine, in either direction
	unreachable map[*workers.Worker]bool // heartbeats arrive through peers, and a command was not answered since last
	probedAt    ident.MonotonicTime      // time of the last probe of a machine whose heartbeat arrived through a peer
}

// recent reports whether there was direct contact with a machine within directContactTimeout.
func (c *machineContact) recent(now ident.MonotonicTime) bool {
	return now.Sub(c.last) < directContactTimeout
}

// probeDue reports whether a machine whose heartbeat arrived through a peer should be probed.
func (c *machineContact) probeDue(now ident.MonotonicTime) bool {
	return now.Sub(c.last) > directContactTimeout && now.Sub(c.probedAt) > reachProbeInterval
}

// record records direct contact with a machine, which shows that the links of this node work.
func (c *machineContact) record(now ident.MonotonicTime) {
	c.last = now
	clear(c.unreachable)
}

// recordHeartbeatContact records that a machine's heartbeat arrived, directly or through a peer. A leader without recent
// direct contact probes machines whose heartbeats arrive through peers.
func (l *leaderTerm) recordHeartbeatContact(machine *workers.Worker, direct bool) {
	now := l.env.Now()
	switch {
	case direct:
		l.contact.record(now)
	case machine != nil && l.contact.probeDue(now) && l.workers.Probe(machine):
		l.contact.probedAt = now
	}
}

// recordCommandOutcome records whether a machine answered a command. If the heartbeats of several machines arrive through
// peers but the leader can't reach these machines, the leader itself is partitioned. It resigns; otherwise it would fence
// the whole fleet as unresponsive.
func (l *leaderTerm) recordCommandOutcome(machine *workers.Worker, answered bool) {
	now := l.env.Now()
	if answered {
		l.contact.record(now)
		return
	}
	reachesPeers := machine.ReportedThisTerm() && now.Sub(machine.LastContact()) <= 2*directContactTimeout
	if l.contact.recent(now) || !reachesPeers {
		return
	}
	if l.controller.links.Enabled() {
		return // evaluateHandover hands leadership over to a peer with better links
	}
	l.contact.unreachable[machine] = true
	if len(l.contact.unreachable) >= minUnreachableMachines && l.controller.election.LeaseValid() {
		l.resign(machinesReachPeersOnly)
	}
}

// leaseAllowance returns how long from now peers may renew worker leases without the leader. A lease that is renewed at the
// end of the allowance must expire within cancel_s after the cancellation of every job that may still have tasks on
// machines.
func (l *leaderTerm) leaseAllowance(now ident.MonotonicTime) time.Duration {
	allowance := l.controller.renewalGrace
	for _, j := range l.jobs.Jobs {
		if j.Phase == jobs.Cancelled && j.AllocatedTasks > 0 {
			allowance = min(allowance, l.controller.renewalGrace-now.Sub(j.ClosedAt))
		}
	}
	return max(0, allowance)
}

// zonePeersUnreachable reports whether a zone has peers and none of them is reachable.
func (l *leaderTerm) zonePeersUnreachable(zone string) bool {
	unreachablePeers := 0
	for _, s := range l.controller.settings.Peers {
		if s.Zone != zone {
			continue
		}
		if l.controller.peerReachable(s.Node) {
			return false
		}
		unreachablePeers++
	}
	return unreachablePeers > 0
}

// hasHeartbeatSource reports whether there are no peers, or a message has arrived recently from a peer, which could
// forward worker heartbeats.
func (l *leaderTerm) hasHeartbeatSource() bool {
	return l.controller.receivedFromAnyPeerWithin(peerTimeout) || len(l.controller.settings.Peers) == 0
}

// requireHeartbeatSource is hasHeartbeatSource for a leader that can't reach most of the fleet. Without a heartbeat source
// the leader resigns, since a peer may have one. If link tracking is enabled, evaluateHandover hands leadership over
// instead.
func (l *leaderTerm) requireHeartbeatSource() bool {
	if l.hasHeartbeatSource() {
		return true
	}
	if !l.controller.links.Enabled() {
		l.resign(noHeartbeatSource)
	}
	return false
}

package controller

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// isolated says whether this node hears no sibling and, with several machines up,
// none of them either: a leader cut off from all but the state service would keep
// its lease, and the cluster, for as long as the cut lasts.
func (l *leaderTerm) isolated() bool {
	now := l.controller.env.Now()
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
			// Where few machines are, reports leave longer gaps than this. (A leader of
			// two resigned between the reports of one of them, and nobody else was left.)
			probed++
		}
	}
	return !l.controller.heardAnyPeerWithin(peerTimeout) && now.Sub(lastHeard) >= isolatedAfter && unanswered >= 2
}

// noteWorkerHeartbeat notes that a machine's report arrived here, or by a sibling. A leader that
// reaches no machine itself asks those that siblings hear.
func (l *leaderTerm) noteWorkerHeartbeat(machine *workers.Worker, direct bool) {
	now := l.controller.env.Now()
	switch {
	case direct:
		l.noteDirectContact()
	case machine != nil && now.Sub(l.lastDirectContact) > directContactTimeout && now.Sub(l.lastReachProbe) > reachProbeInterval:
		if l.workers.Probe(machine) {
			l.lastReachProbe = now
		}
	}
}

// noteDirectContact notes that a machine reached this node, or it one.
func (l *leaderTerm) noteDirectContact() {
	l.lastDirectContact = l.controller.env.Now()
	clear(l.unreachable)
}

// noteCommandOutcome takes the outcome of a command. Machines that siblings hear and this node
// doesn't reach show that it is cut off from them, not they from the cluster. It
// leaves the lead to a sibling: fenced for their silence, the fleet would be gone
// with all its replicas. (A leader that had lost the workers alone fenced every
// machine with replicas within five seconds.)
func (l *leaderTerm) noteCommandOutcome(machine *workers.Worker, answered bool) {
	now := l.controller.env.Now()
	if answered {
		l.noteDirectContact()
		return
	}
	if now.Sub(l.lastDirectContact) < directContactTimeout || !machine.HeardThisTerm() || now.Sub(machine.LastContact()) > 2*directContactTimeout {
		return
	}
	if l.controller.links != nil {
		return // a sibling that is better placed shows by its row
	}
	if l.unreachable[machine] = true; len(l.unreachable) >= minUnreachableMachines && l.controller.election.LeaseValid() {
		l.controller.election.Resign(candidacyPause, machinesReachPeersOnly)
	}
}

// leaseAllowance is how long siblings may keep leases for this leader from now on. A lease given
// by them at the very end must be over before cancel_s is, for every job that was
// cancelled and is not surely gone.
func (l *leaderTerm) leaseAllowance(now ident.MonotonicTime) time.Duration {
	left := l.controller.renewalGrace
	for _, j := range l.jobs.Jobs {
		if j.Phase == jobs.Cancelled && j.AllocatedTasks > 0 {
			left = min(left, l.controller.renewalGrace-now.Sub(j.ClosedAt))
		}
	}
	return max(0, left)
}

// zonePeersSilent says whether all siblings in a zone are silent, and there are some.
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

// peersHeardOrResign says whether a sibling is heard, which would pass workers' reports on.
// A leader that hears neither workers nor siblings leaves the lead to one that
// may.
func (l *leaderTerm) peersHeardOrResign() bool {
	if l.controller.heardAnyPeerWithin(peerTimeout) || len(l.controller.settings.Peers) == 0 {
		return true
	}
	if l.controller.links == nil {
		l.controller.election.Resign(candidacyPause, isolated)
	}
	return false
}

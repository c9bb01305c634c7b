package controller

import (
	"log/slog"
	"slices"

	"opaldale/internal/election"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// HandoverRecord tells of a lead that this node has given up by choice.
type HandoverRecord struct {
	Term           ident.Term
	At             ident.MonotonicTime
	To             ident.NodeID
	Reason         handover.Reason
	OwnScore       links.Score
	SuccessorScore links.Score // of the successor
}

// maxHandoverRecords bounds the handovers remembered for operators.
const maxHandoverRecords = 8

// evaluateHandover has the leader see whether a sibling is better placed, and takes the handover on.
func (l *leaderTerm) evaluateHandover(now ident.MonotonicTime) {
	if l.handover == nil || !l.controller.election.LeaseValid() {
		return
	}
	tracker := l.controller.links
	cluster := links.Cluster{Peers: l.controller.peerIDs(), Machines: l.machinesByZone}
	assessment := cluster.Assess(tracker.ownAdvertisement(now), tracker.advertisements, now)
	step := l.handover.Handle(handover.Event{
		Now:           now,
		Successor:     assessment.Successor(),
		Isolated:      assessment.Isolated,
		WritesDrained: l.committer.Drained(),
		// At this moment: a link that flaps is down most of the time by its verdict, and a
		// transaction passes all the same.
		StoreWritable: tracker.monitor.Delivering(storeEndpoint) && !tracker.monitor.Refusing(storeEndpoint) && !l.committer.StoreUnavailable(),
	})
	switch step {
	case handover.Announce:
		l.announceHandover(assessment, now)
	case handover.EndTerm:
		tracker.handoverCount++
		reason := election.StepDownReason(l.handover.Decision().Reason.String())
		l.controller.election.HandOver(l.controller.settings.Tuning.Links.MinLeadTime, reason)
	}
}

// announceHandover stops deciding and says who should follow.
func (l *leaderTerm) announceHandover(assessment links.Assessment, now ident.MonotonicTime) {
	tracker := l.controller.links
	decision := l.handover.Decision()
	tracker.handoverRecords = append(tracker.handoverRecords, HandoverRecord{Term: l.term, At: now, To: decision.Successor, Reason: decision.Reason, OwnScore: assessment.OwnScore, SuccessorScore: assessment.BestScore})
	if len(tracker.handoverRecords) > maxHandoverRecords {
		tracker.handoverRecords = slices.Delete(tracker.handoverRecords, 0, len(tracker.handoverRecords)-maxHandoverRecords)
	}
	slog.Info("handing the lead over", "term", uint64(l.term), "to", string(decision.Successor), "reason", decision.Reason.String(),
		"standing", int(assessment.OwnScore), "successor", int(assessment.BestScore))
	l.committer.Quiesce()
	l.failPendingReplies()
	for _, n := range l.controller.peerIDs() {
		if tracker.supportsLinks(n) {
			l.controller.env.SendPeer(n, &transport.Frame{Type: transport.MsgTransferLeader, Node: decision.Successor, Term: l.term})
		}
	}
}

// countMachinesByZone counts the machines of each zone that should be reached, for a node that watches
// its links.
func (l *leaderTerm) countMachinesByZone() {
	clear(l.machinesByZone)
	for _, w := range l.workers.Sorted() {
		if w.State == workers.Up || w.State == workers.Unreachable {
			l.machinesByZone[w.Zone]++
		}
	}
	l.controller.links.forgetEmptyZones(l.machinesByZone)
}

// zoneUnreachable says whether no node is known to reach a zone's machines: this one doesn't, and
// neither does any sibling by its word.
func (l *leaderTerm) zoneUnreachable(zone string) bool {
	tracker := l.controller.links
	endpoint := machinesEndpoint(zone)
	if tracker.monitor.Verdict(endpoint, links.Outbound).State == links.Up || tracker.monitor.Verdict(endpoint, links.Inbound).State == links.Up {
		return false
	}
	return !l.anyPeerReaches(endpoint)
}

// zoneReachedByPeersOnly says whether a sibling reaches a zone's machines, and this node doesn't.
func (l *leaderTerm) zoneReachedByPeersOnly(zone string) bool {
	endpoint := machinesEndpoint(zone)
	return l.controller.links.monitor.Verdict(endpoint, links.Outbound).State == links.Down && l.anyPeerReaches(endpoint)
}

// anyPeerReaches says whether some sibling has a link that works in either direction.
func (l *leaderTerm) anyPeerReaches(endpoint links.Endpoint) bool {
	for _, advertisement := range l.controller.links.advertisements.Advertisements(l.controller.env.Now()) {
		if s := advertisement.Link(endpoint); s.Out == links.Up || s.In == links.Up {
			return true
		}
	}
	return false
}

package controller

// This file hands leadership over to a peer with better links.

import (
	"log/slog"

	"opaldale/internal/election"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/linktracker"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// evaluateHandover compares the leader's links with those of its peers, and begins or continues a handover.
func (l *leaderTerm) evaluateHandover(now ident.MonotonicTime) {
	if l.handover == nil || !l.controller.election.LeaseValid() {
		return
	}
	tracker := l.controller.links
	assessment := tracker.Assess(l.machinesByZone, l.controller.peerIDs(), now)
	step := l.handover.Advance(handover.Conditions{
		Now:           now,
		Successor:     assessment.Successor(),
		Isolated:      assessment.Isolated,
		WritesDrained: l.committer.Drained(),
		StoreWritable: tracker.StoreDelivering() && !l.committer.StoreUnavailable(),
	})
	switch step {
	case handover.Announce:
		l.announceHandover(assessment, now)
	case handover.EndTerm:
		tracker.CountHandover()
		reason := election.StepDownReason(l.handover.Decision().Reason.String())
		l.controller.election.HandOver(l.controller.settings.Tuning.Links.MinTermDuration, reason)
	}
}

// announceHandover stops the leader from making further decisions, and announces the successor to the peers.
func (l *leaderTerm) announceHandover(assessment links.Assessment, now ident.MonotonicTime) {
	tracker := l.controller.links
	decision := l.handover.Decision()
	tracker.RecordHandover(linktracker.HandoverRecord{
		Term:           l.term,
		At:             now,
		To:             decision.Successor,
		Reason:         decision.Reason,
		OwnScore:       assessment.OwnScore,
		SuccessorScore: assessment.BestScore,
	})
	slog.Info("handing over leadership", "term", uint64(l.term), "to", string(decision.Successor),
		"reason", decision.Reason.String(), "own_score", int(assessment.OwnScore), "peer_score", int(assessment.BestScore))
	l.committer.Quiesce()
	l.replies.failAll()
	for _, n := range l.controller.peerIDs() {
		if tracker.SupportsLinks(n) {
			frame := &transport.Frame{Type: transport.MsgTransferLeader, Node: decision.Successor, Term: l.term}
			l.env.SendPeer(n, frame)
		}
	}
}

// countMachinesByZone counts the machines of each zone that should be reachable. It is called only if link tracking is
// enabled.
func (l *leaderTerm) countMachinesByZone() {
	clear(l.machinesByZone)
	for _, w := range l.workers.Sorted() {
		if w.State == workers.Up || w.State == workers.Unreachable {
			l.machinesByZone[w.Zone]++
		}
	}
	l.controller.links.ForgetEmptyZones(l.machinesByZone)
}

package controller

import (
	"log/slog"
	"slices"

	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/mesh"
	"opaldale/internal/workers"
)

// HandoverRecord tells of a lead that this node has given up by choice.
type HandoverRecord struct {
	Term     ident.Term
	At       ident.MonotonicTime
	To       ident.NodeID
	Reason   handover.Reason
	Own      links.Standing
	Standing links.Standing // of the successor
}

// maxHandoverRecords bounds the handovers remembered for operators.
const maxHandoverRecords = 8

// compare has the leader see whether a sibling is better placed, and takes the handover on.
func (l *lead) compare(now ident.MonotonicTime) {
	if l.handover == nil || !l.c.elect.LeaseValid() {
		return
	}
	v := l.c.links
	cluster := links.Cluster{Siblings: l.c.siblings(), Machines: l.upByZone}
	assessment := cluster.Assess(v.row(now), v.view, now)
	step := l.handover.Handle(handover.Event{
		Now:              now,
		PeerBetterPlaced: assessment.Worse(),
		Successor:        assessment.Best,
		Isolated:         assessment.Isolated,
		WritesDrained:    l.commits.Drained(),
		// At this moment: a link that flaps is down most of the time by its verdict, and a
		// transaction passes all the same.
		StoreWritable: v.monitor.Passing(stateLink) && !v.monitor.Refusing(stateLink) && !l.commits.StoreUnavailable(),
	})
	switch step {
	case handover.Announce:
		l.announce(assessment, now)
	case handover.EndTerm:
		v.handovers++
		_, reason := l.handover.Successor()
		l.c.elect.HandOver(l.c.set.Tuning.Links.MinLeadTime, reason.String())
	}
}

// announce stops deciding and says who should follow.
func (l *lead) announce(a links.Assessment, now ident.MonotonicTime) {
	v := l.c.links
	to, reason := l.handover.Successor()
	v.records = append(v.records, HandoverRecord{Term: l.term, At: now, To: to, Reason: reason, Own: a.Own, Standing: a.BestRank})
	if len(v.records) > maxHandoverRecords {
		v.records = slices.Delete(v.records, 0, len(v.records)-maxHandoverRecords)
	}
	slog.Info("handing the lead over", "term", uint64(l.term), "to", string(to), "why", reason.String(),
		"standing", int(a.Own), "successor", int(a.BestRank))
	l.commits.Quiesce()
	l.refusePending()
	for _, n := range l.c.siblings() {
		if v.speaks(n) {
			l.c.env.Mesh(n, &mesh.Frame{Kind: mesh.Yield, Node: to, Term: l.term})
		}
	}
}

// countUp counts the machines of each zone that should be reached, for a node that watches
// its links.
func (l *lead) countUp() {
	clear(l.upByZone)
	for _, w := range l.workers.Sorted() {
		if w.State == workers.Up || w.State == workers.Unreachable {
			l.upByZone[w.Zone]++
		}
	}
	l.c.links.forgetEmpty(l.upByZone)
}

// unheard says whether no node is known to reach a zone's machines: this one doesn't, and
// neither does any sibling by its word.
func (l *lead) unheard(zone string) bool {
	v := l.c.links
	link := machinesLink(zone)
	if v.monitor.Verdict(link, links.Outbound).State == links.Up || v.monitor.Verdict(link, links.Inbound).State == links.Up {
		return false
	}
	return !l.siblingReaches(link)
}

// blind says whether a sibling reaches a zone's machines, and this node doesn't.
func (l *lead) blind(zone string) bool {
	link := machinesLink(zone)
	return l.c.links.monitor.Verdict(link, links.Outbound).State == links.Down && l.siblingReaches(link)
}

// siblingReaches says whether some sibling has a link that works in either direction.
func (l *lead) siblingReaches(link links.Peer) bool {
	for _, r := range l.c.links.view.Rows(l.c.env.Now()) {
		if s := r.Link(link); s.Out == links.Up || s.In == links.Up {
			return true
		}
	}
	return false
}

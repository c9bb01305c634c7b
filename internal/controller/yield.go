package controller

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/mesh"
	"opaldale/internal/workers"
)

// HandoverRecord tells of a lead that this node has given up by choice.
type HandoverRecord struct {
	Term     ident.Term
	At       ident.Mono
	To       ident.NodeID
	Reason   handover.Reason
	Own      links.Standing
	Standing links.Standing // of the successor
}

// handoverCounts are the numbers of handovers by what became of them.
type handoverCounts struct {
	Announced, Ended uint64
}

// maxHandoverRecords bounds the handovers remembered for operators.
const maxHandoverRecords = 8

// compare has the leader see whether a sibling is better placed, and takes the handover on.
func (l *lead) compare(now ident.Mono) {
	if l.handover == nil || !l.c.elect.Valid() {
		return
	}
	v := l.c.links
	cluster := links.Cluster{Siblings: l.c.siblings(), Machines: l.upByZone}
	assessment := cluster.Assess(v.row(now), v.view, now)
	step := l.handover.Handle(handover.Event{
		Now:      now,
		Worse:    assessment.Worse(),
		To:       assessment.Best,
		Isolated: assessment.Isolated,
		Idle:     l.commits.Settled(),
		CanWrite: v.monitor.Usable(stateLink) && !l.commits.Down(),
	})
	switch step {
	case handover.Announce:
		l.announce(assessment, now)
	case handover.End:
		v.counts.Ended++
		_, reason := l.handover.To()
		l.c.elect.HandOver(l.c.set.Tuning.Links.Hold, reason.String())
	}
}

// announce stops deciding and says who should follow.
func (l *lead) announce(a links.Assessment, now ident.Mono) {
	v := l.c.links
	to, reason := l.handover.To()
	v.counts.Announced++
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

// countUp counts the machines of each zone that should be reached.
func (l *lead) countUp() {
	clear(l.upByZone)
	for _, w := range l.workers.Sorted() {
		if w.State == workers.Up || w.State == workers.Silent {
			l.upByZone[w.Site]++
		}
	}
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
		for _, s := range r.Links {
			if s.Peer == link && (s.Out == links.Up || s.In == links.Up) {
				return true
			}
		}
	}
	return false
}

// LinkReport is what operators are shown of a node's links.
type LinkReport struct {
	Node      ident.NodeID      `json:"node"`
	Enabled   bool              `json:"enabled"`
	Authority string            `json:"authority"`
	Handover  string            `json:"handover,omitempty"`
	Links     []LinkEntry       `json:"links"`
	Rows      []RowEntry        `json:"rows"`
	Handovers []HandoverEntry   `json:"handovers"`
	Dropped   map[string]uint64 `json:"dropped"`
}

// LinkEntry is the verdict on one direction of a link.
type LinkEntry struct {
	Peer      string  `json:"peer"`
	Direction string  `json:"direction"`
	State     string  `json:"state"`
	Evidence  string  `json:"evidence"`
	Level     float64 `json:"level"`
	ForS      float64 `json:"for_s"`
	Damped    bool    `json:"damped,omitempty"`
	Refusing  bool    `json:"refusing,omitempty"`
	Breaks    uint64  `json:"breaks"`
}

// RowEntry is a sibling's view of its links, as it is known here.
type RowEntry struct {
	Origin ident.NodeID `json:"origin"`
	AgeS   float64      `json:"age_s"`
	Links  []RowLink    `json:"links"`
}

// RowLink is one link of a sibling.
type RowLink struct {
	Peer     string `json:"peer"`
	Inbound  string `json:"inbound"`
	Outbound string `json:"outbound"`
	Refusing bool   `json:"refusing,omitempty"`
	Damped   bool   `json:"damped,omitempty"`
}

// HandoverEntry is one lead that was given up.
type HandoverEntry struct {
	Term     uint64       `json:"term"`
	AgoS     float64      `json:"ago_s"`
	To       ident.NodeID `json:"to"`
	Reason   string       `json:"reason"`
	Own      int          `json:"standing"`
	Standing int          `json:"successor_standing"`
}

// LinkReport tells what is known of the node's links.
func (c *Controller) LinkReport() LinkReport {
	report := LinkReport{Node: c.set.Node, Enabled: c.links != nil, Authority: c.authorityNow().String(),
		Links: []LinkEntry{}, Rows: []RowEntry{}, Handovers: []HandoverEntry{}, Dropped: map[string]uint64{}}
	if c.links == nil {
		return report
	}
	now := c.env.Now()
	seconds := func(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }
	if c.lead != nil {
		report.Handover = c.lead.handover.State().String()
	}
	v := c.links
	for _, p := range v.monitor.Peers() {
		for _, d := range []links.Direction{links.Inbound, links.Outbound} {
			verdict := v.monitor.Verdict(p, d)
			report.Links = append(report.Links, LinkEntry{Peer: p.String(), Direction: d.String(), State: verdict.State.String(),
				Evidence: verdict.Evidence.String(), Level: verdict.Level, ForS: seconds(now.Sub(verdict.Since)),
				Damped: verdict.Damped, Refusing: v.monitor.Refusing(p), Breaks: verdict.Breaks})
		}
	}
	for _, r := range v.view.Rows(now) {
		entry := RowEntry{Origin: r.Origin, AgeS: seconds(r.Age)}
		for _, l := range r.Links {
			entry.Links = append(entry.Links, RowLink{Peer: l.Peer.String(), Inbound: l.In.String(), Outbound: l.Out.String(),
				Refusing: l.Refusing, Damped: l.Damped})
		}
		report.Rows = append(report.Rows, entry)
	}
	for _, h := range v.records {
		report.Handovers = append(report.Handovers, HandoverEntry{Term: uint64(h.Term), AgoS: seconds(now.Sub(h.At)), To: h.To,
			Reason: h.Reason.String(), Own: int(h.Own), Standing: int(h.Standing)})
	}
	for reason, n := range v.refusals {
		report.Dropped[reason.String()] = n
	}
	report.Dropped["undated"] = v.undated
	return report
}

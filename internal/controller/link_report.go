package controller

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
)

// LinkReport is what operators are shown of a node's links.
type LinkReport struct {
	Node      ident.NodeID    `json:"node"`
	Enabled   bool            `json:"enabled"`
	Authority string          `json:"authority"`
	Handover  string          `json:"handover,omitempty"`
	Links     []LinkEntry     `json:"links"`
	Rows      []RowEntry      `json:"rows"`
	Handovers []HandoverEntry `json:"handovers"`
	// HandoverCount counts all of them, also those that are not listed any more.
	HandoverCount uint64            `json:"handover_count"`
	Dropped       map[string]uint64 `json:"dropped"`
}

// LinkEntry is the verdict on one direction of a link.
type LinkEntry struct {
	Peer      string  `json:"peer"`
	Direction string  `json:"direction"`
	State     string  `json:"state"`
	Code      int     `json:"-"` // the state as a number
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
	report := LinkReport{
		Node:      c.set.Node,
		Enabled:   c.links != nil,
		Authority: c.authorityNow().String(),
		Links:     []LinkEntry{},
		Rows:      []RowEntry{},
		Handovers: []HandoverEntry{},
		Dropped:   map[string]uint64{},
	}
	if c.links == nil {
		return report
	}
	if c.lead != nil {
		report.Handover = c.lead.handover.State().String()
	}
	now := c.env.Now()
	v := c.links
	report.Links = v.linkEntries(now)
	for _, r := range v.view.Rows(now) {
		report.Rows = append(report.Rows, rowEntry(r))
	}
	for _, h := range v.records {
		report.Handovers = append(report.Handovers, handoverEntry(h, now))
	}
	report.HandoverCount = v.handovers
	for reason, n := range v.refusals {
		report.Dropped[reason.String()] = n
	}
	report.Dropped["undated"] = v.undated
	return report
}

// linkEntries lists the verdicts on all directions of the node's links.
func (v *linkView) linkEntries(now ident.MonotonicTime) []LinkEntry {
	entries := []LinkEntry{}
	for _, p := range v.monitor.Peers() {
		for _, d := range []links.Direction{links.Inbound, links.Outbound} {
			verdict := v.monitor.Verdict(p, d)
			entries = append(entries, LinkEntry{
				Peer:      p.String(),
				Direction: d.String(),
				State:     verdict.State.String(),
				Code:      int(verdict.State),
				Evidence:  verdict.Evidence.String(),
				Level:     verdict.Level,
				ForS:      roundSeconds(now.Sub(verdict.Since)),
				Damped:    verdict.Damped,
				Refusing:  v.monitor.Refusing(p),
				Breaks:    verdict.Breaks,
			})
		}
	}
	return entries
}

func rowEntry(r links.Row) RowEntry {
	entry := RowEntry{Origin: r.Origin, AgeS: roundSeconds(r.Age)}
	for _, l := range r.Links {
		entry.Links = append(entry.Links, RowLink{
			Peer:     l.Peer.String(),
			Inbound:  l.In.String(),
			Outbound: l.Out.String(),
			Refusing: l.Refusing,
			Damped:   l.Damped,
		})
	}
	return entry
}

func handoverEntry(h HandoverRecord, now ident.MonotonicTime) HandoverEntry {
	return HandoverEntry{
		Term:     uint64(h.Term),
		AgoS:     roundSeconds(now.Sub(h.At)),
		To:       h.To,
		Reason:   h.Reason.String(),
		Own:      int(h.Own),
		Standing: int(h.Standing),
	}
}

// roundSeconds gives a duration in seconds, to the millisecond.
func roundSeconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

package controller

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
)

// LinkReport is what operators are shown of a node's links.
type LinkReport struct {
	Node           ident.NodeID         `json:"node"`
	Enabled        bool                 `json:"enabled"`
	Authority      string               `json:"authority"`
	Handover       string               `json:"handover,omitempty"`
	Links          []LinkEntry          `json:"links"`
	Advertisements []AdvertisementEntry `json:"rows"`
	Handovers      []HandoverEntry      `json:"handovers"`
	// HandoverCount counts all of them, also those that are not listed any more.
	HandoverCount uint64            `json:"handover_count"`
	Dropped       map[string]uint64 `json:"dropped"`
}

// LinkEntry is the verdict on one direction of a link.
type LinkEntry struct {
	Peer      string  `json:"peer"`
	Direction string  `json:"direction"`
	State     string  `json:"state"`
	StateCode int     `json:"-"` // the state as a number
	Evidence  string  `json:"evidence"`
	Level     float64 `json:"level"`
	DurationS float64 `json:"for_s"`
	Damped    bool    `json:"damped,omitempty"`
	Refusing  bool    `json:"refusing,omitempty"`
	Breaks    uint64  `json:"breaks"`
}

// AdvertisementEntry is a sibling's view of its links, as it is known here.
type AdvertisementEntry struct {
	Origin ident.NodeID     `json:"origin"`
	AgeS   float64          `json:"age_s"`
	Links  []AdvertisedLink `json:"links"`
}

// AdvertisedLink is one link of a sibling.
type AdvertisedLink struct {
	Peer     string `json:"peer"`
	Inbound  string `json:"inbound"`
	Outbound string `json:"outbound"`
	Refusing bool   `json:"refusing,omitempty"`
	Damped   bool   `json:"damped,omitempty"`
}

// HandoverEntry is one lead that was given up.
type HandoverEntry struct {
	Term           uint64       `json:"term"`
	AgoS           float64      `json:"ago_s"`
	To             ident.NodeID `json:"to"`
	Reason         string       `json:"reason"`
	OwnScore       int          `json:"standing"`
	SuccessorScore int          `json:"successor_standing"`
}

// LinkReport tells what is known of the node's links.
func (c *Controller) LinkReport() LinkReport {
	report := LinkReport{
		Node:           c.settings.Node,
		Enabled:        c.links != nil,
		Authority:      c.updateAuthority().String(),
		Links:          []LinkEntry{},
		Advertisements: []AdvertisementEntry{},
		Handovers:      []HandoverEntry{},
		Dropped:        map[string]uint64{},
	}
	if c.links == nil {
		return report
	}
	if c.leader != nil {
		report.Handover = c.leader.handover.State().String()
	}
	now := c.env.Now()
	tracker := c.links
	report.Links = tracker.linkEntries(now)
	for _, r := range tracker.advertisements.Advertisements(now) {
		report.Advertisements = append(report.Advertisements, advertisementEntry(r))
	}
	for _, h := range tracker.handoverRecords {
		report.Handovers = append(report.Handovers, handoverEntry(h, now))
	}
	report.HandoverCount = tracker.handoverCount
	for reason, n := range tracker.droppedByReason {
		report.Dropped[reason.String()] = n
	}
	report.Dropped["undated"] = tracker.droppedUndated
	return report
}

// linkEntries lists the verdicts on all directions of the node's links.
func (v *linkTracker) linkEntries(now ident.MonotonicTime) []LinkEntry {
	entries := []LinkEntry{}
	for _, p := range v.monitor.Endpoints() {
		for _, d := range []links.Direction{links.Inbound, links.Outbound} {
			verdict := v.monitor.Verdict(p, d)
			entries = append(entries, LinkEntry{
				Peer:      p.String(),
				Direction: d.String(),
				State:     verdict.State.String(),
				StateCode: int(verdict.State),
				Evidence:  verdict.Evidence.String(),
				Level:     verdict.Suspicion,
				DurationS: roundSeconds(now.Sub(verdict.Since)),
				Damped:    verdict.Damped,
				Refusing:  v.monitor.Refusing(p),
				Breaks:    verdict.Breaks,
			})
		}
	}
	return entries
}

func advertisementEntry(r links.Advertisement) AdvertisementEntry {
	entry := AdvertisementEntry{Origin: r.Origin, AgeS: roundSeconds(r.Age)}
	for _, l := range r.Links {
		entry.Links = append(entry.Links, AdvertisedLink{
			Peer:     l.Endpoint.String(),
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
		Term:           uint64(h.Term),
		AgoS:           roundSeconds(now.Sub(h.At)),
		To:             h.To,
		Reason:         h.Reason.String(),
		OwnScore:       int(h.OwnScore),
		SuccessorScore: int(h.SuccessorScore),
	}
}

// roundSeconds gives a duration in seconds, to the millisecond.
func roundSeconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

package linktracker

// This file reports on links and handovers to operators.

import (
	"slices"
	"time"

	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
)

// Report is the report on a node's links and handovers for operators.
type Report struct {
	Node           ident.NodeID         `json:"node"`
	Enabled        bool                 `json:"enabled"`
	Authority      string               `json:"authority"`
	Handover       string               `json:"handover,omitempty"`
	Links          []LinkEntry          `json:"links"`
	Advertisements []AdvertisementEntry `json:"rows"`
	Handovers      []HandoverEntry      `json:"handovers"`
	// HandoverCount is the number of this node's terms that ended by a handover. Handovers lists only the newest ones, and
	// also one that was announced but has not ended the term.
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

// AdvertisementEntry is the newest advertisement received from a peer.
type AdvertisementEntry struct {
	Origin ident.NodeID     `json:"origin"`
	AgeS   float64          `json:"age_s"`
	Links  []AdvertisedLink `json:"links"`
}

// AdvertisedLink is one link in a peer's advertisement.
type AdvertisedLink struct {
	Peer     string `json:"peer"`
	Inbound  string `json:"inbound"`
	Outbound string `json:"outbound"`
	Refusing bool   `json:"refusing,omitempty"`
	Damped   bool   `json:"damped,omitempty"`
}

// HandoverEntry is one handover of leadership by the node, as listed in a Report.
type HandoverEntry struct {
	Term           uint64       `json:"term"`
	AgoS           float64      `json:"ago_s"`
	To             ident.NodeID `json:"to"`
	Reason         string       `json:"reason"`
	OwnScore       int          `json:"standing"`
	SuccessorScore int          `json:"successor_standing"`
}

// HandoverRecord is one handover of leadership by this node.
type HandoverRecord struct {
	Term           ident.Term
	At             ident.MonotonicTime
	To             ident.NodeID
	Reason         handover.Reason
	OwnScore       links.Score
	SuccessorScore links.Score
}

// maxHandoverRecords is the maximum number of handovers that are listed in a Report.
const maxHandoverRecords = 8

// RecordHandover adds an announced handover to the records, and drops the oldest record beyond maxHandoverRecords.
func (t *Tracker) RecordHandover(record HandoverRecord) {
	t.handovers = append(t.handovers, record)
	if len(t.handovers) > maxHandoverRecords {
		t.handovers = slices.Delete(t.handovers, 0, len(t.handovers)-maxHandoverRecords)
	}
}

// CountHandover increments the number of this node's terms that ended by a handover.
func (t *Tracker) CountHandover() { t.handoverCount++ }

// FillReport sets the links, advertisements, handovers and dropped messages of a report.
func (t *Tracker) FillReport(report *Report) {
	now := t.env.Now()
	report.Links = t.linkEntries(now)
	for _, advertisement := range t.advertisements.Advertisements(now) {
		report.Advertisements = append(report.Advertisements, advertisementEntry(advertisement))
	}
	for _, record := range t.handovers {
		report.Handovers = append(report.Handovers, handoverEntry(record, now))
	}
	report.HandoverCount = t.handoverCount
	for reason, n := range t.dropped.byReason {
		report.Dropped[reason.String()] = n
	}
	report.Dropped[unknownAgeLabel] = t.dropped.unknownAge
}

// unknownAgeLabel is the reason in reports for dropping messages whose advertisements have an unknown age, in addition to the
// reasons of links.MergeResult.
const unknownAgeLabel = "undated"

// linkEntries lists the verdicts on all directions of the node's links.
func (t *Tracker) linkEntries(now ident.MonotonicTime) []LinkEntry {
	entries := []LinkEntry{}
	for _, p := range t.monitor.Endpoints() {
		for _, d := range directions {
			verdict := t.monitor.Verdict(p, d)
			entries = append(entries, LinkEntry{
				Peer:      p.String(),
				Direction: d.String(),
				State:     verdict.State.String(),
				StateCode: int(verdict.State),
				Evidence:  verdict.Evidence.String(),
				Level:     verdict.Suspicion,
				DurationS: roundSeconds(now.Sub(verdict.Since)),
				Damped:    verdict.Damped,
				Refusing:  t.monitor.Refusing(p),
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

// roundSeconds returns a duration in seconds, to the millisecond.
func roundSeconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

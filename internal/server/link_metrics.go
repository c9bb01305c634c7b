package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"opaldale/internal/linktracker"
)

// Metrics of a node's links and of its authority.
var (
	linkState = newGauge("link_state", "Verdict on a direction of a link: 0 unknown, 1 up, 2 suspect, 3 down.",
		"peer", "direction")
	linkDamped = newGauge("link_damped", "1 while a direction counts as down for having broken too often.",
		"peer", "direction")
	linkBreaks            = newCounter("link_breaks", "Breaks noticed of a direction of a link.", "peer", "direction")
	advertisementsDropped = newCounter("link_rows_dropped", "Rows of siblings that were not taken, by reason.", "reason")
	authorityState        = newGauge("authority", "1 for the state of the node's authority.", "state")
	handovers             = newCounter("handovers", "Leads that this node has given up by choice.")
)

// collectLinks sends the metrics of the node's authority and, if it monitors them, of its links.
func collectLinks(ch chan<- prometheus.Metric, report linktracker.Report) {
	authorityState.send(ch, 1, report.Authority)
	if !report.Enabled {
		return
	}
	for _, l := range report.Links {
		linkState.send(ch, float64(l.StateCode), l.Peer, l.Direction)
		linkDamped.send(ch, boolToFloat(l.Damped), l.Peer, l.Direction)
		linkBreaks.send(ch, float64(l.Breaks), l.Peer, l.Direction)
	}
	for reason, count := range report.Dropped {
		advertisementsDropped.send(ch, float64(count), reason)
	}
	handovers.send(ch, float64(report.HandoverCount))
}

package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"opaldale/internal/linktracker"
)

// Metrics of a node's links and of its authority to act as the leader.
var (
	linkState = newGauge("link_state", "State of a direction of a link: 0 unknown, 1 up, 2 suspect, 3 down.",
		"peer", "direction")
	linkDamped = newGauge("link_damped",
		"1 while a direction of a link counts as down because it has failed too often, otherwise 0.",
		"peer", "direction")
	linkBreaks            = newCounter("link_breaks", "Failures detected of a direction of a link.", "peer", "direction")
	advertisementsDropped = newCounter("link_rows_dropped",
		"Link state advertisements of peers that were dropped, by reason.", "reason")
	authorityState = newGauge("authority", "1 for the current state of the node's authority.", "state")
	handovers      = newCounter("handovers", "Terms that this node ended by handing over leadership.")
)

// collectLinks sends the metric of the node's authority and, if the link monitor is enabled, those of its links.
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

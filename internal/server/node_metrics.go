package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"opaldale/internal/controller"
)

// statsMetric is a metric without labels whose value is one of the controller's statistics.
type statsMetric struct {
	metric
	value func(*controller.Stats) float64
}

// statsMetrics are the metrics without labels of every controller. Most are 0 on a node that does not
// lead.
var statsMetrics = []statsMetric{
	{newGauge("leading", "1 on the leader."), func(s *controller.Stats) float64 { return boolToFloat(s.Leading) }},
	{newGauge("leadership_valid", "1 while leadership is sure."),
		func(s *controller.Stats) float64 { return boolToFloat(s.LeadershipValid) }},
	{newGauge("term", "Newest term led."), func(s *controller.Stats) float64 { return float64(s.Term) }},
	{newGauge("format_level",
		"Format of what is stored, as far as the node knows; 0 while nodes of the first version may come back."),
		func(s *controller.Stats) float64 { return float64(s.FormatLevel) }},
	{newGauge("jobs", "Jobs not over."), func(s *controller.Stats) float64 { return float64(s.Jobs) }},
	{newGauge("tasks_held", "Tasks that count on a machine."),
		func(s *controller.Stats) float64 { return float64(s.TasksHeld) }},
	{newGauge("tasks_waiting", "Tasks that wait for a machine."),
		func(s *controller.Stats) float64 { return float64(s.TasksWaiting) }},

	{newCounter("preempted", "Tasks stopped to make room."),
		func(s *controller.Stats) float64 { return float64(s.Preempted) }},
	{newCounter("plan_rounds", "Plans made."), func(s *controller.Stats) float64 { return float64(s.PlanRounds) }},
	{newCounter("plan_extra", "Plans made between rounds."),
		func(s *controller.Stats) float64 { return float64(s.PlanExtraRounds) }},
	{newCounter("plan_seconds", "Time spent on plans."), func(s *controller.Stats) float64 { return s.PlanSeconds }},
	{newCounter("fetched_gigabytes", "Images sent to machines that did not hold them."),
		func(s *controller.Stats) float64 { return s.FetchedGB }},

	{newCounter("rented", "Machines rented."), func(s *controller.Stats) float64 { return float64(s.MachinesProvisioned) }},
	{newCounter("returned", "Machines returned."), func(s *controller.Stats) float64 { return float64(s.MachinesTerminated) }},
	{newCounter("fenced", "Machines returned for their silence."),
		func(s *controller.Stats) float64 { return float64(s.MachinesFenced) }},

	{newCounter("txns", "Transactions sent."), func(s *controller.Stats) float64 { return float64(s.Txns) }},
	{newCounter("puts", "Puts and deletes sent."), func(s *controller.Stats) float64 { return float64(s.Puts) }},
	{newCounter("txn_repeats", "Transactions repeated."), func(s *controller.Stats) float64 { return float64(s.TxnRetries) }},
	{newCounter("txns_rejected", "Transactions that the state service found too large."),
		func(s *controller.Stats) float64 { return float64(s.TxnsRejected) }},

	{newCounter("gangs_started", "Attempts of gangs that ran."),
		func(s *controller.Stats) float64 { return float64(s.GangsStarted) }},
	{newCounter("gangs_lost", "Attempts of gangs that were given up."),
		func(s *controller.Stats) float64 { return float64(s.GangsLost) }},
	{newCounter("gangs_replaced", "Tasks of gangs replaced before the start."),
		func(s *controller.Stats) float64 { return float64(s.GangsReplaced) }},
	{newCounter("gangs_stopped", "Gangs stopped in order."),
		func(s *controller.Stats) float64 { return float64(s.GangsStopped) }},

	{newCounter("tasks_lost", "Tasks proven gone before they ended."),
		func(s *controller.Stats) float64 { return float64(s.TasksLost) }},
	{newCounter("command_fences", "Tokens raised over unanswered commands."),
		func(s *controller.Stats) float64 { return float64(s.CommandFences) }},
	{newCounter("stale_reports", "Reports older than what was known."),
		func(s *controller.Stats) float64 { return float64(s.StaleHeartbeats) }},

	{newCounter("forwarded", "Requests passed to the leader."),
		func(s *controller.Stats) float64 { return float64(s.Forwarded) }},
	{newCounter("refused", "Requests refused for want of a leader or of the state service."),
		func(s *controller.Stats) float64 { return float64(s.Refused) }},
	{newCounter("relayed", "Requests passed to the leader by a sibling that reaches it."),
		func(s *controller.Stats) float64 { return float64(s.Relayed) }},
	{newCounter("leases_kept", "Leases renewed for a leader that was out of reach."),
		func(s *controller.Stats) float64 { return float64(s.LeasesKept) }},
	{newCounter("vouched", "Deprecated: opaldale_leases_kept_total. Leases renewed for a leader that was out of reach."),
		func(s *controller.Stats) float64 { return float64(s.LeasesKept) }},
	{newCounter("elected", "Terms begun."), func(s *controller.Stats) float64 { return float64(s.TermsBegun) }},
}

// Metrics with labels of every controller.
var (
	machinesByState = newGauge("machines", "Machines by state.", "state")
	placedByRule    = newCounter("placed", "Tasks placed, by the rule that did.", "rule")
)

// collectStats sends the metrics of every controller.
func collectStats(ch chan<- prometheus.Metric, stats *controller.Stats) {
	for _, m := range statsMetrics {
		m.send(ch, m.value(stats))
	}
	for state, count := range stats.Machines {
		machinesByState.send(ch, float64(count), state)
	}
	placedByRule.send(ch, float64(stats.PlacedPlanned), "planned")
	placedByRule.send(ch, float64(stats.PlacedLocal), "local")
	placedByRule.send(ch, float64(stats.PlacedNew), "new")
	placedByRule.send(ch, float64(stats.PlacedStolen), "stolen")
	placedByRule.send(ch, float64(stats.PlacedServices), "service")
	placedByRule.send(ch, float64(stats.PlacedGangs), "gang")
}

// Metrics of the sockets of a node.
var (
	connections        = newGauge("connections", "Connections of users, workers and probes.")
	connectionLimit    = newGauge("connections_most", "Bound on them.")
	connectionsEvicted = newCounter("connections_evicted", "Idle ones closed to make room.")
	connectionsRefused = newCounter("connections_refused", "Closed as they came, for want of room.")
	malformedFrames    = newCounter("mesh_malformed", "Frames of siblings that could not be read.")
)

// collectServer sends the metrics of the node's sockets.
func collectServer(ch chan<- prometheus.Metric, s *Server) {
	connections.send(ch, float64(s.connLimiter.count()))
	connectionLimit.send(ch, float64(s.connLimiter.limit))
	connectionsEvicted.send(ch, float64(s.connLimiter.evicted.Load()))
	connectionsRefused.send(ch, float64(s.connLimiter.refused.Load()))
	malformedFrames.send(ch, float64(s.transport.Malformed.Load()))
}

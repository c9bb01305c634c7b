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

// statsMetrics are the metrics of every controller that have no labels. Most are 0 on a node that is not
// the leader.
var statsMetrics = []statsMetric{
	{newGauge("leading", "1 if the node is the leader, even if its lease has expired, otherwise 0."),
		func(s *controller.Stats) float64 { return boolToFloat(s.Leading) }},
	{newGauge("leadership_valid", "1 while the node holds a valid leader lease, otherwise 0."),
		func(s *controller.Stats) float64 { return boolToFloat(s.LeadershipValid) }},
	{newGauge("term", "Newest term in which the node was the leader."),
		func(s *controller.Stats) float64 { return float64(s.Term) }},
	{newGauge("format_level",
		"Format level of the stored data, as known to the node; 0 while nodes of the first version may rejoin."),
		func(s *controller.Stats) float64 { return float64(s.FormatLevel) }},
	{newGauge("jobs", "Jobs that have not ended."), func(s *controller.Stats) float64 { return float64(s.Jobs) }},
	{newGauge("tasks_held", "Tasks that are allocated to a machine."),
		func(s *controller.Stats) float64 { return float64(s.TasksAllocated) }},
	{newGauge("tasks_waiting", "Tasks that wait for placement on a machine."),
		func(s *controller.Stats) float64 { return float64(s.TasksWaiting) }},

	{newCounter("preempted", "Tasks, or whole gangs, preempted in favour of others."),
		func(s *controller.Stats) float64 { return float64(s.Preempted) }},
	{newCounter("plan_rounds", "Placement plans computed."), func(s *controller.Stats) float64 { return float64(s.PlanRounds) }},
	{newCounter("plan_extra", "Placement plans computed in addition to those of the periodic rounds."),
		func(s *controller.Stats) float64 { return float64(s.PlanExtraRounds) }},
	{newCounter("plan_seconds", "Time spent on computing placement plans."),
		func(s *controller.Stats) float64 { return s.PlanSeconds }},
	{newCounter("fetched_gigabytes", "Size of the images pulled by machines that did not hold them."),
		func(s *controller.Stats) float64 { return s.FetchedGB }},

	{newCounter("rented", "Machines provisioned."), func(s *controller.Stats) float64 { return float64(s.MachinesProvisioned) }},
	{newCounter("returned", "Machines terminated."), func(s *controller.Stats) float64 { return float64(s.MachinesTerminated) }},
	{newCounter("fenced", "Machines terminated because they were unreachable."),
		func(s *controller.Stats) float64 { return float64(s.MachinesFenced) }},

	{newCounter("txns", "Transactions sent to the key-value store."),
		func(s *controller.Stats) float64 { return float64(s.Txns) }},
	{newCounter("puts", "Puts and deletes sent to the key-value store."),
		func(s *controller.Stats) float64 { return float64(s.Puts) }},
	{newCounter("txn_repeats", "Transactions retried."), func(s *controller.Stats) float64 { return float64(s.TxnRetries) }},
	{newCounter("txns_rejected", "Transactions that the key-value store rejected as malformed or too large."),
		func(s *controller.Stats) float64 { return float64(s.TxnsRejected) }},

	{newCounter("gangs_started", "Gang attempts of which all tasks ran."),
		func(s *controller.Stats) float64 { return float64(s.GangsStarted) }},
	{newCounter("gangs_lost", "Gang attempts that were aborted."),
		func(s *controller.Stats) float64 { return float64(s.GangsLost) }},
	{newCounter("gangs_replaced", "Gang tasks that were replaced before the start of their gang."),
		func(s *controller.Stats) float64 { return float64(s.GangsReplaced) }},
	{newCounter("gangs_stopped", "Gang attempts that were stopped gracefully."),
		func(s *controller.Stats) float64 { return float64(s.GangsStopped) }},

	{newCounter("tasks_lost", "Tasks that were lost before they ended."),
		func(s *controller.Stats) float64 { return float64(s.TasksLost) }},
	{newCounter("command_fences", "Fencing tokens raised because a command got no response."),
		func(s *controller.Stats) float64 { return float64(s.CommandFences) }},
	{newCounter("clear_fences", "Fencing tokens raised before an ended task was cleared from its machine."),
		func(s *controller.Stats) float64 { return float64(s.ClearFences) }},
	{newCounter("commands_rejected", "Command calls that a worker rejected as outdated."),
		func(s *controller.Stats) float64 { return float64(s.CommandsRejected) }},
	{newCounter("unknown_attempts", "Tasks found running on a machine on which the leader has not placed them."),
		func(s *controller.Stats) float64 { return float64(s.UnknownAttempts) }},
	{newCounter("stale_reports", "Worker heartbeats dropped as stale."),
		func(s *controller.Stats) float64 { return float64(s.StaleHeartbeats) }},

	{newCounter("forwarded", "Requests forwarded to the leader."),
		func(s *controller.Stats) float64 { return float64(s.Forwarded) }},
	{newCounter("refused", "Requests refused because the leader or the key-value store was unavailable."),
		func(s *controller.Stats) float64 { return float64(s.Refused) }},
	{newCounter("relayed", "Requests forwarded to the leader through a peer, because the leader was unreachable."),
		func(s *controller.Stats) float64 { return float64(s.Relayed) }},
	{newCounter("leases_kept", "Worker leases renewed on behalf of an unreachable leader."),
		func(s *controller.Stats) float64 { return float64(s.LeasesRenewedWithoutLeader) }},
	{newCounter("vouched",
		"Deprecated: use opaldale_leases_kept_total. Worker leases renewed on behalf of an unreachable leader."),
		func(s *controller.Stats) float64 { return float64(s.LeasesRenewedWithoutLeader) }},
	{newCounter("elected", "Terms that the node has begun as the leader."),
		func(s *controller.Stats) float64 { return float64(s.TermsBegun) }},
}

// Metrics of every controller that have labels.
var (
	machinesByState = newGauge("machines", "Machines by state.", "state")
	placedByRule    = newCounter("placed", "Tasks placed, by placement rule; a gang counts as one.", "rule")
	reservedFor     = newGauge("reserved_machine_seconds",
		"Seconds for which a machine has been reserved for a starved job or a gang.", "machine", "job")
	reservedUntil = newGauge("reserved_machine_remaining_seconds",
		"Seconds until the reservation of a machine for a starved job or a gang ends.", "machine", "job")
)

// collectStats sends the metrics of the controller's statistics.
func collectStats(ch chan<- prometheus.Metric, stats *controller.Stats) {
	for _, m := range statsMetrics {
		m.send(ch, m.value(stats))
	}
	for state, count := range stats.Machines {
		machinesByState.send(ch, float64(count), state)
	}
	collectReservations(ch, stats.ReservedMachines)
	placedByRule.send(ch, float64(stats.PlacedPlanned), "planned")
	placedByRule.send(ch, float64(stats.PlacedLocal), "local")
	placedByRule.send(ch, float64(stats.PlacedUncached), "new")
	placedByRule.send(ch, float64(stats.PlacedStolen), "stolen")
	placedByRule.send(ch, float64(stats.PlacedServices), "service")
	placedByRule.send(ch, float64(stats.PlacedGangs), "gang")
}

// collectReservations sends the metrics of machines that are reserved for starved jobs and gangs.
func collectReservations(ch chan<- prometheus.Metric, machines []controller.ReservedMachine) {
	for _, reserved := range machines {
		reservedFor.send(ch, reserved.AgeS, string(reserved.Machine), string(reserved.Job))
		reservedUntil.send(ch, reserved.RemainingS, string(reserved.Machine), string(reserved.Job))
	}
}

// Metrics of a node's sockets.
var (
	connections        = newGauge("connections", "Open inbound connections of users, workers and health checks.")
	connectionLimit    = newGauge("connections_most", "Maximum number of open inbound connections.")
	connectionsEvicted = newCounter("connections_evicted", "Idle inbound connections closed in favour of new ones.")
	connectionsRefused = newCounter("connections_refused", "New inbound connections closed because the limit was reached.")
	malformedFrames    = newCounter("mesh_malformed", "Malformed frames received from peers.")
)

// collectServer sends the metrics of the node's sockets.
func collectServer(ch chan<- prometheus.Metric, s *Server) {
	connections.send(ch, float64(s.connLimiter.count()))
	connectionLimit.send(ch, float64(s.connLimiter.limit))
	connectionsEvicted.send(ch, float64(s.connLimiter.evicted.Load()))
	connectionsRefused.send(ch, float64(s.connLimiter.refused.Load()))
	malformedFrames.send(ch, float64(s.transport.Malformed.Load()))
}

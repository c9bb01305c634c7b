package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"opaldale/internal/controller"
	"opaldale/internal/linktracker"
	"opaldale/internal/transport"
)

// metrics are the node's counters, for GET /metrics.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	shed     *prometheus.CounterVec
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "opaldale_request_seconds",
			Help:    "Time to answer requests, by kind and status.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}}, []string{"kind", "status"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "opaldale_shed_total",
			Help: "Requests refused for overload, by kind."}, []string{"kind"}),
	}
	m.registry.MustRegister(m.requests, m.shed, controllerCollector{s})
	return m
}

var methodNames = map[transport.Method]string{transport.SubmitJob: "submit", transport.GetJob: "poll", transport.CancelJob: "cancel", transport.WorkerHeartbeat: "checkin"}

func (m *metrics) observe(method transport.Method, status int, d time.Duration) {
	m.requests.WithLabelValues(methodNames[method], strconv.Itoa(status)).Observe(d.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// controllerCollector shows the controller's own counters when asked.
type controllerCollector struct{ server *Server }

// Describe sends nothing: the collector is unchecked.
func (controllerCollector) Describe(chan<- *prometheus.Desc) {}

// Collect reads the counters.
func (c controllerCollector) Collect(ch chan<- prometheus.Metric) {
	stats := c.server.stats()
	boolValue := map[bool]float64{true: 1}
	gauge := func(name, help string, v float64) {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("opaldale_"+name, help, nil, nil), prometheus.GaugeValue, v)
	}
	count := func(name, help string, v float64) {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("opaldale_"+name+"_total", help, nil, nil), prometheus.CounterValue, v)
	}
	gauge("leading", "1 on the leader.", boolValue[stats.Leading])
	gauge("leadership_valid", "1 while leadership is sure.", boolValue[stats.LeadershipValid])
	gauge("term", "Newest term led.", float64(stats.Term))
	gauge("format_level", "Format of what is stored, as far as the node knows; 0 while nodes of the first version may come back.", float64(stats.FormatLevel))
	gauge("jobs", "Jobs not over.", float64(stats.Jobs))
	gauge("tasks_held", "Tasks that count on a machine.", float64(stats.TasksHeld))
	gauge("tasks_waiting", "Tasks that wait for a machine.", float64(stats.TasksWaiting))
	for state, v := range stats.Machines {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("opaldale_machines", "Machines by state.", []string{"state"}, nil),
			prometheus.GaugeValue, float64(v), state)
	}
	for rule, v := range map[string]uint64{"planned": stats.PlacedPlanned, "local": stats.PlacedLocal, "new": stats.PlacedNew, "stolen": stats.PlacedStolen, "service": stats.PlacedServices, "gang": stats.PlacedGangs} {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("opaldale_placed_total", "Tasks placed, by the rule that did.", []string{"rule"}, nil),
			prometheus.CounterValue, float64(v), rule)
	}
	count("preempted", "Tasks stopped to make room.", float64(stats.Preempted))
	count("plan_rounds", "Plans made.", float64(stats.PlanRounds))
	count("plan_extra", "Plans made between rounds.", float64(stats.PlanExtraRounds))
	count("plan_seconds", "Time spent on plans.", stats.PlanSeconds)
	count("fetched_gigabytes", "Images sent to machines that did not hold them.", stats.FetchedGB)
	count("rented", "Machines rented.", float64(stats.MachinesProvisioned))
	count("returned", "Machines returned.", float64(stats.MachinesTerminated))
	count("fenced", "Machines returned for their silence.", float64(stats.MachinesFenced))
	count("txns", "Transactions sent.", float64(stats.Txns))
	count("puts", "Puts and deletes sent.", float64(stats.Puts))
	count("txn_repeats", "Transactions repeated.", float64(stats.TxnRetries))
	count("txns_rejected", "Transactions that the state service found too large.", float64(stats.TxnsRejected))
	count("gangs_started", "Attempts of gangs that ran.", float64(stats.GangsStarted))
	count("gangs_lost", "Attempts of gangs that were given up.", float64(stats.GangsLost))
	count("gangs_replaced", "Tasks of gangs replaced before the start.", float64(stats.GangsReplaced))
	count("gangs_stopped", "Gangs stopped in order.", float64(stats.GangsStopped))
	count("tasks_lost", "Tasks proven gone before they ended.", float64(stats.TasksLost))
	count("command_fences", "Tokens raised over unanswered commands.", float64(stats.CommandFences))
	count("stale_reports", "Reports older than what was known.", float64(stats.StaleHeartbeats))
	count("forwarded", "Requests passed to the leader.", float64(stats.Forwarded))
	gauge("connections", "Connections of users, workers and probes.", float64(c.server.connLimiter.count()))
	gauge("connections_most", "Bound on them.", float64(c.server.connLimiter.limit))
	count("connections_evicted", "Idle ones closed to make room.", float64(c.server.connLimiter.evicted.Load()))
	count("connections_refused", "Closed as they came, for want of room.", float64(c.server.connLimiter.refused.Load()))
	count("refused", "Requests refused for want of a leader or of the state service.", float64(stats.Refused))
	count("relayed", "Requests passed to the leader by a sibling that reaches it.", float64(stats.Relayed))
	count("leases_kept", "Leases renewed for a leader that was out of reach.", float64(stats.LeasesKept))
	count("vouched", "Deprecated: opaldale_leases_kept_total. Leases renewed for a leader that was out of reach.", float64(stats.LeasesKept))
	count("elected", "Terms begun.", float64(stats.TermsBegun))
	count("mesh_malformed", "Frames of siblings that could not be read.", float64(c.server.transport.Malformed.Load()))
	collectLinks(ch, c.server.linkReport())
	collectLoad(ch, stats)
}

// Descriptions of the metrics about load.
var (
	loadImbalance     = prometheus.NewDesc("opaldale_load_imbalance", "Coefficient of variation of the machines' use.", nil, nil)
	movesProposed     = prometheus.NewDesc("opaldale_moves_proposed_total", "Moves of running tasks that would pay, by the estimates.", nil, nil)
	movesActive       = prometheus.NewDesc("opaldale_moves_active", "Moves of running tasks under way.", nil, nil)
	movesEnded        = prometheus.NewDesc("opaldale_moves_ended_total", "Moves of running tasks that have ended, by how.", []string{"reason"}, nil)
	moveRoundsSkipped = prometheus.NewDesc("opaldale_moves_held_back_total", "Rounds in which no plan of moves was made, by why.", []string{"reason"}, nil)
	slowMachines      = prometheus.NewDesc("opaldale_slow_machines", "Machines that are much slower than others, on which nothing more is placed.", nil, nil)
	reservations      = prometheus.NewDesc("opaldale_reservations", "Machines on which room is kept for a move.", nil, nil)
	moveRealised      = prometheus.NewDesc("opaldale_move_realised_seconds", "Seconds that moves which arrived have gained, less their cost.", nil, nil)
	moveGain          = prometheus.NewDesc("opaldale_move_gain_seconds_total", "Seconds that they would gain, less what they cost.", nil, nil)
	teamDemand        = prometheus.NewDesc("opaldale_team_demand_ratio", "Demand of a team as a multiple of what it is entitled to.", []string{"team"}, nil)
	teamHeat          = prometheus.NewDesc("opaldale_team_heat", "State of a team: 0 cool, 1 warming, 2 hot, 3 cooling.", []string{"team"}, nil)
)

// collectLoad shows the load, while a leader watches it.
func collectLoad(ch chan<- prometheus.Metric, stats controller.Stats) {
	if stats.TeamLoads == nil {
		return
	}
	ch <- prometheus.MustNewConstMetric(loadImbalance, prometheus.GaugeValue, stats.Imbalance)
	ch <- prometheus.MustNewConstMetric(movesProposed, prometheus.CounterValue, float64(stats.MovesProposed))
	ch <- prometheus.MustNewConstMetric(moveGain, prometheus.CounterValue, stats.MoveGainSeconds)
	ch <- prometheus.MustNewConstMetric(movesActive, prometheus.GaugeValue, float64(stats.MovesActive))
	ch <- prometheus.MustNewConstMetric(moveRealised, prometheus.GaugeValue, stats.MoveRealisedSeconds)
	ch <- prometheus.MustNewConstMetric(slowMachines, prometheus.GaugeValue, float64(stats.SlowMachines))
	ch <- prometheus.MustNewConstMetric(reservations, prometheus.GaugeValue, float64(stats.Reservations))
	for why, rounds := range stats.MoveRoundsSkipped {
		ch <- prometheus.MustNewConstMetric(moveRoundsSkipped, prometheus.CounterValue, float64(rounds), why)
	}
	for _, o := range stats.MovesEnded {
		ch <- prometheus.MustNewConstMetric(movesEnded, prometheus.CounterValue, float64(o.Count), o.Reason.String())
	}
	for _, t := range stats.TeamLoads {
		ch <- prometheus.MustNewConstMetric(teamDemand, prometheus.GaugeValue, t.Ratio, t.Team)
		ch <- prometheus.MustNewConstMetric(teamHeat, prometheus.GaugeValue, float64(t.State), t.Team)
	}
}

// Descriptions of the metrics about links.
var (
	linkState = prometheus.NewDesc("opaldale_link_state", "Verdict on a direction of a link: 0 unknown, 1 up, 2 suspect, 3 down.",
		[]string{"peer", "direction"}, nil)
	linkDamped = prometheus.NewDesc("opaldale_link_damped", "1 while a direction counts as down for having broken too often.",
		[]string{"peer", "direction"}, nil)
	linkBreaks = prometheus.NewDesc("opaldale_link_breaks_total", "Breaks noticed of a direction of a link.",
		[]string{"peer", "direction"}, nil)
	linkAdvertisementsDropped = prometheus.NewDesc("opaldale_link_rows_dropped_total", "Rows of siblings that were not taken, by reason.",
		[]string{"reason"}, nil)
	authorityState = prometheus.NewDesc("opaldale_authority", "1 for the state of the node's authority.", []string{"state"}, nil)
	handovers      = prometheus.NewDesc("opaldale_handovers_total", "Leads that this node has given up by choice.", nil, nil)
)

// collectLinks shows what the node knows of its links.
func collectLinks(ch chan<- prometheus.Metric, report linktracker.Report) {
	ch <- prometheus.MustNewConstMetric(authorityState, prometheus.GaugeValue, 1, report.Authority)
	if !report.Enabled {
		return
	}
	boolValue := map[bool]float64{true: 1}
	for _, l := range report.Links {
		ch <- prometheus.MustNewConstMetric(linkState, prometheus.GaugeValue, float64(l.StateCode), l.Peer, l.Direction)
		ch <- prometheus.MustNewConstMetric(linkDamped, prometheus.GaugeValue, boolValue[l.Damped], l.Peer, l.Direction)
		ch <- prometheus.MustNewConstMetric(linkBreaks, prometheus.CounterValue, float64(l.Breaks), l.Peer, l.Direction)
	}
	for reason, n := range report.Dropped {
		ch <- prometheus.MustNewConstMetric(linkAdvertisementsDropped, prometheus.CounterValue, float64(n), reason)
	}
	ch <- prometheus.MustNewConstMetric(handovers, prometheus.CounterValue, float64(report.HandoverCount))
}

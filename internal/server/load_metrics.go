package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"opaldale/internal/controller"
)

// Metrics of the load of machines and teams, and of moves of running tasks.
var (
	loadImbalance     = newGauge("load_imbalance", "Coefficient of variation of the utilizations of all machines.")
	movesProposed     = newCounter("moves_proposed", "Proposed moves of running tasks, whose estimated gain exceeds their cost.")
	movesActive       = newGauge("moves_active", "Moves of running tasks in progress.")
	movesEnded        = newCounter("moves_ended", "Moves of running tasks that have ended, by reason.", "reason")
	moveRoundsSkipped = newCounter("moves_held_back", "Rounds in which no moves were planned, by reason.", "reason")
	slowMachines      = newGauge("slow_machines", "Machines that are much slower than others and get no further tasks.")
	reservations      = newGauge("reservations", "Machines with capacity reserved for a move.")
	realizedMoveGain  = newGauge("move_realised_seconds", "Seconds gained by completed moves, less their cost.")
	proposedMoveGain  = newCounter("move_gain_seconds", "Estimated seconds that the proposed moves gain, less their cost.")
	teamDemand        = newGauge("team_demand_ratio", "Demand of a team as a multiple of its entitlement.", "team")
	teamDemandState   = newGauge("team_heat", "State of a team's demand: 0 cool, 1 warming, 2 hot, 3 cooling.", "team")
)

// collectLoad sends the metrics of the load. It sends none unless the node is a leader that measures the load.
func collectLoad(ch chan<- prometheus.Metric, stats controller.Stats) {
	if stats.TeamLoads == nil {
		return
	}
	loadImbalance.send(ch, stats.Imbalance)
	movesProposed.send(ch, float64(stats.MovesProposed))
	proposedMoveGain.send(ch, stats.MoveGainSeconds)
	movesActive.send(ch, float64(stats.MovesActive))
	realizedMoveGain.send(ch, stats.MoveRealizedSeconds)
	slowMachines.send(ch, float64(stats.SlowMachines))
	reservations.send(ch, float64(stats.Reservations))
	for reason, rounds := range stats.MoveRoundsSkipped {
		moveRoundsSkipped.send(ch, float64(rounds), reason)
	}
	for _, outcome := range stats.MovesEnded {
		movesEnded.send(ch, float64(outcome.Count), outcome.Reason.String())
	}
	for _, team := range stats.TeamLoads {
		teamDemand.send(ch, team.Ratio, team.Team)
		teamDemandState.send(ch, float64(team.State), team.Team)
	}
}

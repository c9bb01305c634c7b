package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"opaldale/internal/controller"
)

// Metrics of the load, and of moves of running tasks.
var (
	loadImbalance = newGauge("load_imbalance", "Coefficient of variation of the machines' use.")
	movesProposed = newCounter("moves_proposed", "Moves of running tasks that would pay, by the estimates.")
	movesActive   = newGauge("moves_active", "Moves of running tasks under way.")
	movesEnded    = newCounter("moves_ended", "Moves of running tasks that have ended, by how.", "reason")
	roundsSkipped = newCounter("moves_held_back", "Rounds in which no plan of moves was made, by why.", "reason")
	slowMachines  = newGauge("slow_machines", "Machines that are much slower than others, on which nothing more is placed.")
	reservations  = newGauge("reservations", "Machines on which room is kept for a move.")
	moveRealised  = newGauge("move_realised_seconds", "Seconds that moves which arrived have gained, less their cost.")
	moveGain      = newCounter("move_gain_seconds", "Seconds that they would gain, less what they cost.")
	teamDemand    = newGauge("team_demand_ratio", "Demand of a team as a multiple of what it is entitled to.", "team")
	teamHeat      = newGauge("team_heat", "State of a team: 0 cool, 1 warming, 2 hot, 3 cooling.", "team")
)

// collectLoad sends the metrics of the load. Only a leader that measures the load has any.
func collectLoad(ch chan<- prometheus.Metric, stats controller.Stats) {
	if stats.TeamLoads == nil {
		return
	}
	loadImbalance.send(ch, stats.Imbalance)
	movesProposed.send(ch, float64(stats.MovesProposed))
	moveGain.send(ch, stats.MoveGainSeconds)
	movesActive.send(ch, float64(stats.MovesActive))
	moveRealised.send(ch, stats.MoveRealizedSeconds)
	slowMachines.send(ch, float64(stats.SlowMachines))
	reservations.send(ch, float64(stats.Reservations))
	for reason, rounds := range stats.MoveRoundsSkipped {
		roundsSkipped.send(ch, float64(rounds), reason)
	}
	for _, outcome := range stats.MovesEnded {
		movesEnded.send(ch, float64(outcome.Count), outcome.Reason.String())
	}
	for _, team := range stats.TeamLoads {
		teamDemand.send(ch, team.Ratio, team.Team)
		teamHeat.send(ch, float64(team.State), team.Team)
	}
}

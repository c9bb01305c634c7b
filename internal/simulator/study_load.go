package simulator

import (
	"math"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/load"
	"opaldale/internal/settings"
)

// LoadOutcome is the outcome of a run with a flood by one team.
type LoadOutcome struct {
	// Imbalance has the coefficient of variation of the machines' CPU utilization in each second of the flood, measured at
	// the workers.
	Imbalance []float64
	// FloodingTeamLatencies and OtherTeamLatencies have the time from submission to completion of each array of the flooding team
	// and of the other teams.
	FloodingTeamLatencies, OtherTeamLatencies []time.Duration
	// FetchedGB is the total size of the images pulled.
	FetchedGB float64
	// Machines is the number of machines provisioned.
	Machines int
	// Moves counts the moves proposed by the processes that run at the end.
	Moves uint64
	// OverloadedSeconds counts the seconds in which the leader classified the flooding team, and no other, as overloaded.
	OverloadedSeconds int
	// Violations counts the violated invariants, and Unfinished the work that had not ended by the end of the run.
	Violations, Unfinished int
}

const (
	floodStart     = 60 * time.Second
	floodDuration  = 90 * time.Second
	floodFleetSize = 50
	floodingTeam   = "red"
)

// floodConfig returns a configuration with fifty machines, of which three teams are guaranteed a part each.
func floodConfig(seed uint64, mode settings.Rebalance) Config {
	return Config{
		Seed:              seed,
		Rebalance:         mode,
		NoArrivals:        true,
		FleetSize:         floodFleetSize,
		Teams:             equalTeams(60, 400),
		ActiveDuration:    floodStart + floodDuration + 20*time.Second,
		QuiescentDuration: 200 * time.Second,
	}
}

// StudyFlood runs a cluster that one team floods with arrays while the other teams submit a steady load.
func StudyFlood(seed uint64, mode settings.Rebalance) LoadOutcome {
	sim := New(floodConfig(seed, mode))
	sim.submitSteadyLoad()
	sim.schedule(floodStart, func() { sim.flood(sim.now.Add(floodDuration)) })
	var out LoadOutcome
	sim.schedule(floodStart+10*time.Second, func() {
		sim.every(time.Second, func() bool {
			out.Imbalance = append(out.Imbalance, sim.imbalance())
			if sim.isOnlyOverloadedTeam(floodingTeam) {
				out.OverloadedSeconds++
			}
			return sim.now < ident.MonotonicTime(floodStart+floodDuration)
		})
	})
	sim.Run()
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if j.lastStatus != api.StatusDone || j.submittedAt < ident.MonotonicTime(floodStart) {
			continue
		}
		if latency := j.lastStatusAt.Sub(j.submittedAt); j.spec.Team == floodingTeam {
			out.FloodingTeamLatencies = append(out.FloodingTeamLatencies, latency)
		} else {
			out.OtherTeamLatencies = append(out.OtherTeamLatencies, latency)
		}
	}
	for _, n := range sim.nodes {
		if n.alive {
			out.FetchedGB += n.controller.Stats().FetchedGB
			out.Moves += n.controller.Stats().MovesProposed
		}
	}
	out.Machines, out.Violations, out.Unfinished = len(sim.cloud.machines), len(sim.Violations), len(sim.Unfinished)
	return out
}

// submitSteadyLoad makes the other teams submit small arrays throughout, and at times a task that needs most of a machine.
func (sim *Simulation) submitSteadyLoad() {
	for s := 2.0; s < (floodStart + floodDuration).Seconds(); s += 0.8 {
		sim.scheduleAt(s, func() {
			sim.submitJob(func(s *api.Spec) {
				s.Team = []string{"blue", "grey"}[sim.rng.IntN(2)]
				s.Tasks, s.VCPUs, s.Spot = 1+sim.rng.IntN(4), 1, true
				if sim.rng.IntN(5) == 0 {
					s.Tasks, s.VCPUs = 1, 6 // needs most of a machine, which small tasks fragment
				}
			}, time.Duration(8+sim.rng.IntN(15))*time.Second)
		})
	}
}

// flood makes the flooding team submit arrays in quick succession until the given time.
func (sim *Simulation) flood(until ident.MonotonicTime) {
	if sim.now > until {
		return
	}
	sim.submitJob(func(s *api.Spec) {
		s.Team, s.Tasks, s.VCPUs, s.Spot = floodingTeam, 3, float64(1+sim.rng.IntN(3)), true
	}, time.Duration(6+sim.rng.IntN(10))*time.Second)
	sim.schedule(time.Duration(150+sim.rng.IntN(200))*time.Millisecond, func() { sim.flood(until) })
}

// imbalance returns the coefficient of variation of the machines' CPU utilization, measured at the workers.
func (sim *Simulation) imbalance() float64 {
	n, sum, sumOfSquares := 0.0, 0.0, 0.0
	for _, w := range sim.sortedWorkers() {
		share := w.used().VCPUs / sim.cloud.machineTypes[0].VCPUs
		n++
		sum += share
		sumOfSquares += share * share
	}
	if n < 2 || sum == 0 {
		return 0
	}
	mean := sum / n
	return math.Sqrt(max(0, sumOfSquares/n-mean*mean)) / mean
}

// isOnlyOverloadedTeam reports whether the leader classifies the given team, and no other, as overloaded.
func (sim *Simulation) isOnlyOverloadedTeam(team string) bool {
	l := sim.leader()
	if l == nil {
		return false
	}
	overloaded := false
	for _, r := range l.controller.Stats().TeamLoads {
		switch {
		case r.State != load.Overloaded:
		case r.Team != team:
			return false
		default:
			overloaded = true
		}
	}
	return overloaded
}

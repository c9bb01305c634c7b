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
	// Imbalance is the coefficient of variation of the machines' use in each second of the flood, by the workers' own record.
	Imbalance []float64
	// HotTeamLatencies and OtherTeamLatencies are the times from the submission of an array to its end, for the flooding team
	// and for the others.
	HotTeamLatencies, OtherTeamLatencies []time.Duration
	// FetchedGB is the size of the images fetched.
	FetchedGB float64
	// Machines counts the machines provisioned.
	Machines int
	// Moves counts the moves proposed by the nodes that run at the end.
	Moves uint64
	// HotSeconds counts the seconds in which the leader took the flooding team, and no other, for overloaded.
	HotSeconds int
	// Violations counts the violated invariants, and Unfinished the work that did not end.
	Violations, Unfinished int
}

const (
	floodStart     = 60 * time.Second
	floodDuration  = 90 * time.Second
	floodFleetSize = 50
	hotTeam        = "red"
)

// floodConfig has fifty machines and three teams with a guarantee of a part of them each.
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

// StudyFlood runs a flood of the cluster with arrays by one team, while the others submit steadily.
func StudyFlood(seed uint64, mode settings.Rebalance) LoadOutcome {
	sim := New(floodConfig(seed, mode))
	sim.submitSteadyLoad()
	sim.schedule(floodStart, func() { sim.flood(sim.now.Add(floodDuration)) })
	var out LoadOutcome
	sim.schedule(floodStart+10*time.Second, func() {
		sim.every(time.Second, func() bool {
			out.Imbalance = append(out.Imbalance, sim.imbalance())
			if sim.isOnlyHotTeam(hotTeam) {
				out.HotSeconds++
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
		if latency := j.lastStatusAt.Sub(j.submittedAt); j.spec.Team == hotTeam {
			out.HotTeamLatencies = append(out.HotTeamLatencies, latency)
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

// submitSteadyLoad has the other teams submit small arrays throughout, and now and then a task that takes most of a machine.
func (sim *Simulation) submitSteadyLoad() {
	for s := 2.0; s < (floodStart + floodDuration).Seconds(); s += 0.8 {
		sim.scheduleAt(s, func() {
			sim.submitJob(func(s *api.Spec) {
				s.Team = []string{"blue", "grey"}[sim.rng.IntN(2)]
				s.Tasks, s.VCPUs, s.Spot = 1+sim.rng.IntN(4), 1, true
				if sim.rng.IntN(5) == 0 {
					s.Tasks, s.VCPUs = 1, 6 // hard to place among small tasks
				}
			}, time.Duration(8+sim.rng.IntN(15))*time.Second)
		})
	}
}

// flood has the hot team submit arrays one after the other.
func (sim *Simulation) flood(until ident.MonotonicTime) {
	if sim.now > until {
		return
	}
	sim.submitJob(func(s *api.Spec) {
		s.Team, s.Tasks, s.VCPUs, s.Spot = hotTeam, 3, float64(1+sim.rng.IntN(3)), true
	}, time.Duration(6+sim.rng.IntN(10))*time.Second)
	sim.schedule(time.Duration(150+sim.rng.IntN(200))*time.Millisecond, func() { sim.flood(until) })
}

// imbalance returns the coefficient of variation of the machines' use, by what workers run.
func (sim *Simulation) imbalance() float64 {
	n, sum, square := 0.0, 0.0, 0.0
	for _, w := range sim.sortedWorkers() {
		share := w.usedCPUs() / sim.cloud.models[0].VCPUs
		n++
		sum += share
		square += share * share
	}
	if n < 2 || sum == 0 {
		return 0
	}
	mean := sum / n
	return math.Sqrt(max(0, square/n-mean*mean)) / mean
}

// isOnlyHotTeam reports whether the leader takes a team, and no other, for overloaded.
func (sim *Simulation) isOnlyHotTeam(team string) bool {
	l := sim.leader()
	if l == nil {
		return false
	}
	hot := false
	for _, r := range l.controller.Stats().TeamLoads {
		switch {
		case r.State != load.Overloaded:
		case r.Team != team:
			return false
		default:
			hot = true
		}
	}
	return hot
}

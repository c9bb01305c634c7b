package standin

import (
	"math"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/load"
	"opaldale/internal/settings"
)

// LoadOutcome is what came of a flood by one team.
type LoadOutcome struct {
	Imbalance []float64 // of the machines' use in each second of the flood, by the workers' own record
	// HotDone and OtherDone are from the submission of an array to its end, for the hot team
	// and for the others.
	HotDone, OtherDone []time.Duration
	FetchedGB          float64
	Machines           int    // rented in all
	Moves              uint64 // that would pay, by the last leader
	HotSeconds         int    // in which the leader called the flooding team, and it alone, hot
	Broken, Undone     int
}

const (
	floodFrom  = 60 * time.Second
	floodFor   = 90 * time.Second
	floodFleet = 50
	hotTeam    = "red"
)

// floodConfig sets up fifty machines and three teams that are entitled to a part of them each.
func floodConfig(seed uint64, mode settings.Rebalance) Config {
	var teams []settings.Team
	for _, name := range []string{hotTeam, "blue", "grey"} {
		teams = append(teams, settings.Team{Name: name, CPUs: 60, CPUsMax: 400})
	}
	return Config{Seed: seed, Rebalance: mode, Quiet: true, Fleet: floodFleet, Teams: teams,
		Length: floodFrom + floodFor + 20*time.Second, Calm: 200 * time.Second}
}

// StudyFlood plays a day on which one team floods the cluster with arrays while the others
// submit steadily.
func StudyFlood(seed uint64, mode settings.Rebalance) LoadOutcome {
	w := New(floodConfig(seed, mode))
	w.steadyTeams()
	w.at(floodFrom, func() { w.flood(w.now.Add(floodFor)) })
	var out LoadOutcome
	var sample func()
	sample = func() {
		out.Imbalance = append(out.Imbalance, w.imbalance())
		if w.onlyHot(hotTeam) {
			out.HotSeconds++
		}
		if w.now < ident.MonotonicTime(floodFrom+floodFor) {
			w.at(time.Second, sample)
		}
	}
	w.at(floodFrom+10*time.Second, sample)
	w.Run()
	for _, id := range w.order {
		j := w.jobs[id]
		if j.told != "done" || j.sentAt < ident.MonotonicTime(floodFrom) {
			continue
		}
		if took := j.toldAt.Sub(j.sentAt); j.spec.Team == hotTeam {
			out.HotDone = append(out.HotDone, took)
		} else {
			out.OtherDone = append(out.OtherDone, took)
		}
	}
	for _, n := range w.nodes {
		if n.alive {
			out.FetchedGB += n.ctl.Stats().FetchedGB
			out.Moves += n.ctl.Stats().MovesProposed
		}
	}
	out.Machines, out.Broken, out.Undone = len(w.cloud.machines), len(w.Broken), len(w.Undone)
	return out
}

// steadyTeams has the other teams submit small arrays throughout, and a few services.
func (w *World) steadyTeams() {
	for s := 2.0; s < (floodFrom + floodFor).Seconds(); s += 0.8 {
		w.when(s, func() {
			w.job(func(s *api.Spec) {
				s.Team = []string{"blue", "grey"}[w.rng.IntN(2)]
				s.Tasks, s.VCPUs, s.Spot = 1+w.rng.IntN(4), 1, true
				if w.rng.IntN(5) == 0 {
					s.Tasks, s.VCPUs = 1, 6 // finds no room among small ones
				}
			}, time.Duration(8+w.rng.IntN(15))*time.Second)
		})
	}
}

// flood has the hot team submit arrays one after the other.
func (w *World) flood(until ident.MonotonicTime) {
	if w.now > until {
		return
	}
	w.job(func(s *api.Spec) {
		s.Team, s.Tasks, s.VCPUs, s.Spot = hotTeam, 3, float64(1+w.rng.IntN(3)), true
	}, time.Duration(6+w.rng.IntN(10))*time.Second)
	w.at(time.Duration(150+w.rng.IntN(200))*time.Millisecond, func() { w.flood(until) })
}

// imbalance is the coefficient of variation of the machines' use, by what workers run.
func (w *World) imbalance() float64 {
	n, sum, square := 0.0, 0.0, 0.0
	for _, k := range w.sortedWorkers() {
		share := k.taken() / w.cloud.models[0].VCPUs
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

// onlyHot says whether the leader calls a team hot, and no other.
func (w *World) onlyHot(team string) bool {
	l := w.leader()
	if l == nil {
		return false
	}
	hot := false
	for _, r := range l.ctl.Stats().TeamLoads {
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

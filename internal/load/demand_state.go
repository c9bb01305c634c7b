package load

import (
	"fmt"
	"maps"
	"slices"

	"opaldale/internal/ident"
)

// DemandState is how far a team's demand is beyond what it is entitled to.
type DemandState uint8

// The states of a team. Each lasts for a while before the next one.
const (
	Normal     DemandState = iota // within what it is entitled to, or little beyond
	Rising                        // far beyond, for not long enough yet
	Overloaded                    // far beyond
	Recovering                    // was hot, and isn't beyond any more, for not long enough yet
)

func (h DemandState) String() string {
	if int(h) < len(demandStateNames) {
		return demandStateNames[h]
	}
	return fmt.Sprintf("heat %d", uint8(h))
}

var demandStateNames = [...]string{"cool", "warming", "hot", "cooling"}

// team is one team's demand.
type team struct {
	entitled float64
	demand   Average
	state    DemandState
	since    ident.MonotonicTime
}

// DemandStateChange is a change of a team's state.
type DemandStateChange struct {
	Team     string
	From, To DemandState
	Ratio    float64 // of demand to what the team is entitled to
}

// SetDemand notes how many CPUs a team's tasks use and wait for together.
func (m *Model) SetDemand(name string, cpus float64, now ident.MonotonicTime) {
	t := m.teams[name]
	if t == nil {
		t = &team{}
		m.teams[name] = t
	}
	t.demand.Set(cpus, now, m.config.HalfLife)
}

// ratio returns a team's demand as a multiple of what it is entitled to. One that is
// entitled to nothing is measured by an equal share of all machines.
func (m *Model) ratio(t *team, now ident.MonotonicTime) float64 {
	entitled := t.entitled
	if entitled <= 0 {
		entitled = max(1, m.totalCPUs/float64(len(m.teams)))
	}
	return t.demand.Value(now, m.config.HalfLife) / entitled
}

// Evaluate brings the teams' states up to date and returns those that have changed.
func (m *Model) Evaluate(now ident.MonotonicTime) []DemandStateChange {
	var changes []DemandStateChange
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		ratio := m.ratio(t, now)
		before := t.state
		m.updateState(t, ratio, now)
		if t.state != before {
			changes = append(changes, DemandStateChange{Team: name, From: before, To: t.state, Ratio: ratio})
		}
	}
	return changes
}

// updateState takes a team from one state to the next.
func (m *Model) updateState(t *team, ratio float64, now ident.MonotonicTime) {
	lasted := now.Sub(t.since) >= m.config.MinDuration
	switch t.state {
	case Normal:
		if ratio >= m.config.OverloadAt {
			m.transition(t, Rising, now)
		}
	case Rising:
		switch {
		case ratio < m.config.OverloadAt:
			m.transition(t, Normal, now)
		case lasted:
			m.transition(t, Overloaded, now)
		}
	case Overloaded:
		if ratio < m.config.RecoverAt {
			m.transition(t, Recovering, now)
		}
	case Recovering:
		switch {
		case ratio >= m.config.RecoverAt:
			m.transition(t, Overloaded, now)
		case lasted:
			m.transition(t, Normal, now)
		}
	}
}

// transition is the one place where a team's state changes.
func (m *Model) transition(t *team, state DemandState, now ident.MonotonicTime) {
	if t.overloaded() {
		m.overloadedTeams--
	}
	t.state, t.since = state, now
	if t.overloaded() {
		m.overloadedTeams++
	}
}

// overloaded says whether the team counts as hot: one that cools does until it has cooled.
func (t *team) overloaded() bool { return t.state == Overloaded || t.state == Recovering }

// AnyOverloaded says whether any team is hot.
func (m *Model) AnyOverloaded() bool { return m.overloadedTeams > 0 }

// IsOverloaded says whether a team is.
func (m *Model) IsOverloaded(name string) bool {
	t := m.teams[name]
	return t != nil && t.overloaded()
}

// TeamDemand is what is known of a team.
type TeamDemand struct {
	Team  string
	State DemandState
	Ratio float64
}

// Teams reports on all teams, in the order of their names.
func (m *Model) Teams(now ident.MonotonicTime) []TeamDemand {
	var out []TeamDemand
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		out = append(out, TeamDemand{Team: name, State: t.state, Ratio: m.ratio(t, now)})
	}
	return out
}

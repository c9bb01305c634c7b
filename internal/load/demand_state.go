package load

import (
	"maps"
	"slices"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
)

// DemandState is the state of a team's demand in relation to what the team is entitled to.
type DemandState uint8

// The states of a team's demand. Rising and Recovering last for Config.MinDuration before the next
// state, so that short changes of the demand have no effect.
const (
	Normal     DemandState = iota // below Config.OverloadAt
	Rising                        // at or above Config.OverloadAt, for less than Config.MinDuration
	Overloaded                    // was at or above Config.OverloadAt for Config.MinDuration
	Recovering                    // was overloaded, and is below Config.RecoverAt for less than Config.MinDuration
)

// demandStateNames are part of the metrics and logs, and must not change.
var demandStateNames = [...]string{
	Normal:     "cool",
	Rising:     "warming",
	Overloaded: "hot",
	Recovering: "cooling",
}

// String returns the name of a state for metrics and logs.
func (s DemandState) String() string { return enum.Name(demandStateNames[:], s, "heat") }

// team is the demand of one team.
type team struct {
	entitled float64 // CPUs
	demand   Average // CPUs
	state    DemandState
	since    ident.MonotonicTime // when the team entered its state
}

// DemandStateChange is a change of the state of a team's demand.
type DemandStateChange struct {
	Team     string
	From, To DemandState
	Ratio    float64 // of demand to what the team is entitled to
}

// SetDemand sets the CPUs that a team's running and waiting tasks need together.
func (m *Model) SetDemand(name string, cpus float64, now ident.MonotonicTime) {
	t := m.teams[name]
	if t == nil {
		t = &team{}
		m.teams[name] = t
	}
	t.demand.Set(cpus, now, m.config.HalfLife)
}

// ratio returns a team's demand as a multiple of what it is entitled to. A team without an
// entitlement counts as entitled to an equal share of all machines.
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

// updateState takes a team to its next state, if the ratio and the time in its state require that.
func (m *Model) updateState(t *team, ratio float64, now ident.MonotonicTime) {
	minDurationOver := now.Sub(t.since) >= m.config.MinDuration
	switch t.state {
	case Normal:
		if ratio >= m.config.OverloadAt {
			m.transition(t, Rising, now)
		}
	case Rising:
		switch {
		case ratio < m.config.OverloadAt:
			m.transition(t, Normal, now)
		case minDurationOver:
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
		case minDurationOver:
			m.transition(t, Normal, now)
		}
	}
}

// transition changes the state of a team. All changes of state go through it.
func (m *Model) transition(t *team, state DemandState, now ident.MonotonicTime) {
	if t.overloaded() {
		m.overloadedTeams--
	}
	t.state, t.since = state, now
	if t.overloaded() {
		m.overloadedTeams++
	}
}

// overloaded reports whether the team counts as overloaded. A recovering team does until it is back
// to normal.
func (t *team) overloaded() bool { return t.state == Overloaded || t.state == Recovering }

// AnyOverloaded reports whether any team counts as overloaded.
func (m *Model) AnyOverloaded() bool { return m.overloadedTeams > 0 }

// IsOverloaded reports whether a team counts as overloaded.
func (m *Model) IsOverloaded(name string) bool {
	t := m.teams[name]
	return t != nil && t.overloaded()
}

// TeamDemand is the demand of a team at one time.
type TeamDemand struct {
	Team  string
	State DemandState
	Ratio float64 // of demand to what the team is entitled to
}

// Teams returns the demand of all teams, in the order of their names.
func (m *Model) Teams(now ident.MonotonicTime) []TeamDemand {
	var out []TeamDemand
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		out = append(out, TeamDemand{Team: name, State: t.state, Ratio: m.ratio(t, now)})
	}
	return out
}

package load

import (
	"maps"
	"slices"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
)

// DemandState is the state of a team's demand relative to its entitled CPUs, see Model.ratio.
type DemandState uint8

// The states of a team's demand. A team must be in Rising for Config.MinDuration before it becomes
// Overloaded, and in Recovering for as long before it becomes Normal again, so that short changes of the
// demand have no effect.
const (
	Normal     DemandState = iota // the demand is below Config.OverloadAt
	Rising                        // the demand is at or above Config.OverloadAt, for less than Config.MinDuration
	Overloaded                    // the demand was at or above OverloadAt for MinDuration, and is not below RecoverAt
	Recovering                    // overloaded before; the demand is below Config.RecoverAt, for less than Config.MinDuration
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
	guaranteedCPUs float64
	demand         Average // CPUs
	state          DemandState
	since          ident.MonotonicTime // when the team entered its state
}

// DemandStateChange is a change of the state of a team's demand.
type DemandStateChange struct {
	Team     string
	From, To DemandState
	Ratio    float64 // demand divided by the entitled CPUs, see Model.ratio
}

// SetDemand sets the total number of CPUs that a team's running and waiting tasks request.
func (m *Model) SetDemand(name string, cpus float64, now ident.MonotonicTime) {
	t := m.teams[name]
	if t == nil {
		t = &team{}
		m.teams[name] = t
	}
	t.demand.Set(cpus, now, m.config.HalfLife)
}

// ratio returns a team's demand as a multiple of its entitled CPUs: the guaranteed CPUs or, for a team
// without a guarantee, an equal share of the CPUs of all machines.
func (m *Model) ratio(t *team, now ident.MonotonicTime) float64 {
	entitledCPUs := t.guaranteedCPUs
	if entitledCPUs <= 0 {
		entitledCPUs = max(1, m.totalCPUs/float64(len(m.teams)))
	}
	return t.demand.Value(now, m.config.HalfLife) / entitledCPUs
}

// Evaluate updates the states of all teams and returns the changes, ordered by team.
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

// updateState moves a team to its next state if its ratio and its time in the current state require it.
func (m *Model) updateState(t *team, ratio float64, now ident.MonotonicTime) {
	minDurationElapsed := now.Sub(t.since) >= m.config.MinDuration
	switch t.state {
	case Normal:
		if ratio >= m.config.OverloadAt {
			m.transition(t, Rising, now)
		}
	case Rising:
		switch {
		case ratio < m.config.OverloadAt:
			m.transition(t, Normal, now)
		case minDurationElapsed:
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
		case minDurationElapsed:
			m.transition(t, Normal, now)
		}
	}
}

// transition changes the state of a team. No other function changes it.
func (m *Model) transition(t *team, state DemandState, now ident.MonotonicTime) {
	if t.overloaded() {
		m.overloadedTeams--
	}
	t.state, t.since = state, now
	if t.overloaded() {
		m.overloadedTeams++
	}
}

// overloaded reports whether the team counts as overloaded. A recovering team still does.
func (t *team) overloaded() bool { return t.state == Overloaded || t.state == Recovering }

// AnyOverloaded reports whether any team counts as overloaded.
func (m *Model) AnyOverloaded() bool { return m.overloadedTeams > 0 }

// IsOverloaded reports whether a team counts as overloaded.
func (m *Model) IsOverloaded(name string) bool {
	t := m.teams[name]
	return t != nil && t.overloaded()
}

// TeamDemand is the demand of a team at a point in time.
type TeamDemand struct {
	Team  string
	State DemandState
	Ratio float64 // demand divided by the entitled CPUs, see Model.ratio
}

// Teams returns the demand of all teams, ordered by name.
func (m *Model) Teams(now ident.MonotonicTime) []TeamDemand {
	var out []TeamDemand
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		out = append(out, TeamDemand{Team: name, State: t.state, Ratio: m.ratio(t, now)})
	}
	return out
}

package load

import (
	"fmt"
	"maps"
	"slices"

	"opaldale/internal/ident"
)

// Heat is how far a team's demand is beyond what it is entitled to.
type Heat uint8

// The states of a team. Each lasts for a while before the next one.
const (
	Cool    Heat = iota // within what it is entitled to, or little beyond
	Warming             // far beyond, for not long enough yet
	Hot                 // far beyond
	Cooling             // was hot, and isn't beyond any more, for not long enough yet
)

func (h Heat) String() string {
	if int(h) < len(heatNames) {
		return heatNames[h]
	}
	return fmt.Sprintf("heat %d", uint8(h))
}

var heatNames = [...]string{"cool", "warming", "hot", "cooling"}

// team is one team's demand.
type team struct {
	entitled float64
	demand   Average
	heat     Heat
	since    ident.MonotonicTime
}

// HeatChange is a change of a team's state.
type HeatChange struct {
	Team     string
	From, To Heat
	Ratio    float64 // of demand to what the team is entitled to
}

// Demand notes how many CPUs a team's tasks use and wait for together.
func (m *Model) Demand(name string, cpus float64, now ident.MonotonicTime) {
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
		entitled = max(1, m.cpus/float64(len(m.teams)))
	}
	return t.demand.Value(now, m.config.HalfLife) / entitled
}

// Evaluate brings the teams' states up to date and returns those that have changed.
func (m *Model) Evaluate(now ident.MonotonicTime) []HeatChange {
	var changes []HeatChange
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		ratio := m.ratio(t, now)
		before := t.heat
		m.judge(t, ratio, now)
		if t.heat != before {
			changes = append(changes, HeatChange{Team: name, From: before, To: t.heat, Ratio: ratio})
		}
	}
	return changes
}

// judge takes a team from one state to the next.
func (m *Model) judge(t *team, ratio float64, now ident.MonotonicTime) {
	settled := now.Sub(t.since) >= m.config.Persist
	switch t.heat {
	case Cool:
		if ratio >= m.config.HotAt {
			m.to(t, Warming, now)
		}
	case Warming:
		switch {
		case ratio < m.config.HotAt:
			m.to(t, Cool, now)
		case settled:
			m.to(t, Hot, now)
		}
	case Hot:
		if ratio < m.config.CoolAt {
			m.to(t, Cooling, now)
		}
	case Cooling:
		switch {
		case ratio >= m.config.CoolAt:
			m.to(t, Hot, now)
		case settled:
			m.to(t, Cool, now)
		}
	}
}

// to is the one place where a team's state changes.
func (m *Model) to(t *team, h Heat, now ident.MonotonicTime) {
	if t.hot() {
		m.hot--
	}
	t.heat, t.since = h, now
	if t.hot() {
		m.hot++
	}
}

// hot says whether the team counts as hot: one that cools does until it has cooled.
func (t *team) hot() bool { return t.heat == Hot || t.heat == Cooling }

// AnyHot says whether any team is hot.
func (m *Model) AnyHot() bool { return m.hot > 0 }

// Hot says whether a team is.
func (m *Model) Hot(name string) bool {
	t := m.teams[name]
	return t != nil && t.hot()
}

// TeamReport is what is known of a team.
type TeamReport struct {
	Team  string
	Heat  Heat
	Ratio float64
}

// Teams reports on all teams, in the order of their names.
func (m *Model) Teams(now ident.MonotonicTime) []TeamReport {
	var out []TeamReport
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[name]
		out = append(out, TeamReport{Team: name, Heat: t.heat, Ratio: m.ratio(t, now)})
	}
	return out
}

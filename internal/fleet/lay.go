package fleet

import (
	"maps"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// laying is the search of room for the tasks of one job that wait.
type laying struct {
	layout *layout
	job    *jobs.Job
	left   int      // tasks without room
	late   *float64 // CPUs for which ordinary machines may be rented in place of spot ones
	open   func(*api.Spec, ask) *bin
	now    ident.MonotonicTime

	ask   ask
	zones map[string]int // tasks in each
	limit int            // of them in one zone
}

// lay finds room for a job's tasks, and opens machines for what finds none.
func (m *Manager) lay(x *laying) {
	s := x.job.Spec
	x.limit = s.Tasks
	if s.Spread {
		x.limit = (s.Tasks + 1) / 2
	}
	x.zones = maps.Clone(x.job.AllocatedByZone)
	if x.zones == nil {
		x.zones = map[string]int{}
	}
	x.ask = ask{zone: x.layout.oneZone(s, x.zones)}
	m.layOver(x)
	for x.left > 0 {
		b := m.openFor(x)
		if b == nil {
			return
		}
		before := x.left
		if m.put(x, b); x.left == before {
			return
		}
	}
}

// put takes room in a bin for as many tasks as may be there.
func (m *Manager) put(x *laying, b *bin) {
	s := x.job.Spec
	if !b.allows(s) || x.ask.zone != "" && x.ask.zone != b.pool.site {
		return
	}
	k := x.left
	if s.Spread {
		k = min(k, x.limit-x.zones[b.pool.site])
	}
	if k <= 0 {
		return
	}
	k, back := x.layout.put(b, s, k)
	for _, w := range back {
		w.Cordoned = false
		m.machine.NotifyCapacityChanged()
	}
	x.zones[b.pool.site] += k
	x.left -= k
}

// layOver takes room in what there is and is coming.
func (m *Manager) layOver(x *laying) {
	bins := &x.layout.bins
	for c := range bins {
		kept := bins[c][:0]
		for i := 0; i < len(bins[c]); i++ { // what is left of a bin is added behind it
			b := bins[c][i]
			if x.left > 0 {
				m.put(x, b)
			}
			if b.n > 0 {
				kept = append(kept, b)
			}
		}
		bins[c] = kept
	}
}

// openFor opens one machine more for a job, nil if none is to be had.
func (m *Manager) openFor(x *laying) *bin {
	s := x.job.Spec
	if s.Spread {
		x.ask.full = x.fullZones()
	}
	dear := s.Spot && x.now.Sub(x.job.SubmittedAt) < patience*m.slowest()
	// An ordinary machine costs several times as much, and spot ones that are
	// refused now are mostly to be had a little later.
	// For work of guests no ordinary machine is rented at all: it is for what is to spare.
	// (They doubled the ordinary fleet, and the price.)
	x.ask.spot = dear && *x.late <= 0 || s.Spot && m.teams.Guest(s.Team)
	b := x.open(s, x.ask)
	if b == nil && x.job.IsGang() && s.OneZone && x.job.AllocatedTasks == 0 && x.ask.zone != "" {
		// Nothing is to be had there: perhaps it is elsewhere, for all of them.
		x.ask.zone, x.left = "", s.Tasks
		b = x.open(s, x.ask)
	}
	if b == nil {
		return nil
	}
	if s.OneZone {
		// Where the first machine is, the others have to be. (Without room anywhere
		// they were opened in both zones in turn.)
		x.ask.zone = b.pool.site
	}
	if dear && !b.pool.standby {
		*x.late -= b.v
	}
	return b
}

// fullZones lists the zones that have as many of a job's tasks as they may.
func (x *laying) fullZones() []string {
	var full []string
	for z, k := range x.zones {
		if k >= x.limit {
			full = append(full, z)
		}
	}
	return full
}

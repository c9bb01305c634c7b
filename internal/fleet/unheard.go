package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// unheardZone is a zone whose machines are all silent to every node. They may be gone, or
// alive behind a broken link, which nobody can tell apart. Were they returned, as single
// silent machines are, a broken link would cost the whole zone, and the machines rented in
// their place would be silent as well, and so on for as long as the link is broken.
type unheardZone struct {
	since    ident.MonotonicTime
	machines int
	returned int                 // given up in this period
	period   ident.MonotonicTime // its begin
}

const (
	// minUnheard is how many machines a zone must have to be judged as a whole.
	minUnheard = 3
	// scouts is how many machines are rented in such a zone, to see whether new ones are
	// heard.
	scouts = 2
	// returnedPart is the part of such a zone that is given up within a lease.
	returnedPart = 50
)

// zonesUnheard finds the zones that are silent as a whole. One stays so until a machine of it
// is heard, though all that it had may be given up by then.
func (m *Manager) zonesUnheard(zones map[string]*zoneHearing, now ident.MonotonicTime) {
	if m.cfg.Unheard == nil {
		return
	}
	for name, z := range zones {
		silent := z.up >= minUnheard && now.Sub(z.newest) > m.missed && m.cfg.Unheard(name)
		switch known := m.unheard[name]; {
		case silent && known == nil:
			slog.Info("no node hears the machines of a zone", "zone", name, "machines", z.up)
			m.unheard[name] = &unheardZone{since: now, machines: z.up, period: now}
		case known != nil && now.Sub(z.newest) < m.missed:
			slog.Info("machines of a zone are heard again", "zone", name)
			delete(m.unheard, name)
		}
	}
}

// blind says whether the silence of a zone's machines is this node's own fault.
func (m *Manager) blind(zone string) bool { return m.cfg.Blind != nil && m.cfg.Blind(zone) }

// mayGiveUp says whether a machine may be returned for its silence. Those of a zone that is
// silent as a whole are given up a few at a time; nothing is placed on the others until they
// are heard.
func (m *Manager) mayGiveUp(w *workers.Worker, now ident.MonotonicTime) bool {
	z := m.unheard[w.Zone]
	if z == nil {
		return true
	}
	w.QuarantinedUntil = max(w.QuarantinedUntil, now.Add(time.Second))
	if now.Sub(z.period) >= settings.Seconds(m.cfg.Workers.LeaseS) {
		z.period, z.returned = now, 0
	}
	if z.returned >= max(1, z.machines/returnedPart) {
		return false
	}
	z.returned++
	return true
}

// scoutsLeft returns how many more machines may be rented in a zone that is silent as a
// whole.
func (m *Manager) scoutsLeft(zone string) int {
	n := 0
	for p, market := range m.markets {
		if p.site == zone {
			n += market.pending
		}
	}
	since := m.unheard[zone].since
	for _, w := range m.machine.Sorted() {
		coming := w.State == workers.Booting || w.State == workers.Up || w.State == workers.Unreachable
		if w.Zone == zone && coming && w.CreatedAt > since {
			n++
		}
	}
	return max(0, scouts-n)
}

// scouted says whether no more machines may be rented in a zone for the present.
func (m *Manager) scouted(zone string) bool {
	return m.unheard[zone] != nil && m.scoutsLeft(zone) == 0
}

// mayRent bounds how many machines are asked for in a pool.
func (m *Manager) mayRent(p pool, n int) int {
	if m.unheard[p.site] == nil {
		return n
	}
	return min(n, m.scoutsLeft(p.site))
}

package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// unreachableZone is a zone whose machines are all silent to every node. They may be gone, or
// alive behind a broken link, which nobody can tell apart. Were they returned, as single
// silent machines are, a broken link would cost the whole zone, and the machines rented in
// their place would be silent as well, and so on for as long as the link is broken.
type unreachableZone struct {
	since       ident.MonotonicTime
	machines    int
	terminated  int                 // given up in this period
	periodStart ident.MonotonicTime // its begin
}

const (
	// minZoneMachines is how many machines a zone must have to be judged as a whole.
	minZoneMachines = 3
	// canaries is how many machines are rented in such a zone, to see whether new ones are
	// heard.
	canaries = 2
	// terminateDivisor is the part of such a zone that is given up within a lease.
	terminateDivisor = 50
)

// detectUnreachableZones finds the zones that are silent as a whole. One stays so until a machine of it
// is heard, though all that it had may be given up by then.
func (m *Manager) detectUnreachableZones(zones map[string]*zoneContact, now ident.MonotonicTime) {
	if m.cfg.ZoneUnreachable == nil {
		return
	}
	for name, z := range zones {
		silent := z.expected >= minZoneMachines && now.Sub(z.lastHeard) > m.heartbeatOverdue && m.cfg.ZoneUnreachable(name)
		switch known := m.unreachableZones[name]; {
		case silent && known == nil:
			slog.Info("no node hears the machines of a zone", "zone", name, "machines", z.expected)
			m.unreachableZones[name] = &unreachableZone{since: now, machines: z.expected, periodStart: now}
		case known != nil && now.Sub(z.lastHeard) < m.heartbeatOverdue:
			slog.Info("machines of a zone are heard again", "zone", name)
			delete(m.unreachableZones, name)
		}
	}
}

// locallyUnreachable says whether the silence of a zone's machines is this node's own fault.
func (m *Manager) locallyUnreachable(zone string) bool {
	return m.cfg.LocallyUnreachable != nil && m.cfg.LocallyUnreachable(zone)
}

// mayTerminateSilent says whether a machine may be returned for its silence. Those of a zone that is
// silent as a whole are given up a few at a time; nothing is placed on the others until they
// are heard.
func (m *Manager) mayTerminateSilent(w *workers.Worker, now ident.MonotonicTime) bool {
	z := m.unreachableZones[w.Zone]
	if z == nil {
		return true
	}
	w.QuarantinedUntil = max(w.QuarantinedUntil, now.Add(time.Second))
	if now.Sub(z.periodStart) >= settings.Seconds(m.cfg.Workers.LeaseS) {
		z.periodStart, z.terminated = now, 0
	}
	if z.terminated >= max(1, z.machines/terminateDivisor) {
		return false
	}
	z.terminated++
	return true
}

// canariesLeft returns how many more machines may be rented in a zone that is silent as a
// whole.
func (m *Manager) canariesLeft(zone string) int {
	n := 0
	for p, state := range m.pools {
		if p.zone == zone {
			n += state.pending
		}
	}
	since := m.unreachableZones[zone].since
	for _, w := range m.machines.Sorted() {
		coming := w.State == workers.Booting || w.State == workers.Up || w.State == workers.Unreachable
		if w.Zone == zone && coming && w.CreatedAt > since {
			n++
		}
	}
	return max(0, canaries-n)
}

// canariesExhausted says whether no more machines may be rented in a zone for the present.
func (m *Manager) canariesExhausted(zone string) bool {
	return m.unreachableZones[zone] != nil && m.canariesLeft(zone) == 0
}

// provisionLimit bounds how many machines are asked for in a pool.
func (m *Manager) provisionLimit(p pool, n int) int {
	if m.unreachableZones[p.zone] == nil {
		return n
	}
	return min(n, m.canariesLeft(p.zone))
}

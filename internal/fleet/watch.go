package fleet

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// stall is a gap between two ticks by which a node is known to have been slow.
const stall = 2 * time.Second

const (
	// maxProbes bounds the probes of a tick before machines are late: with a thousand
	// machines, each would be asked between any two of its reports.
	maxProbes = 10
	// minUrgent bounds those of machines that are late, and of all others while some
	// of them may have gone together with one that was; in a large fleet the bound is a
	// part of it, so that a zone is asked within the same time whatever its size.
	minUrgent  = 60
	urgentPart = 25
	// alarmTime is how long one late machine that doesn't answer has all others asked
	// that were not heard since. Whole racks go at once, and report times are spread
	// over many seconds.
	alarmTime = 8 * time.Second
	// surelySilent is how long a machine with replicas must be quiet, beside two
	// commands without an answer.
	surelySilent = 3500 * time.Millisecond
	// mute is how many machines with replicas that don't answer have all others asked,
	// though none of them is late: a new leader asks machines before their reports are
	// due. (It took 8 s for them to be late, and 13 s until a cut rack was fenced.)
	mute = 3
)

// probe asks up to so many machines for their state, and returns how many.
func (m *Manager) probe(list []*workers.Worker, most int) int {
	n := 0
	for _, w := range list {
		if n >= most {
			break
		}
		if m.machine.Probe(w) {
			n++
		}
	}
	return n
}

const (
	// zoneQuiet is how long nothing must come from a whole zone for it to be thought
	// cut off, or longer where so few machines are that their reports leave gaps.
	zoneQuiet = 2 * time.Second
	// zoneReports is how many reports of the zone are missed then, at the least.
	zoneReports = 4
	// zoneLeases is after how many leases machines of such a zone are given up.
	zoneLeases = 5
)

// zoneHearing is what is heard of a zone's machines.
type zoneHearing struct {
	up     int // machines that should be heard
	newest ident.MonotonicTime
}

// hearZones returns what is heard of each zone that has machines.
func (m *Manager) hearZones() map[string]*zoneHearing {
	zones := map[string]*zoneHearing{}
	for _, w := range m.machine.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		z := zones[w.Zone]
		if z == nil {
			z = &zoneHearing{newest: m.stalled}
			zones[w.Zone] = z
		}
		z.up++
		z.newest = max(z.newest, w.LastContact())
	}
	return zones
}

// zonesCut finds the zones from which nothing is heard, neither machines nor
// siblings: they are cut off rather than dead, and work inside goes on for as long
// as its leases do. (Half a fleet was fenced for its zone's cut, with replicas that
// were not allowed anywhere else.) Nothing is placed there meanwhile.
func (m *Manager) zonesCut(zones map[string]*zoneHearing, now ident.MonotonicTime) {
	was := m.cut
	m.cut = map[string]bool{}
	for site, z := range zones {
		quiet := max(zoneQuiet, settings.Seconds(zoneReports*m.cfg.Workers.HeartbeatS/float64(z.up)))
		if z.up > 2 && now.Sub(z.newest) > quiet && m.cfg.Stranded(site) {
			m.cut[site] = true
			if !was[site] {
				slog.Info("nothing is heard from a zone", "zone", site, "machines", z.up)
			}
		} else if was[site] {
			// Its machines come one after the other, as their calls into the cut end.
			slog.Info("a zone is heard again", "zone", site)
			m.back[site] = now
		}
	}
}

// strand keeps work off a machine of a zone that is cut off, and takes what was on it
// for gone once its lease is surely over.
func (m *Manager) strand(w *workers.Worker, now ident.MonotonicTime) {
	w.QuarantinedUntil = max(w.QuarantinedUntil, now.Add(time.Second))
	if !m.machine.LeaseExpired(w) {
		return
	}
	m.machine.ExpireLease(w)
	if m.machine.TimeSinceContact(w) > zoneLeases*settings.Seconds(m.cfg.Workers.LeaseS) {
		m.Return(w, "zone is cut off")
	}
}

// sweep is what one look at all machines finds.
type sweep struct {
	up     int               // machines that should be heard
	mutes  int               // machines with replicas that don't answer
	urgent []*workers.Worker // to be asked first
	early  []*workers.Worker // to be asked if there is time
	silent []*workers.Worker // to be fenced
}

// watch finds machines that are silent, doomed, faulty or never came up.
func (m *Manager) watch() {
	now := m.port.Now()
	// After a stall of our own, reports wait to be read: nobody is silent yet.
	if now.Sub(m.ticked) > stall {
		m.stalled = now
	}
	m.ticked = now
	zones := m.hearZones()
	m.zonesCut(zones, now)
	m.zonesUnheard(zones, now)
	s := &sweep{}
	for _, w := range m.machine.Sorted() {
		m.inspect(w, now, s)
	}
	if s.mutes >= mute && now.Sub(m.alarm) > alarmTime {
		slog.Info("machines with replicas don't answer", "mutes", s.mutes)
		m.alarm = now
	}
	n := m.probe(s.urgent, max(minUrgent, s.up/urgentPart))
	m.probe(s.early, maxProbes-n)
	m.fence(s, now)
}

// inspect looks at one machine.
func (m *Manager) inspect(w *workers.Worker, now ident.MonotonicTime, s *sweep) {
	switch w.State {
	case workers.Booting:
		startup := m.startup(w)
		if now.Sub(w.CreatedAt) > time.Duration(m.cfg.Tuning.BootTimeoutFactor*float64(startup)) && now.Sub(w.StateSince) > startup {
			m.Return(w, "never came up")
		}
	case workers.Up, workers.Unreachable:
		if m.cut[w.Zone] {
			m.strand(w, now)
			return
		}
		m.inspectUp(w, now, s)
	case workers.Terminating:
		// The cloud may be down; the lease ends all the same.
		if len(w.Tasks) > 0 && m.machine.LeaseExpired(w) {
			m.machine.ExpireLease(w)
		}
	case workers.Terminated:
		if now.Sub(w.StateSince) > time.Minute+2*settings.Seconds(m.cfg.Cloud.ListLagS) && !w.Persisted {
			m.machine.Remove(w)
		}
	}
}

// inspectUp looks at a machine that should be heard.
func (m *Manager) inspectUp(w *workers.Worker, now ident.MonotonicTime, s *sweep) {
	s.up++
	quiet := min(m.machine.TimeSinceContact(w), now.Sub(max(m.stalled, m.back[w.Zone])))
	limit := m.silent
	if w.ServiceVCPUs > 0 {
		// Users miss replicas at once: don't wait for reports to fail.
		limit = min(m.silent/2, surelySilent)
		m.inspectReplicas(w, quiet, limit, now, s)
	}
	if quiet > m.silent*2/3 {
		m.machine.MarkUnreachable(w)
		m.machine.Probe(w)
	}
	deaf := w.CannotReceiveFor()
	if deaf > m.silent/2 {
		s.urgent = append(s.urgent, w)
	}
	switch {
	case w.ReclaimAt > 0 && now > w.ReclaimAt && quiet > m.silent/2:
		m.Return(w, "taken")
	case quiet > limit && w.MissedResponses() > 1 || quiet > m.silent && w.MissedResponses() > 0,
		deaf > m.silent && w.MissedResponses() > 1:
		s.silent = append(s.silent, w)
	case w.Faulty():
		m.Return(w, "faulty")
	case w.Slow && len(w.Tasks) == 0:
		m.Return(w, "slow")
	case w.ReclaimAt > 0:
		m.cfg.Drain(w)
	}
	if m.machine.LeaseExpired(w) {
		m.machine.ExpireLease(w)
		if m.mayGiveUp(w, now) {
			m.Return(w, "lease over")
		}
	}
}

// inspectReplicas has a machine with replicas asked when it is late.
func (m *Manager) inspectReplicas(w *workers.Worker, quiet, limit time.Duration, now ident.MonotonicTime, s *sweep) {
	if w.MissedResponses() > 0 {
		s.mutes++
		if quiet > m.missed {
			s.mutes += mute // one that is late as well is enough
		}
	}
	switch {
	case quiet > m.missed:
		s.urgent = append(s.urgent, w)
	case now.Sub(m.alarm) < alarmTime && w.LastContact() < m.alarm:
		s.urgent = append(s.urgent, w)
	case quiet > limit/2:
		s.early = append(s.early, w)
	}
}

// fence returns the machines that are silent, unless that is rather our own fault.
//
// Most machines silent at once: rather we are cut off than they. But if a sibling is heard,
// they could reach us through it, and have not in twice the time: then they are gone. (Two
// leaders that each resigned over machines long taken kept a cluster without one for good.)
// Those fenced a moment ago count as well: machines that fall silent together are noticed
// one by one.
func (m *Manager) fence(s *sweep, now ident.MonotonicTime) {
	m.fences = slices.DeleteFunc(m.fences, func(at ident.MonotonicTime) bool { return now.Sub(at) > 2*m.silent })
	n := len(s.silent) + len(m.fences)
	mass := n > 1 && 2*n > s.up+len(m.fences) || len(s.silent) > 0 && !m.cfg.Direct()
	if mass && !m.cfg.Reached() {
		return
	}
	for _, w := range s.silent {
		if mass && min(m.machine.TimeSinceContact(w), now.Sub(m.stalled)) < 2*m.silent {
			continue
		}
		if m.blind(w.Zone) || !m.mayGiveUp(w, now) {
			continue
		}
		m.Fenced++
		m.fences = append(m.fences, now)
		m.Return(w, "silent")
	}
}

func (m *Manager) startup(w *workers.Worker) time.Duration {
	if w.Type == nil || w.Type.StartupS <= 0 {
		return 30 * time.Second
	}
	return settings.Seconds(w.Type.StartupS)
}

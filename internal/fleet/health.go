package fleet

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// stallThreshold is a gap between two ticks by which a node is known to have been slow.
const stallThreshold = 2 * time.Second

const (
	// maxRoutineProbes bounds the probes of a tick before machines are late: with a thousand
	// machines, each would be asked between any two of its reports.
	maxRoutineProbes = 10
	// minUrgentProbes bounds those of machines that are late, and of all others while some
	// of them may have gone together with one that was; in a large fleet the bound is a
	// part of it, so that a zone is asked within the same time whatever its size.
	minUrgentProbes    = 60
	urgentProbeDivisor = 25
	// massProbeDuration is how long one late machine that doesn't answer has all others asked
	// that were not heard since. Whole racks go at once, and report times are spread
	// over many seconds.
	massProbeDuration = 8 * time.Second
	// replicaSilenceLimit is how long a machine with replicas must be quiet, beside two
	// commands without an answer.
	replicaSilenceLimit = 3500 * time.Millisecond
	// massProbeThreshold is how many machines with replicas that don't answer have all others asked,
	// though none of them is late: a new leader asks machines before their reports are
	// due. (It took 8 s for them to be late, and 13 s until a cut rack was fenced.)
	massProbeThreshold = 3
)

// probeUpTo asks up to so many machines for their state, and returns how many.
func (m *Manager) probeUpTo(list []*workers.Worker, limit int) int {
	n := 0
	for _, w := range list {
		if n >= limit {
			break
		}
		if m.machines.Probe(w) {
			n++
		}
	}
	return n
}

const (
	// zoneSilenceThreshold is how long nothing must come from a whole zone for it to be thought
	// cut off, or longer where so few machines are that their reports leave gaps.
	zoneSilenceThreshold = 2 * time.Second
	// zoneMissedHeartbeats is how many reports of the zone are missed then, at the least.
	zoneMissedHeartbeats = 4
	// partitionLeases is after how many leases machines of such a zone are given up.
	partitionLeases = 5
)

// zoneContact is what is heard of a zone's machines.
type zoneContact struct {
	expected  int // machines that should be heard
	lastHeard ident.MonotonicTime
}

// zoneContacts returns what is heard of each zone that has machines.
func (m *Manager) zoneContacts() map[string]*zoneContact {
	zones := map[string]*zoneContact{}
	for _, w := range m.machines.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		z := zones[w.Zone]
		if z == nil {
			z = &zoneContact{lastHeard: m.lastStall}
			zones[w.Zone] = z
		}
		z.expected++
		z.lastHeard = max(z.lastHeard, w.LastContact())
	}
	return zones
}

// detectPartitionedZones finds the zones from which nothing is heard, neither machines nor
// siblings: they are cut off rather than dead, and work inside goes on for as long
// as its leases do. (Half a fleet was fenced for its zone's cut, with replicas that
// were not allowed anywhere else.) Nothing is placed there meanwhile.
func (m *Manager) detectPartitionedZones(zones map[string]*zoneContact, now ident.MonotonicTime) {
	previous := m.partitionedZones
	m.partitionedZones = map[string]bool{}
	for zone, z := range zones {
		threshold := max(zoneSilenceThreshold, settings.Seconds(zoneMissedHeartbeats*m.cfg.Workers.HeartbeatS/float64(z.expected)))
		if z.expected > 2 && now.Sub(z.lastHeard) > threshold && m.cfg.ZonePeersSilent(zone) {
			m.partitionedZones[zone] = true
			if !previous[zone] {
				slog.Info("nothing is heard from a zone", "zone", zone, "machines", z.expected)
			}
		} else if previous[zone] {
			// Its machines come one after the other, as their calls into the cut end.
			slog.Info("a zone is heard again", "zone", zone)
			m.zoneRecovered[zone] = now
		}
	}
}

// handlePartitioned keeps work off a machine of a zone that is cut off, and takes what was on it
// for gone once its lease is surely over.
func (m *Manager) handlePartitioned(w *workers.Worker, now ident.MonotonicTime) {
	w.QuarantinedUntil = max(w.QuarantinedUntil, now.Add(time.Second))
	if !m.machines.LeaseExpired(w) {
		return
	}
	m.machines.ExpireLease(w)
	if m.machines.TimeSinceContact(w) > partitionLeases*settings.Seconds(m.cfg.Workers.LeaseS) {
		m.Terminate(w, workers.ReasonZonePartition)
	}
}

// healthSweep is what one look at all machines finds.
type healthSweep struct {
	expected     int               // machines that should be heard
	unresponsive int               // machines with replicas that don't answer
	urgent       []*workers.Worker // to be asked first
	routine      []*workers.Worker // to be asked if there is time
	silent       []*workers.Worker // to be fenced
}

// checkHealth finds machines that are silent, doomed, faulty or never came up.
func (m *Manager) checkHealth() {
	now := m.port.Now()
	// After a stall of our own, reports wait to be read: nobody is silent yet.
	if now.Sub(m.lastTick) > stallThreshold {
		m.lastStall = now
	}
	m.lastTick = now
	zones := m.zoneContacts()
	m.detectPartitionedZones(zones, now)
	m.detectUnreachableZones(zones, now)
	sweep := &healthSweep{}
	for _, w := range m.machines.Sorted() {
		m.inspect(w, now, sweep)
	}
	if sweep.unresponsive >= massProbeThreshold && now.Sub(m.massProbeStarted) > massProbeDuration {
		slog.Info("machines with replicas don't answer", "mutes", sweep.unresponsive)
		m.massProbeStarted = now
	}
	n := m.probeUpTo(sweep.urgent, max(minUrgentProbes, sweep.expected/urgentProbeDivisor))
	m.probeUpTo(sweep.routine, maxRoutineProbes-n)
	m.fenceSilent(sweep, now)
}

// inspect looks at one machine.
func (m *Manager) inspect(w *workers.Worker, now ident.MonotonicTime, sweep *healthSweep) {
	switch w.State {
	case workers.Booting:
		startup := m.bootTime(w)
		if now.Sub(w.CreatedAt) > time.Duration(m.cfg.Tuning.BootTimeoutFactor*float64(startup)) && now.Sub(w.StateSince) > startup {
			m.Terminate(w, workers.ReasonBootTimeout)
		}
	case workers.Up, workers.Unreachable:
		if m.partitionedZones[w.Zone] {
			m.handlePartitioned(w, now)
			return
		}
		m.inspectRunning(w, now, sweep)
	case workers.Terminating:
		// The cloud may be down; the lease ends all the same.
		if len(w.Tasks) > 0 && m.machines.LeaseExpired(w) {
			m.machines.ExpireLease(w)
		}
	case workers.Terminated:
		if now.Sub(w.StateSince) > time.Minute+2*settings.Seconds(m.cfg.Cloud.ListLagS) && !w.Persisted {
			m.machines.Remove(w)
		}
	}
}

// inspectRunning looks at a machine that should be heard.
func (m *Manager) inspectRunning(w *workers.Worker, now ident.MonotonicTime, sweep *healthSweep) {
	sweep.expected++
	silence := min(m.machines.TimeSinceContact(w), now.Sub(max(m.lastStall, m.zoneRecovered[w.Zone])))
	limit := m.fenceTimeout
	if w.ServiceVCPUs > 0 {
		// Users miss replicas at once: don't wait for reports to fail.
		limit = min(m.fenceTimeout/2, replicaSilenceLimit)
		m.inspectReplicaHost(w, silence, limit, now, sweep)
	}
	if silence > m.fenceTimeout*2/3 {
		m.machines.MarkUnreachable(w)
		m.machines.Probe(w)
	}
	inboundSilence := w.CannotReceiveFor()
	if inboundSilence > m.fenceTimeout/2 {
		sweep.urgent = append(sweep.urgent, w)
	}
	switch {
	case w.ReclaimAt > 0 && now > w.ReclaimAt && silence > m.fenceTimeout/2:
		m.Terminate(w, workers.ReasonReclaimed)
	case silence > limit && w.MissedResponses() > 1 || silence > m.fenceTimeout && w.MissedResponses() > 0,
		inboundSilence > m.fenceTimeout && w.MissedResponses() > 1:
		sweep.silent = append(sweep.silent, w)
	case w.Faulty():
		m.Terminate(w, workers.ReasonFaulty)
	case w.Slow && len(w.Tasks) == 0:
		m.Terminate(w, workers.ReasonSlow)
	case w.ReclaimAt > 0:
		m.cfg.Drain(w)
	}
	if m.machines.LeaseExpired(w) {
		m.machines.ExpireLease(w)
		if m.mayTerminateSilent(w, now) {
			m.Terminate(w, workers.ReasonLeaseExpired)
		}
	}
}

// inspectReplicaHost has a machine with replicas asked when it is late.
func (m *Manager) inspectReplicaHost(w *workers.Worker, silence, limit time.Duration, now ident.MonotonicTime, sweep *healthSweep) {
	if w.MissedResponses() > 0 {
		sweep.unresponsive++
		if silence > m.heartbeatOverdue {
			sweep.unresponsive += massProbeThreshold // one that is late as well is enough
		}
	}
	switch {
	case silence > m.heartbeatOverdue:
		sweep.urgent = append(sweep.urgent, w)
	case now.Sub(m.massProbeStarted) < massProbeDuration && w.LastContact() < m.massProbeStarted:
		sweep.urgent = append(sweep.urgent, w)
	case silence > limit/2:
		sweep.routine = append(sweep.routine, w)
	}
}

// fenceSilent returns the machines that are silent, unless that is rather our own fault.
//
// Most machines silent at once: rather we are cut off than they. But if a sibling is heard,
// they could reach us through it, and have not in twice the time: then they are gone. (Two
// leaders that each resigned over machines long taken kept a cluster without one for good.)
// Those fenced a moment ago count as well: machines that fall silent together are noticed
// one by one.
func (m *Manager) fenceSilent(sweep *healthSweep, now ident.MonotonicTime) {
	m.recentFences = slices.DeleteFunc(m.recentFences, func(at ident.MonotonicTime) bool { return now.Sub(at) > 2*m.fenceTimeout })
	failing := len(sweep.silent) + len(m.recentFences)
	massFailure := failing > 1 && 2*failing > sweep.expected+len(m.recentFences) || len(sweep.silent) > 0 && !m.cfg.DirectContact()
	if massFailure && !m.cfg.ReachableViaPeer() {
		return
	}
	for _, w := range sweep.silent {
		if massFailure && min(m.machines.TimeSinceContact(w), now.Sub(m.lastStall)) < 2*m.fenceTimeout {
			continue
		}
		if m.locallyUnreachable(w.Zone) || !m.mayTerminateSilent(w, now) {
			continue
		}
		m.Fenced++
		m.recentFences = append(m.recentFences, now)
		m.Terminate(w, workers.ReasonUnresponsive)
	}
}

func (m *Manager) bootTime(w *workers.Worker) time.Duration {
	if w.Type == nil || w.Type.StartupS <= 0 {
		return 30 * time.Second
	}
	return settings.Seconds(w.Type.StartupS)
}

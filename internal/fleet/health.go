package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// stallThreshold is the time between two ticks above which this node counts as stalled.
	stallThreshold = 2 * time.Second
	// longAgo is the assumed age of an event that has not happened yet.
	longAgo = time.Hour

	// fenceHeartbeats is the fence timeout in heartbeat intervals, unless Tuning.UnreachableAfter
	// sets the timeout. After this time, two heartbeats (each up to a quarter of an interval late)
	// and the response to a probe are missing.
	fenceHeartbeats = 2.2
	// heartbeatLateness is the longest time between the sending of two heartbeats, in heartbeat
	// intervals. transmissionDelay is the time allowed for their transmission.
	heartbeatLateness = 1.25
	transmissionDelay = 500 * time.Millisecond

	// maxRoutineProbes bounds the probes of a tick while no heartbeat is overdue. Without a bound,
	// each machine of a large fleet would be probed between any two of its heartbeats.
	maxRoutineProbes = 10
	// minUrgentProbes bounds the probes in a tick of machines whose heartbeats are overdue and, during
	// mass probing, of all others. In a large fleet the bound is 1/urgentProbeDivisor of the machines
	// instead, so that the time needed to probe a zone does not depend on its size.
	minUrgentProbes    = 60
	urgentProbeDivisor = 25
	// massProbeDuration is how long mass probing lasts. It probes all machines with replicas from
	// which no heartbeat has been received since its start. It detects the failure of a whole rack
	// earlier than missing heartbeats do, since the heartbeats of the rack's machines are spread over
	// many seconds.
	massProbeDuration = 8 * time.Second
	// massProbeThreshold is the number of unresponsive machines with replicas that triggers mass
	// probing. A single one suffices if its heartbeat is overdue as well. A new leader sends commands
	// to machines before their heartbeats are due, so missing responses to these commands reveal a
	// failed rack before missing heartbeats do.
	massProbeThreshold = 3
	// replicaSilenceLimit is the upper limit on the silence after which a machine with replicas is
	// fenced if it has not responded twice.
	replicaSilenceLimit = 3500 * time.Millisecond

	// defaultBootTime is the boot time assumed for machines of an unknown type.
	defaultBootTime = 30 * time.Second
	// terminatedRetention is how long the table keeps a terminated machine, in addition to twice the
	// lag of the provider's listing.
	terminatedRetention = time.Minute
)

// healthMonitor detects machines that are unreachable, are faulty, are reclaimed or fail to boot, and
// probes, drains or terminates them. It treats tasks of gangs like replicas of services: a machine with
// replicas is one that runs either.
type healthMonitor struct {
	cfg        *Config
	port       Port
	machines   *workers.Table
	terminator *terminator
	counters   *Counters
	zones      *zoneMonitor

	fenceTimeout     time.Duration         // silence after which a machine is fenced
	heartbeatOverdue time.Duration         // silence after which a heartbeat counts as overdue
	lastTick         ident.MonotonicTime   // time of the previous check
	lastStall        ident.MonotonicTime   // when a stall of this node was last detected
	massProbeStarted ident.MonotonicTime   // when mass probing last started
	recentFences     []ident.MonotonicTime // times at which machines were fenced, within twice the fence timeout
}

func newHealthMonitor(cfg *Config, port Port, machines *workers.Table, t *terminator, counters *Counters) *healthMonitor {
	now := port.Now()
	fenceTimeout := cfg.Tuning.UnreachableAfter
	if fenceTimeout == 0 {
		fenceTimeout = settings.Seconds(fenceHeartbeats * cfg.Workers.HeartbeatS)
	}
	return &healthMonitor{
		cfg:              cfg,
		port:             port,
		machines:         machines,
		terminator:       t,
		counters:         counters,
		zones:            newZoneMonitor(cfg),
		fenceTimeout:     fenceTimeout,
		heartbeatOverdue: settings.Seconds(heartbeatLateness*cfg.Workers.HeartbeatS) + transmissionDelay,
		lastTick:         now,
		lastStall:        now.Add(-longAgo),
		massProbeStarted: now.Add(-longAgo),
	}
}

// healthSweep collects the results of one check of all machines.
type healthSweep struct {
	now          ident.MonotonicTime
	expected     int               // machines that should be reachable
	unresponsive int               // unresponsive machines with replicas; an overdue one adds massProbeThreshold
	urgent       []*workers.Worker // probed first
	routine      []*workers.Worker // probed if maxRoutineProbes allows it
	silent       []*workers.Worker // silent for long enough to be fenced
}

// check inspects all machines. It sends probes, and fences or terminates machines where necessary.
func (h *healthMonitor) check() {
	now := h.port.Now()
	// After a stall of this node, received heartbeats may not have been processed yet, so silence only
	// counts from the stall.
	if now.Sub(h.lastTick) > stallThreshold {
		h.lastStall = now
	}
	h.lastTick = now
	contacts := h.zoneContacts()
	h.zones.detectPartitions(contacts, now)
	h.zones.detectUnreachable(contacts, h.heartbeatOverdue, now)
	sweep := &healthSweep{now: now}
	for _, w := range h.machines.Sorted() {
		h.inspect(w, sweep)
	}
	if sweep.unresponsive >= massProbeThreshold && now.Sub(h.massProbeStarted) > massProbeDuration {
		slog.Info("machines with replicas are unresponsive; probing all of them", "unresponsive", sweep.unresponsive)
		h.massProbeStarted = now
	}
	probed := h.probeUpTo(sweep.urgent, max(minUrgentProbes, sweep.expected/urgentProbeDivisor))
	h.probeUpTo(sweep.routine, maxRoutineProbes-probed)
	h.fenceSilent(sweep)
}

// zoneContacts returns the time of the last contact with each zone that has running machines.
func (h *healthMonitor) zoneContacts() map[string]*zoneContact {
	zones := map[string]*zoneContact{}
	for _, w := range h.machines.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		z := zones[w.Zone]
		if z == nil {
			z = &zoneContact{lastContact: h.lastStall}
			zones[w.Zone] = z
		}
		z.expected++
		z.lastContact = max(z.lastContact, w.LastContact())
	}
	return zones
}

// probeUpTo probes up to limit of the listed machines, and returns how many it probed.
func (h *healthMonitor) probeUpTo(list []*workers.Worker, limit int) int {
	probed := 0
	for _, w := range list {
		if probed >= limit {
			break
		}
		if h.machines.Probe(w) {
			probed++
		}
	}
	return probed
}

// inspect checks one machine according to its state.
func (h *healthMonitor) inspect(w *workers.Worker, sweep *healthSweep) {
	switch w.State {
	case workers.Booting:
		if h.bootTimedOut(w, sweep.now) {
			h.terminator.terminate(w, workers.ReasonBootTimeout)
		}
	case workers.Up, workers.Unreachable:
		if h.zones.partitioned[w.Zone] {
			h.inspectPartitioned(w, sweep.now)
			return
		}
		h.inspectRunning(w, sweep)
	case workers.Terminating:
		// When the lease has expired the tasks have stopped, even if the provider is unavailable and
		// can't confirm the termination.
		if len(w.Tasks) > 0 && h.machines.LeaseExpired(w) {
			h.machines.ExpireLease(w)
		}
	case workers.Terminated:
		if h.mayRemove(w, sweep.now) {
			h.machines.Remove(w)
		}
	}
}

// bootTimedOut reports whether a machine has not come up within the boot timeout.
func (h *healthMonitor) bootTimedOut(w *workers.Worker, now ident.MonotonicTime) bool {
	boot := bootTime(w)
	limit := time.Duration(h.cfg.Tuning.BootTimeoutFactor * float64(boot))
	return now.Sub(w.CreatedAt) > limit && now.Sub(w.StateSince) > boot
}

// mayRemove reports whether a terminated machine may be removed from the table: its record in the store
// is deleted, and the provider no longer lists it.
func (h *healthMonitor) mayRemove(w *workers.Worker, now ident.MonotonicTime) bool {
	return now.Sub(w.StateSince) > terminatedRetention+2*settings.Seconds(h.cfg.Cloud.ListLagS) && !w.Persisted
}

// inspectPartitioned quarantines a machine of a partitioned zone. Once its lease has expired, the tasks
// are released from it, so that they can restart elsewhere. After a silence of partitionLeases, the
// machine is terminated.
func (h *healthMonitor) inspectPartitioned(w *workers.Worker, now ident.MonotonicTime) {
	quarantine(w, now)
	if !h.machines.LeaseExpired(w) {
		return
	}
	h.machines.ExpireLease(w)
	if h.machines.TimeSinceContact(w) > partitionLeases*settings.Seconds(h.cfg.Workers.LeaseS) {
		h.terminator.terminate(w, workers.ReasonZonePartition)
	}
}

// quarantineDuration is longer than the interval between ticks, so that a quarantine renewed by each
// tick has no gaps.
const quarantineDuration = time.Second

// quarantine prevents new tasks from being placed on a machine until the next tick.
func quarantine(w *workers.Worker, now ident.MonotonicTime) {
	w.Quarantine(now.Add(quarantineDuration))
}

// machineContact describes the communication between a running machine and this node.
type machineContact struct {
	silence        time.Duration // time since the last contact, stall or partition, whichever was last
	limit          time.Duration // silence after which the machine is fenced if it has not responded twice
	inboundSilence time.Duration // for how long its heartbeats have shown that it receives no messages
}

// inspectRunning checks a machine that is expected to be reachable.
func (h *healthMonitor) inspectRunning(w *workers.Worker, sweep *healthSweep) {
	sweep.expected++
	silenceStart := max(h.lastStall, h.zones.recoveredAt[w.Zone])
	contact := machineContact{
		silence: min(h.machines.TimeSinceContact(w), sweep.now.Sub(silenceStart)),
		limit:   h.fenceTimeout,
	}
	if w.ServiceVCPUs > 0 {
		// The loss of a replica affects users immediately, so don't wait for missed heartbeats.
		contact.limit = min(h.fenceTimeout/2, replicaSilenceLimit)
		h.inspectReplicaMachine(w, contact, sweep)
	}
	if contact.silence > h.fenceTimeout*2/3 {
		h.machines.MarkUnreachable(w)
		h.machines.Probe(w)
	}
	contact.inboundSilence = w.CannotReceiveFor()
	if contact.inboundSilence > h.fenceTimeout/2 {
		sweep.urgent = append(sweep.urgent, w)
	}
	h.respondToFault(w, contact, sweep)
	if h.machines.LeaseExpired(w) {
		h.machines.ExpireLease(w)
		h.terminateUnreachable(w, workers.ReasonLeaseExpired, sweep.now)
	}
}

// respondToFault handles the first of the faults below that applies to a machine, if any does: it
// terminates the machine, adds it to the machines to be fenced, or drains it.
func (h *healthMonitor) respondToFault(w *workers.Worker, contact machineContact, sweep *healthSweep) {
	switch {
	case w.ReclaimAt > 0 && sweep.now > w.ReclaimAt && contact.silence > h.fenceTimeout/2:
		h.terminator.terminate(w, workers.ReasonReclaimed)
	case h.isSilent(w, contact) || h.cannotReceive(w, contact):
		sweep.silent = append(sweep.silent, w)
	case w.Faulty():
		h.terminator.terminate(w, workers.ReasonFaulty)
	case w.Slow && len(w.Tasks) == 0:
		h.terminator.terminate(w, workers.ReasonSlow)
	case w.ReclaimAt > 0:
		h.cfg.Drain(w)
	}
}

// isSilent reports whether a machine is silent for long enough to be fenced.
func (h *healthMonitor) isSilent(w *workers.Worker, contact machineContact) bool {
	return contact.silence > contact.limit && w.MissedResponses() > 1 ||
		contact.silence > h.fenceTimeout && w.MissedResponses() > 0
}

// cannotReceive reports whether a machine has received no messages for long enough to be fenced, although
// its heartbeats arrive.
func (h *healthMonitor) cannotReceive(w *workers.Worker, contact machineContact) bool {
	return contact.inboundSilence > h.fenceTimeout && w.MissedResponses() > 1
}

// inspectReplicaMachine schedules a probe of a machine with replicas if its heartbeat is overdue, if mass
// probing is in progress, or if half of its silence limit has passed.
func (h *healthMonitor) inspectReplicaMachine(w *workers.Worker, contact machineContact, sweep *healthSweep) {
	overdue := contact.silence > h.heartbeatOverdue
	if w.MissedResponses() > 0 {
		sweep.unresponsive++
		if overdue {
			sweep.unresponsive += massProbeThreshold // a single overdue machine triggers mass probing
		}
	}
	massProbing := sweep.now.Sub(h.massProbeStarted) < massProbeDuration
	switch {
	case overdue, massProbing && w.LastContact() < h.massProbeStarted:
		sweep.urgent = append(sweep.urgent, w)
	case contact.silence > contact.limit/2:
		sweep.routine = append(sweep.routine, w)
	}
}

// bootTime returns the boot time of a machine according to its type.
func bootTime(w *workers.Worker) time.Duration {
	if w.Type == nil || w.Type.StartupS <= 0 {
		return defaultBootTime
	}
	return settings.Seconds(w.Type.StartupS)
}

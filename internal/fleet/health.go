package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// stallThreshold is the gap between two ticks from which this node counts as stalled.
	stallThreshold = 2 * time.Second
	// longAgo is the assumed age of an event that has not happened yet.
	longAgo = time.Hour

	// fenceHeartbeats is the fence timeout in heartbeat intervals, unless Tuning.UnreachableAfter
	// sets one. By then two heartbeats (each up to a quarter late) and a probe are missing.
	fenceHeartbeats = 2.2
	// heartbeatLateness is the longest time between two heartbeats, in intervals; transmissionDelay
	// is the time for their transmission.
	heartbeatLateness = 1.25
	transmissionDelay = 500 * time.Millisecond

	// maxRoutineProbes bounds the probes of a tick while no machine is late: in a large fleet each
	// machine would otherwise be probed between any two of its heartbeats.
	maxRoutineProbes = 10
	// minUrgentProbes bounds the probes of late machines in a tick, and of all others during mass
	// probing. In a large fleet the bound is 1/urgentProbeDivisor of the machines, so that the time
	// for probing a zone doesn't depend on its size.
	minUrgentProbes    = 60
	urgentProbeDivisor = 25
	// massProbeDuration is how long mass probing lasts, in which all machines with replicas that
	// have not reported since its start are probed: whole racks fail at once, and the heartbeats of
	// their machines are spread over many seconds.
	massProbeDuration = 8 * time.Second
	// massProbeThreshold is the number of unresponsive machines with replicas that starts mass
	// probing; a single one suffices if it is late as well. A new leader sends commands to machines
	// before their heartbeats are due, and detects a failed rack earlier by them.
	massProbeThreshold = 3
	// replicaSilenceLimit is the longest silence after which a machine with replicas is fenced if two
	// responses are missing.
	replicaSilenceLimit = 3500 * time.Millisecond

	// defaultBootTime is the boot time of machines of an unknown type.
	defaultBootTime = 30 * time.Second
	// forgetAfter is how long a terminated machine is kept beyond twice the provider's listing lag.
	forgetAfter = time.Minute
)

// healthMonitor finds machines that are unreachable, faulty, reclaimed or fail to boot, and
// has them probed, drained or terminated.
type healthMonitor struct {
	cfg        *Config
	port       Port
	machines   *workers.Table
	terminator *terminator
	counters   *Counters
	zones      *zoneMonitor

	fenceTimeout     time.Duration         // silence after which a machine is fenced
	heartbeatOverdue time.Duration         // silence after which a heartbeat has been missed
	lastTick         ident.MonotonicTime   // of the previous check
	lastStall        ident.MonotonicTime   // when this node was last found to have stalled
	massProbeStarted ident.MonotonicTime   // when mass probing last started
	recentFences     []ident.MonotonicTime // within twice the fence timeout
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

// healthSweep holds the findings of one check of all machines.
type healthSweep struct {
	now          ident.MonotonicTime
	expected     int               // machines that should be reachable
	unresponsive int               // machines with replicas that do not respond; late ones count massProbeThreshold more
	urgent       []*workers.Worker // to be probed first
	routine      []*workers.Worker // to be probed if the bound allows it
	silent       []*workers.Worker // to be fenced
}

// check checks all machines.
func (h *healthMonitor) check() {
	now := h.port.Now()
	// After a stall of this node, heartbeats are still unread: no machine counts as late yet.
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
		slog.Info("replica machines unresponsive, probing all", "unresponsive", sweep.unresponsive)
		h.massProbeStarted = now
	}
	probed := h.probeUpTo(sweep.urgent, max(minUrgentProbes, sweep.expected/urgentProbeDivisor))
	h.probeUpTo(sweep.routine, maxRoutineProbes-probed)
	h.fenceSilent(sweep)
}

// zoneContacts returns the contact with the machines of each zone that has any.
func (h *healthMonitor) zoneContacts() map[string]*zoneContact {
	zones := map[string]*zoneContact{}
	for _, w := range h.machines.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		z := zones[w.Zone]
		if z == nil {
			z = &zoneContact{lastHeard: h.lastStall}
			zones[w.Zone] = z
		}
		z.expected++
		z.lastHeard = max(z.lastHeard, w.LastContact())
	}
	return zones
}

// probeUpTo probes up to a number of machines, and returns how many.
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
		// The lease expires even if the provider is unavailable.
		if len(w.Tasks) > 0 && h.machines.LeaseExpired(w) {
			h.machines.ExpireLease(w)
		}
	case workers.Terminated:
		if h.mayForget(w, sweep.now) {
			h.machines.Remove(w)
		}
	}
}

// bootTimedOut reports whether a machine has failed to boot.
func (h *healthMonitor) bootTimedOut(w *workers.Worker, now ident.MonotonicTime) bool {
	boot := bootTime(w)
	limit := time.Duration(h.cfg.Tuning.BootTimeoutFactor * float64(boot))
	return now.Sub(w.CreatedAt) > limit && now.Sub(w.StateSince) > boot
}

// mayForget reports whether a terminated machine may be removed: its record is deleted, and the
// provider no longer lists it.
func (h *healthMonitor) mayForget(w *workers.Worker, now ident.MonotonicTime) bool {
	return now.Sub(w.StateSince) > forgetAfter+2*settings.Seconds(h.cfg.Cloud.ListLagS) && !w.Persisted
}

// inspectPartitioned quarantines a machine of a partitioned zone, gives up its tasks once its lease
// has expired, and terminates it after partitionLeases.
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

// quarantineDuration is longer than the time between two ticks.
const quarantineDuration = time.Second

// quarantine keeps new work off a machine until the next tick.
func quarantine(w *workers.Worker, now ident.MonotonicTime) {
	w.Quarantine(now.Add(quarantineDuration))
}

// machineContact is how a running machine communicates with this node.
type machineContact struct {
	silence        time.Duration // since the last contact, but not before the last stall or partition
	limit          time.Duration // silence after which it is fenced if two responses are missing
	inboundSilence time.Duration // how long its heartbeats have shown that it receives nothing
}

// inspectRunning checks a machine that should be reachable.
func (h *healthMonitor) inspectRunning(w *workers.Worker, sweep *healthSweep) {
	sweep.expected++
	countsFrom := max(h.lastStall, h.zones.recoveredAt[w.Zone])
	contact := machineContact{
		silence: min(h.machines.TimeSinceContact(w), sweep.now.Sub(countsFrom)),
		limit:   h.fenceTimeout,
	}
	if w.ServiceVCPUs > 0 {
		// A missing replica affects users at once: don't wait for missed heartbeats.
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

// respondToFault acts on the first fault that applies to a machine: it terminates the machine, queues
// it for fencing, or drains it.
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

// cannotReceive reports whether a machine has received nothing for long enough to be fenced, though
// its heartbeats arrive.
func (h *healthMonitor) cannotReceive(w *workers.Worker, contact machineContact) bool {
	return contact.inboundSilence > h.fenceTimeout && w.MissedResponses() > 1
}

// inspectReplicaMachine queues a machine with replicas for a probe if it is late or mass probing is
// under way.
func (h *healthMonitor) inspectReplicaMachine(w *workers.Worker, contact machineContact, sweep *healthSweep) {
	overdue := contact.silence > h.heartbeatOverdue
	if w.MissedResponses() > 0 {
		sweep.unresponsive++
		if overdue {
			sweep.unresponsive += massProbeThreshold // one late machine suffices
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

// bootTime returns how long a machine takes to boot.
func bootTime(w *workers.Worker) time.Duration {
	if w.Type == nil || w.Type.StartupS <= 0 {
		return defaultBootTime
	}
	return settings.Seconds(w.Type.StartupS)
}

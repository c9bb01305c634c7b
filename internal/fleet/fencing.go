package fleet

import (
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// fenceSilent fences the silent machines, unless the fault is more likely to be at this node.
//
// If most machines become silent at once, it is more likely that this node is disconnected than that all
// of them failed. But if a peer is reachable, the machines could send their heartbeats through it. In
// that case, machines that stay silent for twice the fence timeout are fenced; otherwise each new leader
// would resign because of the same machines. Recently fenced machines count as silent, because machines
// that fail together are detected one after the other.
func (h *healthMonitor) fenceSilent(sweep *healthSweep) {
	h.recentFences = slices.DeleteFunc(h.recentFences, func(at ident.MonotonicTime) bool {
		return sweep.now.Sub(at) > 2*h.fenceTimeout
	})
	massFailure := h.isMassFailure(sweep)
	if massFailure && !h.cfg.ReachableViaPeer() {
		return
	}
	for _, w := range sweep.silent {
		if massFailure && h.silenceSinceStall(w, sweep.now) < 2*h.fenceTimeout {
			continue
		}
		if h.cfg.LocallyUnreachable(w.Zone) || !h.terminateUnreachable(w, workers.ReasonUnresponsive, sweep.now) {
			continue
		}
		h.counters.Fenced++
		h.recentFences = append(h.recentFences, sweep.now)
	}
}

// isMassFailure reports whether so many machines are silent that the fault may be at this node.
func (h *healthMonitor) isMassFailure(sweep *healthSweep) bool {
	failing := len(sweep.silent) + len(h.recentFences)
	if failing > 1 && 2*failing > sweep.expected+len(h.recentFences) {
		return true
	}
	return len(sweep.silent) > 0 && !h.cfg.DirectContact()
}

// silenceSinceStall returns how long a machine has been silent. It leaves out the time before the last
// stall of this node.
func (h *healthMonitor) silenceSinceStall(w *workers.Worker, now ident.MonotonicTime) time.Duration {
	return min(h.machines.TimeSinceContact(w), now.Sub(h.lastStall))
}

// terminateUnreachable terminates an unreachable machine and returns true. If the whole zone is
// unreachable, it quarantines the machine, and terminates it only if the zone's termination budget for
// the present period allows; otherwise it returns false.
func (h *healthMonitor) terminateUnreachable(w *workers.Worker, reason workers.Reason, now ident.MonotonicTime) bool {
	if zone := h.zones.unreachable[w.Zone]; zone != nil {
		quarantine(w, now)
		zone.renewBudget(now, settings.Seconds(h.cfg.Workers.LeaseS))
		if !zone.mayTerminate() {
			return false
		}
		zone.terminated++
	}
	h.terminator.terminate(w, reason)
	return true
}

package fleet

import (
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// fenceSilent fences the machines that are silent, unless the fault is more likely this node's.
//
// If most machines are silent at once, this node is more likely to be unreachable than they are. But
// if a peer is reachable, they could reach this node through it. Those that have not done so within
// twice the fence timeout are fenced, or each next leader would resign over the same machines.
// Recently fenced machines count as silent, since machines that fail together are detected one by
// one.
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

// isMassFailure reports whether so many machines are silent that the fault may be this node's.
func (h *healthMonitor) isMassFailure(sweep *healthSweep) bool {
	failing := len(sweep.silent) + len(h.recentFences)
	if failing > 1 && 2*failing > sweep.expected+len(h.recentFences) {
		return true
	}
	return len(sweep.silent) > 0 && !h.cfg.DirectContact()
}

// silenceSinceStall returns how long a machine has been silent, counted from the last stall at the earliest.
func (h *healthMonitor) silenceSinceStall(w *workers.Worker, now ident.MonotonicTime) time.Duration {
	return min(h.machines.TimeSinceContact(w), now.Sub(h.lastStall))
}

// terminateUnreachable terminates an unreachable machine. If its whole zone is unreachable, machines
// are terminated a few at a time and the others are quarantined; it returns false for those.
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

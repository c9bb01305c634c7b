package rebalancer

// This file decides when no moves are planned.

import (
	"time"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// HoldReason is the reason for which a round plans no moves.
type HoldReason uint8

// The reasons. Their names are labels of a metric.
const (
	HoldNone           HoldReason = iota
	HoldPlanBudget                // planning has used up its share of the time
	HoldNoAuthority               // the leader has no authority to place tasks
	HoldNewTerm                   // the term has just begun
	HoldWriteBacklog              // decisions are still being written
	HoldTeamCooled                // a team has only just ceased to be overloaded
	HoldFleetUnstable             // many machines are silent, drained or being terminated
	HoldNothingWaiting            // no task has waited for long enough
	holdReasonCount
)

var holdReasonNames = [holdReasonCount]string{
	"none", "plans take their share of the time", "no authority", "settling", "writes wait", "a hot team has cooled",
	"machines leave", "nobody waits",
}

func (r HoldReason) String() string { return enum.Name(holdReasonNames[:], r, "restraint") }

const (
	// cooldownAfterHotTeam is how long no moves are planned after the demand of an overloaded team has returned to
	// its quota.
	cooldownAfterHotTeam = 5 * time.Second
	// unstableFleetDivisor and minUnstableMachines define an unstable fleet: more than one in unstableFleetDivisor
	// machines is leaving, and more than minUnstableMachines are.
	unstableFleetDivisor = 20
	minUnstableMachines  = 2
)

// currentHold returns the reason for which no moves may be planned at present. If moves are only reported, only the time
// budget applies.
func (r *Rebalancer) currentHold(now ident.MonotonicTime) HoldReason {
	switch {
	case now < r.nextPlanAt:
		return HoldPlanBudget
	case !r.config.Execute:
		return HoldNone
	case !r.leader.MayPlace():
		return HoldNoAuthority
	case now.Sub(r.tookOverAt) < r.config.Limits.LeaderSettleTime:
		return HoldNewTerm // machines of earlier terms may not have reported yet
	case r.committer.Backlog() > 0:
		return HoldWriteBacklog
	case r.teamCooledAt > 0 && now.Sub(r.teamCooledAt) < cooldownAfterHotTeam:
		return HoldTeamCooled
	case r.fleetUnstable():
		return HoldFleetUnstable
	}
	return HoldNone
}

// fleetUnstable reports whether many machines are unreachable, cordoned, or being terminated or reclaimed.
func (r *Rebalancer) fleetUnstable() bool {
	leaving, all := 0, 0
	for _, w := range r.workers.Sorted() {
		switch {
		case isLeaving(w):
			leaving++
			all++
		case w.State == workers.Up:
			all++
		}
	}
	return leaving > max(minUnstableMachines, all/unstableFleetDivisor)
}

// isLeaving reports whether the tasks of a machine are likely to have to move soon.
func isLeaving(w *workers.Worker) bool {
	switch w.State {
	case workers.Unreachable, workers.Terminating:
		return true
	case workers.Up:
		return w.ReclaimAt > 0 || w.Cordoned
	}
	return false
}

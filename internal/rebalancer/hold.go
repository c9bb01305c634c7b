package rebalancer

// This file decides whether a round may plan moves.

import (
	"time"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// HoldReason is the reason why a round plans no moves.
type HoldReason uint8

// The reasons why a round plans no moves. Their names are label values of a metric, and must not change.
const (
	HoldNone           HoldReason = iota
	HoldPlanBudget                // planning has used its share of time, see planTimeDivisor
	HoldNoAuthority               // the leader currently has no authority to place tasks
	HoldNewTerm                   // the term began less than LeaderSettleTime ago
	HoldWriteBacklog              // there are pending writes to the key-value store
	HoldTeamRecovered             // a team left load.Overloaded less than cooldownAfterOverload ago
	HoldFleetUnstable             // many machines are unreachable, cordoned, or being terminated or reclaimed
	HoldNothingWaiting            // no task that may benefit has waited for at least MinWait, and no machine is slow
	holdReasonCount
)

var holdReasonNames = [holdReasonCount]string{
	"none", "plans take their share of the time", "no authority", "settling", "writes wait", "a hot team has cooled",
	"machines leave", "nobody waits",
}

func (r HoldReason) String() string { return enum.Name(holdReasonNames[:], r, "restraint") }

const (
	// cooldownAfterOverload is how long no moves are planned after the demand of an overloaded team has fallen below
	// load.Config.RecoverAt.
	cooldownAfterOverload = 5 * time.Second
	// unstableFleetDivisor and minUnstableMachines define an unstable fleet: tasks are likely to have to leave more
	// than one in unstableFleetDivisor machines, and more than minUnstableMachines machines.
	unstableFleetDivisor = 20
	minUnstableMachines  = 2
)

// currentHold returns the reason why no moves may be planned now, or HoldNone. If moves are only reported and not executed,
// only the time budget of planning applies.
func (r *Rebalancer) currentHold(now ident.MonotonicTime) HoldReason {
	switch {
	case now < r.nextPlanAt:
		return HoldPlanBudget
	case !r.config.Execute:
		return HoldNone
	case !r.leader.MayPlace():
		return HoldNoAuthority
	case now.Sub(r.tookOverAt) < r.config.Limits.LeaderSettleTime:
		return HoldNewTerm // machines may not have sent a heartbeat to this leader yet
	case r.committer.Backlog() > 0:
		return HoldWriteBacklog
	case r.teamRecoveredAt > 0 && now.Sub(r.teamRecoveredAt) < cooldownAfterOverload:
		return HoldTeamRecovered
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
		case expectsEvacuation(w):
			leaving++
			all++
		case w.State == workers.Up:
			all++
		}
	}
	return leaving > max(minUnstableMachines, all/unstableFleetDivisor)
}

// expectsEvacuation reports whether tasks are likely to have to leave a machine soon.
func expectsEvacuation(w *workers.Worker) bool {
	switch w.State {
	case workers.Unreachable, workers.Terminating:
		return true
	case workers.Up:
		return w.ReclaimAt > 0 || w.Cordoned
	}
	return false
}

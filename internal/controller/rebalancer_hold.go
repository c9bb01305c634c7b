package controller

import (
	"fmt"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// holdReason says why no move is proposed at a moment.
type holdReason uint8

const (
	holdNone           holdReason = iota
	holdPlanBudget                // the last plan took its share of the time
	holdNoAuthority               // the node has no authority to place tasks
	holdNewTerm                   // the term has just begun
	holdWriteBacklog              // what was decided is still being written
	holdTeamCooled                // a hot team has just cooled
	holdFleetUnstable             // machines are silent, emptied or returned in numbers
	holdNothingWaiting            // no task has waited for long enough
	holdReasonCount
)

var holdReasonNames = [holdReasonCount]string{"none", "plans take their share of the time", "no authority", "settling", "writes wait", "a hot team has cooled",
	"machines leave", "nobody waits"}

func (r holdReason) String() string {
	if r < holdReasonCount {
		return holdReasonNames[r]
	}
	return fmt.Sprintf("restraint %d", uint8(r))
}

// currentHold says why this is no time to move work: an election of late, something in doubt,
// or machines that leave in numbers.
func (m *rebalancer) currentHold(now ident.MonotonicTime) holdReason {
	l := m.leader
	switch {
	case now < m.nextPlanAt:
		return holdPlanBudget
	case !m.executesMoves:
		return holdNone // nothing comes of it
	case !l.controller.allows(authority.Place):
		return holdNoAuthority
	case now.Sub(m.tookOverAt) < l.controller.settings.Tuning.Migration.LeaderSettleTime:
		return holdNewTerm // machines of the term before are still being heard of
	case l.committer.Backlog() > 0:
		return holdWriteBacklog
	case m.teamCooledAt > 0 && now.Sub(m.teamCooledAt) < cooldownAfterHotTeam:
		return holdTeamCooled
	case l.fleetUnstable():
		return holdFleetUnstable
	}
	return holdNone
}

// fleetUnstable says whether machines are silent, emptied, returned or about to be taken in numbers.
func (l *leaderTerm) fleetUnstable() bool {
	leaving, all := 0, 0
	for _, w := range l.workers.Sorted() {
		switch {
		case w.State == workers.Unreachable, w.State == workers.Terminating, w.State == workers.Up && (w.ReclaimAt > 0 || w.Cordoned):
			leaving++
			all++
		case w.State == workers.Up:
			all++
		}
	}
	return leaving > max(minUnstableMachines, all/unstableFleetDivisor)
}

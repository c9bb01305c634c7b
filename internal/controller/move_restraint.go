package controller

import (
	"fmt"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// restraint says why no move is proposed at a moment.
type restraint uint8

const (
	unrestrained    restraint = iota
	withoutTime               // the last plan took its share of the time
	withoutRights             // the node has no authority to place tasks
	settling                  // the term has just begun
	writing                   // what was decided is still being written
	teamCooled                // a hot team has just cooled
	machinesLeaving           // machines are silent, emptied or returned in numbers
	nobodyWaits               // no task has waited for long enough
	restraintCount
)

var restraintNames = [restraintCount]string{"none", "plans take their share of the time", "no authority", "settling", "writes wait", "a hot team has cooled",
	"machines leave", "nobody waits"}

func (r restraint) String() string {
	if r < restraintCount {
		return restraintNames[r]
	}
	return fmt.Sprintf("restraint %d", uint8(r))
}

// restrained says why this is no time to move work: an election of late, something in doubt,
// or machines that leave in numbers.
func (m *mover) restrained(now ident.MonotonicTime) restraint {
	l := m.lead
	switch {
	case now < m.notBefore:
		return withoutTime
	case !m.carries:
		return unrestrained // nothing comes of it
	case !l.c.may(authority.Place):
		return withoutRights
	case now.Sub(m.readyAt) < l.c.set.Tuning.Migration.LeaderSettleTime:
		return settling // machines of the term before are still being heard of
	case l.commits.Backlog() > 0:
		return writing
	case m.cooledAt > 0 && now.Sub(m.cooledAt) < calmTime:
		return teamCooled
	case l.unsettled():
		return machinesLeaving
	}
	return unrestrained
}

// unsettled says whether machines are silent, emptied, returned or about to be taken in numbers.
func (l *lead) unsettled() bool {
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
	return leaving > max(unsettledLeast, all/unsettledPart)
}

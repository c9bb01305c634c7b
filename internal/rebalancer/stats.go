package rebalancer

// This file collects the counters of moves.

import (
	"time"

	"opaldale/internal/migration"
)

// Stats are the counters and gauges of a term's moves.
type Stats struct {
	Proposed      uint64
	ProposedGain  time.Duration // less the cost of the moves
	Active        int
	Ended         []migration.Outcome
	RealizedGain  time.Duration
	SkippedRounds map[string]uint64 // rounds without a plan, by reason
	SlowMachines  int               // machines that count as slow
	Reservations  int               // machines on which room is reserved for a move
}

// Stats returns the counters.
func (r *Rebalancer) Stats() Stats {
	stats := Stats{
		Proposed:      r.proposedMoves,
		ProposedGain:  r.proposedGain,
		Active:        len(r.moves.Active()),
		Ended:         r.moves.ByReason(),
		RealizedGain:  r.moves.TotalGain,
		SkippedRounds: map[string]uint64{},
		SlowMachines:  r.slowMachines,
	}
	for hold, n := range r.skippedRounds {
		if n > 0 {
			stats.SkippedRounds[HoldReason(hold).String()] = n
		}
	}
	for _, w := range r.workers.Sorted() {
		if w.HasReservation() {
			stats.Reservations++
		}
	}
	return stats
}

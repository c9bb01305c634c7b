package rebalancer

// This file reports the counters of moves.

import (
	"time"

	"opaldale/internal/migration"
)

// Stats holds the counters and gauges of a term's moves.
type Stats struct {
	Proposed      uint64
	ProposedGain  time.Duration // total expected gain minus cost of the proposed moves
	Active        int
	Ended         []migration.Outcome
	RealizedGain  time.Duration
	SkippedRounds map[string]uint64 // number of rounds without a plan, by reason
	SlowMachines  int               // number of machines that count as slow
	Reservations  int               // number of machines on which capacity is reserved for a move
}

// Stats returns the current counters and gauges of the term's moves.
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

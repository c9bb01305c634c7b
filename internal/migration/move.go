package migration

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/rebalance"
)

// Move is a move of one task to another machine.
type Move struct {
	rebalance.Move
	Attempt    ident.Attempt // the task's attempt when the move was proposed
	State      State
	Reason     Reason
	StartedAt  ident.MonotonicTime
	StateSince ident.MonotonicTime // when the move entered its current state
	// StoppedAt is when it was confirmed that the task no longer runs on the source, and RunningAt is
	// when the task was reported as running at the destination. Both are 0 before that.
	StoppedAt, RunningAt ident.MonotonicTime
	// BeneficiaryPlacedAt is when the beneficiary was placed on the source, 0 if it was not.
	BeneficiaryPlacedAt ident.MonotonicTime

	recorded bool // whether the record of the move is durable
}

// RealizedGain returns the measured gain of a move. If the move frees capacity, the gain is the expected
// wait of the beneficiary without the move, minus its wait since the start of the move and the cost of the
// move. If the task leaves a slow machine, the gain is the expected gain minus the duration of the move. A
// move that has not reached its purpose has the negative of its cost as gain, or 0 if its task was not
// stopped.
func (m *Move) RealizedGain() time.Duration {
	cost := time.Duration(0)
	if m.StoppedAt > 0 {
		cost = m.Cost
	}
	if m.Purpose == rebalance.LeavesSlowMachine && m.RunningAt > 0 {
		return m.Gain - m.RunningAt.Sub(m.StartedAt)
	}
	if m.BeneficiaryPlacedAt == 0 {
		return -cost
	}
	return m.ExpectedWait - m.BeneficiaryPlacedAt.Sub(m.StartedAt) - cost
}

// atSource reports whether the attempt that is to be moved is still assigned to the source.
func (m *Move) atSource(o Observation) bool { return o.Attempt == m.Attempt && o.Machine == m.From }

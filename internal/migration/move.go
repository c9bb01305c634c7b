package migration

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/rebalance"
)

// Move is one move of a task.
type Move struct {
	rebalance.Move
	Attempt    ident.Attempt // of the task when the move was proposed
	State      State
	Reason     Reason
	StartedAt  ident.MonotonicTime
	StateSince ident.MonotonicTime // when it entered its state
	// StoppedAt and RunningAt are when the task was proven to have left its machine and when it
	// was reported as running at the destination, 0 if that has not happened.
	StoppedAt, RunningAt ident.MonotonicTime
	// BeneficiaryPlacedAt is when the beneficiary was placed on the machine that the task left, 0
	// if it was not.
	BeneficiaryPlacedAt ident.MonotonicTime

	recorded bool // the record is durable
}

// RealizedGain returns the measured gain of a move. For one that frees capacity that is by how much
// sooner the beneficiary was placed than expected without the move, less the cost of the move; for
// one off a slow machine, the expected gain less the time that the move took.
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

// atSource reports whether the task is still in the attempt that is to be moved, on its machine.
func (m *Move) atSource(o Observation) bool { return o.Attempt == m.Attempt && o.Machine == m.From }

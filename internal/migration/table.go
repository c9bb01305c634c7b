package migration

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/rebalance"
)

// Config holds the timeouts of the states of a move.
type Config struct {
	// RecordTimeout is the maximum time for the record to become durable.
	RecordTimeout time.Duration
	// StopTimeout is the maximum time until it is certain that the task no longer runs on the source,
	// in addition to the grace period for its checkpoint.
	StopTimeout time.Duration
	// PlaceTimeout is the maximum time for which capacity stays reserved for a stopped task.
	PlaceTimeout time.Duration
	// StartTimeout is the maximum time for the start at the destination, in addition to the image pull.
	StartTimeout time.Duration
}

// DefaultConfig returns the default timeouts for a heartbeat interval.
func DefaultConfig(heartbeatInterval time.Duration) Config {
	return Config{
		RecordTimeout: 2 * time.Second,
		StopTimeout:   3 * heartbeatInterval,
		PlaceTimeout:  5 * time.Second,
		StartTimeout:  4 * heartbeatInterval,
	}
}

// EffectKind is a kind of action that the caller of Table.Advance executes for a move.
type EffectKind uint8

// The kinds of effects.
const (
	// StopTask stops the task, with a grace period for its checkpoint.
	StopTask EffectKind = iota
	// PlaceTask places the task at the destination and releases the reservation there.
	PlaceTask
	// ReleaseReservation releases the capacity reserved for the move.
	ReleaseReservation
	// ReportEnd logs the end of the move.
	ReportEnd
)

// Effect is an action that the caller of Table.Advance executes for a move.
type Effect struct {
	Kind EffectKind
	Move *Move
}

// effects returns effects of the given kinds for a move, in the order of kinds.
func effects(m *Move, kinds ...EffectKind) []Effect {
	out := make([]Effect, 0, len(kinds))
	for _, kind := range kinds {
		out = append(out, Effect{Kind: kind, Move: m})
	}
	return out
}

// maxRecent is the maximum number of ended moves that a Table keeps.
const maxRecent = 100

// Table holds the moves of a leader's term.
type Table struct {
	config Config
	active []*Move
	recent []*Move // newest last

	// EndedByReason counts the ended moves by reason.
	EndedByReason map[Reason]uint64
	// TotalGain is the sum of the realized gains of the moves that reached the state Running.
	TotalGain time.Duration
}

// NewTable returns an empty table for a leader's term.
func NewTable(config Config) *Table {
	return &Table{config: config, EndedByReason: map[Reason]uint64{}}
}

// Active returns the moves that have not ended, in the order in which they were started.
func (t *Table) Active() []*Move { return t.active }

// Recent returns the last moves that ended, at most maxRecent, the newest first.
func (t *Table) Recent() []*Move {
	out := slices.Clone(t.recent)
	slices.Reverse(out)
	return out
}

// Begin starts a proposed move. attempt is the current attempt of its task.
func (t *Table) Begin(proposal rebalance.Move, attempt ident.Attempt, now ident.MonotonicTime) *Move {
	m := &Move{Move: proposal, Attempt: attempt, State: Proposed, StartedAt: now, StateSince: now}
	t.active = append(t.active, m)
	return m
}

// MarkRecorded marks the record of a move as durable, so that the next Advance stops its task. It has no
// effect on a move that has been abandoned.
func (t *Table) MarkRecorded(m *Move) { m.recorded = true }

// transition changes the state of a move. No other function changes it.
func (t *Table) transition(m *Move, state State, reason Reason, now ident.MonotonicTime) {
	m.State, m.StateSince, m.Reason = state, now, reason
	switch state {
	case Stopped:
		m.StoppedAt = now
	case Running:
		m.RunningAt = now
	}
	if state.Ended() {
		t.EndedByReason[reason]++
	}
}

// Advance moves all active moves to their next states, according to their observations, and returns the
// effects in the order in which the caller must execute them.
func (t *Table) Advance(now ident.MonotonicTime, observe func(*Move) Observation) []Effect {
	var out []Effect
	for _, m := range t.active {
		out = append(out, t.advance(m, now, observe(m))...)
	}
	t.active = slices.DeleteFunc(t.active, func(m *Move) bool { return m.State.Ended() })
	for _, m := range t.recent {
		t.trackBeneficiary(m, now, observe)
	}
	for _, e := range out {
		if e.Kind == ReportEnd {
			t.addRecent(e.Move)
		}
	}
	return out
}

// addRecent adds an ended move to the recent moves, and its gain to TotalGain if it succeeded.
func (t *Table) addRecent(m *Move) {
	if m.State == Running {
		t.TotalGain += m.RealizedGain()
	}
	t.recent = append(t.recent, m)
	t.recent = t.recent[max(0, len(t.recent)-maxRecent):]
}

// trackBeneficiary sets BeneficiaryPlacedAt on a successful move when its beneficiary has been placed in the
// freed capacity, and updates TotalGain. It does nothing after the expected wait without the move, because
// a later placement is no gain.
func (t *Table) trackBeneficiary(m *Move, now ident.MonotonicTime, observe func(*Move) Observation) {
	if m.State != Running || m.Purpose != rebalance.FreesCapacity || m.BeneficiaryPlacedAt > 0 {
		return
	}
	if now.Sub(m.StartedAt) > m.ExpectedWait {
		return
	}
	if observe(m).BeneficiaryPlaced {
		before := m.RealizedGain()
		m.BeneficiaryPlacedAt = now
		t.TotalGain += m.RealizedGain() - before
	}
}

// advance moves one move to its next state if its observation permits it. It changes a move from Stopping
// through Stopped to Placing in one call if the task may be placed at once.
func (t *Table) advance(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if o.BeneficiaryPlaced && m.BeneficiaryPlacedAt == 0 {
		m.BeneficiaryPlacedAt = now
	}
	var out []Effect
	for {
		step := t.step(m, now, o)
		out = append(out, step...)
		// A task that this step found to be stopped is placed at once, without waiting for the next call.
		if m.State != Stopped || len(step) > 0 || !o.canPlace() {
			return out
		}
	}
}

// step moves a move from its current state to the next one, if the observation permits it.
func (t *Table) step(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch m.State {
	case Proposed:
		return t.advanceProposed(m, now, o)
	case Stopping:
		return t.advanceStopping(m, now, o)
	case Stopped:
		return t.advanceStopped(m, now, o)
	case Placing:
		return t.advancePlacing(m, now, o)
	}
	return nil
}

// abandon ends a move without success and returns the effects that release its reservations.
func (t *Table) abandon(m *Move, reason Reason, now ident.MonotonicTime) []Effect {
	t.transition(m, Abandoned, reason, now)
	return effects(m, ReleaseReservation, ReportEnd)
}

// advanceProposed stops the task once the record is durable. Until then abandoning the move costs nothing,
// so any doubt about the move is a sufficient reason.
func (t *Table) advanceProposed(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if reason := t.abandonReason(m, now, o); reason != NotEnded {
		return t.abandon(m, reason, now)
	}
	if !m.recorded {
		return nil
	}
	t.transition(m, Stopping, NotEnded, now)
	return effects(m, StopTask)
}

// abandonReason returns the reason for abandoning a move before its task is stopped, or NotEnded if there
// is none.
func (t *Table) abandonReason(m *Move, now ident.MonotonicTime, o Observation) Reason {
	if reason := o.endReason(); reason != NotEnded {
		return reason
	}
	switch {
	case o.Task != jobs.Assigned || !m.atSource(o):
		return TaskChanged
	case !o.HasAuthority:
		return AuthorityLost
	case !o.LinksHealthy:
		return LinkSuspected
	case o.Destination != DestinationReady:
		return o.destinationReason()
	case o.DemandRecovered:
		return TeamRecovered
	case !o.BeneficiaryWaiting:
		return NotNeeded
	case now.Sub(m.StateSince) > t.config.RecordTimeout:
		return RecordOverdue
	}
	return NotEnded
}

// advanceStopping changes the move to Stopped once it is certain that the task no longer runs on the source.
func (t *Table) advanceStopping(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if reason := o.endReason(); reason != NotEnded {
		return t.abandon(m, reason, now)
	}
	switch {
	case o.Task == jobs.Waiting && o.Attempt == m.Attempt:
		t.transition(m, Stopped, NotEnded, now)
		return nil
	case !m.atSource(o):
		return t.abandon(m, TaskChanged, now)
	case o.Destination != DestinationReady:
		return t.abandon(m, o.destinationReason(), now)
	case now.Sub(m.StateSince) > m.CheckpointTime+t.config.StopTimeout:
		return t.abandon(m, StopOverdue, now)
	}
	return nil
}

// advanceStopped places the task at the destination once that is permitted.
func (t *Table) advanceStopped(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch {
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case o.Task != jobs.Waiting || o.Attempt != m.Attempt:
		return t.abandon(m, TaskChanged, now)
	case now.Sub(m.StateSince) > t.config.PlaceTimeout:
		return t.abandon(m, PlacementOverdue, now)
	case !o.canPlace():
		return nil
	case o.Destination != DestinationReady:
		return t.abandon(m, o.destinationReason(), now)
	case !o.TeamAllows:
		return t.abandon(m, TeamAtLimit, now)
	}
	t.transition(m, Placing, NotEnded, now)
	return effects(m, PlaceTask)
}

// advancePlacing ends the move once the task runs at the destination.
func (t *Table) advancePlacing(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	atDestination := o.Attempt > m.Attempt && o.Machine == m.To
	switch {
	case o.Task == jobs.Completed || atDestination && o.TaskRunning:
		t.transition(m, Running, Arrived, now)
		return effects(m, ReleaseReservation, ReportEnd)
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case !atDestination || o.Task == jobs.Waiting:
		return t.abandon(m, LostAtDestination, now)
	case now.Sub(m.StateSince) > m.ImagePullTime+t.config.StartTimeout:
		return t.abandon(m, StartOverdue, now)
	}
	return nil
}

// ByReason returns EndedByReason as a list, sorted by reason.
func (t *Table) ByReason() []Outcome {
	out := make([]Outcome, 0, len(t.EndedByReason))
	for r, n := range t.EndedByReason {
		out = append(out, Outcome{Reason: r, Count: n})
	}
	slices.SortFunc(out, func(a, b Outcome) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

// Outcome is a reason and the number of moves that ended for it.
type Outcome struct {
	Reason Reason
	Count  uint64
}

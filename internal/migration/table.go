package migration

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/rebalance"
)

// Config holds the times that bound a move.
type Config struct {
	// RecordTimeout is how long the record may take to become durable.
	RecordTimeout time.Duration
	// StopTimeout is how long the proof that a task has left its machine may take, beyond the grace
	// period for its checkpoint.
	StopTimeout time.Duration
	// PlaceTimeout is how long room is reserved for a task that has left its machine.
	PlaceTimeout time.Duration
	// StartTimeout is how long the start may take beyond the pull of the image.
	StartTimeout time.Duration
}

// DefaultConfig returns the times for a cluster with a heartbeat interval.
func DefaultConfig(heartbeatInterval time.Duration) Config {
	return Config{
		RecordTimeout: 2 * time.Second,
		StopTimeout:   3 * heartbeatInterval,
		PlaceTimeout:  5 * time.Second,
		StartTimeout:  4 * heartbeatInterval,
	}
}

// EffectKind is a kind of action that the caller of Table.Advance carries out for a move.
type EffectKind uint8

// The kinds of effects.
const (
	// StopTask stops the task, with a grace period for its checkpoint.
	StopTask EffectKind = iota
	// PlaceTask places the task at the destination and releases the reservation there.
	PlaceTask
	// ReleaseReservation releases what was reserved for the move.
	ReleaseReservation
	// ReportEnd logs the end of the move.
	ReportEnd
)

// Effect is an action to be carried out for a move.
type Effect struct {
	Kind EffectKind
	Move *Move
}

// effects returns the effects of some kinds for a move, in that order.
func effects(m *Move, kinds ...EffectKind) []Effect {
	out := make([]Effect, 0, len(kinds))
	for _, kind := range kinds {
		out = append(out, Effect{Kind: kind, Move: m})
	}
	return out
}

// maxRecent bounds the ended moves that a table keeps.
const maxRecent = 100

// Table holds the moves of a leader's term.
type Table struct {
	config Config
	active []*Move
	recent []*Move // newest last

	// EndedByReason counts the moves by how they ended.
	EndedByReason map[Reason]uint64
	// TotalGain is the sum of the realized gains of the moves that reached the state Running.
	TotalGain time.Duration
}

// NewTable makes the table of a term.
func NewTable(config Config) *Table {
	return &Table{config: config, EndedByReason: map[Reason]uint64{}}
}

// Active returns the moves that have not ended, the oldest first.
func (t *Table) Active() []*Move { return t.active }

// Recent returns the moves that have ended recently, the newest first.
func (t *Table) Recent() []*Move {
	out := slices.Clone(t.recent)
	slices.Reverse(out)
	return out
}

// Begin starts a proposed move of a task in its present attempt.
func (t *Table) Begin(proposal rebalance.Move, attempt ident.Attempt, now ident.MonotonicTime) *Move {
	m := &Move{Move: proposal, Attempt: attempt, State: Proposed, StartedAt: now, StateSince: now}
	t.active = append(t.active, m)
	return m
}

// MarkRecorded marks the record of a move as durable, so that the next Advance stops its task. It has
// no effect on a move that was abandoned meanwhile.
func (t *Table) MarkRecorded(m *Move) { m.recorded = true }

// transition changes the state of a move. All changes of state go through it.
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

// Advance takes all moves to their next states according to what observe returns for them, and returns
// the effects in the order in which they are to be carried out.
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
			t.remember(e.Move)
		}
	}
	return out
}

// remember adds an ended move to the recent ones.
func (t *Table) remember(m *Move) {
	if m.State == Running {
		t.TotalGain += m.RealizedGain()
	}
	t.recent = append(t.recent, m)
	t.recent = t.recent[max(0, len(t.recent)-maxRecent):]
}

// trackBeneficiary sets BeneficiaryPlacedAt on a completed move whose beneficiary has been placed in
// the room that was made. After the wait expected without the move there is no gain any more.
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

// advance takes one move to its next states.
func (t *Table) advance(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if o.BeneficiaryPlaced && m.BeneficiaryPlacedAt == 0 {
		m.BeneficiaryPlacedAt = now
	}
	var out []Effect
	for {
		step := t.step(m, now, o)
		out = append(out, step...)
		// A task that is proven to have left its machine is placed without waiting for the next call.
		if m.State != Stopped || len(step) > 0 || !o.canPlace() {
			return out
		}
	}
}

// step takes a move from its present state to the next one, if the observation permits that.
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

// abandon ends a move without success and releases its reservations.
func (t *Table) abandon(m *Move, reason Reason, now ident.MonotonicTime) []Effect {
	t.transition(m, Abandoned, reason, now)
	return effects(m, ReleaseReservation, ReportEnd)
}

// advanceProposed waits for the record to become durable, then stops the task. Until then abandoning
// the move costs nothing, so any doubt about it suffices.
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

// abandonReason returns the reason for abandoning a move before its task is stopped, NotEnded if
// there is none.
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

// advanceStopping waits for the proof that the task has left its machine.
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

// advanceStopped places the task at the destination.
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

// advancePlacing waits for the task to run at the destination.
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

// ByReason returns EndedByReason as a list in the order of the reasons.
func (t *Table) ByReason() []Outcome {
	out := make([]Outcome, 0, len(t.EndedByReason))
	for r, n := range t.EndedByReason {
		out = append(out, Outcome{Reason: r, Count: n})
	}
	slices.SortFunc(out, func(a, b Outcome) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

// Outcome is the number of moves that ended for a reason.
type Outcome struct {
	Reason Reason
	Count  uint64
}

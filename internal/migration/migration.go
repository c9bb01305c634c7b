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
	// StopTimeout is how long the proof that a task has left its machine may take beyond the time
	// that the task needs for a checkpoint.
	StopTimeout time.Duration
	// PlaceTimeout is how long room is reserved for a task that has left its machine.
	PlaceTimeout time.Duration
	// StartTimeout is how long the start may take beyond the pull of the image.
	StartTimeout time.Duration
}

// DefaultConfig returns the times for a cluster whose workers send heartbeats that often.
func DefaultConfig(heartbeatInterval time.Duration) Config {
	return Config{
		RecordTimeout: 2 * time.Second,
		StopTimeout:   3 * heartbeatInterval,
		PlaceTimeout:  5 * time.Second,
		StartTimeout:  4 * heartbeatInterval,
	}
}

// Move is one move of a task.
type Move struct {
	rebalance.Move
	Attempt    ident.Attempt // of the task when the move was proposed
	State      State
	Reason     Reason
	StartedAt  ident.MonotonicTime
	StateSince ident.MonotonicTime // when it entered its state
	// StoppedAt and RunningAt are when the task was proven to have left its machine and when it
	// was seen to run at the destination, 0 if that has not happened.
	StoppedAt, RunningAt ident.MonotonicTime
	// BeneficiaryPlacedAt is when the beneficiary was placed on the machine that the task left, 0
	// if it was not.
	BeneficiaryPlacedAt ident.MonotonicTime

	recorded bool // the record is durable
}

// RealizedGain returns the measured gain of a move: by how much sooner the beneficiary got its place
// than was expected without the move, less the cost of the move; or what a task gains that has left
// a slow machine, less the time for which it did not run.
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

// DestinationStatus says whether a move's destination can still take its task.
type DestinationStatus uint8

// The states of a destination.
const (
	DestinationReady DestinationStatus = iota
	// DestinationUnschedulable: the machine is gone, silent, being terminated, or has a reclaim
	// notice.
	DestinationUnschedulable
	// DestinationFull: the reserved room is not there any more.
	DestinationFull
)

// Observation is the state of a move's task and machines at one time.
type Observation struct {
	// The task.
	JobOpen           bool
	Task              jobs.State
	Attempt           ident.Attempt
	Machine           ident.MachineID // empty unless the task is allocated
	TaskRunning       bool            // the task was seen to run in its present attempt
	ReportedElsewhere bool            // a machine that should not have the task reports it
	TeamAllows        bool            // the team's limit has room for the task

	// The beneficiary.
	BeneficiaryWaiting bool // it still waits
	BeneficiaryPlaced  bool // it was placed on the machine that the task leaves
	DemandRecovered    bool // an overloaded team has recovered since the move was proposed

	// The controller and the destination.
	HasAuthority bool // the node has the authority to place tasks
	LinksHealthy bool // no link to the zone of either machine is suspected to be broken
	Destination  DestinationStatus
}

// endReason returns TaskCompleted or JobClosed if there is nothing left to move, else NotEnded.
func (o *Observation) endReason() Reason {
	switch {
	case o.Task == jobs.Completed:
		return TaskCompleted
	case !o.JobOpen:
		return JobClosed
	}
	return NotEnded
}

// destinationReason returns DestinationTaken or DestinationClosed if the destination can't take the
// task, else NotEnded.
func (o *Observation) destinationReason() Reason {
	switch o.Destination {
	case DestinationReady:
		return NotEnded
	case DestinationFull:
		return DestinationTaken
	default:
		return DestinationClosed
	}
}

// canPlace says whether a task that has left its machine may be placed at this time.
func (o *Observation) canPlace() bool { return o.HasAuthority && !o.ReportedElsewhere }

// EffectKind is what is to be done for a move.
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

// Effect is one thing to be done for a move.
type Effect struct {
	Kind EffectKind
	Move *Move
}

// effects lists things to be done for a move, in their order.
func effects(m *Move, kinds ...EffectKind) []Effect {
	out := make([]Effect, 0, len(kinds))
	for _, kind := range kinds {
		out = append(out, Effect{Kind: kind, Move: m})
	}
	return out
}

// maxRecent bounds the ended moves that are kept.
const maxRecent = 100

// Table holds the moves of a leader's term.
type Table struct {
	config Config
	active []*Move
	recent []*Move // newest last

	// EndedByReason counts the moves by how they ended.
	EndedByReason map[Reason]uint64
	// TotalGain is the sum of the realized gains of the moves that arrived.
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

// MarkRecorded notes that the record of a move is durable. A move that was abandoned meanwhile stays
// abandoned.
func (t *Table) MarkRecorded(m *Move) { m.recorded = true }

// transition changes the state of a move. Nothing else does.
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

// Advance brings all moves up to date and returns what is to be done, in its order.
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

// remember keeps a move that has ended.
func (t *Table) remember(m *Move) {
	if m.State == Running {
		t.TotalGain += m.RealizedGain()
	}
	t.recent = append(t.recent, m)
	t.recent = t.recent[max(0, len(t.recent)-maxRecent):]
}

// trackBeneficiary notes for a move that has arrived when its beneficiary gets the room that was
// made. After the wait that was expected without the move there is nothing left to gain.
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

// advance brings one move up to date.
func (t *Table) advance(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if o.BeneficiaryPlaced && m.BeneficiaryPlacedAt == 0 {
		m.BeneficiaryPlacedAt = now
	}
	var out []Effect
	for {
		step := t.step(m, now, o)
		out = append(out, step...)
		// The proof that the task has left its machine is followed by the placement at once.
		if m.State != Stopped || len(step) > 0 || !o.canPlace() {
			return out
		}
	}
}

// step takes a move from its present state to the next one, if what that needs is observed.
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

// abandon ends a move and releases whatever was reserved for it.
func (t *Table) abandon(m *Move, reason Reason, now ident.MonotonicTime) []Effect {
	t.transition(m, Abandoned, reason, now)
	return effects(m, ReleaseReservation, ReportEnd)
}

// atSource says whether the task is still in the attempt that is to be moved, on its machine.
func (m *Move) atSource(o Observation) bool { return o.Attempt == m.Attempt && o.Machine == m.From }

// advanceProposed waits for the record. Until the task is stopped nothing is lost by giving up, so
// whatever speaks against the move abandons it.
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

// abandonReason returns what speaks against stopping the task now, NotEnded if nothing does.
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

// ByReason lists how many moves ended in which way, in a fixed order.
func (t *Table) ByReason() []Outcome {
	out := make([]Outcome, 0, len(t.EndedByReason))
	for r, n := range t.EndedByReason {
		out = append(out, Outcome{Reason: r, Count: n})
	}
	slices.SortFunc(out, func(a, b Outcome) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

// Outcome is a number of moves that ended in one way.
type Outcome struct {
	Reason Reason
	Count  uint64
}

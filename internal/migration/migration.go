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
	// StopTimeout is how long the proof that a task has left may take beyond the time that the
	// task needs to save.
	StopTimeout time.Duration
	// PlaceTimeout is how long room is kept for a task that has left its machine.
	PlaceTimeout time.Duration
	// StartTimeout is how long the start may take beyond the fetch of the image.
	StartTimeout time.Duration
}

// DefaultConfig returns the times for a cluster whose workers report that often.
func DefaultConfig(heartbeatInterval time.Duration) Config {
	return Config{RecordTimeout: 2 * time.Second, StopTimeout: 3 * heartbeatInterval, PlaceTimeout: 5 * time.Second, StartTimeout: 4 * heartbeatInterval}
}

// Move is one move of a task.
type Move struct {
	rebalance.Move
	Attempt    ident.Attempt // of the task when the move was proposed
	State      State
	Reason     Reason
	StartedAt  ident.MonotonicTime
	StateSince ident.MonotonicTime // when it entered its state
	// StoppedAt and RunningAt are when the source was proven free and when the task was seen to
	// run at the destination; 0: it didn't come to that.
	StoppedAt, RunningAt ident.MonotonicTime
	// BeneficiaryPlacedAt is when the task that waited was placed on the source; 0: it was not.
	BeneficiaryPlacedAt ident.MonotonicTime

	recorded bool
}

// RealizedGain returns the gain of a move as it came about: by how much sooner the waiting task
// got its place than was expected without the move, less what the move cost; or what a task
// gains that has left a slow machine, less the time that it was away.
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
	// DestinationUnschedulable: it is gone, silent, being returned, or announced to be taken.
	DestinationUnschedulable
	// DestinationFull: the room that was kept is not there any more.
	DestinationFull
)

// Observation is what is so of a move's task and machines at a moment.
type Observation struct {
	JobOpen     bool
	Task        jobs.State
	Attempt     ident.Attempt
	Machine     ident.MachineID // the task's machine, while it counts on one
	TaskRunning bool            // the task was seen to run in its present attempt
	// ReportedElsewhere says that some machine reports the task though it should not be there.
	ReportedElsewhere  bool
	BeneficiaryWaiting bool // the task that the move is for still waits
	BeneficiaryPlaced  bool // that task was placed on the source
	DemandRecovered    bool // a hot team has cooled since the move was proposed
	HasAuthority       bool // the node has the authority to place tasks
	LinksHealthy       bool // no link to either machine's zone is in doubt
	TeamAllows         bool // the team's limit has room for the task
	Destination        DestinationStatus
}

// EffectKind is something that a move needs done.
type EffectKind uint8

// The kinds of effects.
const (
	// StopTask tells the task to stop, with the time it needs to save.
	StopTask EffectKind = iota
	// PlaceTask places the task at the destination; its reservation is released with that.
	PlaceTask
	// ReleaseReservation gives up what was reserved for the move.
	ReleaseReservation
	// ReportEnd tells of the end of the move.
	ReportEnd
)

// Effect is one thing to be done for a move.
type Effect struct {
	Kind EffectKind
	Move *Move
}

// maxRecent bounds the moves that are remembered after their end.
const maxRecent = 100

// Table holds the moves of a term.
type Table struct {
	config Config
	active []*Move
	recent []*Move // newest last

	// EndedByReason counts the moves by how they ended.
	EndedByReason map[Reason]uint64
	// TotalGain is the sum of what the moves that arrived have gained, as it came about.
	TotalGain time.Duration
}

// NewTable makes the table of a term.
func NewTable(config Config) *Table {
	return &Table{config: config, EndedByReason: map[Reason]uint64{}}
}

// Active returns the moves under way, the oldest first.
func (t *Table) Active() []*Move { return t.active }

// Recent returns the moves that have ended of late, the newest first.
func (t *Table) Recent() []*Move {
	out := slices.Clone(t.recent)
	slices.Reverse(out)
	return out
}

// Begin takes up a proposed move of a task in its present attempt.
func (t *Table) Begin(proposal rebalance.Move, attempt ident.Attempt, now ident.MonotonicTime) *Move {
	m := &Move{Move: proposal, Attempt: attempt, State: Proposed, StartedAt: now, StateSince: now}
	t.active = append(t.active, m)
	return m
}

// Recorded notes that the record of a move is durable. One that was abandoned meanwhile stays
// abandoned.
func (t *Table) Recorded(m *Move) { m.recorded = true }

// transition is the one place where a move changes its state.
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

// Advance brings all moves up to date and returns what is to be done, in that order.
func (t *Table) Advance(now ident.MonotonicTime, observe func(*Move) Observation) []Effect {
	var effects []Effect
	for _, m := range t.active {
		effects = append(effects, t.advance(m, now, observe(m))...)
	}
	t.active = slices.DeleteFunc(t.active, func(m *Move) bool { return m.State.Ended() })
	for _, m := range t.recent {
		t.trackBeneficiary(m, now, observe)
	}
	for _, e := range effects {
		if e.Kind == ReportEnd {
			t.remember(e.Move)
		}
	}
	return effects
}

// remember keeps a move that has ended.
func (t *Table) remember(m *Move) {
	if m.State == Running {
		t.TotalGain += m.RealizedGain()
	}
	t.recent = append(t.recent, m)
	t.recent = t.recent[max(0, len(t.recent)-maxRecent):]
}

// trackBeneficiary notes for a move that has arrived when the waiting task gets the room that was made,
// for as long as the move was expected to matter.
func (t *Table) trackBeneficiary(m *Move, now ident.MonotonicTime, observe func(*Move) Observation) {
	if m.State != Running || m.Purpose != rebalance.FreesCapacity || m.BeneficiaryPlacedAt > 0 || now.Sub(m.StartedAt) > m.ExpectedWait {
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
	var effects []Effect
	for {
		step := t.step(m, now, o)
		effects = append(effects, step...)
		// The proof that the source is free is followed by the placement at once.
		if m.State != Stopped || len(step) > 0 || !t.canPlace(o) {
			return effects
		}
	}
}

// step takes a move from its present state to the next one, if it can go there.
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

// abandon ends a move; whatever was reserved is released.
func (t *Table) abandon(m *Move, reason Reason, now ident.MonotonicTime) []Effect {
	t.transition(m, Abandoned, reason, now)
	return []Effect{{ReleaseReservation, m}, {ReportEnd, m}}
}

// atSource says whether the task is still in the attempt that is to be moved, on its machine.
func (m *Move) atSource(o Observation) bool { return o.Attempt == m.Attempt && o.Machine == m.From }

// advanceProposed waits for the record. Until the task is stopped nothing is lost by giving up, so
// whatever speaks against the move ends it.
func (t *Table) advanceProposed(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if reason := t.abandonReason(m, now, o); reason != NotEnded {
		return t.abandon(m, reason, now)
	}
	if !m.recorded {
		return nil
	}
	t.transition(m, Stopping, NotEnded, now)
	return []Effect{{StopTask, m}}
}

// abandonReason returns what speaks against stopping the task now, NotEnded if nothing does.
func (t *Table) abandonReason(m *Move, now ident.MonotonicTime, o Observation) Reason {
	switch {
	case o.Task == jobs.Completed:
		return TaskCompleted
	case !o.JobOpen:
		return JobClosed
	case o.Task != jobs.Assigned || !m.atSource(o):
		return TaskChanged
	case !o.HasAuthority:
		return AuthorityLost
	case !o.LinksHealthy:
		return LinkSuspected
	case o.Destination != DestinationReady:
		return destinationReason(o.Destination)
	case o.DemandRecovered:
		return TeamRecovered
	case !o.BeneficiaryWaiting:
		return NotNeeded
	case now.Sub(m.StateSince) > t.config.RecordTimeout:
		return RecordOverdue
	}
	return NotEnded
}

// destinationReason returns the reason for a destination that can't be used.
func destinationReason(d DestinationStatus) Reason {
	if d == DestinationFull {
		return DestinationTaken
	}
	return DestinationClosed
}

// advanceStopping waits for the proof that the task has left its machine.
func (t *Table) advanceStopping(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch {
	case o.Task == jobs.Completed:
		return t.abandon(m, TaskCompleted, now)
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case o.Task == jobs.Waiting && o.Attempt == m.Attempt:
		t.transition(m, Stopped, NotEnded, now)
		return nil
	case !m.atSource(o):
		return t.abandon(m, TaskChanged, now)
	case o.Destination != DestinationReady:
		return t.abandon(m, destinationReason(o.Destination), now)
	case now.Sub(m.StateSince) > m.CheckpointTime+t.config.StopTimeout:
		return t.abandon(m, StopOverdue, now)
	}
	return nil
}

// canPlace says whether a task that has left its machine may be placed at this moment.
func (t *Table) canPlace(o Observation) bool { return o.HasAuthority && !o.ReportedElsewhere }

// advanceStopped places the task at the destination.
func (t *Table) advanceStopped(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch {
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case o.Task != jobs.Waiting || o.Attempt != m.Attempt:
		return t.abandon(m, TaskChanged, now)
	case now.Sub(m.StateSince) > t.config.PlaceTimeout:
		return t.abandon(m, PlacementOverdue, now)
	case !t.canPlace(o):
		return nil
	case o.Destination != DestinationReady:
		return t.abandon(m, destinationReason(o.Destination), now)
	case !o.TeamAllows:
		return t.abandon(m, TeamAtLimit, now)
	}
	t.transition(m, Placing, NotEnded, now)
	return []Effect{{PlaceTask, m}}
}

// advancePlacing waits for the task to run at the destination.
func (t *Table) advancePlacing(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	there := o.Attempt > m.Attempt && o.Machine == m.To
	switch {
	case o.Task == jobs.Completed || there && o.TaskRunning:
		t.transition(m, Running, Arrived, now)
		return []Effect{{ReleaseReservation, m}, {ReportEnd, m}}
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case !there || o.Task == jobs.Waiting:
		return t.abandon(m, LostAtDestination, now)
	case now.Sub(m.StateSince) > m.FetchTime+t.config.StartTimeout:
		return t.abandon(m, StartOverdue, now)
	}
	return nil
}

// ByReason lists how many moves ended in which way, in a fixed order.
func (t *Table) ByReason() []Outcome {
	out := make([]Outcome, 0, len(t.EndedByReason))
	for r, n := range t.EndedByReason {
		out = append(out, Outcome{r, n})
	}
	slices.SortFunc(out, func(a, b Outcome) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

// Outcome is a number of moves that ended in one way.
type Outcome struct {
	Reason Reason
	Count  uint64
}

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
	// RecordTime is how long the record may take to become durable.
	RecordTime time.Duration
	// StopTime is how long the proof that a task has left may take beyond the time that the
	// task needs to save.
	StopTime time.Duration
	// PlaceTime is how long room is kept for a task that has left its machine.
	PlaceTime time.Duration
	// StartTime is how long the start may take beyond the fetch of the image.
	StartTime time.Duration
}

// DefaultConfig returns the times for a cluster whose workers report that often.
func DefaultConfig(report time.Duration) Config {
	return Config{RecordTime: 2 * time.Second, StopTime: 3 * report, PlaceTime: 5 * time.Second, StartTime: 4 * report}
}

// Move is one move of a task.
type Move struct {
	rebalance.Move
	Attempt ident.Attempt // of the task when the move was proposed
	State   State
	Reason  Reason
	Began   ident.MonotonicTime
	Since   ident.MonotonicTime // when it entered its state
	// StoppedAt and RanAt are when the source was proven free and when the task was seen to
	// run at the destination; 0: it didn't come to that.
	StoppedAt, RanAt ident.MonotonicTime
	// BeneficiaryAt is when the task that waited was placed on the source; 0: it was not.
	BeneficiaryAt ident.MonotonicTime

	recorded bool
}

// Realised returns the gain of a move as it came about: by how much sooner the waiting task
// got its place than was expected without the move, less what the move cost; or what a task
// gains that has left a slow machine, less the time that it was away.
func (m *Move) Realised() time.Duration {
	cost := time.Duration(0)
	if m.StoppedAt > 0 {
		cost = m.Cost
	}
	if m.Source == rebalance.LeavesSlow && m.RanAt > 0 {
		return m.Gain - m.RanAt.Sub(m.Began)
	}
	if m.BeneficiaryAt == 0 {
		return -cost
	}
	return m.Wait - m.BeneficiaryAt.Sub(m.Began) - cost
}

// Destination says whether a move's destination can still take its task.
type Destination uint8

// The states of a destination.
const (
	DestinationReady Destination = iota
	// DestinationShut: it is gone, silent, being returned, or announced to be taken.
	DestinationShut
	// DestinationFull: the room that was kept is not there any more.
	DestinationFull
)

// Observation is what is so of a move's task and machines at a moment.
type Observation struct {
	JobOpen bool
	Task    jobs.State
	Attempt ident.Attempt
	Host    ident.MachineID // the task's machine, while it counts on one
	Runs    bool            // the task was seen to run in its present attempt
	// Elsewhere says that some machine reports the task though it should not be there.
	Elsewhere   bool
	Waits       bool // the task that the move is for still waits
	Beneficiary bool // that task was placed on the source
	Cooled      bool // a hot team has cooled since the move was proposed
	MayDecide   bool // the node has the authority to place tasks
	LinksClear  bool // no link to either machine's zone is in doubt
	TeamAllows  bool // the team's limit has room for the task
	Destination Destination
}

// EffectKind is something that a move needs done.
type EffectKind uint8

// The kinds of effects.
const (
	// Stop tells the task to stop, with the time it needs to save.
	Stop EffectKind = iota
	// Place places the task at the destination; its reservation is released with that.
	Place
	// Release gives up what was reserved for the move.
	Release
	// Report tells of the end of the move.
	Report
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

	// Ended counts the moves by how they ended.
	Ended map[Reason]uint64
	// Gained is the sum of what the moves that arrived have gained, as it came about.
	Gained time.Duration
}

// NewTable makes the table of a term.
func NewTable(config Config) *Table { return &Table{config: config, Ended: map[Reason]uint64{}} }

// Active returns the moves under way, the oldest first.
func (t *Table) Active() []*Move { return t.active }

// Recent returns the moves that have ended of late, the newest first.
func (t *Table) Recent() []*Move {
	out := slices.Clone(t.recent)
	slices.Reverse(out)
	return out
}

// Begin takes up a proposed move of a task in its present attempt.
func (t *Table) Begin(p rebalance.Move, attempt ident.Attempt, now ident.MonotonicTime) *Move {
	m := &Move{Move: p, Attempt: attempt, State: Proposed, Began: now, Since: now}
	t.active = append(t.active, m)
	return m
}

// Recorded notes that the record of a move is durable. One that was abandoned meanwhile stays
// abandoned.
func (t *Table) Recorded(m *Move) { m.recorded = true }

// to is the one place where a move changes its state.
func (t *Table) to(m *Move, s State, why Reason, now ident.MonotonicTime) {
	m.State, m.Since, m.Reason = s, now, why
	switch s {
	case Stopped:
		m.StoppedAt = now
	case Running:
		m.RanAt = now
	}
	if s.Ended() {
		t.Ended[why]++
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
		t.follow(m, now, observe)
	}
	for _, e := range effects {
		if e.Kind == Report {
			t.remember(e.Move)
		}
	}
	return effects
}

// remember keeps a move that has ended.
func (t *Table) remember(m *Move) {
	if m.State == Running {
		t.Gained += m.Realised()
	}
	t.recent = append(t.recent, m)
	t.recent = t.recent[max(0, len(t.recent)-maxRecent):]
}

// follow notes for a move that has arrived when the waiting task gets the room that was made,
// for as long as the move was expected to matter.
func (t *Table) follow(m *Move, now ident.MonotonicTime, observe func(*Move) Observation) {
	if m.State != Running || m.Source != rebalance.MakesRoom || m.BeneficiaryAt > 0 || now.Sub(m.Began) > m.Wait {
		return
	}
	if observe(m).Beneficiary {
		before := m.Realised()
		m.BeneficiaryAt = now
		t.Gained += m.Realised() - before
	}
}

// advance brings one move up to date.
func (t *Table) advance(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if o.Beneficiary && m.BeneficiaryAt == 0 {
		m.BeneficiaryAt = now
	}
	var effects []Effect
	for {
		step := t.step(m, now, o)
		effects = append(effects, step...)
		// The proof that the source is free is followed by the placement at once.
		if m.State != Stopped || len(step) > 0 || !t.placeable(o) {
			return effects
		}
	}
}

// step takes a move from its present state to the next one, if it can go there.
func (t *Table) step(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch m.State {
	case Proposed:
		return t.proposed(m, now, o)
	case Stopping:
		return t.stopping(m, now, o)
	case Stopped:
		return t.stopped(m, now, o)
	case Placing:
		return t.placing(m, now, o)
	}
	return nil
}

// abandon ends a move; whatever was reserved is released.
func (t *Table) abandon(m *Move, why Reason, now ident.MonotonicTime) []Effect {
	t.to(m, Abandoned, why, now)
	return []Effect{{Release, m}, {Report, m}}
}

// atSource says whether the task is still in the attempt that is to be moved, on its machine.
func (m *Move) atSource(o Observation) bool { return o.Attempt == m.Attempt && o.Host == m.From }

// proposed waits for the record. Until the task is stopped nothing is lost by giving up, so
// whatever speaks against the move ends it.
func (t *Table) proposed(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	if why := t.objection(m, now, o); why != NotEnded {
		return t.abandon(m, why, now)
	}
	if !m.recorded {
		return nil
	}
	t.to(m, Stopping, NotEnded, now)
	return []Effect{{Stop, m}}
}

// objection returns what speaks against stopping the task now, NotEnded if nothing does.
func (t *Table) objection(m *Move, now ident.MonotonicTime, o Observation) Reason {
	switch {
	case o.Task == jobs.Completed:
		return TaskCompleted
	case !o.JobOpen:
		return JobClosed
	case o.Task != jobs.Assigned || !m.atSource(o):
		return TaskChanged
	case !o.MayDecide:
		return AuthorityLost
	case !o.LinksClear:
		return LinkSuspected
	case o.Destination != DestinationReady:
		return closed(o.Destination)
	case o.Cooled:
		return TeamCooled
	case !o.Waits:
		return NotNeeded
	case now.Sub(m.Since) > t.config.RecordTime:
		return RecordOverdue
	}
	return NotEnded
}

// closed returns the reason for a destination that can't be used.
func closed(d Destination) Reason {
	if d == DestinationFull {
		return DestinationTaken
	}
	return DestinationClosed
}

// stopping waits for the proof that the task has left its machine.
func (t *Table) stopping(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch {
	case o.Task == jobs.Completed:
		return t.abandon(m, TaskCompleted, now)
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case o.Task == jobs.Waiting && o.Attempt == m.Attempt:
		t.to(m, Stopped, NotEnded, now)
		return nil
	case !m.atSource(o):
		return t.abandon(m, TaskChanged, now)
	case o.Destination != DestinationReady:
		return t.abandon(m, closed(o.Destination), now)
	case now.Sub(m.Since) > m.Save+t.config.StopTime:
		return t.abandon(m, StopOverdue, now)
	}
	return nil
}

// placeable says whether a task that has left its machine may be placed at this moment.
func (t *Table) placeable(o Observation) bool { return o.MayDecide && !o.Elsewhere }

// stopped places the task at the destination.
func (t *Table) stopped(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	switch {
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case o.Task != jobs.Waiting || o.Attempt != m.Attempt:
		return t.abandon(m, TaskChanged, now)
	case now.Sub(m.Since) > t.config.PlaceTime:
		return t.abandon(m, PlacementOverdue, now)
	case !t.placeable(o):
		return nil
	case o.Destination != DestinationReady:
		return t.abandon(m, closed(o.Destination), now)
	case !o.TeamAllows:
		return t.abandon(m, TeamAtLimit, now)
	}
	t.to(m, Placing, NotEnded, now)
	return []Effect{{Place, m}}
}

// placing waits for the task to run at the destination.
func (t *Table) placing(m *Move, now ident.MonotonicTime, o Observation) []Effect {
	there := o.Attempt > m.Attempt && o.Host == m.To
	switch {
	case o.Task == jobs.Completed || there && o.Runs:
		t.to(m, Running, Arrived, now)
		return []Effect{{Release, m}, {Report, m}}
	case !o.JobOpen:
		return t.abandon(m, JobClosed, now)
	case !there || o.Task == jobs.Waiting:
		return t.abandon(m, LostAtDestination, now)
	case now.Sub(m.Since) > m.Fetch+t.config.StartTime:
		return t.abandon(m, StartOverdue, now)
	}
	return nil
}

// ByReason lists how many moves ended in which way, in a fixed order.
func (t *Table) ByReason() []Outcome {
	out := make([]Outcome, 0, len(t.Ended))
	for r, n := range t.Ended {
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

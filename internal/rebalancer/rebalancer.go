// Package rebalancer moves running tasks to other machines for a leader: to make room for tasks that wait, and away
// from slow machines. Package rebalance decides which moves pay, package migration what the next step of a
// move is, and this package carries both out on the leader's tables.
package rebalancer

import (
	"log/slog"
	"slices"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/load"
	"opaldale/internal/migration"
	"opaldale/internal/placement"
	"opaldale/internal/rebalance"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// planTimeDivisor bounds the share of the time that planning takes: one part in so many.
	planTimeDivisor = 50
	// freedRoomHold is how long the room that a move makes is reserved for the task that waits.
	freedRoomHold = 10 * time.Second
	// maxCountedProposals bounds the proposals remembered.
	maxCountedProposals = 10_000
	// missedHeartbeats and heartbeatMargin bound the silence of a machine that tasks are moved to or from.
	missedHeartbeats = 2
	heartbeatMargin  = time.Second
)

// Leader is the term in which tasks are moved.
type Leader interface {
	Now() ident.MonotonicTime
	WallMS() int64
	Closed() bool
	// MayPlace reports whether the leader has the authority to place tasks at this moment.
	MayPlace() bool
	// ZoneHealthy reports whether nothing speaks against the links to a zone's machines.
	ZoneHealthy(zone string) bool
	Place(*jobs.Task, *workers.Worker)
	// RequestDispatch has waiting tasks looked at after the present event.
	RequestDispatch()
}

// Config is how tasks are moved.
type Config struct {
	Execute           bool // moves are carried out, not only reported
	Limits            settings.MigrationLimits
	HeartbeatInterval time.Duration // of the workers
}

// Tables are the leader's tables that moves work on.
type Tables struct {
	Jobs      *jobs.Table
	Workers   *workers.Table
	Teams     *placement.Teams
	Planner   *placement.Planner
	Committer *commit.Committer
}

// Rebalancer moves running tasks, for one term.
type Rebalancer struct {
	leader    Leader
	config    Config
	jobs      *jobs.Table
	workers   *workers.Table
	teams     *placement.Teams
	planner   *placement.Planner
	committer *commit.Committer

	planConfig   rebalance.Config
	speedTracker *load.SlownessEstimator
	moves        *migration.Table
	history      *migration.History
	// reservedMachines holds the destinations on which room is reserved, by move.
	reservedMachines map[*migration.Move]*workers.Worker

	slowMachines     int // machines that count as slow
	tookOverAt       ident.MonotonicTime
	teamCooledAt     ident.MonotonicTime // when an overloaded team last cooled; 0: none did
	nextPlanAt       ident.MonotonicTime // no plan before
	proposedMoves    uint64
	proposedGain     time.Duration
	skippedRounds    [holdReasonCount]uint64 // rounds without a plan, by reason
	countedProposals map[proposal]bool       // proposals of this term, which are not counted again
}

// proposal identifies a move that is proposed.
type proposal struct {
	task, beneficiary ident.TaskID
}

// New returns a rebalancer that knows of no moves.
func New(config Config, leader Leader, tables Tables) *Rebalancer {
	planConfig := rebalance.DefaultConfig()
	planConfig.GainMargin = config.Limits.MinGainFactor
	planConfig.Budgets.Cluster = config.Limits.Cluster
	planConfig.Budgets.Zone = config.Limits.Zone
	planConfig.Budgets.Team = config.Limits.Team
	planConfig.MinWait = config.Limits.MinTaskWait
	planConfig.MinRuntime = config.Limits.MinRunTime
	return &Rebalancer{
		leader:           leader,
		config:           config,
		jobs:             tables.Jobs,
		workers:          tables.Workers,
		teams:            tables.Teams,
		planner:          tables.Planner,
		committer:        tables.Committer,
		planConfig:       planConfig,
		speedTracker:     load.NewSlownessEstimator(),
		moves:            migration.NewTable(migration.DefaultConfig(config.HeartbeatInterval)),
		history:          migration.NewHistory(tables.Committer, leader.WallMS),
		reservedMachines: map[*migration.Move]*workers.Worker{},
		countedProposals: map[proposal]bool{},
	}
}

// Restore takes over the record of a job's moves in earlier terms.
func (r *Rebalancer) Restore(pair kvstore.KeyValue) {
	r.history.Load(pair.Key, pair.Value, pair.Revision)
}

// ForgetJob forgets the moves of a job that is over.
func (r *Rebalancer) ForgetJob(id ident.JobID) { r.history.Forget(id) }

// TakeOver begins the term, when all records are restored. A move of an earlier term is abandoned: its task goes on
// where it is, or is placed anew like any other once it is proven to have left.
func (r *Rebalancer) TakeOver() {
	r.tookOverAt = r.leader.Now()
	r.history.Prune(func(id ident.JobID) bool { return r.jobs.Jobs[id] != nil })
	for _, id := range r.history.Interrupted(r.openAttempt) {
		slog.Info("abandoning move of an earlier term", "task", id.String())
	}
}

// openAttempt returns the present attempt of a task that has not completed.
func (r *Rebalancer) openAttempt(id ident.TaskID) (ident.Attempt, bool) {
	t := r.findTask(id)
	if t == nil || t.State == jobs.Completed {
		return 0, false
	}
	return t.Attempt, true
}

// findTask returns a task of a job that is not over, nil if there is none.
func (r *Rebalancer) findTask(id ident.TaskID) *jobs.Task {
	j := r.jobs.Jobs[id.Job]
	if j == nil || id.Index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[id.Index]
}

// PlanRound plans moves, and begins those that pay or only reports them.
func (r *Rebalancer) PlanRound() {
	now := r.leader.Now()
	waiting, hold := r.beneficiaries(now)
	if hold != HoldNone {
		r.skippedRounds[hold]++
		slog.Debug("rebalancing round skipped", "reason", hold.String())
		return
	}
	moves := rebalance.Plan(r.planConfig, r.planInput(waiting, now))
	done := r.leader.Now()
	r.nextPlanAt = done.Add(planTimeDivisor * done.Sub(now))
	slog.Debug("rebalancing round planned", "waiting", len(waiting), "moves", len(moves),
		"took_ms", done.Sub(now).Seconds()*1000)
	for _, move := range moves {
		r.countProposal(move)
		if r.config.Execute {
			r.startMove(move, done)
		}
	}
}

// beneficiaries lists the tasks that others could be moved for, or says why no move is proposed.
func (r *Rebalancer) beneficiaries(now ident.MonotonicTime) ([]rebalance.WaitingTask, HoldReason) {
	if hold := r.currentHold(now); hold != HoldNone {
		return nil, hold
	}
	waiting := r.waitingTasks(now)
	if len(waiting) == 0 && r.slowMachines == 0 {
		return nil, HoldNothingWaiting
	}
	return waiting, HoldNone
}

// countProposal counts a proposal once.
func (r *Rebalancer) countProposal(move rebalance.Move) {
	key := proposal{task: move.Task, beneficiary: move.BeneficiaryID}
	if r.countedProposals[key] {
		return
	}
	if len(r.countedProposals) >= maxCountedProposals {
		clear(r.countedProposals)
	}
	r.countedProposals[key] = true
	r.proposedMoves++
	r.proposedGain += move.Gain - move.Cost
	logMove("move proposed", move)
}

// logMove logs a move that is proposed or begun.
func logMove(message string, move rebalance.Move) {
	slog.Info(message, "task", move.Task.String(), "source", move.Purpose.String(), "team", move.Team,
		"from", string(move.From), "to", string(move.To), "for", move.Beneficiary(),
		"gain_s", move.Gain.Seconds(), "cost_s", move.Cost.Seconds())
}

// startMove begins a proposed move: its room is reserved, and it is recorded. The task is stopped once the record
// is durable.
func (r *Rebalancer) startMove(planned rebalance.Move, now ident.MonotonicTime) {
	t, destination := r.findTask(planned.Task), r.workers.Workers[planned.To]
	if t == nil || destination == nil {
		return
	}
	if !destination.Reserve(workers.Reservation{Resources: planned.Need, Priority: t.Job.Spec.Priority}) {
		return
	}
	move := r.moves.Begin(planned, t.Attempt, now)
	r.reservedMachines[move] = destination
	logMove("move started", planned)
	r.history.RecordMove(move, func() {
		if !r.leader.Closed() {
			r.moves.MarkRecorded(move)
		}
	})
}

// Advance brings all moves up to date and carries out what follows from that.
func (r *Rebalancer) Advance() {
	for _, effect := range r.moves.Advance(r.leader.Now(), r.observe) {
		switch effect.Kind {
		case migration.StopTask:
			r.stopTask(effect.Move)
		case migration.PlaceTask:
			r.placeTask(effect.Move)
		case migration.ReleaseReservation:
			r.releaseReservation(effect.Move)
		case migration.ReportEnd:
			r.logMoveEnded(effect.Move)
		}
	}
}

// observe gathers the facts about a move's task and machines.
func (r *Rebalancer) observe(move *migration.Move) migration.Observation {
	observation := migration.Observation{
		HasAuthority:      r.leader.MayPlace(),
		LinksHealthy:      r.linksHealthy(move),
		DemandRecovered:   r.teamCooledAt > move.StartedAt,
		Destination:       r.destinationStatus(move),
		ReportedElsewhere: r.workers.HasUnknownAttempt(move.Task),
	}
	if t := r.findTask(move.Task); t != nil {
		observation.JobOpen = t.Job.Phase == jobs.Open
		observation.Task, observation.Attempt, observation.TaskRunning = t.State, t.Attempt, t.SeenRunning()
		if t.State.Allocated() {
			observation.Machine = t.MachineID
		}
		observation.TeamAllows = r.teams.Allows(t.Job.Spec, 1)
	}
	if move.Purpose == rebalance.LeavesSlowMachine {
		observation.BeneficiaryWaiting = true // the moved task itself
	} else if t := r.findTask(move.BeneficiaryID); t != nil {
		observation.BeneficiaryWaiting = t.Job.Phase == jobs.Open && t.State == jobs.Waiting
		observation.BeneficiaryPlaced = t.State.Allocated() && t.MachineID == move.From
	}
	return observation
}

// linksHealthy reports whether nothing speaks against the links to the zone of either machine.
func (r *Rebalancer) linksHealthy(move *migration.Move) bool {
	from, to := r.workers.Workers[move.From], r.workers.Workers[move.To]
	return from != nil && to != nil && r.leader.ZoneHealthy(from.Zone) && r.leader.ZoneHealthy(to.Zone)
}

// destinationStatus returns whether a move's destination still has the room that was reserved on it.
func (r *Rebalancer) destinationStatus(move *migration.Move) migration.DestinationStatus {
	w := r.reservedMachines[move]
	if w == nil || !r.usable(w) {
		return migration.DestinationUnschedulable
	}
	if !w.ReservationCovered() {
		return migration.DestinationFull
	}
	return migration.DestinationReady
}

// usable reports whether a machine takes tasks, and was heard of late.
func (r *Rebalancer) usable(w *workers.Worker) bool {
	return w.Schedulable(r.leader.Now()) && r.recentlyHeard(w)
}

// recentlyHeard reports whether a machine was heard of late, and receives commands.
func (r *Rebalancer) recentlyHeard(w *workers.Worker) bool {
	return r.workers.Reachable(w.ID, missedHeartbeats*r.config.HeartbeatInterval+heartbeatMargin)
}

// stopTask stops the task, and reserves the room that it leaves for the one that waits.
func (r *Rebalancer) stopTask(move *migration.Move) {
	t, from := r.findTask(move.Task), r.workers.Workers[move.From]
	gracePeriod := t.CheckpointGracePeriod()
	if j := r.jobs.Jobs[move.BeneficiaryID.Job]; j != nil {
		r.planner.ReserveFor(from, j, r.leader.Now().Add(gracePeriod+freedRoomHold))
	}
	r.workers.StopTask(from, t, gracePeriod)
}

// placeTask places the task where room is reserved for it.
func (r *Rebalancer) placeTask(move *migration.Move) {
	w := r.reservedMachines[move]
	r.releaseReservation(move)
	r.leader.Place(r.findTask(move.Task), w)
}

// releaseReservation releases what is reserved for a move. The room at the source is released only if the move was
// abandoned before its task was stopped.
func (r *Rebalancer) releaseReservation(move *migration.Move) {
	if w := r.reservedMachines[move]; w != nil {
		w.ReleaseReservation()
		delete(r.reservedMachines, move)
	}
	from, beneficiary := r.workers.Workers[move.From], r.jobs.Jobs[move.BeneficiaryID.Job]
	notStopped := move.State == migration.Abandoned && move.StoppedAt == 0
	if notStopped && from != nil && beneficiary != nil {
		r.planner.ReleaseReservation(from, beneficiary)
	}
	r.leader.RequestDispatch()
}

func (r *Rebalancer) logMoveEnded(move *migration.Move) {
	slog.Info("move ended", "task", move.Task.String(), "team", move.Team, "from", string(move.From), "to", string(move.To),
		"state", move.State.String(), "reason", move.Reason.String(), "took_s", r.leader.Now().Sub(move.StartedAt).Seconds())
}

// RecordTeamCooled records that an overloaded team asks for no more than its quota again.
func (r *Rebalancer) RecordTeamCooled(now ident.MonotonicTime) { r.teamCooledAt = now }

// Moves lists the moves under way, and those that have ended of late.
func (r *Rebalancer) Moves() []*migration.Move {
	return slices.Concat(r.moves.Active(), r.moves.Recent())
}

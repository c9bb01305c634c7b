// Package rebalancer moves running tasks to other machines for a leader: to make room for tasks that wait, and away
// from slow machines. Package rebalance decides which moves are worth their cost, package migration what the next step of a
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
	// planTimeDivisor bounds the share of the time that planning takes: the pause after a plan is planTimeDivisor times
	// its duration.
	planTimeDivisor = 50
	// freedRoomHold is how long the room freed by a move stays reserved for the waiting task, after the grace period of
	// the task that is moved.
	freedRoomHold = 10 * time.Second
	// maxCountedProposals bounds the proposals that are remembered as counted.
	maxCountedProposals = 10_000
	// missedHeartbeats and heartbeatMargin define the silence after which no tasks are moved to or from a machine:
	// missedHeartbeats heartbeat intervals and heartbeatMargin.
	missedHeartbeats = 2
	heartbeatMargin  = time.Second
)

// Leader is the term of leadership for which tasks are moved.
type Leader interface {
	Now() ident.MonotonicTime
	WallMS() int64
	// Closed reports whether the term has ended.
	Closed() bool
	// MayPlace reports whether the leader has the authority to place tasks at this moment.
	MayPlace() bool
	// ZoneHealthy reports whether the leader's link to a zone's machines works reliably.
	ZoneHealthy(zone string) bool
	// Place records the placement of a waiting task, which is launched once that is durable.
	Place(*jobs.Task, *workers.Worker)
	// RequestDispatch makes the leader dispatch waiting tasks after the present event.
	RequestDispatch()
}

// Config configures a Rebalancer.
type Config struct {
	Execute           bool // carry out moves; otherwise they are only reported
	Limits            settings.MigrationLimits
	HeartbeatInterval time.Duration // of the workers
}

// Tables are the leader's tables that a Rebalancer reads and changes.
type Tables struct {
	Jobs      *jobs.Table
	Workers   *workers.Table
	Teams     *placement.Teams
	Planner   *placement.Planner
	Committer *commit.Committer
}

// Rebalancer moves running tasks, for one term. It is not safe for concurrent use.
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
	// reservedMachines holds the destination of each move while room is reserved on it.
	reservedMachines map[*migration.Move]*workers.Worker

	slowMachines     int // machines that count as slow
	tookOverAt       ident.MonotonicTime
	teamCooledAt     ident.MonotonicTime // when a team was last no longer overloaded; 0: never
	nextPlanAt       ident.MonotonicTime // earliest next plan
	proposedMoves    uint64
	proposedGain     time.Duration
	skippedRounds    [holdReasonCount]uint64 // rounds without a plan, by reason
	countedProposals map[proposal]bool       // proposals that are included in proposedMoves
}

// proposal identifies a move that is proposed.
type proposal struct {
	task, beneficiary ident.TaskID
}

// New returns a rebalancer without any moves. Restore, for each stored record, and TakeOver must follow.
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

// Restore loads the stored record of a job's moves in earlier terms.
func (r *Rebalancer) Restore(pair kvstore.KeyValue) {
	r.history.Load(pair.Key, pair.Value, pair.Revision)
}

// ForgetJob forgets the moves of a job that has been archived.
func (r *Rebalancer) ForgetJob(id ident.JobID) { r.history.Forget(id) }

// TakeOver begins the term after all records are restored. Moves of earlier terms are abandoned: a task that is still
// running stays where it is, and a stopped one is placed like any other once it is proven to have left its machine.
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

// findTask returns a task of a live job, or nil if there is none.
func (r *Rebalancer) findTask(id ident.TaskID) *jobs.Task {
	j := r.jobs.Jobs[id.Job]
	if j == nil || id.Index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[id.Index]
}

// PlanRound plans moves whose gain exceeds their cost, and starts them if Config.Execute is set.
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

// beneficiaries lists the waiting tasks for which others may be moved, or returns the reason for which no moves are planned.
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

// countProposal counts and logs a proposal, unless it has been counted before.
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

// startMove begins a proposed move: it reserves room on the destination, and records the move. The task is stopped once the
// record is durable.
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

// Advance updates the state of all moves, and carries out the effects of that. It is called after each event.
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

// linksHealthy reports whether the links to the zones of both machines work reliably.
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

// usable reports whether a machine accepts tasks and was heard recently.
func (r *Rebalancer) usable(w *workers.Worker) bool {
	return w.Schedulable(r.leader.Now()) && r.recentlyHeard(w)
}

// recentlyHeard reports whether a machine was heard recently, and receives commands.
func (r *Rebalancer) recentlyHeard(w *workers.Worker) bool {
	return r.workers.Reachable(w.ID, missedHeartbeats*r.config.HeartbeatInterval+heartbeatMargin)
}

// stopTask stops the task of a move, and reserves the room that it frees for the waiting task.
func (r *Rebalancer) stopTask(move *migration.Move) {
	t, from := r.findTask(move.Task), r.workers.Workers[move.From]
	gracePeriod := t.CheckpointGracePeriod()
	if j := r.jobs.Jobs[move.BeneficiaryID.Job]; j != nil {
		r.planner.ReserveFor(from, j, r.leader.Now().Add(gracePeriod+freedRoomHold))
	}
	r.workers.StopTask(from, t, gracePeriod)
}

// placeTask places the task of a move on its destination, in the reserved room.
func (r *Rebalancer) placeTask(move *migration.Move) {
	w := r.reservedMachines[move]
	r.releaseReservation(move)
	r.leader.Place(r.findTask(move.Task), w)
}

// releaseReservation releases the room reserved for a move on its destination. If the move was abandoned before its task was
// stopped, the room reserved on the source is released as well.
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

// RecordTeamCooled records that a team is no longer overloaded.
func (r *Rebalancer) RecordTeamCooled(now ident.MonotonicTime) { r.teamCooledAt = now }

// Moves lists the active moves, and those that have ended recently.
func (r *Rebalancer) Moves() []*migration.Move {
	return slices.Concat(r.moves.Active(), r.moves.Recent())
}

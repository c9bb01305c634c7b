// Package rebalancer moves running tasks to other machines on behalf of a leader, to free capacity for waiting tasks and to
// get tasks off slow machines. Package rebalance decides which moves are worth their cost, and package migration determines
// the next step of each move. This package supplies both with the state of the leader's tables, and executes their decisions.
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
	// planTimeDivisor limits the share of time spent on planning: the pause after a plan is planTimeDivisor times its
	// duration.
	planTimeDivisor = 50
	// freedCapacityReservation is how long the capacity freed by a move stays reserved for the waiting task after the
	// grace period of the moved task.
	freedCapacityReservation = 10 * time.Second
	// maxCountedProposals is the maximum number of proposals kept to avoid counting a proposal twice.
	maxCountedProposals = 10_000
	// missedHeartbeats and heartbeatMargin define the time without a heartbeat after which no tasks are moved to or from
	// a machine: missedHeartbeats heartbeat intervals plus heartbeatMargin.
	missedHeartbeats = 2
	heartbeatMargin  = time.Second
)

// Leader is the leader's term in which a Rebalancer runs.
type Leader interface {
	Now() ident.MonotonicTime
	WallMS() int64
	// Closed reports whether the term has ended.
	Closed() bool
	// MayPlace reports whether the leader currently has the authority to place tasks.
	MayPlace() bool
	// ZoneHealthy reports whether the leader's link to a zone's machines is healthy.
	ZoneHealthy(zone string) bool
	// Place records the placement of a waiting task. The task is launched once the record is durable.
	Place(*jobs.Task, *workers.Worker)
	// RequestDispatch makes the leader dispatch waiting tasks after the current event.
	RequestDispatch()
}

// Config configures a Rebalancer.
type Config struct {
	Execute           bool // whether to execute moves; otherwise they are only reported
	Limits            settings.MigrationLimits
	HeartbeatInterval time.Duration // interval of the workers' heartbeats
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

	planConfig        rebalance.Config
	slownessEstimator *load.SlownessEstimator
	moves             *migration.Table
	history           *migration.History
	// reservedMachines holds the destination of each move while capacity is reserved on it.
	reservedMachines map[*migration.Move]*workers.Worker

	slowMachines     int // number of machines that count as slow
	tookOverAt       ident.MonotonicTime
	teamRecoveredAt  ident.MonotonicTime // when a team last left load.Overloaded; 0 if none has
	nextPlanAt       ident.MonotonicTime // earliest time of the next plan
	proposedMoves    uint64
	proposedGain     time.Duration
	skippedRounds    [holdReasonCount]uint64 // number of rounds without a plan, by reason
	countedProposals map[proposal]bool       // proposals already included in proposedMoves
}

// proposal identifies a proposed move.
type proposal struct {
	task, beneficiary ident.TaskID
}

// New returns a Rebalancer without moves. The caller must then call Restore for each stored record, and TakeOver.
func New(config Config, leader Leader, tables Tables) *Rebalancer {
	planConfig := rebalance.DefaultConfig()
	planConfig.GainMargin = config.Limits.MinGainFactor
	planConfig.Budgets.Cluster = config.Limits.Cluster
	planConfig.Budgets.Zone = config.Limits.Zone
	planConfig.Budgets.Team = config.Limits.Team
	planConfig.MinWait = config.Limits.MinTaskWait
	planConfig.MinRuntime = config.Limits.MinRunTime
	return &Rebalancer{
		leader:            leader,
		config:            config,
		jobs:              tables.Jobs,
		workers:           tables.Workers,
		teams:             tables.Teams,
		planner:           tables.Planner,
		committer:         tables.Committer,
		planConfig:        planConfig,
		slownessEstimator: load.NewSlownessEstimator(),
		moves:             migration.NewTable(migration.DefaultConfig(config.HeartbeatInterval)),
		history:           migration.NewHistory(tables.Committer, leader.WallMS),
		reservedMachines:  map[*migration.Move]*workers.Worker{},
		countedProposals:  map[proposal]bool{},
	}
}

// Restore loads the stored record of a job's moves. It is called before TakeOver.
func (r *Rebalancer) Restore(pair kvstore.KeyValue) {
	r.history.Load(pair.Key, pair.Value, pair.Revision)
}

// ForgetJob deletes the record of the moves of an archived job.
func (r *Rebalancer) ForgetJob(id ident.JobID) { r.history.Forget(id) }

// TakeOver begins the term after all records are restored. Moves of earlier terms are abandoned: a task that is still running
// keeps running on its machine, and a stopped task is placed like any other as soon as it is certain that it no longer runs
// there.
func (r *Rebalancer) TakeOver() {
	r.tookOverAt = r.leader.Now()
	r.history.Prune(func(id ident.JobID) bool { return r.jobs.Jobs[id] != nil })
	for _, id := range r.history.Interrupted(r.openAttempt) {
		slog.Info("abandoning move of an earlier term", "task", id.String())
	}
}

// openAttempt returns the current attempt of a task, and false if the task is unknown or has completed.
func (r *Rebalancer) openAttempt(id ident.TaskID) (ident.Attempt, bool) {
	t := r.findTask(id)
	if t == nil || t.State == jobs.Completed {
		return 0, false
	}
	return t.Attempt, true
}

// findTask returns a task of a live job, or nil if there is no such task.
func (r *Rebalancer) findTask(id ident.TaskID) *jobs.Task {
	j := r.jobs.Jobs[id.Job]
	if j == nil || id.Index >= j.Tasks.Len() {
		return nil
	}
	return j.Tasks.At(id.Index)
}

// PlanRound plans moves that are worth their cost, and starts them if Config.Execute is set.
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

// beneficiaries lists the waiting tasks for which others may be moved, or returns the reason why no moves are planned.
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

// countProposal counts and logs a proposed move, unless it has been counted before.
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

// logMove logs a move that has been proposed or started.
func logMove(message string, move rebalance.Move) {
	slog.Info(message, "task", move.Task.String(), "source", move.Purpose.String(), "team", move.Team,
		"from", string(move.From), "to", string(move.To), "for", move.Beneficiary(),
		"gain_s", move.Gain.Seconds(), "cost_s", move.Cost.Seconds())
}

// startMove starts a proposed move: it reserves capacity on the destination, and records the move. The task is stopped once
// the record is durable.
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

// Advance updates the states of all moves, and executes the resulting effects. It is called after each event.
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

// observe returns the current state of a move's task, beneficiary and machines.
func (r *Rebalancer) observe(move *migration.Move) migration.Observation {
	observation := migration.Observation{
		HasAuthority:      r.leader.MayPlace(),
		LinksHealthy:      r.linksHealthy(move),
		DemandRecovered:   r.teamRecoveredAt > move.StartedAt,
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

// linksHealthy reports whether the links to the zones of both machines of a move are healthy.
func (r *Rebalancer) linksHealthy(move *migration.Move) bool {
	from, to := r.workers.Workers[move.From], r.workers.Workers[move.To]
	return from != nil && to != nil && r.leader.ZoneHealthy(from.Zone) && r.leader.ZoneHealthy(to.Zone)
}

// destinationStatus returns whether a move's destination accepts tasks, and still has the capacity reserved on it.
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

// usable reports whether a machine accepts tasks and is reachable.
func (r *Rebalancer) usable(w *workers.Worker) bool {
	return w.Schedulable(r.leader.Now()) && r.reachable(w)
}

// reachable reports whether a machine has sent a heartbeat recently and receives commands.
func (r *Rebalancer) reachable(w *workers.Worker) bool {
	return r.workers.Reachable(w.ID, missedHeartbeats*r.config.HeartbeatInterval+heartbeatMargin)
}

// stopTask stops the task of a move, and reserves the capacity that it frees for the waiting task.
func (r *Rebalancer) stopTask(move *migration.Move) {
	t, from := r.findTask(move.Task), r.workers.Workers[move.From]
	gracePeriod := t.CheckpointGracePeriod()
	if j := r.jobs.Jobs[move.BeneficiaryID.Job]; j != nil {
		r.planner.ReserveFor(from, j, r.leader.Now().Add(gracePeriod+freedCapacityReservation))
	}
	r.workers.StopTask(from, t, gracePeriod)
}

// placeTask places the task of a move on its destination, and uses the capacity reserved there.
func (r *Rebalancer) placeTask(move *migration.Move) {
	w := r.reservedMachines[move]
	r.releaseReservation(move)
	r.leader.Place(r.findTask(move.Task), w)
}

// releaseReservation releases the capacity reserved for a move on its destination. If the move was abandoned before its task
// was confirmed to have left the source, it also releases the capacity reserved for the beneficiary there.
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

// RecordTeamRecovered records that the demand of a team left the state load.Overloaded.
func (r *Rebalancer) RecordTeamRecovered(now ident.MonotonicTime) { r.teamRecoveredAt = now }

// Moves lists the active moves, followed by those that ended recently.
func (r *Rebalancer) Moves() []*migration.Move {
	return slices.Concat(r.moves.Active(), r.moves.Recent())
}

package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/load"
	"opaldale/internal/migration"
	"opaldale/internal/rebalance"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// cooldownAfterHotTeam is how long nothing is proposed after a hot team has cooled.
	cooldownAfterHotTeam = 5 * time.Second
	// planTimeDivisor bounds the part of the time that plans of moves take: one in so many.
	planTimeDivisor = 50
	// unstableFleetDivisor and minUnstableMachines are how many machines may be silent, returned, or about
	// to be taken while moves are proposed: one in so many, and a few in a small fleet.
	unstableFleetDivisor = 20
	minUnstableMachines  = 2
	// freedRoomHold is how long the room that a move makes is kept for the task that waits.
	freedRoomHold = 10 * time.Second
	// maxCountedProposals bounds the proposals remembered.
	maxCountedProposals = 10_000
)

// rebalancer is a leader's part in moving running tasks, for one term.
type rebalancer struct {
	leader        *leaderTerm
	executesMoves bool // moves are carried out, not only reported
	config        rebalance.Config
	speedTracker  *load.SlownessEstimator
	moves         *migration.Table
	history       *migration.History
	// reservedMachines holds the machines on which room is kept, by move.
	reservedMachines map[*migration.Move]*workers.Worker

	slowMachines     int // machines that are called slow
	tookOverAt       ident.MonotonicTime
	teamCooledAt     ident.MonotonicTime // when a hot team last cooled; 0: none did
	nextPlanAt       ident.MonotonicTime // no plan earlier
	proposedMoves    uint64
	proposedGain     time.Duration
	skippedRounds    [holdReasonCount]uint64 // how often no plan was made, by why
	countedProposals map[proposal]bool       // proposals of the present term, not to be counted twice
}

// proposal tells moves apart.
type proposal struct {
	task, waiting ident.TaskID
}

func newRebalancer(l *leaderTerm) *rebalancer {
	tuning := &l.controller.settings.Tuning
	config := rebalance.DefaultConfig()
	config.GainMargin = tuning.Migration.MinGainFactor
	config.Budgets.Cluster, config.Budgets.Zone = tuning.Migration.Cluster, tuning.Migration.Zone
	config.Budgets.Team = tuning.Migration.Team
	config.MinWait, config.MinRuntime = tuning.Migration.MinTaskWait, tuning.Migration.MinRunTime
	return &rebalancer{
		leader:           l,
		executesMoves:    tuning.Rebalance == settings.RebalanceMove,
		config:           config,
		speedTracker:     load.NewSlownessEstimator(),
		moves:            migration.NewTable(migration.DefaultConfig(settings.Seconds(l.controller.settings.Cluster.Workers.HeartbeatS))),
		history:          migration.NewHistory(l.committer, l.env.WallMS),
		reservedMachines: map[*migration.Move]*workers.Worker{},
		countedProposals: map[proposal]bool{},
	}
}

// takeOver takes over from the term before. A move that was under way goes the ordinary way: its
// task runs on where it is, or is placed anew once it is proven to have left.
func (m *rebalancer) takeOver() {
	l := m.leader
	m.tookOverAt = l.env.Now()
	m.history.Prune(func(id ident.JobID) bool { return l.jobs.Jobs[id] != nil })
	for _, id := range m.history.Interrupted(func(id ident.TaskID) (ident.Attempt, bool) {
		t := l.findTask(id)
		if t == nil || t.State == jobs.Completed {
			return 0, false
		}
		return t.Attempt, true
	}) {
		slog.Info("move of an earlier term goes the ordinary way", "task", id.String())
	}
}

// findTask returns a task of a job that is not over, nil if there is none.
func (l *leaderTerm) findTask(id ident.TaskID) *jobs.Task {
	j := l.jobs.Jobs[id.Job]
	if j == nil || id.Index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[id.Index]
}

// planRound makes a plan, and takes up the moves that pay, or only tells of them.
func (m *rebalancer) planRound() {
	l := m.leader
	now := l.env.Now()
	waiting, hold := m.beneficiaries(now)
	if hold != holdNone {
		m.skippedRounds[hold]++
		slog.Debug("no plan of moves", "why", hold.String())
		return
	}
	moves := rebalance.Plan(m.config, m.planInput(waiting, now))
	done := l.env.Now()
	m.nextPlanAt = done.Add(planTimeDivisor * done.Sub(now))
	slog.Debug("plan of moves", "waiting", len(waiting), "moves", len(moves), "took_ms", done.Sub(now).Seconds()*1000)
	for _, move := range moves {
		m.countProposal(move)
		if m.executesMoves {
			m.startMove(move, done)
		}
	}
}

// beneficiaries lists the tasks that others could be moved for, or says why none is.
func (m *rebalancer) beneficiaries(now ident.MonotonicTime) ([]rebalance.WaitingTask, holdReason) {
	if hold := m.currentHold(now); hold != holdNone {
		return nil, hold
	}
	waiting := m.waitingTasks(now)
	if len(waiting) == 0 && m.slowMachines == 0 {
		return nil, holdNothingWaiting
	}
	return waiting, holdNone
}

// countProposal notes a proposal, once.
func (m *rebalancer) countProposal(move rebalance.Move) {
	key := proposal{move.Task, move.BeneficiaryID}
	if m.countedProposals[key] {
		return
	}
	if len(m.countedProposals) >= maxCountedProposals {
		clear(m.countedProposals)
	}
	m.countedProposals[key] = true
	m.proposedMoves++
	m.proposedGain += move.Gain - move.Cost
	logMove("a move would pay", move)
}

// logMove tells of a move that is proposed or begun.
func logMove(message string, move rebalance.Move) {
	slog.Info(message, "task", move.Task.String(), "source", move.Purpose.String(), "team", move.Team, "from", string(move.From), "to", string(move.To),
		"for", move.Beneficiary(), "gain_s", move.Gain.Seconds(), "cost_s", move.Cost.Seconds())
}

// startMove takes up a proposed move: its room is kept, and it is recorded. The task is stopped
// once that is durable.
func (m *rebalancer) startMove(planned rebalance.Move, now ident.MonotonicTime) {
	l := m.leader
	t, destination := l.findTask(planned.Task), l.workers.Workers[planned.To]
	if t == nil || destination == nil || !destination.Reserve(workers.Reservation{Resources: planned.Need, Priority: t.Job.Spec.Priority}) {
		return
	}
	move := m.moves.Begin(planned, t.Attempt, now)
	m.reservedMachines[move] = destination
	logMove("move begins", planned)
	m.history.RecordMove(move, func() {
		if !l.closed() {
			m.moves.Recorded(move)
		}
	})
}

// advance brings all moves up to date and carries out what follows from that.
func (m *rebalancer) advance() {
	for _, effect := range m.moves.Advance(m.leader.env.Now(), m.observe) {
		switch effect.Kind {
		case migration.StopTask:
			m.stopTask(effect.Move)
		case migration.PlaceTask:
			m.placeTask(effect.Move)
		case migration.ReleaseReservation:
			m.releaseReservation(effect.Move)
		case migration.ReportEnd:
			m.logMoveEnded(effect.Move)
		}
	}
}

// observe gathers what is so of a move's task and machines.
func (m *rebalancer) observe(move *migration.Move) migration.Observation {
	l := m.leader
	observation := migration.Observation{
		HasAuthority:      l.controller.allows(authority.Place),
		LinksHealthy:      m.linksHealthy(move),
		DemandRecovered:   m.teamCooledAt > move.StartedAt,
		Destination:       m.destinationState(move),
		ReportedElsewhere: l.workers.HasUnknownAttempt(move.Task),
	}
	if t := l.findTask(move.Task); t != nil {
		observation.JobOpen = t.Job.Phase == jobs.Open
		observation.Task, observation.Attempt, observation.TaskRunning = t.State, t.Attempt, t.SeenRunning()
		if t.State.Allocated() {
			observation.Machine = t.MachineID
		}
		observation.TeamAllows = l.teams.Allows(t.Job.Spec, 1)
	}
	if move.Purpose == rebalance.LeavesSlowMachine {
		observation.BeneficiaryWaiting = true // it is for the moved task itself
	} else if t := l.findTask(move.BeneficiaryID); t != nil {
		observation.BeneficiaryWaiting = t.Job.Phase == jobs.Open && t.State == jobs.Waiting
		observation.BeneficiaryPlaced = t.State.Allocated() && t.MachineID == move.From
	}
	return observation
}

// linksHealthy says whether no link to the zone of either machine is in doubt.
func (m *rebalancer) linksHealthy(move *migration.Move) bool {
	l := m.leader
	from, to := l.workers.Workers[move.From], l.workers.Workers[move.To]
	return from != nil && to != nil && l.controller.links.ZoneHealthy(from.Zone) && l.controller.links.ZoneHealthy(to.Zone)
}

// destinationState says whether a move's destination still has the room that was kept on it.
func (m *rebalancer) destinationState(move *migration.Move) migration.DestinationStatus {
	w := m.reservedMachines[move]
	if w == nil || !m.usable(w) {
		return migration.DestinationUnschedulable
	}
	if !w.ReservationCovered() {
		return migration.DestinationFull
	}
	return migration.DestinationReady
}

// usable says whether a machine takes work, and was heard of late.
func (m *rebalancer) usable(w *workers.Worker) bool {
	return w.Schedulable(m.leader.env.Now()) && m.recentlyHeard(w)
}

// recentlyHeard says whether a machine was heard of late, and hears this node.
func (m *rebalancer) recentlyHeard(w *workers.Worker) bool {
	late := 2*settings.Seconds(m.leader.controller.settings.Cluster.Workers.HeartbeatS) + time.Second
	return m.leader.workers.Reachable(w.ID, late)
}

// stopTask tells the task to stop, and keeps the room that it leaves for the one that waits.
func (m *rebalancer) stopTask(move *migration.Move) {
	l := m.leader
	t, from := l.findTask(move.Task), l.workers.Workers[move.From]
	windDown := t.CheckpointGracePeriod()
	if j := l.jobs.Jobs[move.BeneficiaryID.Job]; j != nil {
		l.planner.ReserveFor(from, j, l.env.Now().Add(windDown+freedRoomHold))
	}
	l.workers.StopTask(from, t, windDown)
}

// placeTask places the task where room was kept for it.
func (m *rebalancer) placeTask(move *migration.Move) {
	w := m.reservedMachines[move]
	m.releaseReservation(move)
	m.leader.Place(m.leader.findTask(move.Task), w)
}

// releaseReservation gives up what is kept for a move.
func (m *rebalancer) releaseReservation(move *migration.Move) {
	l := m.leader
	if w := m.reservedMachines[move]; w != nil {
		w.ReleaseReservation()
		delete(m.reservedMachines, move)
	}
	if from, j := l.workers.Workers[move.From], l.jobs.Jobs[move.BeneficiaryID.Job]; move.State == migration.Abandoned && move.StoppedAt == 0 && from != nil && j != nil {
		l.planner.ReleaseReservation(from, j)
	}
	l.requestDispatch()
}

// logMoveEnded tells of the end of a move.
func (m *rebalancer) logMoveEnded(move *migration.Move) {
	slog.Info("move ended", "task", move.Task.String(), "team", move.Team, "from", string(move.From), "to", string(move.To), "state", move.State.String(),
		"reason", move.Reason.String(), "took_s", m.leader.env.Now().Sub(move.StartedAt).Seconds())
}

package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/links"
	"opaldale/internal/load"
	"opaldale/internal/migration"
	"opaldale/internal/rebalance"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

const (
	// calmTime is how long nothing is proposed after a hot team has cooled.
	calmTime = 5 * time.Second
	// planShare bounds the part of the time that plans of moves take: one in so many.
	planShare = 50
	// unsettledPart and unsettledLeast are how many machines may be silent, returned, or about
	// to be taken while moves are proposed: one in so many, and a few in a small fleet.
	unsettledPart  = 20
	unsettledLeast = 2
	// promiseTime is how long the room that a move makes is kept for the task that waits.
	promiseTime = 10 * time.Second
	// maxProposals bounds the proposals remembered.
	maxProposals = 10_000
)

// mover is a leader's part in moving running tasks, for one term.
type mover struct {
	lead    *lead
	carries bool // moves are carried out, not only reported
	config  rebalance.Config
	speeds  *load.SlownessEstimator
	table   *migration.Table
	history *migration.History
	// held holds the machines on which room is kept, by move.
	held map[*migration.Move]*workers.Worker

	slow      int // machines that are called slow
	readyAt   ident.MonotonicTime
	cooledAt  ident.MonotonicTime // when a hot team last cooled; 0: none did
	notBefore ident.MonotonicTime // no plan earlier
	proposed  uint64
	gain      time.Duration
	heldBack  [restraintCount]uint64 // how often no plan was made, by why
	seen      map[proposal]bool      // proposals of the present term, not to be counted twice
}

// proposal tells moves apart.
type proposal struct {
	task, waiting ident.TaskID
}

func newMover(l *lead) *mover {
	tuning := &l.c.set.Tuning
	config := rebalance.DefaultConfig()
	config.GainMargin = tuning.Migration.MinGainFactor
	config.Budgets.Cluster, config.Budgets.Zone = tuning.Migration.Cluster, tuning.Migration.Zone
	config.Budgets.Team = tuning.Migration.Team
	config.MinWait, config.MinRuntime = tuning.Migration.MinTaskWait, tuning.Migration.MinRunTime
	return &mover{
		lead:    l,
		carries: tuning.Rebalance == settings.RebalanceMove,
		config:  config,
		speeds:  load.NewSlownessEstimator(),
		table:   migration.NewTable(migration.DefaultConfig(settings.Seconds(l.c.set.Cluster.Workers.HeartbeatS))),
		history: migration.NewHistory(l.commits, l.c.env.WallMS),
		held:    map[*migration.Move]*workers.Worker{},
		seen:    map[proposal]bool{},
	}
}

// adopt takes over from the term before. A move that was under way goes the ordinary way: its
// task runs on where it is, or is placed anew once it is proven to have left.
func (m *mover) adopt() {
	l := m.lead
	m.readyAt = l.c.env.Now()
	m.history.Prune(func(id ident.JobID) bool { return l.jobs.Jobs[id] != nil })
	for _, id := range m.history.Interrupted(func(id ident.TaskID) (ident.Attempt, bool) {
		t := l.task(id)
		if t == nil || t.State == jobs.Completed {
			return 0, false
		}
		return t.Attempt, true
	}) {
		slog.Info("move of an earlier term goes the ordinary way", "task", id.String())
	}
}

// task returns a task of a job that is not over, nil if there is none.
func (l *lead) task(id ident.TaskID) *jobs.Task {
	j := l.jobs.Jobs[id.Job]
	if j == nil || id.Index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[id.Index]
}

// propose makes a plan, and takes up the moves that pay, or only tells of them.
func (m *mover) propose() {
	l := m.lead
	now := l.c.env.Now()
	waiting, why := m.waitingNow(now)
	if why != unrestrained {
		m.heldBack[why]++
		slog.Debug("no plan of moves", "why", why.String())
		return
	}
	moves := rebalance.Plan(m.config, m.picture(waiting, now))
	done := l.c.env.Now()
	m.notBefore = done.Add(planShare * done.Sub(now))
	slog.Debug("plan of moves", "waiting", len(waiting), "moves", len(moves), "took_ms", done.Sub(now).Seconds()*1000)
	for _, p := range moves {
		m.count(p)
		if m.carries {
			m.begin(p, done)
		}
	}
}

// waitingNow lists the tasks that others could be moved for, or says why none is.
func (m *mover) waitingNow(now ident.MonotonicTime) ([]rebalance.WaitingTask, restraint) {
	if why := m.restrained(now); why != unrestrained {
		return nil, why
	}
	waiting := m.waiting(now)
	if len(waiting) == 0 && m.slow == 0 {
		return nil, nobodyWaits
	}
	return waiting, unrestrained
}

// count notes a proposal, once.
func (m *mover) count(p rebalance.Move) {
	key := proposal{p.Task, p.BeneficiaryID}
	if m.seen[key] {
		return
	}
	if len(m.seen) >= maxProposals {
		clear(m.seen)
	}
	m.seen[key] = true
	m.proposed++
	m.gain += p.Gain - p.Cost
	logMove("a move would pay", p)
}

// logMove tells of a move that is proposed or begun.
func logMove(what string, p rebalance.Move) {
	slog.Info(what, "task", p.Task.String(), "source", p.Purpose.String(), "team", p.Team, "from", string(p.From), "to", string(p.To),
		"for", p.Beneficiary(), "gain_s", p.Gain.Seconds(), "cost_s", p.Cost.Seconds())
}

// begin takes up a proposed move: its room is kept, and it is recorded. The task is stopped
// once that is durable.
func (m *mover) begin(p rebalance.Move, now ident.MonotonicTime) {
	l := m.lead
	t, to := l.task(p.Task), l.workers.Workers[p.To]
	if t == nil || to == nil || !to.Reserve(workers.Reservation{Resources: p.Need, Priority: t.Job.Spec.Priority}) {
		return
	}
	x := m.table.Begin(p, t.Attempt, now)
	m.held[x] = to
	logMove("move begins", p)
	m.history.RecordMove(x, func() {
		if !l.dead {
			m.table.Recorded(x)
		}
	})
}

// advance brings all moves up to date and carries out what follows from that.
func (m *mover) advance() {
	for _, e := range m.table.Advance(m.lead.c.env.Now(), m.observe) {
		switch e.Kind {
		case migration.StopTask:
			m.stop(e.Move)
		case migration.PlaceTask:
			m.place(e.Move)
		case migration.ReleaseReservation:
			m.release(e.Move)
		case migration.ReportEnd:
			m.report(e.Move)
		}
	}
}

// observe gathers what is so of a move's task and machines.
func (m *mover) observe(x *migration.Move) migration.Observation {
	l := m.lead
	o := migration.Observation{
		HasAuthority:      l.c.may(authority.Place),
		LinksHealthy:      m.linksClear(x),
		DemandRecovered:   m.cooledAt > x.StartedAt,
		Destination:       m.destination(x),
		ReportedElsewhere: l.workers.HasUnknownAttempt(x.Task),
	}
	if t := l.task(x.Task); t != nil {
		o.JobOpen = t.Job.Phase == jobs.Open
		o.Task, o.Attempt, o.TaskRunning = t.State, t.Attempt, t.SeenRunning()
		if t.State.Allocated() {
			o.Machine = t.MachineID
		}
		o.TeamAllows = l.teams.Allows(t.Job.Spec, 1)
	}
	if x.Purpose == rebalance.LeavesSlowMachine {
		o.BeneficiaryWaiting = true // it is for the moved task itself
	} else if t := l.task(x.BeneficiaryID); t != nil {
		o.BeneficiaryWaiting = t.Job.Phase == jobs.Open && t.State == jobs.Waiting
		o.BeneficiaryPlaced = t.State.Allocated() && t.MachineID == x.From
	}
	return o
}

// linksClear says whether no link to the zone of either machine is in doubt.
func (m *mover) linksClear(x *migration.Move) bool {
	l := m.lead
	from, to := l.workers.Workers[x.From], l.workers.Workers[x.To]
	return from != nil && to != nil && l.zoneClear(from.Zone) && l.zoneClear(to.Zone)
}

// zoneClear says whether nothing speaks against the links to a zone's machines, as far as
// links are watched.
func (l *lead) zoneClear(zone string) bool {
	if l.c.links == nil {
		return true
	}
	for _, direction := range []links.Direction{links.Inbound, links.Outbound} {
		v := l.c.links.monitor.Verdict(machinesLink(zone), direction)
		if v.Damped || v.State == links.Suspect || v.State == links.Down {
			return false
		}
	}
	return true
}

// destination says whether a move's destination still has the room that was kept on it.
func (m *mover) destination(x *migration.Move) migration.DestinationStatus {
	w := m.held[x]
	if w == nil || !m.usable(w) {
		return migration.DestinationUnschedulable
	}
	if !w.ReservationCovered() {
		return migration.DestinationFull
	}
	return migration.DestinationReady
}

// usable says whether a machine takes work, and was heard of late.
func (m *mover) usable(w *workers.Worker) bool {
	return w.Schedulable(m.lead.c.env.Now()) && m.heard(w)
}

// heard says whether a machine was heard of late, and hears this node.
func (m *mover) heard(w *workers.Worker) bool {
	late := 2*settings.Seconds(m.lead.c.set.Cluster.Workers.HeartbeatS) + time.Second
	return m.lead.workers.Reachable(w.ID, late)
}

// stop tells the task to stop, and keeps the room that it leaves for the one that waits.
func (m *mover) stop(x *migration.Move) {
	l := m.lead
	t, from := l.task(x.Task), l.workers.Workers[x.From]
	windDown := t.CheckpointGracePeriod()
	if j := l.jobs.Jobs[x.BeneficiaryID.Job]; j != nil {
		l.planner.ReserveFor(from, j, l.c.env.Now().Add(windDown+promiseTime))
	}
	l.workers.StopTask(from, t, windDown)
}

// place places the task where room was kept for it.
func (m *mover) place(x *migration.Move) {
	w := m.held[x]
	m.release(x)
	m.lead.Place(m.lead.task(x.Task), w)
}

// release gives up what is kept for a move.
func (m *mover) release(x *migration.Move) {
	l := m.lead
	if w := m.held[x]; w != nil {
		w.ReleaseReservation()
		delete(m.held, x)
	}
	if from, j := l.workers.Workers[x.From], l.jobs.Jobs[x.BeneficiaryID.Job]; x.State == migration.Abandoned && x.StoppedAt == 0 && from != nil && j != nil {
		l.planner.ReleaseReservation(from, j)
	}
	l.dirty = true
}

// report tells of the end of a move.
func (m *mover) report(x *migration.Move) {
	slog.Info("move ended", "task", x.Task.String(), "team", x.Team, "from", string(x.From), "to", string(x.To), "state", x.State.String(),
		"reason", x.Reason.String(), "took_s", m.lead.c.env.Now().Sub(x.StartedAt).Seconds())
}

package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/catalog"
	"opaldale/internal/commit"
	"opaldale/internal/election"
	"opaldale/internal/fleet"
	"opaldale/internal/gang"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/load"
	"opaldale/internal/machinestore"
	"opaldale/internal/placement"
	"opaldale/internal/rebalancer"
	"opaldale/internal/renewal"
	"opaldale/internal/settings"
	"opaldale/internal/storereader"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

const (
	// convertBatch bounds the lines and headers that one tick begins to rewrite in the newest format, and
	// convertInterval is how long after the last one it looks for more.
	convertBatch    = 50
	convertInterval = 5 * time.Second
	// writeShare leaves part of the store's write rate for lease renewals and elections.
	writeShare   = 0.85
	tickInterval = 500 * time.Millisecond
	// idleFactor bounds the share of the time that ticks and dispatches take: after one that was long, the next
	// comes no sooner than so many times as long.
	idleFactor = 4
	// dispatchInterval has what arrives at short intervals placed together.
	dispatchInterval = 30 * time.Millisecond
	// statsLogRounds is how many planning rounds go by between two log lines of statistics.
	statsLogRounds = 12
)

// leaderTerm is all that a leader knows, for one term only.
type leaderTerm struct {
	controller *Controller
	env        Env // bounds by the lease what only a leader may do
	term       ident.Term
	state      termState
	startedAt  ident.MonotonicTime

	committer *commit.Committer
	reader    *storereader.Reader
	jobs      *jobs.Table
	workers   *workers.Table
	machines  *machinestore.Store
	catalog   *catalog.Catalog
	teams     *placement.Teams
	planner   *placement.Planner
	fleet     *fleet.Manager
	gangs     *gang.Table

	formatUpgrader   *upgrade.Raiser
	formatLevel      ident.FormatLevel   // the format that is written
	nextConversionAt ident.MonotonicTime // no look for records in the first format before
	nextDispatchAt   ident.MonotonicTime // no dispatch before

	replies  *pendingReplies
	renewals *renewal.Registry
	contact  machineContact

	handover       *handover.Coordinator  // nil unless links are watched
	machinesByZone map[string]int         // machines that should be reachable
	loadModel      *load.Model            // nil unless load is watched
	rebalancer     *rebalancer.Rebalancer // nil unless load is watched
}

// newLeaderTerm returns a term that has loaded nothing yet.
func newLeaderTerm(c *Controller, term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare) *leaderTerm {
	now := c.env.Now()
	l := &leaderTerm{
		controller:     c,
		env:            leaderEnv{Env: c.env, validUntil: c.election.LeaseExpiry},
		term:           term,
		startedAt:      now,
		formatLevel:    level,
		replies:        newPendingReplies(c.env.After, c.refuse),
		renewals:       renewal.NewRegistry(c.renewalGrace),
		contact:        machineContact{last: now, unreachable: map[*workers.Worker]bool{}},
		machinesByZone: map[string]int{},
	}
	l.openStore(leaderKey)
	l.teams = placement.NewTeams(c.settings.Cluster.Teams)
	l.workers = workers.NewTable(l.env, l.jobs, l.workersConfig())
	l.machines = machinestore.New(l.machineStoreConfig(), l.committer, l.workers)
	l.planner = l.newPlanner()
	if c.links.Enabled() {
		l.handover = l.newHandover()
	}
	l.enableLoadTracking()
	l.fleet = fleet.New(l.env, l.workers, l.jobs, l.teams, c.rng, l.fleetConfig())
	l.gangs = l.newGangTable()
	l.jobs.OnStateChange = l.onTaskStateChange
	l.jobs.OnWaiting = func(*jobs.Task) { l.requestDispatch() }
	return l
}

// commitLimits returns the limits for writes that the limits of the store allow.
func commitLimits(s settings.StoreLimits) commit.Limits {
	return commit.Limits{
		MutationsPerTxn:    s.TxnOps,
		MutationsPerSecond: writeShare * s.WriteRPS,
		MaxValueBytes:      int(s.ValueKB * 1024),
	}
}

// strictestLimits returns the limits for writes under every limit of the store that is announced.
func (l *leaderTerm) strictestLimits() commit.Limits {
	return commitLimits(l.controller.settings.Cluster.Store.Strictest())
}

// openStore makes the components that read and write the store, at the term's format level.
func (l *leaderTerm) openStore(leaderKey kvstore.Compare) {
	c := l.controller
	limits, strictest := commitLimits(c.settings.Cluster.Store), l.strictestLimits()
	l.committer = commit.New(l.env, limits, leaderKey, func(err error) {
		c.election.Deposed(election.StepDownReason(err.Error()))
	})
	l.committer.ExpectLimits(strictest)
	l.committer.OnUnavailable = l.replies.failAll
	l.jobs = jobs.NewTable(l.committer, limits.MaxValueBytes, l.env.Now, l.env.WallMS)
	l.jobs.LimitValueBytes(strictest.MaxValueBytes)
	packed := l.formatLevel >= ident.FormatPacked
	if packed {
		l.committer.UseTextFormat()
		l.jobs.UsePackedLog()
	}
	nodes := append([]ident.NodeID{c.settings.Node}, c.peerIDs()...)
	l.formatUpgrader = upgrade.New(upgrade.Config{
		Port:      l.env,
		Term:      l.term,
		LeaderKey: leaderKey,
		Nodes:     nodes,
		Persist:   l.committer.MarkDirty,
		OnRaised:  l.enablePackedFormat,
	})
	l.reader = storereader.New(l.env, l.closed)
	catalogConfig := catalog.Config{Packed: packed, MaxValueBytes: strictest.MaxValueBytes, Closed: l.closed}
	l.catalog = catalog.New(catalogConfig, l.env, l.reader, l.committer)
}

func (l *leaderTerm) machineStoreConfig() machinestore.Config {
	return machinestore.Config{
		Term:          l.term,
		Packed:        l.formatLevel >= ident.FormatPacked,
		MaxValueBytes: l.strictestLimits().MaxValueBytes,
		Now:           l.env.Now,
		WallMS:        l.env.WallMS,
		OnPersisted:   l.requestDispatch,
	}
}

func (l *leaderTerm) workersConfig() workers.Config {
	c := l.controller
	return workers.Config{
		Term:              l.term,
		LeaseDuration:     settings.Seconds(c.settings.Cluster.Workers.LeaseS),
		LeaderGrace:       c.renewalGrace,
		Catalog:           l.catalog.Type,
		OnDeposed:         func() { c.election.Deposed(laterTermSeen) },
		OnCapacityChanged: l.requestDispatch,
		OnTaskFailed:      l.onTaskFailed,
		OnTaskCompleted: func(t *jobs.Task, w *workers.Worker) {
			if l.rebalancer != nil {
				l.rebalancer.NoteCompletion(t, w)
			}
		},
		Persist:         func(w *workers.Worker) { l.machines.Commit(w) },
		OnCommandResult: l.noteCommandOutcome,
		LastPeerRenewal: func() ident.MonotonicTime { return l.renewals.LatestRenewal(l.env.Now()) },
	}
}

func (l *leaderTerm) newPlanner() *placement.Planner {
	cfg := l.controller.settings
	return placement.NewPlanner(l.teams, l.jobs, l.workers, l, l.env.Now, placement.Config{
		UseASM1:    cfg.Tuning.PlanMode == settings.PlanASM1,
		Objectives: cfg.Cluster.Objectives,
		MaxWait:    cfg.Tuning.StarvationTimeout,
		GangWait:   cfg.Tuning.GangPreemptAfter,
	})
}

func (l *leaderTerm) newHandover() *handover.Coordinator {
	tuning := l.controller.settings.Tuning.Links
	config := handover.DefaultConfig()
	config.MinTermDuration = tuning.MinLeadTime
	config.StabilizationWindow = tuning.BetterPeerFor
	return handover.New(config, l.controller.links.LeaderHistory(), l.env.Now())
}

func (l *leaderTerm) newGangTable() *gang.Table {
	times := l.controller.settings.Cluster.Workers
	mayLaunch := func() bool { return !l.closed() && l.controller.allows(authority.Launch) }
	return gang.NewTable(l.jobs, l.workers, l.env.Now, mayLaunch, gang.Config{
		GatherTimeout:     settings.Seconds(times.GangWaitS),
		PeerLossTimeout:   settings.Seconds(times.GangPeerS),
		HeartbeatInterval: settings.Seconds(times.HeartbeatS),
	})
}

func (l *leaderTerm) fleetConfig() fleet.Config {
	c := l.controller
	config := fleet.Config{
		Term:             l.term,
		Tuning:           c.settings.Tuning,
		Cloud:            c.settings.Cluster.Cloud,
		Workers:          c.settings.Cluster.Workers,
		Catalog:          l.catalog.Types,
		ReachableViaPeer: l.requireHeartbeatSource,
		ZonePeersSilent:  l.zonePeersSilent,
		DirectContact:    func() bool { return l.contact.recent(l.env.Now()) },
		Objective:        l.planner.Objective,
		Movable: func(t *jobs.Task, from *workers.Worker) bool {
			return c.allows(authority.Place) && l.planner.Movable(t, from)
		},
		Drain:              l.drainBeforeReclaim,
		SetServiceHeadroom: func(zone string, cpus float64) { l.planner.ServiceHeadroom[zone] = cpus },
	}
	if c.links.Enabled() {
		config.ZoneUnreachable = c.links.ZoneUnreachable
		config.LocallyUnreachable = c.links.ZoneReachedByPeersOnly
	}
	return config
}

// close ends the term. The state changes first: what is stopped below calls back, and must find the term closed.
func (l *leaderTerm) close() {
	l.handle(termEnded)
	l.committer.Stop()
	l.workers.Close()
	l.fleet.Close()
	l.formatUpgrader.Close()
	l.replies.failAll()
}

// enablePackedFormat goes over to the packed format, now that it is in force. To be removed with the first
// format.
func (l *leaderTerm) enablePackedFormat() {
	if l.closed() {
		return
	}
	l.formatLevel = ident.FormatPacked
	l.controller.formatLevel = max(l.controller.formatLevel, l.formatLevel)
	l.committer.UseTextFormat()
	l.jobs.UsePackedLog()
	l.machines.UsePackedFormat()
	l.catalog.UsePackedFormat()
}

// tick does what is due at intervals: it judges the leader's own links and the load, scales the fleet, and
// retries gangs.
func (l *leaderTerm) tick() {
	if l.closed() {
		return
	}
	if l.controller.links.Enabled() {
		l.countMachinesByZone()
	}
	l.evaluateLoad()
	if !l.controller.links.Enabled() && l.controller.election.LeaseValid() && l.isolated() {
		l.resign(leaderIsolated)
		return
	}
	delay := tickInterval
	if l.controller.mayManageFleet() {
		delay = max(delay, idleFactor*l.manageFleet())
	}
	l.env.After(delay, l.tick)
}

// manageFleet does the part of a tick that changes the cluster, and returns how long it took.
func (l *leaderTerm) manageFleet() time.Duration {
	began := l.env.Now()
	l.jobs.ClearProvenHealthy()
	l.fleet.Tick()
	l.gangs.Tick()
	l.convertRecords(began)
	l.requestDispatch()
	return l.env.Now().Sub(began)
}

// convertRecords rewrites some of the records that are still in the first format, while writes have capacity to
// spare.
func (l *leaderTerm) convertRecords(now ident.MonotonicTime) {
	if l.formatLevel < ident.FormatPacked || now <= l.nextConversionAt || !l.committer.HasSpareCapacity() {
		return
	}
	if !l.jobs.ConvertToLog(convertBatch) {
		l.nextConversionAt = now.Add(convertInterval)
	}
}

// schedulePlanningRound has the next planning round run after the plan interval, and all that follow.
func (l *leaderTerm) schedulePlanningRound() {
	l.env.After(l.controller.settings.Tuning.PlanInterval, func() {
		if l.closed() {
			return
		}
		if l.controller.allows(authority.Launch) {
			l.planningRound()
		}
		l.schedulePlanningRound()
	})
}

// planningRound plans placements, and moves of running tasks.
func (l *leaderTerm) planningRound() {
	l.planner.Round()
	if l.rebalancer != nil {
		l.rebalancer.PlanRound()
	}
	l.requestDispatch()
	if l.planner.Stats.Rounds%statsLogRounds == 0 {
		l.logPlannerStats()
	}
}

func (l *leaderTerm) logPlannerStats() {
	waiting, atQuota, freeVCPUs := l.capacitySummary()
	slog.Debug("capacity", "waiting_tasks", waiting, "tasks_at_quota", atQuota, "free_vcpus", freeVCPUs)
	s := l.planner.Stats
	slog.Debug("planner statistics", "planned", s.Planned, "local", s.Local, "new", s.Uncached, "stolen", s.Stolen,
		"services", s.Services, "rounds", s.Rounds, "extra_rounds", s.ExtraRounds, "fetched_gb", s.FetchedGB,
		"plan_ms", s.PlanTime.Seconds()*1000, "preempted", s.Preempted)
}

// capacitySummary returns how many tasks wait, how many of them for their team's quota, and how much CPU is free.
func (l *leaderTerm) capacitySummary() (waiting, atQuota int, freeVCPUs float64) {
	for j := range l.jobs.Waiting {
		n := j.WaitingCount()
		waiting += n
		atQuota += n - min(n, l.teams.RemainingTasks(j.Spec))
	}
	for _, w := range l.workers.Sorted() {
		if w.Schedulable(l.env.Now()) && w.Type != nil {
			freeVCPUs += w.Type.VCPUs - w.VCPUs
		}
	}
	return waiting, atQuota, freeVCPUs
}

// afterEvent acts on what an event has changed, and writes it.
func (l *leaderTerm) afterEvent() {
	if l.closed() {
		return
	}
	if l.loaded() {
		l.gangs.ProcessChanges()
		if l.rebalancer != nil {
			l.rebalancer.Advance()
		}
	}
	if l.state.dispatchDue() && l.controller.allows(authority.Place) {
		l.dispatch()
	}
	l.committer.Flush()
}

// dispatch places what waits, or sets the wake-up timer if the last dispatch is too recent. It is called with
// authority to place only: while nothing becomes durable nothing can be launched, and what would be
// preempted for it would be preempted for nothing.
func (l *leaderTerm) dispatch() {
	now := l.env.Now()
	if now < l.nextDispatchAt {
		if !l.state.timerSet() {
			l.handle(dispatchPostponed)
			l.env.After(l.nextDispatchAt.Sub(now), func() { l.handle(wakeUpTimerFired) })
		}
		return
	}
	result := dispatchCompleted
	if l.planner.Dispatch() {
		result = dispatchTruncated
	}
	l.handle(result)
	// With thousands of jobs waiting a dispatch is long. It may take part of the time only, or the lease would
	// not be renewed.
	done := l.env.Now()
	l.nextDispatchAt = done.Add(max(dispatchInterval, idleFactor*done.Sub(now)))
}

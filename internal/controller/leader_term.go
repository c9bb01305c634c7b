package controller

// This file creates and closes a leader's term, and connects its components.

import (
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

// writeShare is the fraction of the store's write rate that the committer may use. The rest is left for lease renewals and
// elections.
const writeShare = 0.85

// leaderTerm is the state of a leader for one term. A new term begins empty and loads the stored state. Callbacks that
// may run after the end of the term must check closed.
type leaderTerm struct {
	controller *Controller
	env        Env // a leaderEnv
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
	formatLevel      ident.FormatLevel   // format of the records that are written
	nextConversionAt ident.MonotonicTime // earliest next search for records in the legacy format
	nextDispatchAt   ident.MonotonicTime // earliest next dispatch

	replies  *pendingReplies
	renewals *renewal.Registry
	contact  machineContact

	handover       *handover.Coordinator  // nil if link tracking is disabled
	machinesByZone map[string]int         // number of machines that should be reachable
	loadModel      *load.Model            // nil if load tracking is disabled
	rebalancer     *rebalancer.Rebalancer // nil if load tracking is disabled
}

// newLeaderTerm returns a term that has not loaded the stored state. leaderKey is the precondition of its transactions: the
// leader key still belongs to this term.
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
	l.jobs.OnWaiting = func(*jobs.Job) { l.requestDispatch() }
	return l
}

// commitLimits returns the committer's limits for the given limits of the store.
func commitLimits(s settings.StoreLimits) commit.Limits {
	return commit.Limits{
		MutationsPerTxn:    s.TxnOps,
		MutationsPerSecond: writeShare * s.WriteRPS,
		MaxValueBytes:      int(s.ValueKB * 1024),
	}
}

// strictestLimits returns committer limits that satisfy both the current and the announced limits of the store.
func (l *leaderTerm) strictestLimits() commit.Limits {
	return commitLimits(l.controller.settings.Cluster.Store.Strictest())
}

// openStore creates the components that read and write the store, at the term's format level.
func (l *leaderTerm) openStore(leaderKey kvstore.Compare) {
	c := l.controller
	limits, strictest := commitLimits(c.settings.Cluster.Store), l.strictestLimits()
	l.committer = commit.New(l.env, limits, leaderKey, func(err error) {
		c.election.StepDown(election.StepDownReason(err.Error()))
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
		OnLaterTerm:       func() { c.election.StepDown(laterTermSeen) },
		OnTokensExhausted: func() { c.election.StepDown(tokensExhausted) },
		OnCapacityChanged: l.requestDispatch,
		OnTaskFailed:      l.onTaskFailed,
		OnTaskCompleted: func(t *jobs.Task, w *workers.Worker) {
			if l.rebalancer != nil {
				l.rebalancer.RecordCompletion(t, w)
			}
		},
		Persist:         func(w *workers.Worker) { l.machines.Commit(w) },
		OnCommandResult: l.recordCommandOutcome,
		MayLaunch:       l.mayLaunch,
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
	config.MinTermDuration = tuning.MinTermDuration
	config.StabilizationWindow = tuning.StabilizationWindow
	return handover.New(config, l.controller.links.LeaderHistory(), l.env.Now())
}

// mayLaunch reports whether this term may send launch commands now.
func (l *leaderTerm) mayLaunch() bool { return !l.closed() && l.controller.allows(authority.Launch) }

func (l *leaderTerm) newGangTable() *gang.Table {
	times := l.controller.settings.Cluster.Workers
	return gang.NewTable(l.jobs, l.workers, l.env.Now, l.mayLaunch, gang.Config{
		GatherTimeout:     settings.Seconds(times.GangWaitS),
		PeerLossTimeout:   settings.Seconds(times.GangPeerS),
		HeartbeatInterval: settings.Seconds(times.HeartbeatS),
	})
}

func (l *leaderTerm) fleetConfig() fleet.Config {
	c := l.controller
	config := fleet.Config{
		Term:                 l.term,
		Tuning:               c.settings.Tuning,
		Cloud:                c.settings.Cluster.Cloud,
		Workers:              c.settings.Cluster.Workers,
		Catalog:              l.catalog.Types,
		ReachableViaPeer:     l.requireHeartbeatSource,
		ZonePeersUnreachable: l.zonePeersUnreachable,
		DirectContact:        func() bool { return l.contact.recent(l.env.Now()) },
		Objective:            l.planner.Objective,
		Movable: func(t *jobs.Task, from *workers.Worker) bool {
			return c.allows(authority.Place) && l.planner.Movable(t, from)
		},
		ReservationOn:      l.planner.ReservationOn,
		Drain:              l.drainBeforeReclaim,
		SetServiceHeadroom: func(zone string, cpus float64) { l.planner.ServiceHeadroom[zone] = cpus },
	}
	if c.links.Enabled() {
		config.ZoneUnreachable = c.links.ZoneUnreachable
		config.LocallyUnreachable = c.links.ZoneReachedByPeersOnly
	}
	return config
}

// close ends the term. It changes the state first, since components may call back while they are being closed, and must
// find the term closed.
func (l *leaderTerm) close() {
	l.transition(termEnded)
	l.committer.Stop()
	l.workers.Close()
	l.fleet.Close()
	l.formatUpgrader.Close()
	l.replies.failAll()
}

// enablePackedFormat switches the term to the packed format once the format level has been raised. Remove it together with
// the legacy format.
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

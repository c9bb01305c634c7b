package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/fleet"
	"opaldale/internal/gang"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/load"
	"opaldale/internal/placement"
	"opaldale/internal/renewal"
	"opaldale/internal/settings"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

// leaderTerm is all that a leader remembers, for one term only.
type leaderTerm struct {
	controller *Controller
	term       ident.Term
	committer  *commit.Committer
	jobs       *jobs.Table
	workers    *workers.Table
	teams      *placement.Teams
	planner    *placement.Planner
	fleet      *fleet.Manager

	gangs          *gang.Table
	formatUpgrader *upgrade.Raiser

	machineTypes     []cloud.MachineType
	machineTypeBySKU map[string]*cloud.MachineType
	catalogDoc       *commit.Document   // of the first format
	machineTypeDocs  []*commit.Document // from it on: one for each machine type

	formatLevel      ident.FormatLevel   // the format that is written
	maxValueBytes    int                 // of a value, at any time
	nextConversionAt ident.MonotonicTime // no look for jobs in the old form before

	openGroups      map[groupKey]*workers.RecordGroup // that new machines go into
	legacyGroups    []*workers.RecordGroup            // loaded, in the form of before
	lastGroupNumber int

	loaded           bool
	closed           bool
	startedAt        ident.MonotonicTime
	nextDispatchAt   ident.MonotonicTime // no dispatch before
	dispatchTimerSet bool                // a timer will bring the next
	dispatchNeeded   bool                // something may be placed
	// pendingReplies holds the users whose answers wait for the state service.
	pendingReplies map[uint64]func(Response)
	lastReplyID    uint64

	renewals          *renewal.Registry
	lastDirectContact ident.MonotonicTime      // when a machine last reached this node, or it one
	unreachable       map[*workers.Worker]bool // alive as a sibling hears, but not reached from here since
	lastReachProbe    ident.MonotonicTime      // when one of them was last asked

	handover       *handover.Coordinator // nil unless links are watched
	machinesByZone map[string]int        // machines that should be reached
	loadModel      *load.Model           // nil unless load is watched
	rebalancer     *rebalancer           // nil unless load is watched
}

const (
	fleetPrefix        = "fleet/"
	catalogKey         = "catalog"
	machineTypesPrefix = "types/"
	// convertBatch bounds the lines and headers that a tick begins to write anew in the
	// newest form.
	convertBatch    = 50
	convertInterval = 5 * time.Second
	// writeShare and opsShare leave room for lease renewals and elections.
	writeShare      = 0.85
	maxBacklog      = 400
	tickInterval    = 500 * time.Millisecond
	catalogInterval = 30 * time.Second
	listTimeout     = 3 * time.Second
	candidacyPause  = 12 * time.Second
	idleFactor      = 4
	// dispatchInterval lets what comes in short order be placed together.
	dispatchInterval = 30 * time.Millisecond
	isolatedAfter    = 2500 * time.Millisecond
	// maxIsolationProbes bounds the machines that a leader asks at a time whether it is alone.
	maxIsolationProbes = 4
	// directContactTimeout is how long a leader may go without reaching a machine, or one
	// reaching it, before it suspects itself.
	directContactTimeout = 2 * time.Second
	// minUnreachableMachines is how many machines that siblings hear must be out of its reach.
	minUnreachableMachines = 3
	// reachProbeInterval paces the questions that find them.
	reachProbeInterval = 100 * time.Millisecond
)

func newLeaderTerm(c *Controller, term ident.Term, level ident.FormatLevel, leaderKey kvstore.Compare) *leaderTerm {
	l := &leaderTerm{controller: c, term: term, formatLevel: level, startedAt: c.env.Now(), machineTypeBySKU: map[string]*cloud.MachineType{}, openGroups: map[groupKey]*workers.RecordGroup{}, pendingReplies: map[uint64]func(Response){},
		renewals: renewal.NewRegistry(c.renewalGrace), lastDirectContact: c.env.Now(), unreachable: map[*workers.Worker]bool{}, machinesByZone: map[string]int{}}
	storeSettings := c.settings.Cluster.Store
	limits := func(s settings.StoreLimits) commit.Limits {
		return commit.Limits{MutationsPerTxn: s.TxnOps, MutationsPerSecond: writeShare * s.WriteRPS, MaxValueBytes: int(s.ValueKB * 1024)}
	}
	tight := limits(storeSettings.Strictest())
	l.maxValueBytes = tight.MaxValueBytes
	l.committer = commit.New(c.env, limits(storeSettings), leaderKey, func(err error) { c.election.Deposed(err.Error()) })
	l.committer.ExpectLimits(tight)
	l.committer.OnUnavailable = l.failPendingReplies
	l.jobs = jobs.NewTable(l.committer, limits(storeSettings).MaxValueBytes, c.env.Now, c.env.WallMS)
	l.jobs.LimitValueBytes(l.maxValueBytes)
	if level >= ident.FormatPacked {
		l.committer.UseTextFormat()
		l.jobs.UsePackedLog()
	}
	nodes := []ident.NodeID{c.settings.Node}
	for _, s := range c.settings.Peers {
		nodes = append(nodes, s.Node)
	}
	l.formatUpgrader = upgrade.New(c.env, term, leaderKey, nodes, l.committer.MarkDirty, l.enablePackedFormat)
	l.teams = placement.NewTeams(c.settings.Cluster.Teams)
	workerSettings := c.settings.Cluster.Workers
	env := leaderEnv{Env: c.env, validUntil: c.election.LeaseExpiry}
	l.workers = workers.NewTable(env, l.jobs, l.workersConfig())
	l.planner = placement.NewPlanner(l.teams, l.jobs, l.workers, l, c.env.Now, c.settings.Tuning.PlanMode == "asm1", c.settings.Cluster.Objectives)
	l.planner.MaxWait, l.planner.GangWait = c.settings.Tuning.StarvationTimeout, c.settings.Tuning.GangPreemptAfter
	if c.links != nil {
		handoverConfig := handover.DefaultConfig()
		handoverConfig.MinTermDuration, handoverConfig.StabilizationWindow = c.settings.Tuning.Links.MinLeadTime, c.settings.Tuning.Links.BetterPeerFor
		l.handover = handover.New(handoverConfig, &c.links.leaderHistory, c.env.Now())
	}
	l.enableLoadTracking()
	l.fleet = fleet.New(env, l.workers, l.jobs, l.teams, c.rng, l.fleetConfig())
	l.gangs = gang.NewTable(l.jobs, l.workers, c.env.Now, func() bool { return !l.closed && c.allows(authority.Launch) },
		gang.Config{GatherTimeout: settings.Seconds(workerSettings.GangWaitS), PeerLossTimeout: settings.Seconds(workerSettings.GangPeerS), HeartbeatInterval: settings.Seconds(workerSettings.HeartbeatS)})
	l.jobs.OnStateChange = l.onTaskStateChange
	l.jobs.OnWaiting = func(*jobs.Task) { l.dispatchNeeded = true }
	return l
}

// workersConfig says what the table of machines needs of the leader.
func (l *leaderTerm) workersConfig() workers.Config {
	c := l.controller
	return workers.Config{
		Term:              l.term,
		LeaseDuration:     settings.Seconds(c.settings.Cluster.Workers.LeaseS),
		LeaderGrace:       c.renewalGrace,
		Catalog:           func(m string) *cloud.MachineType { return l.machineTypeBySKU[m] },
		OnDeposed:         func() { c.election.Deposed("a worker has seen a later term") },
		OnCapacityChanged: func() { l.dispatchNeeded = true },
		OnTaskFailed:      l.onTaskFailed,
		OnTaskCompleted: func(t *jobs.Task, w *workers.Worker) {
			if l.rebalancer != nil {
				l.rebalancer.noteCompletion(t, w)
			}
		},
		Persist:         l.commitMachine,
		OnCommandResult: l.noteCommandOutcome,
		LastPeerRenewal: func() ident.MonotonicTime { return l.renewals.LatestRenewal(c.env.Now()) },
	}
}

// fleetConfig says what renting and returning needs of the leader.
func (l *leaderTerm) fleetConfig() fleet.Config {
	c := l.controller
	config := fleet.Config{
		Term:             l.term,
		Tuning:           c.settings.Tuning,
		Cloud:            c.settings.Cluster.Cloud,
		Workers:          c.settings.Cluster.Workers,
		Catalog:          func() []cloud.MachineType { return l.machineTypes },
		ReachableViaPeer: l.peersHeardOrResign,
		ZonePeersSilent:  l.zonePeersSilent,
		DirectContact:    func() bool { return c.env.Now().Sub(l.lastDirectContact) < directContactTimeout },
		Objective:        l.planner.Objective,
		Movable: func(t *jobs.Task, from *workers.Worker) bool {
			return c.allows(authority.Place) && l.planner.Movable(t, from)
		},
		Drain:              l.drainBeforeReclaim,
		SetServiceHeadroom: func(zone string, cpus float64) { l.planner.ServiceHeadroom[zone] = cpus },
	}
	if c.links != nil {
		config.ZoneUnreachable, config.LocallyUnreachable = l.zoneUnreachable, l.zoneReachedByPeersOnly
	}
	return config
}

func (l *leaderTerm) close() {
	l.closed = true
	l.committer.Stop()
	l.workers.Close()
	l.fleet.Close()
	l.formatUpgrader.Close()
	l.failPendingReplies()
}

// enablePackedFormat goes over to the format of ident.FormatPacked, now that it is in force. It goes with
// the first format.
func (l *leaderTerm) enablePackedFormat() {
	if l.closed {
		return
	}
	l.formatLevel = ident.FormatPacked
	l.controller.formatLevel = max(l.controller.formatLevel, l.formatLevel)
	l.committer.UseTextFormat()
	l.jobs.UsePackedLog()
	l.rewriteAllGroups()
	l.writeCatalog()
}

func (l *leaderTerm) tick() {
	if l.closed {
		return
	}
	delay := tickInterval
	if l.controller.links != nil {
		l.countMachinesByZone()
	}
	l.evaluateLoad()
	if l.controller.links == nil && l.controller.election.LeaseValid() && l.isolated() {
		l.controller.election.Resign(candidacyPause, "nobody is heard")
		return
	}
	if l.controller.mayManageFleet() {
		began := l.controller.env.Now()
		l.jobs.ClearProvenHealthy()
		l.fleet.Tick()
		l.gangs.Tick()
		if l.formatLevel >= ident.FormatPacked && began > l.nextConversionAt && l.committer.HasSpareCapacity() && !l.jobs.ConvertToLog(convertBatch) {
			l.nextConversionAt = began.Add(convertInterval)
		}
		l.dispatchNeeded = true
		delay = max(delay, idleFactor*l.controller.env.Now().Sub(began))
	}
	l.controller.env.After(delay, l.tick)
}

func (l *leaderTerm) schedulePlanningRound() {
	l.controller.env.After(l.controller.settings.Tuning.PlanInterval, func() {
		if l.closed {
			return
		}
		if l.controller.allows(authority.Launch) {
			l.planner.Round()
			if l.rebalancer != nil {
				l.rebalancer.planRound()
			}
			l.dispatchNeeded = true
			if l.planner.Stats.Rounds%12 == 0 {
				s := l.planner.Stats
				waits, limited, free := l.capacitySummary()
				slog.Debug("room", "waiting", waits, "at_limit", limited, "free_vcpus", free)
				slog.Debug("figures", "planned", s.Planned, "local", s.Local, "new", s.Uncached, "stolen", s.Stolen, "services", s.Services,
					"rounds", s.Rounds, "extra", s.ExtraRounds, "fetched_gb", s.FetchedGB, "plan_ms", s.PlanTime.Seconds()*1000, "preempted", s.Preempted)
			}
		}
		l.schedulePlanningRound()
	})
}

// capacitySummary says how many tasks wait, how many of them for their team's limit, and how
// much room there is.
func (l *leaderTerm) capacitySummary() (waiting, atQuota int, freeVCPUs float64) {
	for j := range l.jobs.Waiting {
		n := j.WaitingCount()
		waiting += n
		atQuota += n - min(n, l.teams.RemainingTasks(j.Spec))
	}
	for _, w := range l.workers.Sorted() {
		if w.Schedulable(l.controller.env.Now()) && w.Type != nil {
			freeVCPUs += w.Type.VCPUs - w.VCPUs
		}
	}
	return waiting, atQuota, freeVCPUs
}

func (l *leaderTerm) afterEvent() {
	if l.closed {
		return
	}
	if l.loaded {
		l.gangs.ProcessChanges()
		if l.rebalancer != nil {
			l.rebalancer.advance()
		}
	}
	// While nothing gets durable nothing can be launched, and what would be stopped
	// for it would be stopped for nothing.
	if l.dispatchNeeded && l.controller.allows(authority.Place) {
		now := l.controller.env.Now()
		switch {
		case now >= l.nextDispatchAt:
			l.dispatchNeeded = l.planner.Dispatch()
			// With thousands of jobs waiting a dispatch is long. It may take a
			// part of the time only, or the lease is not renewed for it.
			done := l.controller.env.Now()
			l.nextDispatchAt = done.Add(max(dispatchInterval, idleFactor*done.Sub(now)))
		case !l.dispatchTimerSet:
			l.dispatchTimerSet = true
			l.controller.env.After(l.nextDispatchAt.Sub(now), func() { l.dispatchTimerSet = false })
		}
	}
	l.committer.Flush()
}

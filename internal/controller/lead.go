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
	"opaldale/internal/load"
	"opaldale/internal/placement"
	"opaldale/internal/renewal"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

// lead is all that a leader remembers, for one term only.
type lead struct {
	c       *Controller
	term    ident.Term
	commits *commit.Committer
	jobs    *jobs.Table
	workers *workers.Table
	teams   *placement.Teams
	planner *placement.Planner
	fleet   *fleet.Manager

	gangs  *gang.Table
	raiser *upgrade.Raiser

	models  []cloud.MachineType
	kinds   map[string]*cloud.MachineType
	catalog *commit.Document   // of the first format
	types   []*commit.Document // from it on: one for each machine type

	level      ident.FormatLevel   // the format that is written
	valueBytes int                 // of a value, at any time
	converted  ident.MonotonicTime // no look for jobs in the old form before

	groups    map[kindOf]*workers.RecordGroup // that new machines go into
	older     []*workers.RecordGroup          // loaded, in the form of before
	lastGroup int

	ready  bool
	dead   bool
	began  ident.MonotonicTime
	rested ident.MonotonicTime // no dispatch before
	waking bool                // a timer will bring the next
	dirty  bool                // something may be placed
	// pending holds the users whose answers wait for the state service.
	pending map[uint64]func(Reply)
	lastReq uint64

	renewals *renewal.Registry
	direct   ident.MonotonicTime      // when a machine last reached this node, or it one
	missing  map[*workers.Worker]bool // alive as a sibling hears, but not reached from here since
	probed   ident.MonotonicTime      // when one of them was last asked

	handover *handover.Coordinator // nil unless links are watched
	upByZone map[string]int        // machines that should be reached
	loads    *load.Model           // nil unless load is watched
	mover    *mover                // nil unless load is watched
}

const (
	fleetPrefix = "fleet/"
	catalogKey  = "catalog"
	typesPrefix = "types/"
	// convertBatch bounds the lines and headers that a tick begins to write anew in the
	// newest form.
	convertBatch = 50
	convertAgain = 5 * time.Second
	// writeShare and opsShare leave room for lease renewals and elections.
	writeShare   = 0.85
	maxBacklog   = 400
	tickEvery    = 500 * time.Millisecond
	catalogEvery = 30 * time.Second
	loadTime     = 3 * time.Second
	restAfter    = 12 * time.Second
	restFactor   = 4
	// dispatchEvery lets what comes in short order be placed together.
	dispatchEvery = 30 * time.Millisecond
	aloneAfter    = 2500 * time.Millisecond
	// maxMute bounds the machines that a leader asks at a time whether it is alone.
	maxMute = 4
	// directAfter is how long a leader may go without reaching a machine, or one
	// reaching it, before it suspects itself.
	directAfter = 2 * time.Second
	// unreached is how many machines that siblings hear must be out of its reach.
	unreached = 3
	// probeEvery paces the questions that find them.
	probeEvery = 100 * time.Millisecond
)

func newLead(c *Controller, t ident.Term, level ident.FormatLevel, key statesvc.Compare) *lead {
	l := &lead{c: c, term: t, level: level, began: c.env.Now(), kinds: map[string]*cloud.MachineType{}, groups: map[kindOf]*workers.RecordGroup{}, pending: map[uint64]func(Reply){},
		renewals: renewal.NewRegistry(c.grace), direct: c.env.Now(), missing: map[*workers.Worker]bool{}, upByZone: map[string]int{}}
	st := c.set.Cluster.Store
	limits := func(s settings.StoreLimits) commit.Limits {
		return commit.Limits{MutationsPerTxn: s.TxnOps, MutationsPerSecond: writeShare * s.WriteRPS, MaxValueBytes: int(s.ValueKB * 1024)}
	}
	tight := limits(st.Strictest())
	l.valueBytes = tight.MaxValueBytes
	l.commits = commit.New(c.env, limits(st), key, func(why string) { c.elect.Deposed(why) })
	l.commits.ExpectLimits(tight)
	l.commits.OnUnavailable = l.refusePending
	l.jobs = jobs.NewTable(l.commits, limits(st).MaxValueBytes, c.env.Now, c.env.WallMS)
	l.jobs.LimitValueBytes(l.valueBytes)
	if level >= ident.FormatPacked {
		l.commits.UseTextFormat()
		l.jobs.UsePackedLog()
	}
	nodes := []ident.NodeID{c.set.Node}
	for _, s := range c.set.Peers {
		nodes = append(nodes, s.Node)
	}
	l.raiser = upgrade.New(c.env, t, key, nodes, l.commits.MarkDirty, l.pack)
	l.teams = placement.NewTeams(c.set.Cluster.Teams)
	w := c.set.Cluster.Workers
	port := leaderPort{Env: c.env, until: c.elect.LeaseExpiry}
	l.workers = workers.NewTable(port, l.jobs, l.workersConfig())
	l.planner = placement.NewPlanner(l.teams, l.jobs, l.workers, l, c.env.Now, c.set.Tuning.PlanMode == "asm1", c.set.Cluster.Objectives)
	l.planner.MaxWait, l.planner.GangWait = c.set.Tuning.StarvationTimeout, c.set.Tuning.GangPreemptAfter
	if c.links != nil {
		times := handover.DefaultConfig()
		times.MinTermDuration, times.StabilizationWindow = c.set.Tuning.Links.MinLeadTime, c.set.Tuning.Links.BetterPeerFor
		l.handover = handover.New(times, &c.links.history, c.env.Now())
	}
	l.watchLoad()
	l.fleet = fleet.New(port, l.workers, l.jobs, l.teams, c.rng, l.fleetConfig())
	l.gangs = gang.NewTable(l.jobs, l.workers, c.env.Now, func() bool { return !l.dead && c.may(authority.Launch) },
		gang.Config{GatherTimeout: settings.Seconds(w.GangWaitS), PeerLossTimeout: settings.Seconds(w.GangPeerS), HeartbeatInterval: settings.Seconds(w.HeartbeatS)})
	l.jobs.OnStateChange = l.move
	l.jobs.OnWaiting = func(*jobs.Task) { l.dirty = true }
	return l
}

// workersConfig says what the table of machines needs of the leader.
func (l *lead) workersConfig() workers.Config {
	c := l.c
	return workers.Config{
		Term:              l.term,
		LeaseDuration:     settings.Seconds(c.set.Cluster.Workers.LeaseS),
		LeaderGrace:       c.grace,
		Catalog:           func(m string) *cloud.MachineType { return l.kinds[m] },
		OnDeposed:         func() { c.elect.Deposed("a worker has seen a later term") },
		OnCapacityChanged: func() { l.dirty = true },
		OnTaskFailed:      l.failed,
		OnTaskCompleted: func(t *jobs.Task, w *workers.Worker) {
			if l.mover != nil {
				l.mover.completed(t, w)
			}
		},
		Persist:         l.commitWorker,
		OnCommandResult: l.asked,
		LastPeerRenewal: func() ident.MonotonicTime { return l.renewals.LatestRenewal(c.env.Now()) },
	}
}

// fleetConfig says what renting and returning needs of the leader.
func (l *lead) fleetConfig() fleet.Config {
	c := l.c
	config := fleet.Config{
		Term:             l.term,
		Tuning:           c.set.Tuning,
		Cloud:            c.set.Cluster.Cloud,
		Workers:          c.set.Cluster.Workers,
		Catalog:          func() []cloud.MachineType { return l.models },
		ReachableViaPeer: l.reached,
		ZonePeersSilent:  l.stranded,
		DirectContact:    func() bool { return c.env.Now().Sub(l.direct) < directAfter },
		Objective:        l.planner.Objective,
		Movable: func(t *jobs.Task, from *workers.Worker) bool {
			return c.may(authority.Place) && l.planner.Movable(t, from)
		},
		Drain:              l.drain,
		SetServiceHeadroom: func(zone string, cpus float64) { l.planner.ServiceHeadroom[zone] = cpus },
	}
	if c.links != nil {
		config.ZoneUnreachable, config.LocallyUnreachable = l.unheard, l.blind
	}
	return config
}

func (l *lead) close() {
	l.dead = true
	l.commits.Stop()
	l.workers.Close()
	l.fleet.Close()
	l.raiser.Close()
	l.refusePending()
}

// pack goes over to the format of ident.FormatPacked, now that it is in force. It goes with
// the first format.
func (l *lead) pack() {
	if l.dead {
		return
	}
	l.level = ident.FormatPacked
	l.c.level = max(l.c.level, l.level)
	l.commits.UseTextFormat()
	l.jobs.UsePackedLog()
	l.fitGroups()
	l.storeCatalog()
}

func (l *lead) tick() {
	if l.dead {
		return
	}
	next := tickEvery
	if l.c.links != nil {
		l.countUp()
	}
	l.judgeLoad()
	if l.c.links == nil && l.c.elect.LeaseValid() && l.alone() {
		l.c.elect.Resign(restAfter, "nobody is heard")
		return
	}
	if l.c.mayTend() {
		began := l.c.env.Now()
		l.jobs.ClearProvenHealthy()
		l.fleet.Tick()
		l.gangs.Tick()
		if l.level >= ident.FormatPacked && began > l.converted && l.commits.HasSpareCapacity() && !l.jobs.ConvertToLog(convertBatch) {
			l.converted = began.Add(convertAgain)
		}
		l.dirty = true
		next = max(next, restFactor*l.c.env.Now().Sub(began))
	}
	l.c.env.After(next, l.tick)
}

func (l *lead) roundLater() {
	l.c.env.After(l.c.set.Tuning.PlanInterval, func() {
		if l.dead {
			return
		}
		if l.c.may(authority.Launch) {
			l.planner.Round()
			if l.mover != nil {
				l.mover.propose()
			}
			l.dirty = true
			if l.planner.Stats.Rounds%12 == 0 {
				s := l.planner.Stats
				waits, limited, free := l.idleness()
				slog.Debug("room", "waiting", waits, "at_limit", limited, "free_vcpus", free)
				slog.Debug("figures", "planned", s.Planned, "local", s.Local, "new", s.Uncached, "stolen", s.Stolen, "services", s.Services,
					"rounds", s.Rounds, "extra", s.ExtraRounds, "fetched_gb", s.FetchedGB, "plan_ms", s.PlanTime.Seconds()*1000, "preempted", s.Preempted)
			}
		}
		l.roundLater()
	})
}

// idleness says how many tasks wait, how many of them for their team's limit, and how
// much room there is.
func (l *lead) idleness() (waits, limited int, free float64) {
	for j := range l.jobs.Waiting {
		n := j.WaitingCount()
		waits += n
		limited += n - min(n, l.teams.RemainingTasks(j.Spec))
	}
	for _, w := range l.workers.Sorted() {
		if w.Schedulable(l.c.env.Now()) && w.Type != nil {
			free += w.Type.VCPUs - w.VCPUs
		}
	}
	return waits, limited, free
}

func (l *lead) settle() {
	if l.dead {
		return
	}
	if l.ready {
		l.gangs.ProcessChanges()
		if l.mover != nil {
			l.mover.advance()
		}
	}
	// While nothing gets durable nothing can be launched, and what would be stopped
	// for it would be stopped for nothing.
	if l.dirty && l.c.may(authority.Place) {
		now := l.c.env.Now()
		switch {
		case now >= l.rested:
			l.dirty = l.planner.Dispatch()
			// With thousands of jobs waiting a dispatch is long. It may take a
			// part of the time only, or the lease is not renewed for it.
			done := l.c.env.Now()
			l.rested = done.Add(max(dispatchEvery, restFactor*done.Sub(now)))
		case !l.waking:
			l.waking = true
			l.c.env.After(l.rested.Sub(now), func() { l.waking = false })
		}
	}
	l.commits.Flush()
}

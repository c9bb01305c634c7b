package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
)

const (
	tickInterval = 500 * time.Millisecond
	// idleFactor bounds the share of the time that ticks and dispatches take: after one that was long, the next
	// comes no sooner than so many times as long.
	idleFactor = 4
	// dispatchInterval has what arrives at short intervals placed together.
	dispatchInterval = 30 * time.Millisecond
	// convertBatch bounds the lines and headers that one tick begins to rewrite in the newest format, and
	// convertInterval is how long after the last one it looks for more.
	convertBatch    = 50
	convertInterval = 5 * time.Second
	// statsLogRounds is how many planning rounds go by between two log lines of statistics.
	statsLogRounds = 12
)

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
	l.jobs.MarkProvenHealthy()
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

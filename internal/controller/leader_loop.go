package controller

// This file runs a leader's periodic work, and its work after each event.

import (
	"log/slog"
	"time"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
)

const (
	tickInterval = 500 * time.Millisecond
	// idleFactor limits the fraction of time spent in ticks and dispatches: the pause after each is at least
	// idleFactor times its duration.
	idleFactor = 4
	// dispatchInterval is the minimum pause between dispatches, so that tasks that arrive together are placed
	// together.
	dispatchInterval = 30 * time.Millisecond
	// convertBatch is the largest number of writes that one tick spends on rewriting records in the newest format. If
	// no records are left, the next search follows after convertInterval.
	convertBatch    = 50
	convertInterval = 5 * time.Second
	// statsLogRounds is the number of planning rounds between two log lines of statistics.
	statsLogRounds = 12
)

// tick runs the leader's periodic work: it checks whether the leader is isolated, evaluates the load, scales the fleet and
// retries gangs.
func (l *leaderTerm) tick() {
	if l.closed() {
		return
	}
	if l.controller.links.Enabled() {
		l.countMachinesByZone()
	}
	l.evaluateLoad()
	if !l.controller.links.Enabled() && l.controller.election.LeaseValid() && l.detectIsolation() {
		l.resign(leaderIsolated)
		return
	}
	delay := tickInterval
	if l.controller.mayManageFleet() {
		delay = max(delay, idleFactor*l.manageFleet())
	}
	l.env.After(delay, l.tick)
}

// manageFleet runs the part of a tick that requires authority over the fleet, and returns its duration.
func (l *leaderTerm) manageFleet() time.Duration {
	began := l.env.Now()
	l.jobs.MarkProvenHealthy()
	l.jobs.ExpireAvoidedMachines(avoidTime)
	l.fleet.Tick()
	l.gangs.Tick()
	l.convertRecords(began)
	l.requestDispatch()
	return l.env.Now().Sub(began)
}

// convertRecords rewrites a batch of the records that are still in the legacy format, if the committer has spare
// capacity.
func (l *leaderTerm) convertRecords(now ident.MonotonicTime) {
	if l.formatLevel < ident.FormatPacked || now <= l.nextConversionAt || !l.committer.HasSpareCapacity() {
		return
	}
	if !l.jobs.ConvertToLog(convertBatch) {
		l.nextConversionAt = now.Add(convertInterval)
	}
}

// schedulePlanningRound runs a planning round after each plan interval, until the term ends.
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
	slog.Debug("capacity summary", "waiting_tasks", waiting, "tasks_at_quota", atQuota, "free_vcpus", freeVCPUs)
	s := l.planner.Stats
	slog.Debug("planner statistics", "planned", s.Planned, "local", s.Local, "new", s.Uncached, "stolen", s.Stolen,
		"services", s.Services, "rounds", s.Rounds, "extra_rounds", s.ExtraRounds, "fetched_gb", s.FetchedGB,
		"plan_ms", s.PlanTime.Seconds()*1000, "preempted", s.Preempted)
}

// capacitySummary returns the number of waiting tasks, the number of waiting tasks that exceed their team's limit, and the
// free CPUs.
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

// afterEvent advances gangs and moves, dispatches waiting tasks if a dispatch is due, and writes changed records.
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

// dispatch places waiting tasks, or sets the wake-up timer if the last dispatch is too recent. The caller must have the
// authority to place tasks: a task can't be launched until its placement is durable, so preemptions would stop tasks
// without starting others.
func (l *leaderTerm) dispatch() {
	now := l.env.Now()
	if now < l.nextDispatchAt {
		if !l.state.timerSet() {
			l.transition(dispatchPostponed)
			l.env.After(l.nextDispatchAt.Sub(now), func() { l.transition(wakeUpTimerFired) })
		}
		return
	}
	result := dispatchCompleted
	if l.planner.Dispatch() {
		result = dispatchTruncated
	}
	l.transition(result)
	// A dispatch with thousands of waiting jobs takes long. The pause leaves time for lease renewals.
	done := l.env.Now()
	l.nextDispatchAt = done.Add(max(dispatchInterval, idleFactor*done.Sub(now)))
}

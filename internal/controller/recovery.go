package controller

import (
	"errors"
	"log/slog"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/machinestore"
	"opaldale/internal/migration"
	"opaldale/internal/workers"
)

const (
	// maxMachineProbes bounds the machines of earlier terms that a new leader probes at a time.
	maxMachineProbes     = 16
	machineProbeInterval = 200 * time.Millisecond
)

// storedState is what earlier terms left in the store, as it was read.
type storedState struct {
	liveJobs, taskLog, machineGroups, moves []kvstore.KeyValue
}

// loadState reads what earlier terms left; the leader acts only after that.
func (l *leaderTerm) loadState() {
	began := l.env.Now()
	var stored storedState
	pendingReads := 4
	if l.rebalancer != nil {
		pendingReads++
	}
	readDone := func() {
		if pendingReads--; pendingReads == 0 {
			l.restore(&stored, began)
		}
	}
	list := func(prefix string, into *[]kvstore.KeyValue) {
		l.reader.ListAll(prefix, func(pairs []kvstore.KeyValue) {
			*into = pairs
			readDone()
		})
	}
	list(jobs.LivePrefix, &stored.liveJobs)
	list(commit.LogPrefix, &stored.taskLog)
	list(machinestore.Prefix, &stored.machineGroups)
	l.catalog.Load(readDone)
	if l.rebalancer != nil {
		list(migration.Prefix, &stored.moves)
	}
}

// restore rebuilds the tables from what was read. On part of the state a leader would forget jobs, or start
// tasks that run already: it resigns if it can't read any of the records.
func (l *leaderTerm) restore(stored *storedState, began ident.MonotonicTime) {
	var errs []error
	for _, p := range stored.machineGroups {
		errs = append(errs, l.machines.Restore(p))
	}
	for _, p := range stored.liveJobs {
		errs = append(errs, l.jobs.Load(p.Key, p.Value, p.Revision))
	}
	errs = append(errs, l.jobs.LoadLog(stored.taskLog))
	if err := errors.Join(errs...); err != nil {
		slog.Error("unreadable record in store; resigning", "term", uint64(l.term), "err", err)
		l.resign(unreadableRecord)
		return
	}
	for _, p := range stored.moves {
		l.rebalancer.Restore(p)
	}
	slog.Info("state loaded", "term", uint64(l.term), "jobs", len(l.jobs.Jobs), "machines", len(l.workers.Workers),
		"took_ms", l.env.Now().Sub(began).Milliseconds())
	l.takeOver()
}

// takeOver continues what earlier terms left, and begins to lead.
func (l *leaderTerm) takeOver() {
	l.takeOverTasks()
	l.jobs.FinishLoading()
	if l.jobs.Seq > 0 {
		l.fleet.ResumeFromPriorTerm()
	}
	for _, j := range l.jobs.Sorted() {
		if j.Phase == jobs.Open {
			l.fleet.RecordArrival(j.Spec, j.SubmittedAt)
		}
		if j.Phase == jobs.Cancelled {
			l.stopJob(j)
		}
		l.gangs.Adopt(j)
	}
	if l.rebalancer != nil {
		l.rebalancer.TakeOver()
	}
	l.handle(stateLoaded)
	if l.formatLevel < ident.NewestFormatLevel {
		l.formatUpgrader.Poll()
	} else {
		l.machines.RewriteLegacy()
	}
	l.probeUnreportedMachines()
	l.tick()
	l.schedulePlanningRound()
}

// takeOverTasks counts the allocated tasks of earlier terms on their machines.
func (l *leaderTerm) takeOverTasks() {
	for _, j := range l.jobs.Sorted() {
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Allocated() {
				continue
			}
			w := l.workers.Workers[t.MachineID]
			if w == nil {
				// The record of its machine was deleted, so the machine is certainly gone; terminating it
				// again proves that.
				w = l.workers.Add(workers.MachineInfo{ID: t.MachineID, CreatedAt: l.env.Now()})
				l.fleet.Terminate(w, workers.ReasonNotOnRecord)
			}
			l.adjustUsage(t, w, 1)
		}
	}
}

// probeUnreportedMachines probes machines of earlier terms that have not reported in this one, those with
// replicas of services first: nothing is placed on a machine until it is heard. Only a few are probed at
// a time, and a machine that has not answered yet takes no part of that budget, so that a silent rack doesn't
// keep all others from being probed.
func (l *leaderTerm) probeUnreportedMachines() {
	if l.closed() {
		return
	}
	budget := maxMachineProbes
	for _, withReplicas := range []bool{true, false} {
		for _, w := range l.workers.Sorted() {
			if !awaitsFirstReport(w) || (w.ServiceVCPUs > 0) != withReplicas {
				continue
			}
			if budget == 0 {
				l.env.After(machineProbeInterval, l.probeUnreportedMachines)
				return
			}
			if l.workers.Probe(w) {
				budget--
			}
		}
	}
}

// awaitsFirstReport reports whether a machine should be up, but has neither been heard in this term nor failed to
// answer.
func awaitsFirstReport(w *workers.Worker) bool {
	return w.State == workers.Up && !w.ReportedThisTerm() && w.MissedResponses() == 0
}

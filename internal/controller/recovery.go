package controller

// This file loads the records of earlier terms when a term begins, and resumes the work of these terms.

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
	// maxMachineProbes limits the machines of earlier terms that a new leader probes per machineProbeInterval.
	maxMachineProbes     = 16
	machineProbeInterval = 200 * time.Millisecond
)

// storedState holds the records of earlier terms as read from the store.
type storedState struct {
	liveJobs, taskLog, machineGroups, moves []kvstore.KeyValue
}

// loadState reads the records of earlier terms, and restores the tables from them. Until then the term stays in
// termLoading.
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

// restore rebuilds the tables from the stored records. If any record is unreadable, the leader resigns: with partial state
// it would lose jobs, or start tasks that are already running.
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

// takeOver resumes the work of earlier terms from the restored tables, and starts the periodic work of this term.
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
			l.workers.StopAllocated(j, 0)
		}
		l.gangs.Adopt(j)
	}
	if l.rebalancer != nil {
		l.rebalancer.TakeOver()
	}
	l.transition(stateLoaded)
	if l.formatLevel < ident.NewestFormatLevel {
		l.formatUpgrader.Poll()
	} else {
		l.machines.RewriteLegacy()
	}
	l.probeMachinesWithoutHeartbeat()
	l.tick()
	l.schedulePlanningRound()
}

// takeOverTasks adds the allocated tasks of earlier terms to the usage of their machines, teams and zones.
func (l *leaderTerm) takeOverTasks() {
	for _, j := range l.jobs.Sorted() {
		for t := range j.Tasks.Created() {
			if !t.State.Allocated() {
				continue
			}
			w := l.workers.Workers[t.MachineID]
			if w == nil {
				// The machine's record was deleted, so the machine was terminated. Terminating it again confirms
				// that before its tasks are placed elsewhere.
				w = l.workers.Add(workers.MachineInfo{ID: t.MachineID, CreatedAt: l.env.Now()})
				l.fleet.Terminate(w, workers.ReasonNoStoredRecord)
			}
			l.adjustUsage(t, w, 1)
		}
	}
}

// probeMachinesWithoutHeartbeat probes machines of earlier terms that have sent no heartbeat in this term, machines with service
// replicas first: nothing is placed on a machine before its first heartbeat. At most maxMachineProbes probes are sent per
// interval. Outstanding probes of earlier intervals don't count, so that unresponsive machines can't keep others from
// being probed.
func (l *leaderTerm) probeMachinesWithoutHeartbeat() {
	if l.closed() {
		return
	}
	budget := maxMachineProbes
	for _, withReplicas := range []bool{true, false} {
		for _, w := range l.workers.Sorted() {
			if !awaitsFirstHeartbeat(w) || (w.ServiceVCPUs > 0) != withReplicas {
				continue
			}
			if budget == 0 {
				l.env.After(machineProbeInterval, l.probeMachinesWithoutHeartbeat)
				return
			}
			if l.workers.Probe(w) {
				budget--
			}
		}
	}
}

// awaitsFirstHeartbeat reports whether a machine is recorded as up, and has neither sent a heartbeat nor left a command
// unanswered in this term.
func awaitsFirstHeartbeat(w *workers.Worker) bool {
	return w.State == workers.Up && !w.ReportedThisTerm() && w.MissedResponses() == 0
}

package controller

import (
	"errors"
	"log/slog"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
	"opaldale/internal/migration"
	"opaldale/internal/workers"
)

// loadState reads what earlier terms left; only then does the leader act.
func (l *leaderTerm) loadState() {
	began := l.controller.env.Now()
	remainingReads := 4
	var liveJobs, taskLog, machineGroups, moves []kvstore.KeyValue
	if l.rebalancer != nil {
		remainingReads++
	}
	done := func() {
		if remainingReads--; remainingReads > 0 {
			return
		}
		var errs []error
		for _, p := range machineGroups {
			errs = append(errs, l.restoreGroup(p))
		}
		for _, p := range liveJobs {
			errs = append(errs, l.jobs.Load(p.Key, p.Value, p.Revision))
		}
		errs = append(errs, l.jobs.LoadLog(taskLog))
		if err := errors.Join(errs...); err != nil {
			// On half a state a leader would forget jobs, or start tasks that run.
			slog.Error("unreadable record", "err", err)
			l.controller.election.Resign(candidacyPause, "unreadable record")
			return
		}
		for _, p := range moves {
			l.rebalancer.history.Load(p.Key, p.Value, p.Revision)
		}
		slog.Info("loaded", "term", uint64(l.term), "jobs", len(l.jobs.Jobs), "machines", len(l.workers.Workers),
			"took_ms", l.controller.env.Now().Sub(began).Milliseconds())
		l.takeOver()
	}
	l.listAll(jobs.LivePrefix, "", &liveJobs, done)
	l.listAll(commit.LogPrefix, "", &taskLog, done)
	l.listAll(fleetPrefix, "", &machineGroups, done)
	l.loadCatalog(done)
	if l.rebalancer != nil {
		l.listAll(migration.Prefix, "", &moves, done)
	}
}

func (l *leaderTerm) listAll(prefix, startAfter string, into *[]kvstore.KeyValue, done func()) {
	l.readWithRetry(kvstore.Request{Op: kvstore.List, Prefix: prefix, StartAfter: startAfter, Timeout: listTimeout}, func(r kvstore.Response) {
		*into = append(*into, r.KeyValues...)
		if r.Truncated && len(r.KeyValues) > 0 {
			l.listAll(prefix, r.KeyValues[len(r.KeyValues)-1].Key, into, done)
			return
		}
		done()
	})
}

// readWithRetry asks the state service until it answers.
func (l *leaderTerm) readWithRetry(r kvstore.Request, done func(kvstore.Response)) {
	l.controller.env.Store(r, func(response kvstore.Response) {
		switch {
		case l.closed:
		case response.Outcome == kvstore.OK || response.Outcome == kvstore.NotFound:
			done(response)
		default:
			l.controller.env.After(200*time.Millisecond, func() {
				if !l.closed {
					l.readWithRetry(r, done)
				}
			})
		}
	})
}

// takeOver takes over from the term before.
func (l *leaderTerm) takeOver() {
	for _, j := range l.jobs.Sorted() {
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Allocated() {
				continue
			}
			w := l.workers.Workers[t.MachineID]
			if w == nil {
				// Its machine's record was deleted: it is surely gone, which its
				// return proves.
				w = l.workers.Add(workers.MachineInfo{ID: t.MachineID, CreatedAt: l.controller.env.Now()})
				l.fleet.Terminate(w, workers.ReasonNotOnRecord)
			}
			l.adjustUsage(t, w, 1)
		}
	}
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
		l.rebalancer.takeOver()
	}
	l.loaded, l.dispatchNeeded = true, true
	if l.formatLevel < ident.NewestFormatLevel {
		l.formatUpgrader.Poll()
	} else {
		l.rewriteLegacyGroups()
	}
	l.probeUnreportedMachines()
	l.tick()
	l.schedulePlanningRound()
}

// probeUnreportedMachines probes machines of the term before that have not reported yet, a few at a
// time: nothing is placed on them until they are heard, and all at once would be a
// storm.
func (l *leaderTerm) probeUnreportedMachines() {
	if l.closed {
		return
	}
	budget := maxMachineProbes
	for _, replicas := range []bool{true, false} { // users miss those first
		for _, w := range l.workers.Sorted() {
			if w.State != workers.Up || w.HeardThisTerm() || w.MissedResponses() > 0 || (w.ServiceVCPUs > 0) != replicas {
				continue
			}
			if budget == 0 {
				l.controller.env.After(machineProbeInterval, l.probeUnreportedMachines)
				return
			}
			// One that has not answered yet takes nobody's turn: with a rack silent,
			// sixteen of it kept all others from being asked.
			if l.workers.Probe(w) {
				budget--
			}
		}
	}
}

const (
	maxMachineProbes     = 16
	machineProbeInterval = 200 * time.Millisecond
)

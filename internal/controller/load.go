package controller

import (
	"errors"
	"log/slog"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/migration"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

// load reads what earlier terms left; only then does the leader act.
func (l *lead) load() {
	began := l.c.env.Now()
	left := 4
	var live, log, machines, moves []statesvc.KeyValue
	if l.mover != nil {
		left++
	}
	done := func() {
		if left--; left > 0 {
			return
		}
		var faults []error
		for _, p := range machines {
			faults = append(faults, l.restoreGroup(p))
		}
		for _, p := range live {
			faults = append(faults, l.jobs.Load(p.Key, p.Value, p.Revision))
		}
		faults = append(faults, l.jobs.LoadLog(log))
		if err := errors.Join(faults...); err != nil {
			// On half a state a leader would forget jobs, or start tasks that run.
			slog.Error("unreadable record", "err", err)
			l.c.elect.Resign(restAfter, "unreadable record")
			return
		}
		for _, p := range moves {
			l.mover.history.Load(p.Key, p.Value, p.Revision)
		}
		slog.Info("loaded", "term", uint64(l.term), "jobs", len(l.jobs.Jobs), "machines", len(l.workers.Workers),
			"took_ms", l.c.env.Now().Sub(began).Milliseconds())
		l.begin()
	}
	l.readAll(jobs.LivePrefix, "", &live, done)
	l.readAll(commit.LogPrefix, "", &log, done)
	l.readAll(fleetPrefix, "", &machines, done)
	l.readCatalog(done)
	if l.mover != nil {
		l.readAll(migration.Prefix, "", &moves, done)
	}
}

func (l *lead) readAll(prefix, since string, into *[]statesvc.KeyValue, done func()) {
	l.read(statesvc.Request{Op: statesvc.List, Prefix: prefix, StartAfter: since, Timeout: loadTime}, func(r statesvc.Response) {
		*into = append(*into, r.KeyValues...)
		if r.Truncated && len(r.KeyValues) > 0 {
			l.readAll(prefix, r.KeyValues[len(r.KeyValues)-1].Key, into, done)
			return
		}
		done()
	})
}

// read asks the state service until it answers.
func (l *lead) read(r statesvc.Request, f func(statesvc.Response)) {
	l.c.env.Store(r, func(a statesvc.Response) {
		switch {
		case l.dead:
		case a.Outcome == statesvc.OK || a.Outcome == statesvc.NotFound:
			f(a)
		default:
			l.c.env.After(200*time.Millisecond, func() {
				if !l.dead {
					l.read(r, f)
				}
			})
		}
	})
}

// begin takes over from the term before.
func (l *lead) begin() {
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
				w = l.workers.Add(t.MachineID, "", "", false, l.c.env.Now())
				l.fleet.Terminate(w, "not on record")
			}
			l.count(t, w, 1)
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
			l.stopAll(j)
		}
		l.gangs.Adopt(j)
	}
	if l.mover != nil {
		l.mover.adopt()
	}
	l.ready, l.dirty = true, true
	if l.level < ident.NewestFormatLevel {
		l.raiser.Poll()
	} else {
		l.fitLoaded()
	}
	l.ask()
	l.tick()
	l.roundLater()
}

// ask probes machines of the term before that have not reported yet, a few at a
// time: nothing is placed on them until they are heard, and all at once would be a
// storm.
func (l *lead) ask() {
	if l.dead {
		return
	}
	n := maxAsked
	for _, replicas := range []bool{true, false} { // users miss those first
		for _, w := range l.workers.Sorted() {
			if w.State != workers.Up || w.HeardThisTerm() || w.MissedResponses() > 0 || (w.ServiceVCPUs > 0) != replicas {
				continue
			}
			if n == 0 {
				l.c.env.After(askEvery, l.ask)
				return
			}
			// One that has not answered yet takes nobody's turn: with a rack silent,
			// sixteen of it kept all others from being asked.
			if l.workers.Probe(w) {
				n--
			}
		}
	}
}

const (
	maxAsked = 16
	askEvery = 200 * time.Millisecond
)

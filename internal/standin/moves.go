package standin

import (
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
)

// maxMovesOfJob is how often the tasks of a job may be moved in its life.
const maxMovesOfJob = 2

// checkMoves checks what is written about moves: a job's record only grows, to two moves at
// the most, until the job is over.
func (w *World) checkMoves(c statesvc.Change) {
	id, ok := movesKey(c.Put + c.Delete)
	if !ok {
		return
	}
	before := 0
	if e := w.store.keys[migration.Key(ident.JobID(id))]; e != nil {
		if r, err := migration.ReadRecord(e.value); err == nil {
			before = len(r.Moves)
		}
	}
	if c.Delete != "" {
		if w.store.keys["live/"+id] != nil {
			w.broken("the moves of %s are forgotten before it is over", id)
		}
		return
	}
	r, err := migration.ReadRecord(c.Value)
	switch {
	case err != nil:
		w.broken("%s: %v", c.Put, err)
	case len(r.Moves) < before:
		w.broken("%s: %d moves on record, %d before", id, len(r.Moves), before)
	case len(r.Moves) > maxMovesOfJob:
		w.broken("%s is moved %d times", id, len(r.Moves))
	}
	w.Moves += len(r.Moves) - before
	w.logf("move of %s on record, its %d.", id, len(r.Moves))
}

// Times of the scenario in which moves pay.
const (
	// firstEnds is how long the first task of a job runs, and nextEnds how much longer each
	// further one does.
	firstEnds = 28 * time.Second
	nextEnds  = 60 * time.Second
	wideRuns  = 25 * time.Second
	// wideAt is when the wide tasks come, once the first tasks have left.
	wideAt = 50.0
)

// movingConfig sets up a small fleet that can't grow, whose nodes move running tasks.
func movingConfig(seed uint64) Config {
	var teams []settings.Team
	for _, name := range []string{"red", "blue", "grey"} {
		teams = append(teams, settings.Team{Name: name, CPUs: 100, CPUsMax: 200})
	}
	return Config{Seed: seed, Rebalance: settings.RebalanceMove, Quiet: true, Capacity: 2, Teams: teams, Length: 150 * time.Second}
}

// fragment fills the machines with jobs of four tasks, of which one ends early, and then asks
// for room for wide tasks: each machine has room for half of one.
func (w *World) fragment(wide int) {
	w.checkReservations()
	w.when(2, func() {
		for range 4 * w.cfg.Capacity {
			j := w.job(w.narrow, firstEnds)
			j.step = nextEnds
		}
	})
	w.when(wideAt, func() {
		for range wide {
			w.job(func(s *api.Spec) {
				w.narrow(s)
				s.Tasks, s.VCPUs, s.SnapshotEveryS, s.RuntimeS = 1, 4, 0, wideRuns.Seconds()
			}, wideRuns)
		}
	})
}

// wideNowAndThen submits a wide task every few seconds of a run.
func (w *World) wideNowAndThen(from, to float64) {
	const pace = 4
	for s := from; s < to; s += pace {
		w.when(s, func() {
			w.job(func(s *api.Spec) {
				w.narrow(s)
				s.Tasks, s.VCPUs, s.SnapshotEveryS, s.RuntimeS = 1, float64(3+w.rng.IntN(4)), 0, 12
			}, 12*time.Second)
		})
	}
}

// narrow makes a job of four tasks of 2 CPUs that save when they are stopped.
func (w *World) narrow(s *api.Spec) {
	s.Tasks, s.VCPUs, s.Spot, s.Image = 4, 2, true, "img-0"
	s.SnapshotEveryS, s.SnapshotS = 5, 1
	s.RuntimeS = (firstEnds + 3*nextEnds).Seconds()
}

// checkReservations checks, now and then, that no room is kept for longer than for a move.
func (w *World) checkReservations() {
	if l := w.leader(); l != nil {
		if s := l.ctl.Snapshot(); s.Reservations > s.MovesActive {
			w.broken("room is kept on %d machines for %d moves", s.Reservations, s.MovesActive)
		}
	}
	w.at(time.Second, w.checkReservations)
}

// movesOf lists the moves that a leader knows of.
func movesOf(n *node) (out []controller.MoveEntry) {
	if n == nil || !n.alive || !n.ctl.Election().Valid() {
		return nil
	}
	n.ctl.MoveReport(func(r controller.MoveReport) {
		if r.Leads {
			out = r.Moves
		}
	})
	return out
}

// onMove calls f once, as soon as a leader has a move in a state.
func (w *World) onMove(state migration.State, f func(l *node, m controller.MoveEntry)) {
	w.watchMoves(time.Millisecond, func(l *node, m controller.MoveEntry) bool {
		if m.State != state.String() {
			return false
		}
		w.took("move " + m.State)
		f(l, m)
		return true
	})
}

// watchMoves looks at the leader's moves again and again until f says that it has seen enough.
func (w *World) watchMoves(every time.Duration, f func(l *node, m controller.MoveEntry) bool) {
	l := w.leader()
	for _, m := range movesOf(l) {
		if f(l, m) {
			return
		}
	}
	w.at(every, func() { w.watchMoves(every, f) })
}

// countMoves notes how the moves of each leader end.
func (w *World) countMoves() {
	type key struct {
		node string
		life int
		task string
		from ident.HostID
	}
	seen := map[key]bool{}
	w.watchMoves(100*time.Millisecond, func(l *node, m controller.MoveEntry) bool {
		k := key{l.name, l.life, m.Task, m.From}
		if m.Reason != "" && !seen[k] {
			seen[k] = true
			w.took("ended: " + m.Reason)
		}
		return false
	})
}

// machine returns the worker of a name, nil if it is gone.
func (w *World) machine(h ident.HostID) *worker { return w.workers[h] }

// movesKey returns the job of a key of moves.
func movesKey(path string) (id string, ok bool) { return strings.CutPrefix(path, migration.Prefix) }

// shortTasks submits arrays of short tasks that differ by half in either direction, every two
// seconds of a run.
func (w *World) shortTasks(from, to float64) {
	const pace = 2
	for s := from; s < to; s += pace {
		w.when(s, func() {
			j := w.job(func(s *api.Spec) {
				w.narrow(s)
				s.Tasks, s.VCPUs, s.SnapshotEveryS, s.RuntimeS = 8, 1, 0, 10
			}, 6*time.Second)
			j.step = time.Second
		})
	}
}

// slowLong is how long the long tasks of a day with a slow machine take elsewhere.
const slowLong = 160 * time.Second

// slowDay sets up a fleet with one slow machine, and the work by which it is found.
func slowDay(seed uint64, mode settings.Rebalance, slow int) *World {
	w := New(slowConfig(seed, mode, slow))
	w.workBesideSlow()
	return w
}

// slowConfig sets up a small fleet of which some machines are slow.
func slowConfig(seed uint64, mode settings.Rebalance, slow int) Config {
	cfg := movingConfig(seed)
	cfg.Rebalance, cfg.Slow, cfg.Calm = mode, slow, 700*time.Second
	return cfg
}

// workBesideSlow submits long tasks beside room on most machines, and arrays of short tasks by
// which a slow machine is found.
func (w *World) workBesideSlow() {
	w.when(2, func() {
		for range 6 {
			w.job(func(s *api.Spec) { w.narrow(s); s.Tasks, s.VCPUs, s.RuntimeS = 2, 3, slowLong.Seconds() }, slowLong)
		}
	})
	w.shortTasks(8, 140)
}

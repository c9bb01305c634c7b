package standin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
)

// movesKept checks, by the workers' own record, that no job which nothing else stops was
// stopped more often than it may be moved.
func movesKept(t *testing.T, seed uint64, w *World) {
	t.Helper()
	for _, id := range w.order {
		if n := w.jobs[id].stopCount(); n > maxMovesOfJob {
			t.Errorf("seed %d: tasks of %s were stopped %d times", seed, id, n)
		}
	}
}

// TestMovesMakeRoom: wide tasks that find no room on any machine get it by moves, no job is
// moved more than twice, and all work ends.
func TestMovesMakeRoom(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := New(movingConfig(seed))
		w.fragment(4)
		w.when(wideAt, w.countMoves)
		w.Run()
		whole(t, seed, w)
		movesKept(t, seed, w)
		if w.Moves == 0 || w.seen["ended: arrived"] == 0 {
			t.Errorf("seed %d: %d moves, %v", seed, w.Moves, w.seen)
		}
	}
}

// moveFault is what goes wrong in the midst of a move.
type moveFault struct {
	name  string
	links bool // the nodes watch their links
	old   int  // nodes of the version in production
	play  func(w *World, l *node, m controller.MoveEntry)
	took  []string // what must have come of it
	// stops says that tasks are stopped for other reasons as well.
	stops bool
}

// from and to return the machines of a move; one that is gone already is replaced by any.
func (w *World) ends(m controller.MoveEntry) (from, to *worker) {
	from, to = w.machine(m.From), w.machine(m.To)
	if from == nil {
		from = w.anyWorker()
	}
	if to == nil {
		to = w.anyWorker()
	}
	return from, to
}

// jobOf returns the job of a move's task.
func (w *World) jobOf(m controller.MoveEntry) *userJob {
	id, _, _ := strings.Cut(m.Task, "/")
	return w.jobs[ident.JobID(id)]
}

// replaced notes that another node leads than before.
func (w *World) replaced(l *node) { w.next(l, func(*node) {}) }

// termAfter notes that another term has begun.
func (w *World) termAfter(l *node) {
	term := l.ctl.Election().Term()
	w.await(func() bool { n := w.leader(); return n != nil && n.ctl.Election().Term() > term }, func() { w.took("new term") })
}

// spotGone has the cloud take a machine, after a notice if there is time for one.
func (w *World) spotGone(k *worker, notice time.Duration) {
	if notice > 0 {
		k.doom(notice)
	}
	w.at(notice, func() {
		w.took("machine taken")
		w.cloud.take(k.m)
	})
}

const leaseOver = 26 * time.Second // longer than a worker's lease

var moveFaults = []moveFault{
	{name: "leader killed with a second node down", took: []string{"another leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.other(l).kill(12 * time.Second)
		w.replaced(l)
		l.kill(9 * time.Second)
	}},
	{name: "leader back within a second", took: []string{"new term"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.termAfter(l)
		w.other(l).kill(700 * time.Millisecond)
		l.kill(300 * time.Millisecond)
	}},
	{name: "leader stands still", took: []string{"another leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.replaced(l)
		l.freeze(15 * time.Second)
	}},
	{name: "leader cut from the state service alone", took: []string{"another leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.replaced(l)
		w.sever(l.name, "state", w.cfg.Seed%2 == 0, 15*time.Second)
	}},
	{name: "leader refused by the state service alone", took: []string{"another leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.replaced(l)
		w.store.refuses[l.name] = w.now.Add(14 * time.Second)
	}},
	{name: "leader cut from everything, a second node down", took: []string{"another leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.replaced(l)
		w.other(l).kill(20 * time.Second)
		w.sever(l.name, "*", w.cfg.Seed%2 == 0, 18*time.Second)
	}},
	{name: "lead handed over", links: true, took: []string{"another leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.replaced(l)
		w.sever(l.name, machines, w.cfg.Seed%2 == 0, 25*time.Second)
	}},
	{name: "all nodes end and one is back", took: []string{"new term"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.termAfter(l)
		for i, n := range w.nodes {
			n.kill(time.Duration(1+15*i) * time.Second)
		}
	}},
	{name: "the version in production takes the lead", old: 2, took: []string{"another leads", "old version leads"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.next(l, func(n *node) {
			if n.env.old {
				w.took("old version leads")
			}
		})
		l.kill(12 * time.Second)
	}},
	{name: "state service down", play: func(w *World, _ *node, _ controller.MoveEntry) {
		w.store.downUntil = w.now.Add(10 * time.Second)
	}},
	{name: "source hangs", play: func(w *World, _ *node, m controller.MoveEntry) {
		from, _ := w.ends(m)
		from.hang(leaseOver)
	}},
	{name: "destination hangs", play: func(w *World, _ *node, m controller.MoveEntry) {
		_, to := w.ends(m)
		to.hang(leaseOver)
	}},
	{name: "source and destination cut off, and the leader killed", took: []string{"another leads"}, play: func(w *World, l *node, m controller.MoveEntry) {
		from, to := w.ends(m)
		w.sever(string(from.host), "*", w.cfg.Seed%2 == 0, 12*time.Second)
		w.sever(string(to.host), "*", w.cfg.Seed%2 == 1, leaseOver)
		w.replaced(l)
		l.kill(5 * time.Second)
	}},
	{name: "source hears nobody, and the lead changes", took: []string{"another leads"}, play: func(w *World, l *node, m controller.MoveEntry) {
		from, _ := w.ends(m)
		w.deaf[string(from.host)] = w.now.Add(leaseOver)
		w.replaced(l)
		w.at(2*time.Second, func() { l.kill(3 * time.Second) })
	}},
	{name: "source reaches nobody", play: func(w *World, _ *node, m controller.MoveEntry) {
		from, _ := w.ends(m)
		w.silence(from, leaseOver)
	}},
	{name: "destination taken back, and the leader killed", took: []string{"machine taken", "another leads"}, play: func(w *World, l *node, m controller.MoveEntry) {
		_, to := w.ends(m)
		w.spotGone(to, 0)
		w.replaced(l)
		l.kill(4 * time.Second)
	}},
	{name: "source gets a spot notice", stops: true, took: []string{"machine taken"}, play: func(w *World, _ *node, m controller.MoveEntry) {
		from, _ := w.ends(m)
		w.spotGone(from, 5*time.Second)
	}},
	{name: "job cancelled", took: []string{"cancelled"}, play: func(w *World, _ *node, m controller.MoveEntry) {
		w.callOff(w.jobOf(m), nil)
		w.took("cancelled")
	}},
	{name: "cancelled at another node, then nobody is served", took: []string{"another leads", "confirmed by another"}, play: cancelInGap},
	{name: "records late, after newer ones, and the lead changes", took: []string{"another leads", "late write after newer ones"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.lateWrites = spell{0.5, w.now.Add(6 * time.Second)}
		w.burst(w.now.Sub(0).Seconds(), w.now.Sub(0).Seconds()+2)
		w.replaced(l)
		w.at(1500*time.Millisecond, func() { l.kill(3 * time.Second) })
	}},
	{name: "answers to records lost, and the lead changes", took: []string{"another leads", "lost answer"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.lostAnswers = spell{0.7, w.now.Add(4 * time.Second)}
		w.burst(w.now.Sub(0).Seconds(), w.now.Sub(0).Seconds()+1)
		w.replaced(l)
		w.at(1500*time.Millisecond, func() { l.kill(3 * time.Second) })
	}},
	{name: "reports of before the move come to the next leader", took: []string{"another leads", "copy for the next leader"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.keepReports(0.8, 8*time.Second)
		w.lateReports = spell{0.3, w.now.Add(8 * time.Second)}
		w.replaced(l)
		w.at(4*time.Second, func() { l.kill(6 * time.Second) })
	}},
	{name: "commands held up, and the leader back within a second", took: []string{"new term", "held order"}, play: func(w *World, l *node, _ controller.MoveEntry) {
		w.heldOrders = spell{0.6, w.now.Add(10 * time.Second)}
		w.burst(w.now.Sub(0).Seconds(), w.now.Sub(0).Seconds()+1)
		w.termAfter(l)
		w.at(2*time.Second, func() { l.kill(300 * time.Millisecond) })
	}},
	{name: "work of higher priority wants the room", stops: true, took: []string{"urgent work"}, play: func(w *World, _ *node, _ controller.MoveEntry) {
		for range 6 {
			w.job(func(s *api.Spec) {
				s.Shape, s.Priority, s.Spot, s.RuntimeS, s.VCPUs, s.Tasks, s.Image = api.Service, api.Critical, true, 0, 2, 1, "img-0"
			}, 0)
		}
		w.took("urgent work")
	}},
}

// cancelInGap has the leader refused alone, the moved job cancelled at the next leader, and then
// the state service down for all for longer than a cancellation may take.
func cancelInGap(w *World, l *node, m controller.MoveEntry) {
	w.store.refuses[l.name] = w.now.Add(14 * time.Second)
	j := w.jobOf(m)
	w.flock(j, l)
	w.next(l, func(n *node) {
		w.serving(n, func() {
			w.callOff(j, n)
			w.at(250*time.Millisecond, func() {
				if j.cancelTold > 0 {
					w.took("confirmed by another")
				}
				w.store.downUntil = w.now.Add(seconds(w.set.Workers.CancelS) + 8*time.Second)
			})
		})
	})
}

// holdStopped keeps the next move that stops its task from being placed for a while: what the
// leader writes is refused, and it knows that.
func (w *World) holdStopped() {
	w.onMove(migration.Stopping, func(l *node, _ controller.MoveEntry) {
		w.store.refuses[l.name] = w.now.Add(1800 * time.Millisecond)
		j := w.job(func(s *api.Spec) { s.Tasks, s.VCPUs = 1, 1 }, 5*time.Second)
		w.submitAt(j, l)
	})
}

// playMoveFault plays a day on which something goes wrong in a state of a move.
func playMoveFault(f moveFault, state migration.State, seed uint64) *World {
	cfg := movingConfig(seed)
	cfg.Links, cfg.OldNodes = f.links, f.old
	w := New(cfg)
	w.fragment(4)
	if f.old > 0 {
		w.when(20, w.newVersionLeads)
		w.when(120, func() { w.rollout(w.set.Nodes - f.old) })
	}
	w.when(wideAt, func() {
		if state == migration.Stopped {
			w.holdStopped()
		}
		w.onMove(state, func(l *node, m controller.MoveEntry) { f.play(w, l, m) })
		w.countMoves()
	})
	w.Run()
	return w
}

// newVersionLeads kills old nodes that lead until a new one does.
func (w *World) newVersionLeads() {
	l := w.leader()
	if l != nil && !l.env.old {
		return
	}
	if l != nil {
		l.kill(4 * time.Second)
	}
	w.at(3*time.Second, w.newVersionLeads)
}

// TestMovesAmidFailures: in each state of a move controllers end, stand still, are cut off or
// hand over, machines stop answering or go, records and reports come late, and jobs are
// cancelled. No task runs twice, none is lost, no job is moved a third time, and all work ends.
func TestMovesAmidFailures(t *testing.T) {
	t.Parallel()
	for _, f := range moveFaults {
		for _, state := range []migration.State{migration.Proposed, migration.Stopping, migration.Stopped, migration.Placing} {
			t.Run(fmt.Sprintf("%s/%s", f.name, state), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					w := playMoveFault(f, state, seed)
					whole(t, seed, w)
					if !f.stops {
						movesKept(t, seed, w)
					}
					for _, what := range append([]string{"move " + state.String()}, f.took...) {
						if w.seen[what] == 0 {
							t.Errorf("seed %d: %q did not take place: %v", seed, what, w.seen)
						}
					}
				}
			})
		}
	}
}

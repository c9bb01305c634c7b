package standin

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// largeFleet is more machines than the users run.
const largeFleet = 4500

// TestLargeFleet: with 4,500 machines every rule holds through a change of leader, an outage
// of the state service and the loss of a zone, and all work is done.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	w := New(Config{Seed: 1, Length: 150 * time.Second, Calm: 110 * time.Second, Quiet: true, Fleet: largeFleet})
	w.when(1, func() {
		for range 90 {
			w.job(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = 50, 7, true }, 60*time.Second)
		}
		for range 20 {
			w.job(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.Shape, s.Priority, s.Spot, s.RuntimeS = 10, 7, api.Service, api.Critical, false, 0
			}, 0)
		}
	})
	var most int
	var term ident.Term
	w.when(55, func() {
		most = len(w.workers)
		if l := w.leader(); l != nil {
			term = l.ctl.Election().Term()
			l.kill(3 * time.Second)
		}
	})
	w.when(65, func() {
		if l := w.leader(); l != nil && l.ctl.Election().Term() > term {
			w.took("new term")
		}
	})
	w.when(75, func() { w.store.downUntil = w.now.Add(12 * time.Second) })
	w.when(100, func() { w.cutZone("west", false, 25*time.Second) })
	w.Run()
	if len(w.Broken) > 0 || len(w.Undone) > 0 {
		t.Fatalf("%v %v\n%s", w.Broken, w.Undone, w.Tail(40))
	}
	if most < 4000 {
		t.Errorf("the fleet has only %d machines", most)
	}
	if w.seen["new term"] == 0 {
		t.Error("no leader followed the one that was killed")
	}
}

// TestLargeFleetMoves: on 4,500 machines, all in use, wide tasks find no room but by moves among
// a few of them, and the leader dies as the first moves begin.
func TestLargeFleetMoves(t *testing.T) {
	t.Parallel()
	const (
		fragmented = 100 // machines with room for half of a wide task
		full       = 88  // jobs of 50 tasks that fill a machine each
	)
	var teams []settings.Team
	for _, name := range []string{"red", "blue", "grey"} {
		teams = append(teams, settings.Team{Name: name, CPUs: 8 * largeFleet, CPUsMax: 8 * largeFleet})
	}
	w := New(Config{Seed: 1, Rebalance: settings.RebalanceMove, Teams: teams, Length: 150 * time.Second, Calm: 250 * time.Second, Quiet: true, Fleet: largeFleet})
	w.when(1, func() {
		for range fragmented {
			j := w.job(w.narrow, firstEnds)
			j.step = nextEnds
		}
		for range full {
			w.job(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = 50, 8, true }, 150*time.Second)
		}
	})
	w.when(wideAt, func() {
		if len(w.workers) > 4000 {
			w.took("large fleet")
		}
		w.cloud.soldOut = true
		for range 8 {
			w.job(func(s *api.Spec) {
				w.narrow(s)
				s.Tasks, s.VCPUs, s.CheckpointEveryS, s.RuntimeS = 1, 4, 0, wideRuns.Seconds()
			}, wideRuns)
		}
		w.onMove(migration.Stopping, func(*node, controller.MoveEntry) { w.depose(3 * time.Second) })
	})
	w.Run()
	if len(w.Broken) > 0 || len(w.Undone) > 0 {
		t.Fatalf("%v %v\n%s", w.Broken, w.Undone, w.Tail(40))
	}
	movesKept(t, 1, w)
	if w.Moves == 0 || w.seen["large fleet"] == 0 || w.seen["new term"] == 0 {
		t.Errorf("%d moves, %v", w.Moves, w.seen)
	}
}

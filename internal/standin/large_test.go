package standin

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
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

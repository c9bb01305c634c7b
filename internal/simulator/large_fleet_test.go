package simulator

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
	"opaldale/internal/settings"
)

// largeFleetSize is a number of machines larger than that of any cluster in use.
const largeFleetSize = 4500

// TestLargeFleet guards against failures that occur only at scale: with 4,500 machines every invariant holds during a leader
// crash, an outage of the store and the partition of a zone, and all work ends.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	sim := New(Config{
		Seed:              1,
		ActiveDuration:    150 * time.Second,
		QuiescentDuration: 110 * time.Second,
		NoArrivals:        true,
		FleetSize:         largeFleetSize,
	})
	sim.scheduleAt(1, func() {
		for range 90 {
			sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = 50, 7, true }, 60*time.Second)
		}
		for range 20 {
			sim.submitJob(func(s *api.Spec) {
				s.Tasks, s.VCPUs, s.Shape, s.Priority, s.Spot, s.RuntimeS = 10, 7, api.Service, api.Critical, false, 0
			}, 0)
		}
	})
	var machinesBefore int
	var term ident.Term
	sim.scheduleAt(55, func() {
		machinesBefore = len(sim.workers)
		if l := sim.leader(); l != nil {
			term = l.controller.Election().Term()
			l.crash(3 * time.Second)
		}
	})
	sim.scheduleAt(65, func() {
		if l := sim.leader(); l != nil && l.controller.Election().Term() > term {
			sim.countEvent(newTermEvent)
		}
	})
	sim.scheduleAt(75, func() { sim.store.downUntil = sim.now.Add(12 * time.Second) })
	sim.scheduleAt(100, func() { sim.partitionZone("west", false, 25*time.Second) })
	sim.Run()
	requireClean(t, sim)
	if machinesBefore < 4000 {
		t.Errorf("got %d machines before the faults, want at least 4,000", machinesBefore)
	}
	if sim.eventCounts[newTermEvent] == 0 {
		t.Error("no new leader 10 s after the leader crash")
	}
}

// TestLargeFleetMoves: 4,500 machines are in use, and tasks of 4 CPUs fit only after running tasks are moved between a hundred
// of them. Moves take place although the leader crashes as the first one begins.
func TestLargeFleetMoves(t *testing.T) {
	t.Parallel()
	const (
		fragmented = 100 // machines that get free capacity for half of a wide task each
		full       = 88  // jobs of 50 tasks, each of which fills a machine
	)
	var teams []settings.Team
	for _, name := range []string{"red", "blue", "grey"} {
		teams = append(teams, settings.Team{Name: name, CPUs: 8 * largeFleetSize, CPUsMax: 8 * largeFleetSize})
	}
	sim := New(Config{
		Seed:              1,
		Rebalance:         settings.RebalanceMove,
		Teams:             teams,
		ActiveDuration:    150 * time.Second,
		QuiescentDuration: 250 * time.Second,
		NoArrivals:        true,
		FleetSize:         largeFleetSize,
	})
	sim.scheduleAt(1, func() {
		for range fragmented {
			j := sim.submitJob(makeNarrow, firstTaskDuration)
			j.durationStep = taskDurationStep
		}
		for range full {
			sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs, s.Spot = 50, 8, true }, 150*time.Second)
		}
	})
	sim.scheduleAt(wideTasksAt, func() {
		if len(sim.workers) > 4000 {
			sim.countEvent(largeFleetUpEvent)
		}
		sim.cloud.outOfCapacity = true
		for range 8 {
			sim.submitJob(func(s *api.Spec) {
				makeWide(s, 4, wideTaskDuration.Seconds())
			}, wideTaskDuration)
		}
		sim.onMoveState(migration.Stopping, func(*node, controller.MoveEntry) { sim.crashLeader(3 * time.Second) })
	})
	sim.Run()
	requireClean(t, sim)
	checkStopCounts(t, sim)
	if sim.Moves == 0 || sim.eventCounts[largeFleetUpEvent] == 0 || sim.eventCounts[newTermEvent] == 0 {
		t.Errorf("got %d moves and events %v, want moves and each of %q and %q", sim.Moves, sim.eventCounts,
			largeFleetUpEvent, newTermEvent)
	}
}

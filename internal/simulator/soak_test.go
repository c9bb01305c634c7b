package simulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
)

var (
	soakFirst    = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	soakSeeds    = flag.Uint64("soak.seeds", 200, "number of seeds of TestSoak")
	handoverSeed = flag.Uint64("handover.seed", 0, "only seed of TestNoQueuedLaunchDuringHandover; 0: its usual seeds")
)

// TestSoak checks the invariants with random faults of all kinds. With even seeds, commands are late, and cancellations and
// urgent services follow each other closely. Longer runs: go test ./internal/simulator -run TestSoak -soak.seeds=1000
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSoak(seed)
			if seed%2 == 0 {
				sim.delayCommandsOfPreemptedWork(func(service *userJob) { sim.cancelWhenAccepted(service, nil) })
			}
			sim.Run()
			requireClean(t, sim)
		})
	}
}

// newSoak returns a simulation with random faults; the seed selects which kinds.
func newSoak(seed uint64) *Simulation {
	return New(Config{
		Seed:             seed,
		Faults:           true,
		ConcurrentFaults: seed%3 > 0,
		MoreGangs:        seed%5 == 0,
		LinkMonitoring:   seed%7 == 0,
		ActiveDuration:   200 * time.Second,
	})
}

// delayCommandsOfPreemptedWork delays commands, and repeatedly cancels a job and submits an urgent service, for which it calls
// release some time later.
func (sim *Simulation) delayCommandsOfPreemptedWork(release func(service *userJob)) {
	sim.scheduleAt(20, func() { sim.delayedCommands = faultWindow{0.3, timeAt(200)} })
	for s := 25.0; s < 200; s += 4 {
		sim.scheduleAt(s, func() {
			sim.cancelRunning(1, 0)
			service := sim.submitService(float64(1 + sim.rng.IntN(4)))
			sim.schedule(15*time.Second, func() { release(service) })
		})
	}
}

// TestNoQueuedLaunchDuringHandover guards against a launch during a handover: the launch command was queued while a call to the
// worker was in flight, and was sent after the leader had begun to hand over its leadership.
func TestNoQueuedLaunchDuringHandover(t *testing.T) {
	t.Parallel()
	seeds := []uint64{74088, 84707, 87080, 95837}
	if *handoverSeed > 0 {
		seeds = []uint64{*handoverSeed}
	}
	for _, seed := range seeds {
		sim := newSoak(seed)
		sim.delayCommandsOfPreemptedWork(func(*userJob) { sim.cancelAnyService() })
		sim.Run()
		requireClean(t, sim)
		if sim.eventCounts[handoverAnnouncedEvent] == 0 || sim.eventCounts[commandDelayedEvent] == 0 {
			t.Errorf("seed %d: got events %v, want a handover and delayed commands", seed, sim.eventCounts)
		}
	}
}

// cancelAnyService cancels the first running service, if there is one.
func (sim *Simulation) cancelAnyService() {
	for _, j := range sim.runningJobs() {
		if j.spec.Shape == api.Service {
			sim.cancelWhenAccepted(j, nil)
			return
		}
	}
}

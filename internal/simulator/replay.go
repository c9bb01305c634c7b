package simulator

import "time"

// ReplayOutcome is the outcome of a replay run, to be compared with the same run of another build.
type ReplayOutcome struct {
	// Seed and Scenario identify the run.
	Seed     uint64
	Scenario string
	// Digest is the digest of all messages that the controllers sent, in hexadecimal.
	Digest string
	// Violations lists the invariants that were violated.
	Violations []string
}

// replayScenario is a kind of replay run. The variant is the number of smaller seeds that run the same scenario. It selects
// the deterministic differences between the runs of a scenario; all other differences are random.
type replayScenario struct {
	name   string
	config func(seed, variant uint64) Config
	setUp  func(sim *Simulation, variant uint64)
}

const (
	// replayLength is the active part of a replay run.
	replayLength = 150 * time.Second
	// replayQuiescence is the quiescent part of a replay run. It is too short for all work to end: replays are only compared
	// and need not complete.
	replayQuiescence = 90 * time.Second
)

// replayScenarios lists the scenarios; consecutive seeds select them in rotation.
var replayScenarios = []replayScenario{
	{"faults", faultyConfig, noSetUp},
	{"concurrent-faults", concurrentFaultsConfig, noSetUp},
	{"gangs", gangsConfig, setUpGangs},
	{"links", linksConfig, noSetUp},
	{"handover", handoverConfig, setUpHandover},
	{"moves", movesConfig, setUpMoves},
	{"slow-machine", slowMachineConfig, setUpSlowMachine},
	{"upgrade", upgradeConfig, setUpUpgrade},
	{"large-fleet", largeFleetConfig, setUpLargeFleet},
	{"store-outage", scriptedConfig, setUpStoreOutage},
	{"failover", scriptedConfig, setUpFailover},
	{"partitions", scriptedConfig, setUpPartitions},
	{"flood", floodedConfig, setUpFlood},
	{"failing-jobs", scriptedConfig, setUpFailingJobs},
	{"borrowers", scriptedConfig, setUpBorrowers},
	{"overload", overloadConfig, setUpOverload},
}

// Replay runs the scenario that a seed selects. All runs of a seed with the same build have the same outcome.
func Replay(seed uint64) ReplayOutcome {
	scenario, sim := newReplay(seed)
	sim.Run()
	return ReplayOutcome{Seed: seed, Scenario: scenario.name, Digest: sim.cfg.Digest.Sum(), Violations: sim.Violations}
}

// newReplay returns the scenario and the simulation for a seed.
func newReplay(seed uint64) (replayScenario, *Simulation) {
	kinds := uint64(len(replayScenarios))
	scenario, variant := replayScenarios[seed%kinds], seed/kinds
	cfg := scenario.config(seed, variant)
	cfg.QuiescentDuration, cfg.Digest = replayQuiescence, NewDigest()
	sim := New(cfg)
	sim.countLeaderChanges(newTermEvent)
	scenario.setUp(sim, variant)
	return scenario, sim
}

// odd reports whether a variant is odd. Scenarios use it to vary every other run.
func odd(variant uint64) bool { return variant%2 == 1 }

// noSetUp schedules nothing: the run only has the arrivals and faults of its configuration.
func noSetUp(*Simulation, uint64) {}

// onLeader schedules f to run with the current leader s seconds after the start of the run. f is skipped if there is none.
func (sim *Simulation) onLeader(s float64, f func(l *node)) {
	sim.scheduleAt(s, func() {
		if l := sim.leader(); l != nil {
			f(l)
		}
	})
}

// crashLeaderAt schedules a crash of the current leader s seconds after the start of the run.
func (sim *Simulation) crashLeaderAt(s float64, restartAfter time.Duration) {
	sim.onLeader(s, func(l *node) {
		sim.countEvent(leaderCrashedEvent)
		l.crash(restartAfter)
	})
}

// randomDuration returns a random duration in [least, most).
func (sim *Simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

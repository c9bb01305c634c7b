package simulator

import "time"

// ReplayOutcome is the outcome of a run that is compared with the same run of another build.
type ReplayOutcome struct {
	// Seed and Scenario identify the run.
	Seed     uint64
	Scenario string
	// Digest is that of all that the controllers sent, in hexadecimal.
	Digest string
	// Violations lists the invariants that were violated.
	Violations []string
}

// replayScenario is a kind of run. The variant counts the smaller seeds of the same scenario; what differs between runs
// of a scenario beside chance follows from it.
type replayScenario struct {
	name   string
	config func(seed, variant uint64) Config
	setUp  func(sim *Simulation, variant uint64)
}

const (
	replayLength = 150 * time.Second
	// replayQuiescence is shorter than work may take to end, as replays are compared and need not complete.
	replayQuiescence = 90 * time.Second
)

// replayScenarios are the scenarios, which take turns by seed.
var replayScenarios = []replayScenario{
	{"faults", faultyConfig, asConfigured},
	{"concurrent-faults", concurrentFaultsConfig, asConfigured},
	{"gangs", gangsConfig, setUpGangs},
	{"links", linksConfig, asConfigured},
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

// Replay runs the scenario of a seed. All runs of one build have the same outcome.
func Replay(seed uint64) ReplayOutcome {
	scenario, sim := newReplay(seed)
	sim.Run()
	return ReplayOutcome{Seed: seed, Scenario: scenario.name, Digest: sim.cfg.Digest.Sum(), Violations: sim.Violations}
}

// newReplay makes the simulation of a seed.
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

// odd reports whether a variant is odd, to have every other run differ.
func odd(variant uint64) bool { return variant%2 == 1 }

// asConfigured adds nothing to what the configuration injects.
func asConfigured(*Simulation, uint64) {}

// onLeader calls f at a time with the leader, if there is one.
func (sim *Simulation) onLeader(s float64, f func(l *node)) {
	sim.scheduleAt(s, func() {
		if l := sim.leader(); l != nil {
			f(l)
		}
	})
}

// crashLeaderAt crashes the leader at a time.
func (sim *Simulation) crashLeaderAt(s float64, restartAfter time.Duration) {
	sim.onLeader(s, func(l *node) {
		sim.countEvent(leaderCrashedEvent)
		l.crash(restartAfter)
	})
}

// between draws a duration.
func (sim *Simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

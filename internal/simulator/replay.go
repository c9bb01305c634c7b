package simulator

import "time"

// ReplayOutcome is what came of a day that is played to be compared with the same day of
// another build.
type ReplayOutcome struct {
	Seed     uint64
	Scenario string
	Digest   string   // of all that the controllers sent, in hexadecimal
	Broken   []string // the rules broken
}

// replayScenario is a kind of day. The variant counts the days of the kind that come before,
// by seed, and what differs between them beside chance follows from it.
type replayScenario struct {
	name   string
	config func(seed, variant uint64) Config
	play   func(sim *Simulation, variant uint64)
}

const (
	replayLength = 150 * time.Second
	// replayCalm is shorter than work may take to end: the days are compared, not judged.
	replayCalm = 90 * time.Second
)

// replayScenarios are the kinds of days, which take turns by seed.
var replayScenarios = []replayScenario{
	{"faults", faultyConfig, asConfigured},
	{"meetings", meetingsConfig, asConfigured},
	{"gangs", gangsConfig, playGangs},
	{"links", linksConfig, asConfigured},
	{"handover", handoverConfig, playHandover},
	{"moves", replayedMovesConfig, playReplayedMoves},
	{"slow-machine", slowMachineConfig, playSlowMachine},
	{"upgrade", upgradeConfig, playUpgrade},
	{"fleet", fleetConfig, playFleet},
	{"outage", quietConfig, playOutage},
	{"failover", quietConfig, playFailover},
	{"partitions", quietConfig, playPartitions},
	{"flood", floodedConfig, playFlood},
	{"mistakes", quietConfig, playMistakes},
	{"guests", quietConfig, playGuests},
	{"crowd", crowdConfig, playCrowd},
}

// Replay plays the day of a seed. It is the same in every run of one build.
func Replay(seed uint64) ReplayOutcome {
	scenario, sim := replayDay(seed)
	sim.Run()
	return ReplayOutcome{Seed: seed, Scenario: scenario.name, Digest: sim.cfg.Digest.Sum(), Broken: sim.Violations}
}

// replayDay sets the day of a seed up.
func replayDay(seed uint64) (replayScenario, *Simulation) {
	kinds := uint64(len(replayScenarios))
	scenario, variant := replayScenarios[seed%kinds], seed/kinds
	cfg := scenario.config(seed, variant)
	cfg.QuiescentDuration, cfg.Digest = replayCalm, NewDigest()
	sim := New(cfg)
	sim.countLeaderChanges(newTermEvent)
	scenario.play(sim, variant)
	return scenario, sim
}

// odd says whether every other day of a kind is meant.
func odd(variant uint64) bool { return variant%2 == 1 }

// asConfigured adds nothing to what the configuration has happen by itself.
func asConfigured(*Simulation, uint64) {}

// onLeader calls f with the leader of a moment, if there is one.
func (sim *Simulation) onLeader(s float64, f func(l *node)) {
	sim.scheduleAt(s, func() {
		if l := sim.leader(); l != nil {
			f(l)
		}
	})
}

// killLeader has the leader of a moment end and come back.
func (sim *Simulation) killLeader(s float64, back time.Duration) {
	sim.onLeader(s, func(l *node) {
		sim.countEvent(leaderCrashedEvent)
		l.crash(back)
	})
}

// between returns a time at random.
func (sim *Simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

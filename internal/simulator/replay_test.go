package simulator

import (
	"slices"
	"testing"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
)

// replaysPerScenario is the number of seeds that the test runs of each scenario.
const replaysPerScenario = 3

// expectation is a lower bound for a count over all runs of a scenario.
type expectation struct {
	description string
	count       func(sim *Simulation) int
	atLeast     int
}

// expectEvent expects an event at least so many times over all runs.
func expectEvent(name eventName, atLeast int) expectation {
	return expectation{string(name), func(sim *Simulation) int { return sim.eventCounts[name] }, atLeast}
}

var (
	leaderChange = expectEvent(newTermEvent, 2*replaysPerScenario) // the first term and another one in each run
	gangRan      = expectation{"gang ran", func(sim *Simulation) int { return sim.GangRuns }, 1}
	moveRecorded = expectation{"move recorded", func(sim *Simulation) int { return sim.Moves }, 1}
	lostOneWay   = expectation{"message lost in one direction", func(sim *Simulation) int { return sim.blockedOneWay }, 1}
	tasksStarted = expectation{"task started", func(sim *Simulation) int { return sim.TaskStarts }, 20 * replaysPerScenario}
	upgraded     = expectation{"format level raised", countUpgrade, replaysPerScenario}
)

// countUpgrade returns 1 if the newest format level is in use at the end of a run, 0 otherwise.
func countUpgrade(sim *Simulation) int {
	if _, level, err := election.DecodeTerm(sim.store.keys[election.TermKey].value); err != nil ||
		level != ident.NewestFormatLevel {
		return 0
	}
	return 1
}

// replayExpectations has the expectations of each scenario, by its name.
var replayExpectations = map[string][]expectation{
	"faults":            {leaderChange},
	"concurrent-faults": {leaderChange},
	"gangs": {gangRan, expectEvent(newTermEvent, 1), expectEvent(reclaimNoticeEvent, 1),
		{"gang stopped to checkpoint", func(sim *Simulation) int { return sim.GangStops }, 1}},
	"links":    {expectEvent(linkStatesSentEvent, 100), lostOneWay, leaderChange},
	"handover": {expectEvent(handoverAnnouncedEvent, 1), lostOneWay},
	"moves": {moveRecorded, expectEvent(moveEndEvent(migration.Arrived.String()), 1),
		expectEvent(moveFaultInjectedEvent, replaysPerScenario),
		expectEvent(linkStatesSentEvent, 100), leaderChange},
	"slow-machine": {moveRecorded, {"slow machine", func(sim *Simulation) int {
		return sim.slowMachineCount
	}, replaysPerScenario}},
	"upgrade":     {expectEvent(legacyNodeEvent, 3*replaysPerScenario-1), upgraded, gangRan, leaderChange},
	"large-fleet": {expectEvent(fleetMachineEvent, 900), expectEvent(storeOutageEvent, replaysPerScenario), leaderChange},
	"store-outage": {expectEvent(storeOutageEvent, replaysPerScenario), expectEvent(storeSlowEvent, 20),
		expectEvent(limitsBelowAnnouncedEvent, 1),
		{"transaction too large", func(sim *Simulation) int { return sim.OversizedTransactions }, 1}, leaderChange},
	"failover": {expectEvent(leaderCrashedEvent, 5*replaysPerScenario), expectEvent(allNodesCrashedEvent, 1),
		expectEvent(newTermEvent, 8*replaysPerScenario)},
	"partitions": {expectEvent(partitionedEvent, 4*replaysPerScenario), expectEvent(nodesProbedEvent, 50),
		expectEvent(bootSlowEvent, 1), leaderChange},
	"flood":        {expectEvent(onlyOneTeamOverloadedEvent, 1), leaderChange},
	"failing-jobs": {expectEvent(attemptFailedEvent, 10), leaderChange},
	"borrowers":    {expectEvent(borrowerJobEvent, 70*replaysPerScenario), leaderChange},
	"overload":     {expectEvent(linkSlowEvent, 50)},
}

// TestReplayScenarios guards against runs that depend on anything but their seed, and scenarios without the events that they are
// meant to test. The runs of each scenario meet its expectations and violate no invariant. A seed that is run again has the same
// digest, and different seeds have different digests.
func TestReplayScenarios(t *testing.T) {
	t.Parallel()
	for i, scenario := range replayScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			expectations := slices.Concat(replayExpectations[scenario.name], []expectation{tasksStarted})
			if len(expectations) == 1 {
				t.Errorf("scenario %q has no entry in replayExpectations", scenario.name)
			}
			totals := make([]int, len(expectations))
			sums := map[string]bool{}
			for run := range replaysPerScenario {
				sim := checkReplay(t, uint64(i+run*len(replayScenarios)), scenario.name)
				for k, e := range expectations {
					totals[k] += e.count(sim)
				}
				sums[sim.cfg.Digest.Sum()] = true
			}
			if len(sums) != replaysPerScenario {
				t.Errorf("got %d different digests, want %d", len(sums), replaysPerScenario)
			}
			for k, e := range expectations {
				if totals[k] < e.atLeast {
					t.Errorf("%s: got %d, want at least %d", e.description, totals[k], e.atLeast)
				}
			}
		})
	}
}

// checkReplay runs a seed twice, and checks that no invariant is violated and that both runs have the same digest.
func checkReplay(t *testing.T, seed uint64, name string) *Simulation {
	t.Helper()
	_, sim := newReplay(seed)
	sim.Run()
	if len(sim.Violations) > 0 {
		t.Errorf("seed %d: violations %v, want none\n%s", seed, sim.Violations, sim.LogTail(30))
	}
	sum := sim.cfg.Digest.Sum()
	if again := Replay(seed); again.Digest != sum || again.Scenario != name || again.Seed != seed {
		t.Errorf("seed %d: the second run is %+v, want digest %s of scenario %q", seed, again, sum, name)
	}
	return sim
}

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
	what  string
	count func(sim *Simulation) int
	least int
}

// counted expects an event to be counted at least so many times.
func counted(name eventName, least int) expectation {
	return expectation{string(name), func(sim *Simulation) int { return sim.eventCounts[name] }, least}
}

var (
	leaderChange = counted(newTermEvent, 2*replaysPerScenario) // the first term and another one in each run
	gangRan      = expectation{"gang ran", func(sim *Simulation) int { return sim.GangRuns }, 1}
	moveRecorded = expectation{"move recorded", func(sim *Simulation) int { return sim.Moves }, 1}
	lostOneWay   = expectation{"message lost in one direction", func(sim *Simulation) int { return sim.blockedOneWay }, 1}
	tasksStarted = expectation{"task started", func(sim *Simulation) int { return sim.TaskStarts }, 20 * replaysPerScenario}
	upgraded     = expectation{"format level raised", upgradesOf, replaysPerScenario}
)

// upgradesOf returns 1 if the newest format level is in use at the end of a run, 0 otherwise.
func upgradesOf(sim *Simulation) int {
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
	"gangs": {gangRan, counted(newTermEvent, 1), counted(reclaimNoticeEvent, 1),
		{"gang stopped to checkpoint", func(sim *Simulation) int { return sim.GangStops }, 1}},
	"links":    {counted(rowsSentEvent, 100), lostOneWay, leaderChange},
	"handover": {counted(handoverAnnouncedEvent, 1), lostOneWay},
	"moves": {moveRecorded, counted(moveEndEvent(migration.Arrived.String()), 1),
		counted(moveFaultInjectedEvent, replaysPerScenario),
		counted(rowsSentEvent, 100), leaderChange},
	"slow-machine": {moveRecorded, {"slow machine", func(sim *Simulation) int {
		return sim.slowMachineCount
	}, replaysPerScenario}},
	"upgrade":     {counted(legacyNodeEvent, 3*replaysPerScenario-1), upgraded, gangRan, leaderChange},
	"large-fleet": {counted(fleetMachineEvent, 900), counted(storeOutageEvent, replaysPerScenario), leaderChange},
	"store-outage": {counted(storeOutageEvent, replaysPerScenario), counted(storeSlowEvent, 20),
		counted(limitsBelowAnnouncedEvent, 1),
		{"transaction too large", func(sim *Simulation) int { return sim.OversizedTransactions }, 1}, leaderChange},
	"failover": {counted(leaderCrashedEvent, 5*replaysPerScenario), counted(allNodesCrashedEvent, 1),
		counted(newTermEvent, 8*replaysPerScenario)},
	"partitions": {counted(partitionedEvent, 4*replaysPerScenario), counted(nodesProbedEvent, 50),
		counted(bootSlowEvent, 1), leaderChange},
	"flood":        {counted(onlyHotTeamEvent, 1), leaderChange},
	"failing-jobs": {counted(attemptFailedEvent, 10), leaderChange},
	"borrowers":    {counted(borrowerJobEvent, 70*replaysPerScenario), leaderChange},
	"overload":     {counted(linkSlowEvent, 50)},
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
				if totals[k] < e.least {
					t.Errorf("%s: got %d, want at least %d", e.what, totals[k], e.least)
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

package simulator

import (
	"slices"
	"testing"

	"opaldale/internal/election"
	"opaldale/internal/ident"
	"opaldale/internal/migration"
)

// replayedDays is how many days of each kind the test plays.
const replayedDays = 3

// aim is what days of a kind must have come to, in all.
type aim struct {
	what  string
	count func(sim *Simulation) int
	least int
}

// took counts what happened under a name.
func took(name eventName, least int) aim {
	return aim{string(name), func(sim *Simulation) int { return sim.eventCounts[name] }, least}
}

var (
	leaderChange = took(newTermEvent, 2*replayedDays) // the first and one more each day
	gangRan      = aim{"gang ran", func(sim *Simulation) int { return sim.GangRuns }, 1}
	moveRecorded = aim{"move on record", func(sim *Simulation) int { return sim.Moves }, 1}
	lostOneWay   = aim{"message lost one way", func(sim *Simulation) int { return sim.blockedOneWay }, 1}
	tasksStarted = aim{"task started", func(sim *Simulation) int { return sim.TaskStarts }, 20 * replayedDays}
	upgraded     = aim{"format level raised", upgradesOf, replayedDays}
)

// upgradesOf returns 1 if the newest format is in use at the end.
func upgradesOf(sim *Simulation) int {
	if _, level, err := election.DecodeTerm(sim.store.keys[election.TermKey].value); err != nil || level != ident.NewestFormatLevel {
		return 0
	}
	return 1
}

// replayAims are what the kinds of days are for.
var replayAims = map[string][]aim{
	"faults":   {leaderChange},
	"meetings": {leaderChange},
	"gangs": {gangRan, took(newTermEvent, 1), took(reclaimNoticeEvent, 1),
		{"gang stopped in order", func(sim *Simulation) int { return sim.GangStops }, 1}},
	"links":    {took(rowsSentEvent, 100), lostOneWay, leaderChange},
	"handover": {took(handoverAnnouncedEvent, 1), lostOneWay},
	"moves": {moveRecorded, took(moveEndEvent(migration.Arrived.String()), 1), took(moveFaultInjectedEvent, replayedDays),
		took(rowsSentEvent, 100), leaderChange},
	"slow-machine": {moveRecorded, {"slow machine", func(sim *Simulation) int { return sim.slowMachineCount }, replayedDays}},
	"upgrade":      {took(legacyNodeEvent, 3*replayedDays-1), upgraded, gangRan, leaderChange},
	"fleet":        {took(fleetMachineEvent, 900), took(storeOutageEvent, replayedDays), leaderChange},
	"outage": {took(storeOutageEvent, replayedDays), took(storeSlowEvent, 20), took(limitsBelowAnnouncedEvent, 1),
		{"transaction too large", func(sim *Simulation) int { return sim.OversizedTransactions }, 1}, leaderChange},
	"failover": {took(leaderCrashedEvent, 5*replayedDays), took(allNodesCrashedEvent, 1), took(newTermEvent, 8*replayedDays)},
	"partitions": {took(partitionedEvent, 4*replayedDays), took(nodesProbedEvent, 50),
		took(bootSlowEvent, 1), leaderChange},
	"flood":    {took(onlyHotTeamEvent, 1), leaderChange},
	"mistakes": {took(attemptFailedEvent, 10), leaderChange},
	"guests":   {took(borrowerJobEvent, 70*replayedDays), leaderChange},
	"crowd":    {took(linkSlowEvent, 50)},
}

// TestReplayScenarios: a day of each kind comes to what it is for and breaks no rule; played
// again it has the same digest, and no other day has it.
func TestReplayScenarios(t *testing.T) {
	t.Parallel()
	kinds := uint64(len(replayScenarios))
	for kind := range kinds {
		name := replayScenarios[kind].name
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			aims := slices.Concat(replayAims[name], []aim{tasksStarted})
			totals := make([]int, len(aims))
			sums := map[string]bool{}
			for day := range uint64(replayedDays) {
				seed := kind + day*kinds
				_, sim := replayDay(seed)
				sim.Run()
				if len(sim.Violations) > 0 {
					t.Errorf("seed %d: %v\n%s", seed, sim.Violations, sim.LogTail(30))
				}
				for i, a := range aims {
					totals[i] += a.count(sim)
				}
				sum := sim.cfg.Digest.Sum()
				if again := Replay(seed); again.Digest != sum || again.Scenario != name || again.Seed != seed {
					t.Errorf("seed %d: %+v, before it was %s", seed, again, sum)
				}
				sums[sum] = true
			}
			if len(sums) != replayedDays {
				t.Errorf("%d digests of %d days", len(sums), replayedDays)
			}
			if len(aims) == 1 {
				t.Error("nothing says what these days are for")
			}
			for i, a := range aims {
				if totals[i] < a.least {
					t.Errorf("%s: %d times, want %d", a.what, totals[i], a.least)
				}
			}
		})
	}
}

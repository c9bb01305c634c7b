package simulator

import (
	"testing"
	"time"
)

// runWithPauses runs a simulation in which processes pause for up to 12 s in the midst of events, while jobs are
// submitted and cancelled every second.
func runWithPauses(seed uint64, m Mutation) *Simulation {
	sim := New(Config{Seed: seed, Mutation: m, NoArrivals: true, ActiveDuration: 150 * time.Second})
	sim.submitBaseLoad(5)
	sim.scheduleAt(30, func() { sim.probeAfterAnswer = faultWindow{1, timeAt(150)} })
	sim.submitStream(35.0, 140, 0.5, 6*time.Second)
	for s := 40.0; s < 130; s += 15 {
		sim.scheduleAt(s, func() {
			for _, n := range sim.nodes {
				n.eventPause.window = faultWindow{0.01, sim.now.Add(10 * time.Second)}
			}
		})
	}
	sim.Run()
	return sim
}

// TestProcessPausesWithinEvents: a process that is paused between a decision and its effects acts on nothing old
// afterwards: no invariant is violated, no answer is older than another node's, and no task is launched by a node that
// may not lead any more. An answer that is itself delayed does not count as older, as it was asked for before the other
// one was given.
func TestProcessPausesWithinEvents(t *testing.T) {
	t.Parallel()
	leaders := 0
	for seed := range uint64(10) {
		sim := runWithPauses(seed, None)
		requireClean(t, sim)
		leaders += sim.eventCounts[leaderPausedEvent]
		if n := sim.eventCounts[launchWithoutLeadershipEvent]; n > 0 {
			t.Errorf("seed %d: %d launches were sent without leadership", seed, n)
		}
	}
	if leaders < 60 {
		t.Errorf("leaders were paused %d times within an event", leaders)
	}
	launches := 0
	for seed := uint64(0); seed < 10 && launches == 0; seed++ {
		launches += runWithPauses(seed, IgnoreSendDeadlines).eventCounts[launchWithoutLeadershipEvent]
	}
	if launches == 0 {
		t.Error("without send deadlines no launch was sent without leadership: the test shows nothing")
	}
}

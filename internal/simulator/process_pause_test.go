package simulator

import (
	"testing"
	"time"
)

// runWithPauses plays a day on which processes stand still for up to 12 s in the middle of
// what they do, a few of them at a time, while jobs come one a second, are cancelled,
// and asked about at all nodes.
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

// TestProcessPausesWithinEvents: a process that stands still between a decision and what follows
// from it acts on nothing old when it moves again: no rule breaks, no node's answer is
// older than another's, and no task is started by a node that may not lead any more.
// Without the limits on what goes out such tasks are. (An answer to a user that goes out
// late can't be noticed: it was asked for before the other one was given.)
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
		t.Errorf("leaders stood still %d times within an event", leaders)
	}
	launches := 0
	for seed := uint64(0); seed < 10 && launches == 0; seed++ {
		launches += runWithPauses(seed, IgnoreSendDeadlines).eventCounts[launchWithoutLeadershipEvent]
	}
	if launches == 0 {
		t.Error("without the limits no launch was sent without leadership: the test shows nothing")
	}
}

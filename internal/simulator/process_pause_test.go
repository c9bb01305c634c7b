package simulator

import (
	"testing"
	"time"
)

// runWithPauses runs a simulation in which node processes pause for up to 12.5 s while they handle an event, and jobs are
// submitted and cancelled all the time.
func runWithPauses(seed uint64, m Mutation) *Simulation {
	sim := New(Config{Seed: seed, Mutation: m, NoArrivals: true, ActiveDuration: 150 * time.Second})
	sim.submitBaseLoad(5)
	sim.scheduleAt(30, func() { sim.probeAfterReply = faultWindow{1, timeAt(150)} })
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

// TestProcessPausesWithinEvents guards against a process acting on an outdated decision after a pause, such as a long garbage
// collection, between the decision and its effects. No invariant is violated, no reply is older than one that another node gave
// before, and no task is launched by a node whose leadership has ended. A delayed reply to a query that was sent before the
// other node replied does not count as older. Without send deadlines, some seed launches a task without leadership.
func TestProcessPausesWithinEvents(t *testing.T) {
	t.Parallel()
	leaders := 0
	for seed := range uint64(10) {
		sim := runWithPauses(seed, None)
		requireClean(t, sim)
		leaders += sim.eventCounts[leaderPausedEvent]
		if n := sim.eventCounts[launchWithoutLeadershipEvent]; n > 0 {
			t.Errorf("seed %d: got %d launches sent without leadership, want none", seed, n)
		}
	}
	if leaders < 60 {
		t.Errorf("got %d pauses of leaders within an event over all seeds, want at least 60", leaders)
	}
	launches := 0
	for seed := uint64(0); seed < 10 && launches == 0; seed++ {
		launches += runWithPauses(seed, IgnoreSendDeadlines).eventCounts[launchWithoutLeadershipEvent]
	}
	if launches == 0 {
		t.Error("got no launch without leadership although send deadlines are disabled, want at least one")
	}
}

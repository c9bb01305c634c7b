package simulator

import (
	"testing"
	"time"

	"opaldale/internal/load"
	"opaldale/internal/settings"
)

// TestHotTeamIsDetected: the leader reports a team that floods the cluster as overloaded during the flood, and no longer some
// time after it. The invariants hold, with a leader crash during the flood.
func TestHotTeamIsDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim := New(floodConfig(seed, settings.RebalancePlace))
		sim.submitSteadyLoad()
		sim.schedule(floodStart, func() { sim.flood(sim.now.Add(floodDuration)) })
		for s := 5.0; s < 330; s++ {
			sim.scheduleAt(s, func() {
				l := sim.leader()
				if l == nil {
					return
				}
				for _, r := range l.controller.Stats().TeamLoads {
					switch {
					case r.State != load.Overloaded:
					case r.Team == floodingTeam && sim.now > timeAt(320):
						sim.countEvent(teamStillOverloadedEvent)
					case r.Team == floodingTeam:
						sim.countEvent(floodingTeamOverloadedEvent)
					default:
						sim.countEvent(otherTeamOverloadedEvent)
					}
				}
			})
		}
		sim.scheduleAt(100, func() {
			if l := sim.leader(); l != nil {
				l.crash(3 * time.Second)
			}
		})
		sim.Run()
		requireClean(t, sim)
		if sim.eventCounts[floodingTeamOverloadedEvent] < 20 || sim.eventCounts[teamStillOverloadedEvent] > 0 {
			t.Errorf("seed %d: got events %v, want at least 20 of %q and none of %q", seed, sim.eventCounts,
				floodingTeamOverloadedEvent, teamStillOverloadedEvent)
		}
	}
}

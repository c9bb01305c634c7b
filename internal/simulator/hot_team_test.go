package simulator

import (
	"testing"
	"time"

	"opaldale/internal/load"
	"opaldale/internal/settings"
)

// TestHotTeamIsDetected: a team that floods is hot while it does, no other is, and it cools; the
// rules hold with the work spread over holders, and through a change of leader meanwhile.
func TestHotTeamIsDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := New(floodConfig(seed, settings.RebalancePlace))
		w.submitSteadyLoad()
		w.schedule(floodStart, func() { w.flood(w.now.Add(floodDuration)) })
		for s := 5.0; s < 330; s++ {
			w.scheduleAt(s, func() {
				l := w.leader()
				if l == nil {
					return
				}
				for _, r := range l.controller.Stats().TeamLoads {
					switch {
					case r.State != load.Overloaded:
					case r.Team == hotTeam && w.now > timeAt(320):
						w.countEvent("never cooled")
					case r.Team == hotTeam:
						w.countEvent("hot")
					default:
						w.countEvent("another is hot")
					}
				}
			})
		}
		w.scheduleAt(100, func() {
			if l := w.leader(); l != nil {
				l.crash(3 * time.Second)
			}
		})
		w.Run()
		if len(w.Violations) > 0 || len(w.Unfinished) > 0 {
			t.Errorf("seed %d: %v %v\n%s", seed, w.Violations, w.Unfinished, w.LogTail(20))
		}
		if w.eventCounts["hot"] < 20 || w.eventCounts["never cooled"] > 0 {
			t.Errorf("seed %d: %v", seed, w.eventCounts)
		}
	}
}

package standin

import (
	"testing"
	"time"

	"opaldale/internal/load"
	"opaldale/internal/settings"
)

// TestHotTeamIsSeen: a team that floods is hot while it does, no other is, and it cools; the
// rules hold with the work spread over holders, and through a change of leader meanwhile.
func TestHotTeamIsSeen(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := New(floodConfig(seed, settings.RebalancePlace))
		w.steadyTeams()
		w.at(floodFrom, func() { w.flood(w.now.Add(floodFor)) })
		for s := 5.0; s < 330; s++ {
			w.when(s, func() {
				l := w.leader()
				if l == nil {
					return
				}
				for _, r := range l.ctl.Stats().TeamLoads {
					switch {
					case r.State != load.Overloaded:
					case r.Team == hotTeam && w.now > second(320):
						w.took("never cooled")
					case r.Team == hotTeam:
						w.took("hot")
					default:
						w.took("another is hot")
					}
				}
			})
		}
		w.when(100, func() {
			if l := w.leader(); l != nil {
				l.kill(3 * time.Second)
			}
		})
		w.Run()
		if len(w.Broken) > 0 || len(w.Undone) > 0 {
			t.Errorf("seed %d: %v %v\n%s", seed, w.Broken, w.Undone, w.Tail(20))
		}
		if w.seen["hot"] < 20 || w.seen["never cooled"] > 0 {
			t.Errorf("seed %d: %v", seed, w.seen)
		}
	}
}

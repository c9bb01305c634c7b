package simulator

import (
	"fmt"
	"testing"
	"time"
)

// leaderLinks lists the directed links of a leader: to and from the store, the cloud, the machines and each other node.
func leaderLinks(leader string, others []string) []link {
	links := []link{{leader, storeParty}, {storeParty, leader}, {leader, cloudParty}, {cloudParty, leader},
		{leader, machines}, {machines, leader}}
	for _, o := range others {
		links = append(links, link{leader, o}, link{o, leader})
	}
	return links
}

// TestUnidirectionalLinkFlaps: one directed link of the leader flaps for two minutes, with nodes that do not monitor their
// links. No invariant is violated, and all work ends.
func TestUnidirectionalLinkFlaps(t *testing.T) {
	t.Parallel()
	for i := range 10 {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("link %d, seed %d", i, seed), func(t *testing.T) {
				t.Parallel()
				sim := New(Config{Seed: seed, ActiveDuration: 200 * time.Second})
				sim.scheduleAt(40, func() {
					l := sim.leader()
					if l == nil {
						return
					}
					var others []string
					sim.forEachPeer(l, func(n *node) { others = append(others, n.name) })
					k := leaderLinks(l.name, others)[i]
					period := time.Duration(1+(i+int(seed)*2)%5) * time.Second
					sim.flapLink(k.from, k.to, period*6/10, period, 120*time.Second)
					sim.countEvent(linkFlappingEvent)
				})
				sim.Run()
				requireClean(t, sim)
				if sim.eventCounts[linkFlappingEvent] == 0 || sim.blockedOneWay == 0 {
					t.Errorf("got events %v and %d messages lost in one direction, want a flapping link and lost messages",
						sim.eventCounts, sim.blockedOneWay)
				}
			})
		}
	}
}

// TestLeaderIsReplacedWhenStoreRepliesAreLost guards against a cluster without a working leader: the leader's lease renewals
// reach the store but the replies are lost, so that the store extends a lease that the leader has to treat as expired. Another
// node must lead within 6 s.
func TestLeaderIsReplacedWhenStoreRepliesAreLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := New(Config{Seed: seed, ActiveDuration: 150 * time.Second})
		var old *node
		sim.scheduleAt(60, func() {
			old = sim.leader()
			sim.disconnectOneWay(storeParty, old.name, false, 60*time.Second)
		})
		sim.scheduleAt(66, func() {
			if n := sim.leader(); n == nil || n == old {
				t.Errorf("seed %d: no other node leads 6 s after the replies were lost", seed)
			}
		})
		sim.Run()
		requireClean(t, sim)
		checkNoTasksLost(t, sim)
	}
}

package simulator

import (
	"fmt"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/transport"
)

// TestInvariantsHoldWithLinkMonitoring plays days of trouble, with links that break in one direction
// among them, with nodes that watch their links: every rule holds and all work ends.
func TestInvariantsHoldWithLinkMonitoring(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		sim := New(Config{Seed: seed, Faults: true, ConcurrentFaults: seed%2 == 1, LinkMonitoring: true,
			ActiveDuration: 300 * time.Second})
		sim.Run()
		requireClean(t, sim)
		if sim.TaskStarts < 20 || sim.blockedOneWay == 0 {
			t.Errorf("seed %d: only %d tasks started, %d messages were lost one way", seed, sim.TaskStarts, sim.blockedOneWay)
		}
	}
}

// faultAt is when the links of the cases break, and faultDuration for how long.
const (
	faultAt       = 60
	faultDuration = 60 * time.Second
)

// TestUnidirectionalPartitions plays the cases: every rule holds, all work ends, and the lead goes
// where it should.
func TestUnidirectionalPartitions(t *testing.T) {
	t.Parallel()
	for _, c := range linkScenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := max(c.seeds, 3)
			for seed := range seeds {
				sim := c.run(seed, None)
				requireClean(t, sim)
				for what, n := range c.minEvents {
					if sim.eventCounts[what] < n {
						t.Errorf("seed %d: %s: %d times, want %d: %v", seed, what, sim.eventCounts[what], n, sim.eventCounts)
					}
				}
				for what, n := range c.maxEvents {
					if sim.eventCounts[what] > n {
						t.Errorf("seed %d: %s: %d times, at the most %d", seed, what, sim.eventCounts[what], n)
					}
				}
			}
		})
	}
}

// leaderChangesWhileFlapping plays a link of the leader that breaks for a part of every period, for two
// minutes, and returns the changes of the lead in that time.
func leaderChangesWhileFlapping(t *testing.T, link int, seed uint64) int {
	sim := New(Config{Seed: seed, LinkMonitoring: true, ActiveDuration: 200 * time.Second})
	sim.withLeaderAt(40, func(l *node) {
		var others []string
		sim.forEachPeer(l, func(n *node) { others = append(others, n.name) })
		k := leaderLinks(l.name, others)[link]
		period := time.Duration(1+(link+int(seed)*2)%5) * time.Second
		sim.flapLink(k.from, k.to, period*7/10, period, 120*time.Second)
		sim.countLeaderChanges(leaderChangeEvent)
	})
	sim.Run()
	requireClean(t, sim)
	if sim.blockedOneWay == 0 {
		t.Error("the link did not flap")
	}
	return sim.eventCounts[leaderChangeEvent]
}

// TestFlappingLinkBoundsLeaderChanges: one link of the leader flaps, in either direction, with any
// period: the lead moves away from it at the most, and not to and fro.
func TestFlappingLinkBoundsLeaderChanges(t *testing.T) {
	t.Parallel()
	for link := range 10 {
		t.Run(fmt.Sprint("link ", link), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				if n := leaderChangesWhileFlapping(t, link, seed); n > 2 {
					t.Errorf("seed %d: the lead changed %d times in two minutes", seed, n)
				}
			}
		})
	}
}

// TestFlappingPeerLinkKeepsLeader: the link to one sibling flaps for ten minutes, while machines of
// small zones come and go. The lead stays, and submissions at that sibling pass by the third
// node. (The last command to the last machine of a zone counted against its next one, and the
// lead moved in a fifth of the days.)
func TestFlappingPeerLinkKeepsLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		o := StudyLink(seed, true, DirectedLink{From: Leader, To: Peer}, 10*time.Minute, 4*time.Second)
		if o.LeaderChanges > 0 || o.LateSubmissions > o.Submissions/50 || o.Violations+o.Unfinished > 0 {
			t.Errorf("seed %d: %+v", seed, o)
		}
	}
}

// leaderChangesUnderAlternatingFaults has the links of each leader to the machines break in turn, and returns the
// changes of the lead in two minutes.
func leaderChangesUnderAlternatingFaults(seed uint64, m Mutation) int {
	sim := New(Config{Seed: seed, Mutation: m, LinkMonitoring: true, NoArrivals: true, ActiveDuration: 200 * time.Second})
	sim.submitContinuously()
	sim.scheduleAt(40, func() { sim.countLeaderChanges(leaderChangeEvent) })
	for s := 40.0; s < 160; s += 8 {
		sim.withLeaderAt(s, func(l *node) { sim.disconnectOneWay(l.name, machines, false, 8*time.Second) })
	}
	sim.Run()
	if len(sim.Violations) > 0 {
		return -1
	}
	return sim.eventCounts[leaderChangeEvent]
}

// TestHandoverHoldBoundsLeaderChanges: whoever leads is soon worse placed than another. The lead moves no more
// often than the hold allows, and without the hold this is noticed.
func TestHandoverHoldBoundsLeaderChanges(t *testing.T) {
	t.Parallel()
	const most = 6 // 15, 15, 30 and 60 s, and what the first hold had already passed
	detected := false
	for seed := range uint64(3) {
		if n := leaderChangesUnderAlternatingFaults(seed, None); n < 1 || n > most {
			t.Errorf("seed %d: the lead changed %d times in two minutes", seed, n)
		}
		detected = detected || leaderChangesUnderAlternatingFaults(seed, UnboundedHandovers) > most
	}
	if !detected {
		t.Error("handovers without end were not noticed")
	}
}

// TestFlappingLeaderIsReplaced: a leader that hears the state service for a part of every few
// seconds only is replaced for good, though its lease lives on. Without damping its link is as
// good as any between two breaks, and it stays.
func TestFlappingLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	detected := false
	for seed := range uint64(3) {
		for _, m := range []Mutation{None, NoFlapDamping} {
			sim := New(Config{Seed: seed, Mutation: m, LinkMonitoring: true, NoArrivals: true, ActiveDuration: 200 * time.Second})
			sim.submitContinuously()
			sim.withLeaderAt(faultAt, func(l *node) {
				sim.flapLink(storeParty, l.name, 2400*time.Millisecond, 4*time.Second, 120*time.Second)
				sim.recordLeaderAfter(l, 40*time.Second)
			})
			sim.Run()
			requireClean(t, sim)
			if m == None && sim.eventCounts[leaderReplacedEvent] == 0 {
				t.Errorf("seed %d: the leader is not replaced: %v", seed, sim.eventCounts)
			}
			detected = detected || m == NoFlapDamping && sim.eventCounts[leaderReplacedEvent] == 0
		}
	}
	if !detected {
		t.Error("no seed noticed that nothing was damped")
	}
}

// TestStaleRowsMutationIsDetected: were late copies of rows taken for new ones, a leader would hand
// over to a node that can't write.
func TestStaleRowsMutationIsDetected(t *testing.T) {
	t.Parallel()
	for _, c := range linkScenarios {
		if c.name != "late copies of rows" {
			continue
		}
		for seed := range uint64(3) {
			if sim := c.run(seed, FreshenStaleRows); sim.eventCounts[handoverAnnouncedEvent] > 0 {
				return
			}
		}
	}
	t.Error("no seed noticed")
}

// TestPartitionAtEachCommitStep breaks the leader's link to the state service, in one direction,
// around a transaction with a submission: whatever came of it, the job has one end.
func TestPartitionAtEachCommitStep(t *testing.T) {
	t.Parallel()
	for step := range 12 {
		for _, way := range []bool{false, true} {
			sim := New(Config{Seed: uint64(step), LinkMonitoring: true, NoArrivals: true, ActiveDuration: 160 * time.Second})
			sim.submitContinuously()
			sim.withLeaderAt(faultAt, func(l *node) {
				j := sim.submitJob(func(s *api.Spec) { s.Tasks, s.VCPUs = 2, 1 }, 10*time.Second)
				sim.resubmitAt(j, l)
				sim.schedule(time.Duration(step)*500*time.Microsecond, func() {
					sim.countEvent(linkBrokenInCommitEvent)
					if way {
						sim.disconnectOneWay(l.name, storeParty, step%2 == 0, 20*time.Second)
					} else {
						sim.disconnectOneWay(storeParty, l.name, step%2 == 0, 20*time.Second)
					}
				})
			})
			sim.Run()
			if len(sim.Violations) > 0 || len(sim.Unfinished) > 0 || sim.eventCounts[linkBrokenInCommitEvent] == 0 {
				t.Errorf("step %d, outbound %v: %v %v %v\n%s", step, way, sim.Violations, sim.Unfinished, sim.eventCounts,
					sim.LogTail(30))
			}
		}
	}
}

// TestForgedRowsViolateNothing: a sibling that says of itself whatever it likes may get the lead, and no
// rule is broken by it.
func TestForgedRowsViolateNothing(t *testing.T) {
	t.Parallel()
	sim := New(Config{Seed: 2, LinkMonitoring: true, NoArrivals: true, ActiveDuration: 160 * time.Second})
	sim.submitContinuously()
	sim.scheduleAt(faultAt, func() {
		for i := range 40 {
			sim.schedule(time.Duration(i)*time.Second, func() {
				for _, n := range sim.nodes {
					if n.alive {
						sim.forEachPeer(n, func(o *node) { sim.sendForgedRows(o, n) })
					}
				}
			})
		}
	})
	sim.Run()
	if len(sim.Violations) > 0 || len(sim.Unfinished) > 0 || sim.eventCounts[rowsForgedEvent] < 40 {
		t.Errorf("%v %v, %d lies\n%s", sim.Violations, sim.Unfinished, sim.eventCounts[rowsForgedEvent], sim.LogTail(30))
	}
}

// sendForgedRows has a node hear from another that it is the best placed of all, and the others worst.
func (sim *Simulation) sendForgedRows(from, to *node) {
	sim.countEvent(rowsForgedEvent)
	f := &transport.Frame{Type: transport.MsgLinkState, ID: sim.newestHeartbeat[to.name+" "+from.name],
		LinkState: forgedRows(sim, from)}
	to.whenResponsive(to.incarnation, func() { to.controller.HandleFrame(ident.NodeID(from.name), f) })
}

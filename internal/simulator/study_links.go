package simulator

import (
	"strings"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/workers"
)

// DirectedLink is one direction of a link of the leader, which a study blocks.
type DirectedLink struct {
	From, To string
}

// Ends of links in a study, in addition to the names of the services. Peer is one of the other nodes; the study prints it as
// "sibling".
const (
	Leader = "leader"
	Peer   = "sibling"
)

// StudiedLinks lists the links of a leader, both directions separately.
var StudiedLinks = []DirectedLink{
	{Leader, storeParty}, {storeParty, Leader},
	{Leader, cloudParty}, {cloudParty, Leader},
	{Leader, machines}, {machines, Leader},
	{Leader, Peer}, {Peer, Leader},
}

// LinkOutcome is the outcome of a run with a blocked link.
type LinkOutcome struct {
	// LastDecision is the time from the start of the fault to the last placement or launch by the disconnected leader during
	// the fault.
	LastDecision time.Duration
	// NextPlacement is the time from the start of the fault to the first placement by another leader during the fault. It is
	// negative if there was none.
	NextPlacement time.Duration
	// LeaderChanges counts the new terms that began during the fault.
	LeaderChanges int
	// Submissions counts the jobs submitted during the fault. LateSubmissions counts those of them that were not accepted
	// within a second.
	LateSubmissions, Submissions int
	// TasksLost counts the tasks that ended because the lease of their machine expired.
	TasksLost int
	// Violations counts the violated invariants, and Unfinished the work that had not ended by the end of the run.
	Violations, Unfinished int
}

// linkStudy records the decisions of the nodes while a link is blocked.
type linkStudy struct {
	from, until        ident.MonotonicTime
	disconnectedLeader string // the leader whose link is blocked
	lastDecision       ident.MonotonicTime
	nextPlacement      ident.MonotonicTime
}

// active reports whether the link is blocked at the given time.
func (s *linkStudy) active(now ident.MonotonicTime) bool {
	return s.from > 0 && now >= s.from && now < s.until
}

// recordPlacement records the time of a transaction that writes the commit log, which starts or ends a placement.
func (sim *Simulation) recordPlacement(node string, r kvstore.Request) {
	s := &sim.linkStudy
	if !s.active(sim.now) || r.Op != kvstore.Txn {
		return
	}
	for _, c := range r.Mutations {
		if !strings.HasPrefix(c.Put, commit.LogPrefix) {
			continue
		}
		if node == s.disconnectedLeader {
			s.lastDecision = sim.now
		} else if s.nextPlacement == 0 {
			s.nextPlacement = sim.now
		}
	}
}

// recordLaunch records the time of a command that launches a task.
func (sim *Simulation) recordLaunch(node string, c workers.CommandCall) {
	if s := &sim.linkStudy; s.active(sim.now) && c.Launches() && node == s.disconnectedLeader {
		s.lastDecision = sim.now
	}
}

const (
	linkBreakAt         = 60 * time.Second // when the link is blocked
	linkStudyQuiescence = 100 * time.Second
	acceptanceDeadline  = time.Second // a submission accepted later counts as late
)

// StudyLink runs a steady load and blocks one link of the leader for breakDuration. With a period, the link flaps: it is
// blocked for the first 60% of each period.
func StudyLink(seed uint64, monitored bool, link DirectedLink, breakDuration, period time.Duration) LinkOutcome {
	sim := New(Config{
		Seed:              seed,
		LinkMonitoring:    monitored,
		NoArrivals:        true,
		ActiveDuration:    linkBreakAt + breakDuration + 20*time.Second,
		QuiescentDuration: linkStudyQuiescence,
	})
	sim.submitBaseLoad(6)
	sim.submitStream(20, (linkBreakAt + breakDuration).Seconds(), 1.3, 20*time.Second)
	var out LinkOutcome
	sim.schedule(linkBreakAt, func() {
		l := sim.leader()
		if l == nil {
			return
		}
		sim.linkStudy = linkStudy{from: sim.now, until: sim.now.Add(breakDuration), disconnectedLeader: l.name}
		from, to := sim.resolveLinkEnd(link.From, l), sim.resolveLinkEnd(link.To, l)
		if period > 0 {
			sim.flapLink(from, to, period*6/10, period, breakDuration)
		} else {
			sim.disconnectOneWay(from, to, false, breakDuration)
		}
		sim.onNewTerm(func() {
			if sim.linkStudy.active(sim.now) {
				out.LeaderChanges++
			}
		})
	})
	sim.Run()
	s := &sim.linkStudy
	out.LastDecision = max(0, s.lastDecision.Sub(s.from))
	out.NextPlacement = -1
	if s.nextPlacement > 0 {
		out.NextPlacement = s.nextPlacement.Sub(s.from)
	}
	out.Violations, out.Unfinished, out.TasksLost = len(sim.Violations), len(sim.Unfinished), sim.TasksLostWithLease
	sim.countSubmissions(&out)
	return out
}

// resolveLinkEnd returns the name of the party at an end of a DirectedLink.
func (sim *Simulation) resolveLinkEnd(name string, leader *node) string {
	switch name {
	case Leader:
		return leader.name
	case Peer:
		for _, n := range sim.nodes {
			if n != leader {
				return n.name
			}
		}
	}
	return name
}

// countSubmissions counts the jobs that were submitted while the link was blocked.
func (sim *Simulation) countSubmissions(out *LinkOutcome) {
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if !sim.linkStudy.active(j.submittedAt) {
			continue
		}
		out.Submissions++
		if !j.accepted || j.acceptedAt.Sub(j.submittedAt) > acceptanceDeadline {
			out.LateSubmissions++
		}
	}
}

package simulator

import (
	"strings"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/workers"
)

// DirectedLink is a directed link of a leader that a study breaks, by its ends.
type DirectedLink struct {
	From, To string
}

// The ends of links in a study, beside the names of the services. Peer is one of the other nodes.
const (
	Leader = "leader"
	Peer   = "sibling"
)

// StudiedLinks are the links of a leader, in both directions.
var StudiedLinks = []DirectedLink{
	{Leader, storeParty}, {storeParty, Leader},
	{Leader, cloudParty}, {cloudParty, Leader},
	{Leader, machines}, {machines, Leader},
	{Leader, Peer}, {Peer, Leader},
}

// LinkOutcome is the outcome of a run with a broken link.
type LinkOutcome struct {
	// LastDecision is the time from the break to the last placement or launch of the disconnected leader while the link was
	// broken.
	LastDecision time.Duration
	// NextPlacement is the time from the break to the first placement of another leader while the link was broken, negative
	// if there was none.
	NextPlacement time.Duration
	// LeaderChanges counts the newer terms that began while the link was broken.
	LeaderChanges int
	// Submissions counts the submissions while the link was broken, and LateSubmissions those of them that were not accepted
	// within a second.
	LateSubmissions, Submissions int
	// TasksLost counts the tasks that ended as the lease of their machine expired.
	TasksLost int
	// Violations counts the violated invariants, and Unfinished the work that did not end.
	Violations, Unfinished int
}

// linkStudy records what nodes decide while a link is broken.
type linkStudy struct {
	from, until        ident.MonotonicTime
	disconnectedLeader string // the leader with the broken link
	lastDecision       ident.MonotonicTime
	nextPlacement      ident.MonotonicTime
}

// active reports whether the link is broken.
func (s *linkStudy) active(now ident.MonotonicTime) bool {
	return s.from > 0 && now >= s.from && now < s.until
}

// recordPlacement records a transaction of a node that writes the log: a placement, or the end of one.
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

// recordLaunch records a command of a node that launches a task.
func (sim *Simulation) recordLaunch(node string, c workers.CommandCall) {
	if s := &sim.linkStudy; s.active(sim.now) && c.Launches() && node == s.disconnectedLeader {
		s.lastDecision = sim.now
	}
}

const (
	linkBreakAt         = 60 * time.Second // when the link breaks
	linkStudyQuiescence = 100 * time.Second
	acceptanceDeadline  = time.Second
)

// StudyLink runs steady submissions during which one link of the leader is broken: throughout a time, or, with a period, for
// six tenths of each period in it.
func StudyLink(seed uint64, monitored bool, link DirectedLink, broken, period time.Duration) LinkOutcome {
	sim := New(Config{
		Seed:              seed,
		LinkMonitoring:    monitored,
		NoArrivals:        true,
		ActiveDuration:    linkBreakAt + broken + 20*time.Second,
		QuiescentDuration: linkStudyQuiescence,
	})
	sim.submitBaseLoad(6)
	sim.submitStream(20, (linkBreakAt + broken).Seconds(), 1.3, 20*time.Second)
	var out LinkOutcome
	sim.schedule(linkBreakAt, func() {
		l := sim.leader()
		if l == nil {
			return
		}
		sim.linkStudy = linkStudy{from: sim.now, until: sim.now.Add(broken), disconnectedLeader: l.name}
		from, to := sim.resolveLinkEnd(link.From, l), sim.resolveLinkEnd(link.To, l)
		if period > 0 {
			sim.flapLink(from, to, period*6/10, period, broken)
		} else {
			sim.disconnectOneWay(from, to, false, broken)
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

// resolveLinkEnd returns the party at the end of a link.
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

// countSubmissions counts the jobs that were submitted while the link was broken.
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

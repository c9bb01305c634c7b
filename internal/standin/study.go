package standin

import (
	"strings"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

// LinkEnds names the directed links of a leader that a study breaks. Sibling stands for one
// of the other nodes.
type LinkEnds struct {
	From, To string
}

// The ends of links in a study, beside the services' own names.
const (
	Leader  = "leader"
	Sibling = "sibling"
)

// StudiedLinks are the links of a leader, in either direction.
var StudiedLinks = []LinkEnds{
	{Leader, "state"}, {"state", Leader},
	{Leader, "cloud"}, {"cloud", Leader},
	{Leader, machines}, {machines, Leader},
	{Leader, Sibling}, {Sibling, Leader},
}

// LinkOutcome is what came of a broken link.
type LinkOutcome struct {
	// LastDecision is from the break to the last placement or launch of the leader that
	// was cut, while the link was broken.
	LastDecision time.Duration
	// NextPlaces is from the break to the first placement of another leader, while the link
	// was broken; negative if none followed.
	NextPlaces time.Duration
	// Changes counts the changes of the lead while the link was broken.
	Changes int
	// Late and Submitted count the submissions while it was broken, those that were not
	// accepted within a second apart.
	Late, Submitted int
	// Lost counts the tasks that ended with their machines' leases.
	Lost int
	// Broken and Undone are the rules broken and the work not brought to its end.
	Broken, Undone int
}

// study notes what nodes decide while a link is broken.
type study struct {
	from, until  ident.MonotonicTime
	cut          string // the leader that was cut
	lastDecision ident.MonotonicTime
	nextPlaces   ident.MonotonicTime
}

func (s *study) on(now ident.MonotonicTime) bool { return s.from > 0 && now >= s.from && now < s.until }

// wrote notes a transaction of a node: a record of the log is a placement, or the end of one.
func (w *World) wrote(node string, r statesvc.Request) {
	s := &w.study
	if !s.on(w.now) || r.Op != statesvc.Txn {
		return
	}
	for _, c := range r.Mutations {
		if !strings.HasPrefix(c.Put, commit.LogPrefix) {
			continue
		}
		if node == s.cut {
			s.lastDecision = w.now
		} else if s.nextPlaces == 0 {
			s.nextPlaces = w.now
		}
	}
}

// commanded notes a command of a node.
func (w *World) commanded(node string, c workers.CommandCall) {
	if s := &w.study; s.on(w.now) && c.Launches() && node == s.cut {
		s.lastDecision = w.now
	}
}

const (
	studyBreak = 60 * time.Second // when the link breaks
	studyCalm  = 100 * time.Second
	lateAfter  = time.Second
)

// StudyLink plays a day of steady submissions on which one link of the leader breaks for a
// time, or, with a period, for six tenths of each.
func StudyLink(seed uint64, watched bool, ends LinkEnds, broken, period time.Duration) LinkOutcome {
	w := New(Config{Seed: seed, Links: watched, Quiet: true, Length: studyBreak + broken + 20*time.Second, Calm: studyCalm})
	w.load(6)
	w.stream(20, (studyBreak + broken).Seconds(), 1.3, 20*time.Second)
	var out LinkOutcome
	w.at(studyBreak, func() {
		l := w.leader()
		if l == nil {
			return
		}
		w.study = study{from: w.now, until: w.now.Add(broken), cut: l.name}
		from, to := w.end(ends.From, l), w.end(ends.To, l)
		if period > 0 {
			w.flap(from, to, period*6/10, period, broken)
		} else {
			w.severWay(from, to, false, broken)
		}
		w.watchLeaders(func() {
			if w.study.on(w.now) {
				out.Changes++
			}
		})
	})
	w.Run()
	s := &w.study
	out.LastDecision = max(0, s.lastDecision.Sub(s.from))
	out.NextPlaces = -1
	if s.nextPlaces > 0 {
		out.NextPlaces = s.nextPlaces.Sub(s.from)
	}
	out.Broken, out.Undone, out.Lost = len(w.Broken), len(w.Undone), w.LeasesLost
	w.countSubmissions(&out)
	return out
}

// end turns the end of a link into the name of a party.
func (w *World) end(name string, leader *node) string {
	switch name {
	case Leader:
		return leader.name
	case Sibling:
		for _, n := range w.nodes {
			if n != leader {
				return n.name
			}
		}
	}
	return name
}

// countSubmissions counts the jobs that were submitted while the link was broken.
func (w *World) countSubmissions(out *LinkOutcome) {
	for _, id := range w.order {
		j := w.jobs[id]
		if !w.study.on(j.sentAt) {
			continue
		}
		out.Submitted++
		if !j.accepted || j.acceptedAt.Sub(j.sentAt) > lateAfter {
			out.Late++
		}
	}
}

package controller

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// alone says whether this node hears no sibling and, with several machines up,
// none of them either: a leader cut off from all but the state service would keep
// its lease, and the cluster, for as long as the cut lasts.
func (l *lead) alone() bool {
	now := l.c.env.Now()
	if len(l.c.set.Peers) == 0 || now.Sub(l.began) < aloneAfter {
		return false
	}
	if l.c.hears(aloneAfter / 2) {
		return false
	}
	mute, asked, newest := 0, 0, ident.MonotonicTime(0)
	for _, w := range l.workers.Sorted() {
		if w.State != workers.Up && w.State != workers.Unreachable {
			continue
		}
		newest = max(newest, w.LastContact())
		switch {
		case now.Sub(w.LastContact()) < aloneAfter/2:
		case w.MissedResponses() > 0:
			mute++
		case asked < maxMute && l.workers.Probe(w):
			// Where few machines are, reports leave longer gaps than this. (A leader of
			// two resigned between the reports of one of them, and nobody else was left.)
			asked++
		}
	}
	return !l.c.hears(peerSilent) && now.Sub(newest) >= aloneAfter && mute >= 2
}

// heard notes that a machine's report arrived here, or by a sibling. A leader that
// reaches no machine itself asks those that siblings hear.
func (l *lead) heard(w *workers.Worker, direct bool) {
	now := l.c.env.Now()
	switch {
	case direct:
		l.contact()
	case w != nil && now.Sub(l.direct) > directAfter && now.Sub(l.probed) > probeEvery:
		if l.workers.Probe(w) {
			l.probed = now
		}
	}
}

// contact notes that a machine reached this node, or it one.
func (l *lead) contact() {
	l.direct = l.c.env.Now()
	clear(l.missing)
}

// asked takes the outcome of a command. Machines that siblings hear and this node
// doesn't reach show that it is cut off from them, not they from the cluster. It
// leaves the lead to a sibling: fenced for their silence, the fleet would be gone
// with all its replicas. (A leader that had lost the workers alone fenced every
// machine with replicas within five seconds.)
func (l *lead) asked(w *workers.Worker, answered bool) {
	now := l.c.env.Now()
	if answered {
		l.contact()
		return
	}
	if now.Sub(l.direct) < directAfter || !w.HeardThisTerm() || now.Sub(w.LastContact()) > 2*directAfter {
		return
	}
	if l.c.links != nil {
		return // a sibling that is better placed shows by its row
	}
	if l.missing[w] = true; len(l.missing) >= unreached && l.c.elect.LeaseValid() {
		l.c.elect.Resign(restAfter, "machines are heard by siblings only")
	}
}

// allowance is how long siblings may keep leases for this leader from now on. A lease given
// by them at the very end must be over before cancel_s is, for every job that was
// cancelled and is not surely gone.
func (l *lead) allowance(now ident.MonotonicTime) time.Duration {
	left := l.c.grace
	for _, j := range l.jobs.Jobs {
		if j.Phase == jobs.Cancelled && j.AllocatedTasks > 0 {
			left = min(left, l.c.grace-now.Sub(j.ClosedAt))
		}
	}
	return max(0, left)
}

// stranded says whether all siblings in a zone are silent, and there are some.
func (l *lead) stranded(site string) bool {
	n := 0
	for _, s := range l.c.set.Peers {
		if s.Zone != site {
			continue
		}
		if l.c.reachable(s.Node) {
			return false
		}
		n++
	}
	return n > 0
}

// reached says whether a sibling is heard, which would pass workers' reports on.
// A leader that hears neither workers nor siblings leaves the lead to one that
// may.
func (l *lead) reached() bool {
	if l.c.hears(peerSilent) || len(l.c.set.Peers) == 0 {
		return true
	}
	if l.c.links == nil {
		l.c.elect.Resign(restAfter, "neither machines nor siblings are heard")
	}
	return false
}

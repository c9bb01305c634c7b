package standin

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// gangRun is an attempt of a gang, played from the page alone.
type gangRun struct {
	w       *World
	j       *userJob
	try     ident.Attempt
	members map[int]*member
	started bool
	over    bool                // started, and a task has exited since
	overAt  ident.MonotonicTime //
	at      float64             // progress in seconds
	stopAt  ident.MonotonicTime // of the first kill
	told    map[int]bool
	failed  bool // the save has failed
	safe    bool // a task has exited with its progress saved
}

// member is a task of an attempt on its machine.
type member struct {
	k      *worker
	p      *piece
	tenure ident.Incarnation
	gone   ident.MonotonicTime // when it was first found to be gone or hung, 0: it is there
}

type gangKey struct {
	job ident.JobID
	try ident.Attempt
}

func (w *World) gang(j *userJob, try ident.Attempt) *gangRun {
	k := gangKey{j.spec.ID, try}
	g := w.gangs[k]
	if g == nil {
		g = &gangRun{w: w, j: j, try: try, members: map[int]*member{}, told: map[int]bool{}}
		w.gangs[k] = g
		w.at(gangStep, g.step)
	}
	return g
}

const gangStep = 250 * time.Millisecond

// there says whether a member is still on its machine, and acts whether that goes on.
func (m *member) there() bool {
	return !m.k.dead && m.k.tenure == m.tenure && m.p.status != api.Ended
}

func (m *member) acts() bool { return m.there() && m.k.w.now >= m.k.hung }

// join takes in a task that has its image.
func (g *gangRun) join(k *worker, p *piece) {
	w := g.w
	p.status = api.Gathering
	k.changed()
	w.started(k, p)
	i := p.id.Index
	if g.j.done[i] {
		k.step(p, time.Millisecond, func() { k.end(p, api.CauseDone) })
		return
	}
	for o := range w.gangs {
		if o.job == g.j.spec.ID && o.try > g.try && w.gangs[o].started {
			w.broken("attempt %d of %s begins after attempt %d ran", g.try, g.j.spec.ID, o.try)
		}
	}
	if m := g.members[i]; m != nil && m.k == k && m.tenure == k.tenure {
		w.broken("attempt %d of %s begins twice on %s", g.try, p.id, k.host)
	}
	if g.over && w.now.Sub(g.overAt).Seconds() > 4*w.set.Workers.LeaseS {
		w.broken("attempt %d of %s is used again, long after it was over", g.try, p.id)
	}
	g.members[i] = &member{k: k, p: p, tenure: k.tenure}
	k.step(p, seconds(w.set.Workers.GangWaitS), func() {
		if p.status == api.Gathering {
			k.end(p, api.CauseGangIncomplete)
		}
	})
	g.start()
}

// start lets the gang run when its last task is there.
func (g *gangRun) start() {
	if g.started || len(g.members) < g.j.spec.Tasks {
		return
	}
	for _, m := range g.members {
		if !m.acts() || m.p.status != api.Gathering {
			return
		}
	}
	g.started = true
	g.at = g.j.saved
	for _, m := range g.sorted() {
		m.p.status = api.Running
		m.k.changed()
		if g.j.mistaken {
			g.j.tries++
			m.k.step(m.p, time.Second, func() { m.k.end(m.p, api.CauseError) })
		}
	}
	g.w.logf("gang %s runs in attempt %d from %.0f s", g.j.spec.ID, g.try, g.at)
	g.w.GangRuns++
}

func (g *gangRun) sorted() []*member {
	out := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return a.p.id.Index - b.p.id.Index })
	return out
}

// kill tells one task to stop.
func (g *gangRun) kill(k *worker, p *piece, windDown float64) {
	s := &g.j.spec
	if p.status != api.Running || !s.CanCheckpoint() || windDown < s.CheckpointS {
		if g.stopAt > 0 && !g.safe {
			g.failed = true
		}
		k.end(p, api.CauseStopped)
		return
	}
	if g.stopAt == 0 {
		g.stopAt = g.w.now
		g.w.GangStops++
	}
	g.told[p.id.Index] = true
	p.status = api.Flushing
	k.changed()
	k.step(p, seconds(s.CheckpointS), func() { g.savedBy(k, p) })
}

// savedBy ends a task that has saved, once the others have.
func (g *gangRun) savedBy(k *worker, p *piece) {
	switch {
	case !g.failed && len(g.told) == g.j.spec.Tasks:
		g.safe = true
		g.j.saved = g.at
		p.stored = true
		k.end(p, api.CauseStopped)
	case g.failed || g.w.now.Sub(g.stopAt).Seconds() > g.w.set.Workers.GangPeerS:
		k.end(p, api.CauseStopped)
	default:
		k.step(p, gangStep, func() { g.savedBy(k, p) })
	}
}

// step plays the time of a gang that runs.
func (g *gangRun) step() {
	w := g.w
	peer := seconds(w.set.Workers.GangPeerS)
	left, whole := 0, true
	for _, m := range g.sorted() {
		if m.acts() {
			m.gone = 0
			left++
			continue
		}
		whole = false
		if m.there() {
			left++ // hangs
		}
		if m.gone == 0 {
			m.gone = w.now
		}
	}
	if g.started && left == 0 {
		g.over, g.overAt = true, w.now
		return
	}
	w.at(gangStep, g.step)
	if !g.started {
		return
	}
	if !whole && !g.over {
		g.over, g.overAt = true, w.now
	}
	switch {
	case g.stopAt > 0 && !g.safe && w.now.Sub(g.stopAt) > peer && len(g.told) < g.j.spec.Tasks && !g.failed:
		g.failed = true
		if whole && w.undisturbed(peer) {
			w.broken("only %d of %d tasks of %s were told to stop in time", len(g.told), g.j.spec.Tasks, g.j.spec.ID)
		}
		for _, m := range g.sorted() {
			if m.acts() && !g.told[m.p.id.Index] {
				m.k.end(m.p, api.CauseGangMemberLost)
			}
		}
	case !whole && g.stopAt == 0:
		for _, m := range g.members {
			if m.gone > 0 && w.now.Sub(m.gone) >= peer {
				for _, o := range g.sorted() {
					if o.acts() {
						o.k.end(o.p, api.CauseGangMemberLost)
					}
				}
				return
			}
		}
	case whole && g.stopAt == 0:
		g.at += gangStep.Seconds()
		if every := g.j.spec.CheckpointEveryS; every > 0 {
			g.j.saved = max(g.j.saved, math.Floor(g.at/every)*every)
		}
		if g.at >= g.j.runs.Seconds() {
			for i := range g.j.done {
				g.j.done[i] = true
			}
			for _, m := range g.sorted() {
				m.k.end(m.p, api.CauseDone)
			}
			g.over, g.overAt = true, w.now
		}
	}
}

// undisturbed says whether nothing has gone wrong for so long, that could have kept an
// order from a machine.
func (w *World) undisturbed(d time.Duration) bool {
	return !w.cfg.Faults || w.now.Sub(ident.MonotonicTime(w.cfg.Length+faultsEnd)) > d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

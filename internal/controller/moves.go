package controller

import (
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/rebalance"
	"opaldale/internal/settings"
)

// moveReport is what a leader says of moves that would pay. None is carried out.
type moveReport struct {
	proposed uint64
	gain     time.Duration
	seen     map[proposal]bool // proposals of the present term, not to be counted twice
}

// proposal tells moves apart.
type proposal struct {
	task, waiting ident.TaskID
}

// maxProposals bounds the proposals remembered.
const maxProposals = 10_000

// proposeMoves says which running tasks would be worth moving, so that others start.
func (l *lead) proposeMoves() {
	if l.loads == nil || len(l.jobs.Waiting) == 0 {
		return
	}
	for _, m := range rebalance.Plan(rebalance.DefaultConfig(), l.picture()) {
		key := proposal{m.Task, m.For}
		if l.moves.seen[key] {
			continue
		}
		if len(l.moves.seen) >= maxProposals {
			clear(l.moves.seen)
		}
		l.moves.seen[key] = true
		l.moves.proposed++
		l.moves.gain += m.Gain - m.Cost
		slog.Info("a move would pay", "task", m.Task.String(), "team", m.Team, "from", string(m.From), "to", string(m.To),
			"for", m.For.String(), "gain_s", m.Gain.Seconds(), "cost_s", m.Cost.Seconds())
	}
}

// picture is the cluster as a plan of moves sees it.
func (l *lead) picture() *rebalance.Picture {
	now := l.c.env.Now()
	p := &rebalance.Picture{Fits: l.fitsElsewhere}
	for _, w := range l.workers.Sorted() {
		if !w.Open(now) || w.Kind == nil {
			continue
		}
		m := &rebalance.Machine{Host: w.Host, Zone: w.Zone, Free: w.Kind.VCPUs - w.VCPUs}
		for _, t := range l.workers.TasksOf(w) {
			if movable(t) {
				m.Tasks = append(m.Tasks, runningTask(t, now))
			}
		}
		p.Machines = append(p.Machines, m)
	}
	for _, j := range l.jobs.Sorted() {
		if j.Waits() > 0 && !j.Gang() && !j.Suspect && l.teams.Allows(j.Spec, 1) {
			p.Waiting = append(p.Waiting, l.waitingTask(j))
		}
	}
	return p
}

// movable says whether a task runs, and may be stopped by itself.
func movable(t *jobs.Task) bool {
	return t.State == jobs.Assigned && t.RunsAt > 0 && !t.Job.Gang()
}

func runningTask(t *jobs.Task, now ident.Mono) rebalance.Task {
	s := t.Job.Spec
	out := rebalance.Task{
		ID:      t.TaskID(),
		Team:    s.Team,
		CPUs:    s.VCPUs,
		Ran:     now.Sub(t.RunsAt),
		Saves:   settings.Seconds(s.SnapshotEveryS),
		Save:    settings.Seconds(s.SnapshotS),
		Replica: s.Shape == api.Service,
	}
	if s.RuntimeS > 0 {
		out.Left = max(time.Second, settings.Seconds(s.RuntimeS)-out.Ran)
	}
	return out
}

// waitingTask is the first task of a job that waits.
func (l *lead) waitingTask(j *jobs.Job) rebalance.Waiting {
	w := rebalance.Waiting{Team: j.Spec.Team, CPUs: j.Spec.VCPUs, Allowed: func(m *rebalance.Machine) bool {
		k := l.workers.Workers[m.Host]
		return k.Allows(j.Spec) && !j.Shunned[m.Host] && !j.Spec.OneZone && !j.Spec.Spread
	}}
	for i := range j.Tasks {
		if j.Tasks[i].State == jobs.Waiting {
			w.ID = j.Tasks[i].TaskID()
			break
		}
	}
	return w
}

// fitsElsewhere says whether a running task may go to a machine, and how long the fetch of its
// image takes there. Jobs that are bound to zones together are left where they are.
func (l *lead) fitsElsewhere(t *rebalance.Task, m *rebalance.Machine) (time.Duration, bool) {
	j, w := l.jobs.Jobs[t.ID.Job], l.workers.Workers[m.Host]
	if j == nil || w == nil || m.Free < t.CPUs || j.Spec.OneZone || j.Spec.Spread || !w.Allows(j.Spec) || j.Shunned[w.Host] || !w.Fits(j.Spec) {
		return 0, false
	}
	if w.Holds(j.Spec.Image) {
		return 0, true
	}
	return w.FetchTime(j.Spec), true
}

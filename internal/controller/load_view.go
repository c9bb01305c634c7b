package controller

import (
	"log/slog"

	"opaldale/internal/load"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// watchLoad begins to keep the load of machines and teams, if the operators want that.
func (l *lead) watchLoad() {
	mode := l.c.set.Tuning.Rebalance
	if mode == settings.RebalanceOff || mode == "" {
		return
	}
	entitled := map[string]float64{}
	for _, t := range l.c.set.Cluster.Teams {
		entitled[t.Name] = t.CPUs
	}
	l.mover = newMover(l)
	l.jobs.OnArchived = l.mover.history.Forget
	l.loads = load.New(load.DefaultConfig(), entitled)
	if mode == settings.RebalancePlace {
		l.planner.SpreadLoad = l.loads.AnyOverloaded
	}
}

// judgeLoad brings the load up to date: which machines count, and what teams ask for.
func (l *lead) judgeLoad() {
	if l.loads == nil {
		return
	}
	for _, w := range l.workers.Sorted() {
		switch {
		case w.State == workers.Up && w.Type != nil:
			l.loads.SetMachine(w.ID, w.Zone, w.Type.VCPUs)
		case w.State == workers.Terminated && len(w.Tasks) == 0:
			l.loads.RemoveMachine(w.ID)
		default:
			l.loads.SetMachine(w.ID, w.Zone, 0) // what it has is kept, and doesn't count
		}
	}
	l.mover.judgeSpeeds()
	now := l.c.env.Now()
	for name, team := range l.jobs.Teams {
		cpus := 0.0
		for _, j := range team.OpenJobs {
			cpus += float64(j.AllocatedTasks+j.WaitingCount()) * j.Spec.VCPUs
		}
		l.loads.SetDemand(name, cpus, now)
	}
	for _, c := range l.loads.Evaluate(now) {
		slog.Info("team heat", "team", c.Team, "from", c.From.String(), "to", c.To.String(), "demand_ratio", c.Ratio)
		if c.From == load.Overloaded {
			l.mover.cooledAt = now
		}
	}
}

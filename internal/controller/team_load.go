package controller

import (
	"log/slog"

	"opaldale/internal/load"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// enableLoadTracking begins to keep the load of machines and teams, if the operators want that.
func (l *leaderTerm) enableLoadTracking() {
	mode := l.controller.settings.Tuning.Rebalance
	if mode == settings.RebalanceOff || mode == "" {
		return
	}
	entitled := map[string]float64{}
	for _, t := range l.controller.settings.Cluster.Teams {
		entitled[t.Name] = t.CPUs
	}
	l.rebalancer = newRebalancer(l)
	l.jobs.OnArchived = l.rebalancer.history.Forget
	l.loadModel = load.New(load.DefaultConfig(), entitled)
	if mode == settings.RebalancePlace {
		l.planner.SpreadLoad = l.loadModel.AnyOverloaded
	}
}

// evaluateLoad brings the load up to date: which machines count, and what teams ask for.
func (l *leaderTerm) evaluateLoad() {
	if l.loadModel == nil {
		return
	}
	for _, w := range l.workers.Sorted() {
		switch {
		case w.State == workers.Up && w.Type != nil:
			l.loadModel.SetMachine(w.ID, w.Zone, w.Type.VCPUs)
		case w.State == workers.Terminated && len(w.Tasks) == 0:
			l.loadModel.RemoveMachine(w.ID)
		default:
			l.loadModel.SetMachine(w.ID, w.Zone, 0) // what it has is kept, and doesn't count
		}
	}
	l.rebalancer.detectSlowMachines()
	now := l.env.Now()
	for name, team := range l.jobs.Teams {
		cpus := 0.0
		for _, j := range team.OpenJobs {
			cpus += float64(j.AllocatedTasks+j.WaitingCount()) * j.Spec.VCPUs
		}
		l.loadModel.SetDemand(name, cpus, now)
	}
	for _, change := range l.loadModel.Evaluate(now) {
		slog.Info("team heat", "team", change.Team, "from", change.From.String(), "to", change.To.String(), "demand_ratio", change.Ratio)
		if change.From == load.Overloaded {
			l.rebalancer.teamCooledAt = now
		}
	}
}

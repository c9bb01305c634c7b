package controller

// This file connects a leader to the load model and the rebalancer.

import (
	"log/slog"

	"opaldale/internal/authority"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/load"
	"opaldale/internal/rebalancer"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// rebalancedTerm implements rebalancer.Leader.
type rebalancedTerm struct{ term *leaderTerm }

func (t rebalancedTerm) Now() ident.MonotonicTime { return t.term.env.Now() }

func (t rebalancedTerm) WallMS() int64 { return t.term.env.WallMS() }

func (t rebalancedTerm) Closed() bool { return t.term.closed() }

func (t rebalancedTerm) MayPlace() bool { return t.term.controller.allows(authority.Place) }

func (t rebalancedTerm) ZoneHealthy(zone string) bool {
	return t.term.controller.links.ZoneHealthy(zone)
}

func (t rebalancedTerm) Place(task *jobs.Task, w *workers.Worker) { t.term.Place(task, w) }

func (t rebalancedTerm) RequestDispatch() { t.term.requestDispatch() }

// enableLoadTracking creates the load model and the rebalancer, unless the settings turn rebalancing off.
func (l *leaderTerm) enableLoadTracking() {
	cfg := l.controller.settings
	mode := cfg.Tuning.Rebalance
	if mode == settings.RebalanceOff || mode == "" {
		return
	}
	quotas := map[string]float64{}
	for _, t := range cfg.Cluster.Teams {
		quotas[t.Name] = t.CPUs
	}
	config := rebalancer.Config{
		Execute:           mode == settings.RebalanceMove,
		Limits:            cfg.Tuning.Migration,
		HeartbeatInterval: settings.Seconds(cfg.Cluster.Workers.HeartbeatS),
	}
	l.rebalancer = rebalancer.New(config, rebalancedTerm{l}, rebalancer.Tables{
		Jobs:      l.jobs,
		Workers:   l.workers,
		Teams:     l.teams,
		Planner:   l.planner,
		Committer: l.committer,
	})
	l.jobs.OnArchived = l.rebalancer.ForgetJob
	l.loadModel = load.New(load.DefaultConfig(), quotas)
	if mode == settings.RebalancePlace {
		l.planner.SpreadLoad = l.loadModel.AnyOverloaded
	}
}

// evaluateLoad updates the load model with the machines that are up and the CPU demand of each team.
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
			l.loadModel.SetMachine(w.ID, w.Zone, 0) // keeps the usage for when the machine is up again
		}
	}
	l.rebalancer.DetectSlowMachines()
	now := l.env.Now()
	for name, team := range l.jobs.Teams {
		cpus := 0.0
		for _, j := range team.OpenJobs {
			cpus += float64(j.AllocatedTasks+j.WaitingCount()) * j.Spec.VCPUs
		}
		l.loadModel.SetDemand(name, cpus, now)
	}
	for _, change := range l.loadModel.Evaluate(now) {
		slog.Info("team load state changed", "team", change.Team, "from", change.From.String(), "to", change.To.String(),
			"demand_ratio", change.Ratio)
		if change.From == load.Overloaded {
			l.rebalancer.RecordTeamRecovered(now)
		}
	}
}

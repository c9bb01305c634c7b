package controller

import (
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/migration"
	"opaldale/internal/rebalance"
	"opaldale/internal/settings"
	"opaldale/internal/workers"
)

// waitingTasks lists the first waiting task of each job that has waited for long enough, in the
// order of arrival.
func (m *rebalancer) waitingTasks(now ident.MonotonicTime) []rebalance.WaitingTask {
	l := m.leader
	var list []rebalance.WaitingTask
	booting := l.bootingMachines()
	for _, j := range l.jobs.Sorted() {
		if j.WaitingCount() == 0 || j.IsGang() || j.Suspect || now < j.RetryAt || j.Spec.OneZone || j.Spec.Spread || !l.teams.Allows(j.Spec, 1) {
			continue
		}
		first := j.WaitingTasks(1)
		if len(first) == 0 || now.Sub(first[0].StateSince) < m.config.MinWait {
			continue
		}
		t := first[0]
		list = append(list, rebalance.WaitingTask{
			ID:            t.TaskID(),
			Need:          jobs.ResourcesOf(j.Spec),
			PriorityLevel: j.Spec.Priority.Level(),
			WaitedFor:     now.Sub(t.StateSince),
			BootRemaining: nextMachineETA(booting, j.Spec, now),
			Allowed: func(candidate *rebalance.Machine) bool {
				w := l.workers.Workers[candidate.ID]
				return w.Allows(j.Spec) && !j.AvoidedMachines[candidate.ID]
			},
		})
	}
	return list
}

// bootingMachines lists the machines that boot.
func (l *leaderTerm) bootingMachines() []*workers.Worker {
	var list []*workers.Worker
	for _, w := range l.workers.Sorted() {
		if w.State == workers.Booting {
			list = append(list, w)
		}
	}
	return list
}

// nextMachineETA estimates when the next of the machines that boot and may take a job is there; 0:
// none is on its way.
func nextMachineETA(booting []*workers.Worker, s *api.Spec, now ident.MonotonicTime) time.Duration {
	soonest := time.Duration(0)
	for _, w := range booting {
		if !w.Allows(s) {
			continue
		}
		left := max(time.Second, settings.Seconds(w.Type.StartupS)-now.Sub(w.CreatedAt))
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// planInput is the cluster as a plan of moves sees it.
func (m *rebalancer) planInput(waiting []rebalance.WaitingTask, now ident.MonotonicTime) *rebalance.Cluster {
	l := m.leader
	input := &rebalance.Cluster{Waiting: waiting, Fits: m.fetchTimeIfFits}
	for _, w := range l.workers.Sorted() {
		switch {
		case w.Type == nil || !l.controller.links.ZoneHealthy(w.Zone):
		case w.Slow && m.recentlyHeard(w):
			input.SlowMachines = append(input.SlowMachines, &rebalance.SlowMachine{Machine: *m.machineInput(w, now), Slowness: m.speedTracker.Slowness(w.ID)})
		case m.usable(w) && !l.planner.IsReserved(w):
			input.Machines = append(input.Machines, m.machineInput(w, now))
		}
	}
	for _, move := range m.moves.Active() {
		input.ActiveMoves = append(input.ActiveMoves, m.activeMove(move))
	}
	return input
}

func (m *rebalancer) activeMove(move *migration.Move) rebalance.ActiveMove {
	a := rebalance.ActiveMove{Job: move.Task.Job, Team: move.Team, From: move.From, To: move.To, BeneficiaryID: move.BeneficiaryID}
	if w := m.leader.workers.Workers[move.From]; w != nil {
		a.Zone = w.Zone
	}
	return a
}

func (m *rebalancer) machineInput(w *workers.Worker, now ident.MonotonicTime) *rebalance.Machine {
	input := &rebalance.Machine{ID: w.ID, Zone: w.Zone, Free: w.Free()}
	for _, t := range m.leader.workers.SortedTasks(w) {
		if left := remainingRuntime(t, now); left > 0 {
			input.Completions = append(input.Completions, rebalance.Completion{Remaining: left, Frees: jobs.ResourcesOf(t.Job.Spec)})
		}
		if m.movable(t) {
			input.Tasks = append(input.Tasks, m.runningTask(t, now))
		}
	}
	return input
}

// remainingRuntime estimates how long a task stays on its machine; 0: nobody knows.
func remainingRuntime(t *jobs.Task, now ident.MonotonicTime) time.Duration {
	runtime := settings.Seconds(t.Job.Spec.RuntimeS)
	switch {
	case t.State == jobs.Stopping:
		return max(time.Second, t.GracePeriod)
	case runtime <= 0:
		return 0
	case t.SeenRunning():
		return max(time.Second, runtime-now.Sub(t.RunningSince))
	}
	return runtime
}

// movable says whether a task runs, and may be stopped by itself and started in any place that
// its job allows.
func (m *rebalancer) movable(t *jobs.Task) bool {
	s := t.Job.Spec
	if t.State != jobs.Assigned || !t.SeenRunning() || t.Job.IsGang() || t.Job.Suspect || s.OneZone || s.Spread || m.history.IsBarred(s.ID) {
		return false
	}
	return s.Shape != api.Service || t.Job.RunningTasks > 1 // a lone replica would be missed
}

func (m *rebalancer) runningTask(t *jobs.Task, now ident.MonotonicTime) rebalance.Task {
	s := t.Job.Spec
	return rebalance.Task{
		ID:                 t.TaskID(),
		Team:               s.Team,
		Need:               jobs.ResourcesOf(s),
		PriorityLevel:      s.Priority.Level(),
		RunningFor:         now.Sub(t.RunningSince),
		Remaining:          remainingRuntime(t, now),
		EstimatedRuntime:   settings.Seconds(s.RuntimeS),
		CheckpointInterval: settings.Seconds(s.CheckpointEveryS),
		CheckpointTime:     settings.Seconds(s.CheckpointS),
		Replica:            s.Shape == api.Service,
		MoveCount:          m.history.MoveCount(s.ID),
	}
}

// fetchTimeIfFits says whether a running task may go to a machine, and how long the fetch of its image
// takes there.
func (m *rebalancer) fetchTimeIfFits(t *rebalance.Task, candidate *rebalance.Machine) (time.Duration, bool) {
	l := m.leader
	j, w := l.jobs.Jobs[t.ID.Job], l.workers.Workers[candidate.ID]
	if j == nil || w == nil || !w.Allows(j.Spec) || j.AvoidedMachines[w.ID] || w.Faulty() {
		return 0, false
	}
	// Within the ordinary machines of a zone a move takes nothing from services to come.
	from := l.workers.Workers[j.Tasks[t.ID.Index].MachineID]
	if (from == nil || from.Spot || from.Zone != w.Zone) && !l.planner.KeepsServiceHeadroom(j, w) {
		return 0, false
	}
	if w.HasImage(j.Spec.Image) {
		return 0, true
	}
	return w.ImagePullTime(j.Spec), true
}

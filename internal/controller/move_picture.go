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

// waiting lists the first waiting task of each job that has waited for long enough, in the
// order of arrival.
func (m *mover) waiting(now ident.MonotonicTime) []rebalance.WaitingTask {
	l := m.lead
	var list []rebalance.WaitingTask
	booting := l.booting()
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
			BootRemaining: arriving(booting, j.Spec, now),
			Allowed: func(k *rebalance.Machine) bool {
				w := l.workers.Workers[k.ID]
				return w.Allows(j.Spec) && !j.AvoidedMachines[k.ID]
			},
		})
	}
	return list
}

// booting lists the machines that boot.
func (l *lead) booting() []*workers.Worker {
	var list []*workers.Worker
	for _, w := range l.workers.Sorted() {
		if w.State == workers.Booting {
			list = append(list, w)
		}
	}
	return list
}

// arriving estimates when the next of the machines that boot and may take a job is there; 0:
// none is on its way.
func arriving(booting []*workers.Worker, s *api.Spec, now ident.MonotonicTime) time.Duration {
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

// picture is the cluster as a plan of moves sees it.
func (m *mover) picture(waiting []rebalance.WaitingTask, now ident.MonotonicTime) *rebalance.Cluster {
	l := m.lead
	p := &rebalance.Cluster{Waiting: waiting, Fits: m.fits}
	for _, w := range l.workers.Sorted() {
		switch {
		case w.Type == nil || !l.zoneClear(w.Zone):
		case w.Slow && m.heard(w):
			p.SlowMachines = append(p.SlowMachines, &rebalance.SlowMachine{Machine: *m.machine(w, now), Slowness: m.speeds.Slowness(w.ID)})
		case m.usable(w) && !l.planner.IsReserved(w):
			p.Machines = append(p.Machines, m.machine(w, now))
		}
	}
	for _, x := range m.table.Active() {
		p.ActiveMoves = append(p.ActiveMoves, m.active(x))
	}
	return p
}

func (m *mover) active(x *migration.Move) rebalance.ActiveMove {
	a := rebalance.ActiveMove{Job: x.Task.Job, Team: x.Team, From: x.From, To: x.To, BeneficiaryID: x.BeneficiaryID}
	if w := m.lead.workers.Workers[x.From]; w != nil {
		a.Zone = w.Zone
	}
	return a
}

func (m *mover) machine(w *workers.Worker, now ident.MonotonicTime) *rebalance.Machine {
	k := &rebalance.Machine{ID: w.ID, Zone: w.Zone, Free: w.Free()}
	for _, t := range m.lead.workers.SortedTasks(w) {
		if left := timeLeft(t, now); left > 0 {
			k.Completions = append(k.Completions, rebalance.Completion{Remaining: left, Frees: jobs.ResourcesOf(t.Job.Spec)})
		}
		if m.movable(t) {
			k.Tasks = append(k.Tasks, m.running(t, now))
		}
	}
	return k
}

// timeLeft estimates how long a task stays on its machine; 0: nobody knows.
func timeLeft(t *jobs.Task, now ident.MonotonicTime) time.Duration {
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
func (m *mover) movable(t *jobs.Task) bool {
	s := t.Job.Spec
	if t.State != jobs.Assigned || !t.SeenRunning() || t.Job.IsGang() || t.Job.Suspect || s.OneZone || s.Spread || m.history.IsBarred(s.ID) {
		return false
	}
	return s.Shape != api.Service || t.Job.RunningTasks > 1 // a lone replica would be missed
}

func (m *mover) running(t *jobs.Task, now ident.MonotonicTime) rebalance.Task {
	s := t.Job.Spec
	return rebalance.Task{
		ID:                 t.TaskID(),
		Team:               s.Team,
		Need:               jobs.ResourcesOf(s),
		PriorityLevel:      s.Priority.Level(),
		RunningFor:         now.Sub(t.RunningSince),
		Remaining:          timeLeft(t, now),
		EstimatedRuntime:   settings.Seconds(s.RuntimeS),
		CheckpointInterval: settings.Seconds(s.CheckpointEveryS),
		CheckpointTime:     settings.Seconds(s.CheckpointS),
		Replica:            s.Shape == api.Service,
		MoveCount:          m.history.MoveCount(s.ID),
	}
}

// fits says whether a running task may go to a machine, and how long the fetch of its image
// takes there.
func (m *mover) fits(t *rebalance.Task, k *rebalance.Machine) (time.Duration, bool) {
	l := m.lead
	j, w := l.jobs.Jobs[t.ID.Job], l.workers.Workers[k.ID]
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

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
func (m *mover) waiting(now ident.MonotonicTime) []rebalance.Waiting {
	l := m.lead
	var list []rebalance.Waiting
	booting := l.booting()
	for _, j := range l.jobs.Sorted() {
		if j.WaitingCount() == 0 || j.IsGang() || j.Suspect || now < j.RetryAt || j.Spec.OneZone || j.Spec.Spread || !l.teams.Allows(j.Spec, 1) {
			continue
		}
		first := j.WaitingTasks(1)
		if len(first) == 0 || now.Sub(first[0].StateSince) < m.config.Patience {
			continue
		}
		t := first[0]
		list = append(list, rebalance.Waiting{
			ID:       t.TaskID(),
			Need:     jobs.ResourcesOf(j.Spec),
			Level:    j.Spec.Priority.Level(),
			Waited:   now.Sub(t.StateSince),
			Arriving: arriving(booting, j.Spec, now),
			Allowed: func(k *rebalance.Machine) bool {
				w := l.workers.Workers[k.Host]
				return w.Allows(j.Spec) && !j.AvoidedMachines[k.Host]
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
func (m *mover) picture(waiting []rebalance.Waiting, now ident.MonotonicTime) *rebalance.Picture {
	l := m.lead
	p := &rebalance.Picture{Waiting: waiting, Fits: m.fits}
	for _, w := range l.workers.Sorted() {
		switch {
		case w.Type == nil || !l.zoneClear(w.Zone):
		case w.Slow && m.heard(w):
			p.Slow = append(p.Slow, &rebalance.Slow{Machine: *m.machine(w, now), Slowness: m.speeds.Slowness(w.ID)})
		case m.usable(w) && !l.planner.Withheld(w):
			p.Machines = append(p.Machines, m.machine(w, now))
		}
	}
	for _, x := range m.table.Active() {
		p.Active = append(p.Active, m.active(x))
	}
	return p
}

func (m *mover) active(x *migration.Move) rebalance.Active {
	a := rebalance.Active{Job: x.Task.Job, Team: x.Team, From: x.From, To: x.To, For: x.For}
	if w := m.lead.workers.Workers[x.From]; w != nil {
		a.Zone = w.Zone
	}
	return a
}

func (m *mover) machine(w *workers.Worker, now ident.MonotonicTime) *rebalance.Machine {
	k := &rebalance.Machine{Host: w.ID, Zone: w.Zone, Free: w.Free()}
	for _, t := range m.lead.workers.SortedTasks(w) {
		if left := timeLeft(t, now); left > 0 {
			k.Ends = append(k.Ends, rebalance.End{Left: left, Need: jobs.ResourcesOf(t.Job.Spec)})
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
	if t.State != jobs.Assigned || !t.SeenRunning() || t.Job.IsGang() || t.Job.Suspect || s.OneZone || s.Spread || m.history.Barred(s.ID) {
		return false
	}
	return s.Shape != api.Service || t.Job.RunningTasks > 1 // a lone replica would be missed
}

func (m *mover) running(t *jobs.Task, now ident.MonotonicTime) rebalance.Task {
	s := t.Job.Spec
	return rebalance.Task{
		ID:      t.TaskID(),
		Team:    s.Team,
		Need:    jobs.ResourcesOf(s),
		Level:   s.Priority.Level(),
		Ran:     now.Sub(t.RunningSince),
		Left:    timeLeft(t, now),
		Whole:   settings.Seconds(s.RuntimeS),
		Saves:   settings.Seconds(s.CheckpointEveryS),
		Save:    settings.Seconds(s.CheckpointS),
		Replica: s.Shape == api.Service,
		Moved:   m.history.Count(s.ID),
	}
}

// fits says whether a running task may go to a machine, and how long the fetch of its image
// takes there.
func (m *mover) fits(t *rebalance.Task, k *rebalance.Machine) (time.Duration, bool) {
	l := m.lead
	j, w := l.jobs.Jobs[t.ID.Job], l.workers.Workers[k.Host]
	if j == nil || w == nil || !w.Allows(j.Spec) || j.AvoidedMachines[w.ID] || w.Faulty() {
		return 0, false
	}
	// Within the ordinary machines of a zone a move takes nothing from services to come.
	from := l.workers.Workers[j.Tasks[t.ID.Index].MachineID]
	if (from == nil || from.Spot || from.Zone != w.Zone) && !l.planner.SparesReserve(j, w) {
		return 0, false
	}
	if w.HasImage(j.Spec.Image) {
		return 0, true
	}
	return w.ImagePullTime(j.Spec), true
}

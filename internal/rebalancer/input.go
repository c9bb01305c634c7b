package rebalancer

// This file builds the input of rebalance.Plan from the leader's tables.

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

// minRemaining is the minimum estimate of the time until a task ends, or until a booting machine is up.
const minRemaining = time.Second

// waitingTasks lists the first waiting task of each job for which tasks of other jobs may be moved, if that task has waited
// for at least MinWait. The list is in the order in which the jobs were submitted.
func (r *Rebalancer) waitingTasks(now ident.MonotonicTime) []rebalance.WaitingTask {
	var list []rebalance.WaitingTask
	booting := r.bootingMachines()
	for _, j := range r.jobs.Sorted() {
		if !r.mayBenefit(j, now) {
			continue
		}
		first := j.WaitingTasks(1)
		if len(first) == 0 || now.Sub(first[0].StateSince) < r.planConfig.MinWait {
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
				w := r.workers.Workers[candidate.ID]
				return w.Allows(j.Spec) && !j.AvoidedMachines[candidate.ID]
			},
		})
	}
	return list
}

// mayBenefit reports whether tasks of other jobs may be moved for a waiting task of a job.
func (r *Rebalancer) mayBenefit(j *jobs.Job, now ident.MonotonicTime) bool {
	if j.WaitingCount() == 0 || j.IsGang() || j.Suspect || now < j.RetryAt {
		return false
	}
	return !j.Spec.OneZone && !j.Spec.Spread && r.teams.Allows(j.Spec, 1)
}

// bootingMachines lists the machines in state Booting.
func (r *Rebalancer) bootingMachines() []*workers.Worker {
	var list []*workers.Worker
	for _, w := range r.workers.Sorted() {
		if w.State == workers.Booting {
			list = append(list, w)
		}
	}
	return list
}

// nextMachineETA estimates the time until the first booting machine on which a job may run is up. It returns 0 if there is no
// such machine.
func nextMachineETA(booting []*workers.Worker, s *api.Spec, now ident.MonotonicTime) time.Duration {
	soonest := time.Duration(0)
	for _, w := range booting {
		if !w.Allows(s) {
			continue
		}
		left := max(minRemaining, settings.Seconds(w.Type.StartupS)-now.Sub(w.CreatedAt))
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// planInput returns the input of rebalance.Plan. It omits machines that are of unknown type, in zones with an unhealthy
// link, or unreachable. Except for slow machines, it also omits those that accept no tasks or are reserved for a job.
func (r *Rebalancer) planInput(waiting []rebalance.WaitingTask, now ident.MonotonicTime) *rebalance.Cluster {
	input := &rebalance.Cluster{Waiting: waiting, Fits: r.imagePullTimeIfFits}
	for _, w := range r.workers.Sorted() {
		switch {
		case w.Type == nil || !r.leader.ZoneHealthy(w.Zone):
		case w.Slow && r.reachable(w):
			slow := &rebalance.SlowMachine{Machine: *r.machineInput(w, now), Slowness: r.slownessEstimator.Slowness(w.ID)}
			input.SlowMachines = append(input.SlowMachines, slow)
		case r.usable(w) && !r.planner.IsReserved(w):
			input.Machines = append(input.Machines, r.machineInput(w, now))
		}
	}
	for _, move := range r.moves.Active() {
		input.ActiveMoves = append(input.ActiveMoves, r.activeMove(move))
	}
	return input
}

// activeMove converts an active move to the input of rebalance.Plan, which counts it against the budgets.
func (r *Rebalancer) activeMove(move *migration.Move) rebalance.ActiveMove {
	active := rebalance.ActiveMove{
		Job:           move.Task.Job,
		Team:          move.Team,
		From:          move.From,
		To:            move.To,
		BeneficiaryID: move.BeneficiaryID,
	}
	if w := r.workers.Workers[move.From]; w != nil {
		active.Zone = w.Zone
	}
	return active
}

// machineInput converts a machine to the input of rebalance.Plan: its free resources, its movable tasks, and the expected
// completions of its tasks.
func (r *Rebalancer) machineInput(w *workers.Worker, now ident.MonotonicTime) *rebalance.Machine {
	input := &rebalance.Machine{ID: w.ID, Zone: w.Zone, Free: w.Free()}
	for _, t := range r.workers.SortedTasks(w) {
		if left := remainingRuntime(t, now); left > 0 {
			completion := rebalance.Completion{Remaining: left, Frees: jobs.ResourcesOf(t.Job.Spec)}
			input.Completions = append(input.Completions, completion)
		}
		if r.movable(t) {
			input.Tasks = append(input.Tasks, r.runningTask(t, now))
		}
	}
	return input
}

// remainingRuntime estimates how long a task will remain on its machine. It returns 0 if that is unknown.
func remainingRuntime(t *jobs.Task, now ident.MonotonicTime) time.Duration {
	runtime := settings.Seconds(t.Job.Spec.RuntimeS)
	switch {
	case t.State == jobs.Stopping:
		return max(minRemaining, t.GracePeriod)
	case runtime <= 0:
		return 0
	case t.SeenRunning():
		return max(minRemaining, runtime-now.Sub(t.RunningSince))
	}
	return runtime
}

// movable reports whether a task is running and may be moved on its own: it is not bound to other tasks of its job by a gang,
// a single zone or a spread. The only running replica of a service is not movable, since a move would interrupt the service.
func (r *Rebalancer) movable(t *jobs.Task) bool {
	s := t.Job.Spec
	if t.State != jobs.Assigned || !t.SeenRunning() || t.Job.IsGang() || t.Job.Suspect {
		return false
	}
	if s.OneZone || s.Spread || r.history.IsExcluded(s.ID) {
		return false
	}
	return s.Shape != api.Service || t.Job.RunningTasks > 1
}

// runningTask converts a movable task to the input of rebalance.Plan.
func (r *Rebalancer) runningTask(t *jobs.Task, now ident.MonotonicTime) rebalance.Task {
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
		MoveCount:          r.history.MoveCount(s.ID),
	}
}

// imagePullTimeIfFits reports whether a running task may be moved to a machine, and returns the time of its image pull there.
func (r *Rebalancer) imagePullTimeIfFits(t *rebalance.Task, candidate *rebalance.Machine) (time.Duration, bool) {
	j, w := r.jobs.Jobs[t.ID.Job], r.workers.Workers[candidate.ID]
	if j == nil || w == nil || !w.Allows(j.Spec) || j.AvoidedMachines[w.ID] || w.Faulty() {
		return 0, false
	}
	// A move between on-demand machines of one zone does not reduce the headroom for services.
	from := r.workers.Workers[j.Tasks.At(t.ID.Index).MachineID]
	if (from == nil || from.Spot || from.Zone != w.Zone) && !r.planner.KeepsServiceHeadroom(j, w) {
		return 0, false
	}
	if w.HasImage(j.Spec.Image) {
		return 0, true
	}
	return w.ImagePullTime(j.Spec), true
}

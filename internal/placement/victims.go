package placement

import (
	"cmp"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

const (
	// gangRestartSeconds is the time that each task of a preempted gang loses beside its progress.
	gangRestartSeconds = 30
	// preemptionCooldown is how long a preempted task is spared. Tasks that have just started cost
	// least, so without it the same tasks would be preempted repeatedly.
	preemptionCooldown = time.Minute
)

// canPreempt reports whether a running task may be preempted for a job.
func (p *Planner) canPreempt(victim *jobs.Task, j *jobs.Job) bool {
	if victim.State != jobs.Assigned {
		return false
	}
	if victim.Job.Spec.Priority.Level() > j.Spec.Priority.Level() {
		return !isBatch(j) || j.WithinQuota || p.teams.IsBorrower(victim.Job.Spec.Team)
	}
	return j.WithinQuota && !victim.Job.WithinQuota && victim.Job.Spec.Team != j.Spec.Team && isBatch(victim.Job)
}

// hasVictims reports whether there is anything in the cluster that may be preempted for a job.
func (p *Planner) hasVictims(j *jobs.Job) bool {
	if p.machineTable.LowerPriorityTasks(j.Spec.Priority) > 0 {
		return true
	}
	return j.WithinQuota && p.teams.OthersOverGuarantee(p.jobs, j.Spec.Team)
}

// mayHaveVictims is a quick check that rules out most machines without a victim for a job.
func mayHaveVictims(w *workers.Worker, j *jobs.Job) bool {
	return w.LowerPriorityTasks(j.Spec.Priority) > 0 || j.WithinQuota && w.BatchVCPUs != 0
}

// recentlyPreempted reports whether a task was preempted within preemptionCooldown.
func recentlyPreempted(t *jobs.Task, now ident.MonotonicTime) bool {
	return t.PreemptedAt > 0 && now.Sub(t.PreemptedAt) < preemptionCooldown
}

// preemption is a set of tasks whose end makes enough room on a machine.
type preemption struct {
	worker  *workers.Worker
	victims []*jobs.Task
	cost    float64 // work lost, in CPU seconds
}

// needsCheckpoint reports whether a victim writes a checkpoint before it ends, so that the room is
// not there at once.
func (p *preemption) needsCheckpoint() bool {
	return slices.ContainsFunc(p.victims, func(t *jobs.Task) bool { return t.Job.Spec.CanCheckpoint() })
}

// victimRequest asks for room on a machine for a job.
type victimRequest struct {
	job  *jobs.Job
	need jobs.Resources
	now  ident.MonotonicTime
	// skipRecent spares tasks that were preempted within preemptionCooldown.
	skipRecent bool
	// includeGangs lets whole gangs be preempted; those preempted recently are spared always.
	includeGangs bool
}

// candidateVictim is a task that may be preempted, with the cost of its preemption.
type candidateVictim struct {
	task *jobs.Task
	cost float64 // work lost, in CPU seconds
}

// chooseVictims chooses tasks to preempt on a machine, in ascending order of cost until the
// requested room is free. It returns nil if all candidates together don't make enough. The room of
// tasks that are being stopped without a grace period counts as free.
func (p *Planner) chooseVictims(w *workers.Worker, r victimRequest) *preemption {
	free := w.FreeFor(r.job.Spec.Priority)
	var candidates []candidateVictim
	for _, t := range w.Tasks {
		switch {
		case t.State == jobs.Stopping && t.GracePeriod == 0:
			free = free.Add(jobs.ResourcesOf(t.Job.Spec))
		case p.isCandidate(t, &r):
			candidates = append(candidates, candidateVictim{task: t, cost: lostWork(t, r.now)})
		}
	}
	slices.SortFunc(candidates, compareVictims)
	found := &preemption{worker: w}
	for _, v := range candidates {
		if free.Covers(r.need) {
			break
		}
		found.victims = append(found.victims, v.task)
		found.cost += v.cost
		free = free.Add(jobs.ResourcesOf(v.task.Job.Spec))
	}
	if !free.Covers(r.need) {
		return nil
	}
	return found
}

// isCandidate reports whether a task may be preempted for a request. A gang is preempted as a whole or
// not at all.
func (p *Planner) isCandidate(t *jobs.Task, r *victimRequest) bool {
	if t.Job.IsGang() {
		return r.includeGangs && !recentlyPreempted(t, r.now) && p.canPreempt(t, r.job) && p.actions.CanStopGang(t.Job)
	}
	return p.canPreempt(t, r.job) && !(r.skipRecent && recentlyPreempted(t, r.now))
}

// compareVictims orders victims by cost, then the newest first.
func compareVictims(a, b candidateVictim) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(b.task.Job.Seq, a.task.Job.Seq),
		cmp.Compare(b.task.Index, a.task.Index),
	)
}

// lostWork returns the work that is lost when a task is preempted, in CPU seconds.
func lostWork(t *jobs.Task, now ident.MonotonicTime) float64 {
	lost := now.Sub(t.StateSince).Seconds()
	if t.ReportedStatus == "" || t.ReportedStatus == api.Pulling {
		lost = 0
	} else if t.RunningSince > 0 {
		lost = now.Sub(t.RunningSince).Seconds()
	}
	if t.Job.Spec.CanCheckpoint() {
		lost = min(lost, t.Job.Spec.CheckpointEveryS)
	}
	if recentlyPreempted(t, now) {
		lost += preemptionCooldown.Seconds()
	}
	if t.Job.IsGang() {
		// All tasks of a gang write a checkpoint, wait for each other and restart.
		lost = (lost + gangRestartSeconds) * float64(t.Job.Spec.Tasks)
	}
	return lost * max(t.Job.Spec.VCPUs, 1)
}

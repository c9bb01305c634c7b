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
	// gangRestartSeconds is the time, in seconds, that each task of a preempted gang loses in addition to
	// its lost progress.
	gangRestartSeconds = 30
	// preemptionCooldown is the time after a preemption in which the task is not preempted again if there
	// are other victims. Tasks that have just started are the cheapest victims, so without a cooldown the
	// same tasks would be preempted repeatedly.
	preemptionCooldown = time.Minute
)

// canPreempt reports whether a running task may be preempted for a job. Tasks of lower priority may be
// preempted, but a batch job beyond its team's guarantee may preempt only those of borrowers. A job
// within its team's guarantee may also preempt batch tasks of other teams that are beyond their
// guarantee, regardless of priority.
func (p *Planner) canPreempt(victim *jobs.Task, j *jobs.Job) bool {
	if victim.State != jobs.Assigned {
		return false
	}
	if victim.Job.Spec.Priority.Level() > j.Spec.Priority.Level() {
		return !isBatch(j) || j.WithinGuarantee || p.teams.IsBorrower(victim.Job.Spec.Team)
	}
	return j.WithinGuarantee && !victim.Job.WithinGuarantee && victim.Job.Spec.Team != j.Spec.Team && isBatch(victim.Job)
}

// hasVictims is a quick check whether the cluster may have any task that can be preempted for a job.
func (p *Planner) hasVictims(j *jobs.Job) bool {
	if p.machineTable.LowerPriorityTasks(j.Spec.Priority) > 0 {
		return true
	}
	return j.WithinGuarantee && p.teams.OthersOverGuarantee(p.jobs, j.Spec.Team)
}

// mayHaveVictims is a quick check that excludes most machines without a victim for a job.
func mayHaveVictims(w *workers.Worker, j *jobs.Job) bool {
	return w.LowerPriorityTasks(j.Spec.Priority) > 0 || j.WithinGuarantee && w.BatchVCPUs != 0
}

// recentlyPreempted reports whether a task was preempted within preemptionCooldown.
func recentlyPreempted(t *jobs.Task, now ident.MonotonicTime) bool {
	return t.PreemptedAt > 0 && now.Sub(t.PreemptedAt) < preemptionCooldown
}

// preemption is a set of tasks on a machine that frees enough capacity when they are stopped.
type preemption struct {
	worker  *workers.Worker
	victims []*jobs.Task
	cost    float64 // work lost, in CPU seconds
}

// needsCheckpoint reports whether a victim writes a checkpoint before it terminates. Its capacity is
// then not free immediately.
func (p *preemption) needsCheckpoint() bool {
	return slices.ContainsFunc(p.victims, func(t *jobs.Task) bool { return t.Job.Spec.CanCheckpoint() })
}

// victimRequest specifies the capacity to free on a machine for a job, and the tasks to exclude.
type victimRequest struct {
	job  *jobs.Job
	need jobs.Resources
	now  ident.MonotonicTime
	// skipRecent excludes tasks that were preempted within preemptionCooldown.
	skipRecent bool
	// includeGangs allows the preemption of gangs, except those preempted within preemptionCooldown.
	includeGangs bool
}

// candidateVictim is a task that may be preempted, with the cost of its preemption.
type candidateVictim struct {
	task *jobs.Task
	cost float64 // work lost, in CPU seconds
}

// chooseVictims selects tasks to preempt on a machine, in ascending order of cost until the requested
// capacity is free. It returns nil if all candidates together don't free enough. Resources of tasks
// that are being stopped without a grace period count as free.
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

// isCandidate reports whether a task may be preempted for a request. A task of a gang is a candidate
// only if its whole gang can be stopped.
func (p *Planner) isCandidate(t *jobs.Task, r *victimRequest) bool {
	if t.Job.IsGang() {
		return r.includeGangs && !recentlyPreempted(t, r.now) && p.canPreempt(t, r.job) && p.actions.CanStopGang(t.Job)
	}
	return p.canPreempt(t, r.job) && !(r.skipRecent && recentlyPreempted(t, r.now))
}

// compareVictims orders victims by cost, then by the order of submission with the newest first.
func compareVictims(a, b candidateVictim) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(b.task.Job.Seq, a.task.Job.Seq),
		cmp.Compare(b.task.Index, a.task.Index),
	)
}

// lostWork estimates the work that is lost when a task is preempted, in CPU seconds. A recent preemption
// adds to the cost, so that the same task is not preempted repeatedly.
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

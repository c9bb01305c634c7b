package fleet

import (
	"maps"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

const (
	// slackShare is the fraction of the time left to the objectives within which a backlog should be
	// completed: more jobs arrive meanwhile, and runtimes are often underestimated.
	slackShare = 0.85
	// minTaskTimeLeft is the shortest remaining time that a running task is expected to take, in
	// seconds.
	minTaskTimeLeft = 5
)

// batchShortfall returns the CPUs that are missing for the waiting batch jobs to meet the first of
// their objectives, 0 if the existing and requested machines suffice. It estimates a backlog by its
// work, before any of its jobs is late.
func (r *scalingRun) batchShortfall() float64 {
	work, weightedTime := r.waitingBatchWork()
	if work == 0 {
		return 0
	}
	horizon := max(slackShare*weightedTime/work, r.longestBoot().Seconds())
	demand := r.addRunningBatchWork(work, horizon)
	return max(0, demand/horizon-r.batchSupply())
}

// batchSupply returns the CPUs that batch jobs use or could use, if they may use spot machines.
func (r *scalingRun) batchSupply() float64 {
	supply := 0.0
	for p, count := range r.capacity.machines {
		if model := r.machineType(p.model); p.spot && model != nil {
			supply += float64(count) * model.VCPUs
		} else {
			supply += r.capacity.freeVCPUs[p] + r.capacity.batchVCPUs[p]
		}
	}
	return supply
}

// waitingBatchWork returns the work of the batch jobs that wait, in CPU seconds, and the sum of the
// times left to their objectives, in seconds, each weighted by the work of its job. Jobs that can't
// meet their objective any more have the least urgency and don't count.
func (r *scalingRun) waitingBatchWork() (work, weightedTime float64) {
	r.eachOpenBatchJob(func(j *jobs.Job) {
		spec := j.Spec
		if !spec.Spot || j.PlaceableCount() == 0 || r.teams.IsBorrower(spec.Team) {
			return
		}
		jobWork := float64(min(j.PlaceableCount(), r.teams.RemainingTasks(spec))) * spec.VCPUs * spec.RuntimeS
		jobTimeLeft := (r.cfg.Objective(spec.Class) - r.now.Sub(j.SubmittedAt)).Seconds() - spec.RuntimeS
		if jobTimeLeft > 0 && jobWork > 0 {
			work += jobWork
			weightedTime += jobWork * jobTimeLeft
		}
	})
	return work, weightedTime
}

// addRunningBatchWork adds the remaining work of running batch tasks, up to a horizon in seconds, to
// an amount of work in CPU seconds. Tasks of borrowers don't count, since they are preempted.
func (r *scalingRun) addRunningBatchWork(work, horizon float64) float64 {
	r.eachOpenBatchJob(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !j.Spec.Spot || r.teams.IsBorrower(j.Spec.Team) {
			return
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Allocated() {
				continue
			}
			timeLeft := j.Spec.RuntimeS
			if t.RunningSince > 0 {
				timeLeft -= r.now.Sub(t.RunningSince).Seconds()
			}
			work += j.Spec.VCPUs * min(max(timeLeft, minTaskTimeLeft), horizon)
		}
	})
	return work
}

// eachOpenBatchJob visits the open batch jobs in a fixed order.
func (r *scalingRun) eachOpenBatchJob(visit func(*jobs.Job)) {
	for _, name := range slices.Sorted(maps.Keys(r.jobs.Teams)) {
		for _, j := range r.jobs.Teams[name].OpenJobs {
			if j.Spec.Shape == api.Batch {
				visit(j)
			}
		}
	}
}

package fleet

import (
	"maps"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/jobs"
)

const (
	// slackFraction is the fraction of the time remaining until the objectives within which a backlog
	// should be completed. The rest is a margin for jobs that arrive meanwhile and for underestimated
	// runtimes.
	slackFraction = 0.85
	// minTaskTimeLeft is a lower bound on the estimated remaining runtime of a running task, in seconds.
	minTaskTimeLeft = 5
)

// batchShortfall returns the additional CPUs needed for the waiting batch jobs that may run on spot machines
// to meet their objectives, or 0 if the existing and requested machines suffice. It compares the total work of the
// backlog with the capacity, so that it detects a shortfall before any job is late.
func (r *scalingRun) batchShortfall() float64 {
	work, weightedTime := r.waitingBatchWork()
	if work == 0 {
		return 0
	}
	horizon := max(slackFraction*weightedTime/work, r.longestBoot().Seconds())
	demand := r.addRunningBatchWork(work, horizon)
	return max(0, demand/horizon-r.batchSupply())
}

// batchSupply returns the CPUs that are used by or available to batch jobs that may run on spot machines.
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

// waitingBatchWork returns the work of the waiting batch jobs that may run on spot machines, in CPU seconds,
// and the sum of the times remaining until their objectives in seconds, each weighted by the work of its job.
// It leaves out jobs of borrowers, and jobs that can no longer meet their objective, because they are the
// least urgent.
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

// addRunningBatchWork adds the remaining work of the allocated batch tasks that may run on spot machines to an
// amount of work, both in CPU seconds. It counts at most horizon seconds per task, and leaves out tasks of borrowers, since
// those are preempted.
func (r *scalingRun) addRunningBatchWork(work, horizon float64) float64 {
	r.eachOpenBatchJob(func(j *jobs.Job) {
		if j.AllocatedTasks == 0 || !j.Spec.Spot || r.teams.IsBorrower(j.Spec.Team) {
			return
		}
		for t := range j.Tasks.Created() {
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

// eachOpenBatchJob calls visit for the open batch jobs, in a fixed order.
func (r *scalingRun) eachOpenBatchJob(visit func(*jobs.Job)) {
	for _, name := range slices.Sorted(maps.Keys(r.jobs.Teams)) {
		for _, j := range r.jobs.Teams[name].OpenJobs {
			if j.Spec.Shape == api.Batch {
				visit(j)
			}
		}
	}
}

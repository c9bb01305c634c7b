package workers

import "opaldale/internal/jobs"

// faultyThreshold is the number of healthy jobs that must have failed on a machine for it to count
// as faulty.
const faultyThreshold = 2

// failureRecord holds the jobs whose tasks failed on a machine since a task of another job
// completed there. Whether a failure is the machine's or the job's fault shows later: a job
// that runs well elsewhere is healthy, one that fails on several machines is suspect.
type failureRecord struct {
	jobs map[*jobs.Job]bool
}

func (r *failureRecord) add(j *jobs.Job) {
	if r.jobs == nil {
		r.jobs = map[*jobs.Job]bool{}
	}
	r.jobs[j] = true
}

// clearUnlessFailed clears the record when a task of a job completes: the machine works, unless
// the same job has failed there as well.
func (r *failureRecord) clearUnlessFailed(j *jobs.Job) {
	if !r.jobs[j] {
		clear(r.jobs)
	}
}

// RecordFailure records that a task of a job failed on the machine.
func (w *Worker) RecordFailure(j *jobs.Job) { w.failures.add(j) }

// Faulty reports whether jobs that run well on other machines fail on this one.
func (w *Worker) Faulty() bool {
	healthyJobs := 0
	for j := range w.failures.jobs {
		if j.ProvenHealthy() {
			healthyJobs++
		}
	}
	return healthyJobs >= faultyThreshold
}

// PossiblyFaulty reports whether a job that may be healthy has failed on the machine. Such a machine
// does not count as reliable capacity.
func (w *Worker) PossiblyFaulty() bool {
	for j := range w.failures.jobs {
		if j.ProvenHealthy() || j.Phase == jobs.Open && !j.Suspect {
			return true
		}
	}
	return false
}

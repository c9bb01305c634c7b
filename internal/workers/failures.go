package workers

import "opaldale/internal/jobs"

// faultyThreshold is the number of jobs proven healthy that must have failed on a machine before the
// machine is considered faulty.
const faultyThreshold = 2

// failureRecord holds the jobs whose tasks have failed on a machine since a task of a job that is not in
// the record last completed there. Whether the machine or the job is at fault becomes clear only later: a
// job that runs on other machines is healthy, a job that fails on several machines is suspect.
type failureRecord struct {
	jobs map[*jobs.Job]bool
}

func (r *failureRecord) add(j *jobs.Job) {
	if r.jobs == nil {
		r.jobs = map[*jobs.Job]bool{}
	}
	r.jobs[j] = true
}

// clearUnlessFailed clears the record after a task of a job has completed, which shows that the machine
// works. If the same job has also failed on the machine, the record is kept.
func (r *failureRecord) clearUnlessFailed(j *jobs.Job) {
	if !r.jobs[j] {
		clear(r.jobs)
	}
}

// RecordFailure records that a task of the job failed on the machine.
func (w *Worker) RecordFailure(j *jobs.Job) { w.failures.add(j) }

// Faulty reports whether at least faultyThreshold jobs that have proven healthy have failed on the machine.
func (w *Worker) Faulty() bool {
	healthyJobs := 0
	for j := range w.failures.jobs {
		if j.ProvenHealthy() {
			healthyJobs++
		}
	}
	return healthyJobs >= faultyThreshold
}

// PossiblyFaulty reports whether any job in the machine's failure record is proven healthy, or is open and
// not suspect. The autoscaler does not count such a machine as capacity for new tasks.
func (w *Worker) PossiblyFaulty() bool {
	for j := range w.failures.jobs {
		if j.ProvenHealthy() || j.Phase == jobs.Open && !j.Suspect {
			return true
		}
	}
	return false
}

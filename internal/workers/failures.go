package workers

import "opaldale/internal/jobs"

// faultyThreshold is how many jobs that run well elsewhere must have failed on a machine for it
// to be faulty.
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

// RecordFailure notes that a task of a job failed on the machine.
func (w *Worker) RecordFailure(j *jobs.Job) { w.failures.add(j) }

// Faulty reports whether jobs that run well on other machines fail on this one.
func (w *Worker) Faulty() bool {
	n := 0
	for j := range w.failures.jobs {
		if j.ProvenHealthy() {
			n++
		}
	}
	return n >= faultyThreshold
}

// PossiblyFaulty reports whether a job that may be healthy has failed on the machine. Then the
// machine does not count as capacity that can be relied on.
func (w *Worker) PossiblyFaulty() bool {
	for j := range w.failures.jobs {
		if j.ProvenHealthy() || j.Phase == jobs.Open && !j.Suspect {
			return true
		}
	}
	return false
}

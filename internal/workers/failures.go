package workers

import "opaldale/internal/jobs"

// faultyThreshold is how many sound jobs must have failed on a machine for it to be faulty.
const faultyThreshold = 2

// RecordFailure notes that a task of a job failed on the machine. Whose fault that was shows
// later: a job that runs well elsewhere is sound, one that fails on several machines is
// suspect.
func (w *Worker) RecordFailure(j *jobs.Job) {
	if w.failedJobs == nil {
		w.failedJobs = map[*jobs.Job]bool{}
	}
	w.failedJobs[j] = true
}

// recordSuccess notes that a task of a job has completed on the machine: it is in order, unless
// the same job has failed there as well.
func (w *Worker) recordSuccess(j *jobs.Job) {
	if !w.failedJobs[j] {
		clear(w.failedJobs)
	}
}

// Faulty says whether jobs that run well on other machines fail on this one.
func (w *Worker) Faulty() bool {
	n := 0
	for j := range w.failedJobs {
		if j.ProvenHealthy() {
			n++
		}
	}
	return n >= faultyThreshold
}

// PossiblyFaulty says whether a job has failed on the machine that may not be at fault itself:
// the machine is no room to count on for it.
func (w *Worker) PossiblyFaulty() bool {
	for j := range w.failedJobs {
		if j.ProvenHealthy() || j.Phase == jobs.Open && !j.Suspect {
			return true
		}
	}
	return false
}

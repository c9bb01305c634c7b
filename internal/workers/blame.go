package workers

import "opaldale/internal/jobs"

// faultyJobs is how many sound jobs must have failed on a machine for it to be faulty.
const faultyJobs = 2

// Blame notes that a task of a job failed on the machine. Whose fault that was shows
// later: a job that runs well elsewhere is sound, one that fails on several machines is
// suspect.
func (w *Worker) Blame(j *jobs.Job) {
	if w.blame == nil {
		w.blame = map[*jobs.Job]bool{}
	}
	w.blame[j] = true
}

// absolve notes that a task of a job has completed on the machine: it is in order, unless
// the same job has failed there as well.
func (w *Worker) absolve(j *jobs.Job) {
	if !w.blame[j] {
		clear(w.blame)
	}
}

// Faulty says whether jobs that run well on other machines fail on this one.
func (w *Worker) Faulty() bool {
	n := 0
	for j := range w.blame {
		if j.Sound() {
			n++
		}
	}
	return n >= faultyJobs
}

// Doubtful says whether a job has failed on the machine that may not be at fault itself:
// the machine is no room to count on for it.
func (w *Worker) Doubtful() bool {
	for j := range w.blame {
		if j.Sound() || j.Phase == jobs.Open && !j.Suspect {
			return true
		}
	}
	return false
}

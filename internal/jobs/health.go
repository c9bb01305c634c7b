package jobs

import "time"

// provenHealthyAfter is how long a task must run before its job is considered able to run. Most jobs that
// are submitted with a mistake fail within seconds.
const provenHealthyAfter = 10 * time.Second

// RecordUnexplainedFailure records that a task of a job has failed and that it is unknown whether the job or
// the machine is at fault.
func (tb *Table) RecordUnexplainedFailure(j *Job) { tb.unexplainedFailures[j] = true }

// ExpireAvoidedMachines makes waiting jobs avoid no machines any more if their last error was some time ago. Without an end, a
// job that has failed on each of the few machines that it may use would wait for ever, although the machines may work by now.
func (tb *Table) ExpireAvoidedMachines(after time.Duration) {
	now := tb.now()
	for j := range tb.Waiting {
		if len(j.AvoidedMachines) > 0 && now.Sub(j.LastErrorAt) >= after {
			clear(j.AvoidedMachines)
		}
	}
}

// MarkProvenHealthy marks the jobs with unexplained failures that have since proven able to run. It clears
// their suspect flag and retry backoff, because the failures were not their fault.
func (tb *Table) MarkProvenHealthy() {
	for j := range tb.unexplainedFailures {
		switch {
		case j.Phase != Open:
			delete(tb.unexplainedFailures, j)
		case tb.hasLongRunningTask(j):
			j.provenHealthy, j.Suspect, j.Backoff = true, false, 0
			delete(tb.unexplainedFailures, j)
		}
	}
}

// hasLongRunningTask reports whether any task of the job has been running for more than provenHealthyAfter.
func (tb *Table) hasLongRunningTask(j *Job) bool {
	for t := range j.Tasks.Created() {
		if t.State == Assigned && t.SeenRunning() && tb.now().Sub(t.RunningSince) > provenHealthyAfter {
			return true
		}
	}
	return false
}

package simulator

import (
	"time"

	"opaldale/internal/api"
)

// runningJobs lists the jobs with tasks on machines that nobody has cancelled.
func (sim *Simulation) runningJobs() (out []*userJob) {
	for _, id := range sim.jobOrder {
		j := sim.jobs[id]
		if !j.accepted || j.cancelSentAt > 0 || isTerminal(j.lastStatus) {
			continue
		}
		if len(sim.workersOf(j)) > 0 {
			out = append(out, j)
		}
	}
	return out
}

// workersOf lists the machines with tasks of a job.
func (sim *Simulation) workersOf(j *userJob) (out []*worker) {
	for _, w := range sim.sortedWorkers() {
		if w.taskCount(j.spec.ID) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// cancelRunning calls up to n running jobs off within a fifth of a second; with hang, up to
// eight of their machines hang that long.
func (sim *Simulation) cancelRunning(n int, hang time.Duration) {
	hung := 0
	for i, j := range sim.runningJobs() {
		if i == n {
			break
		}
		for _, w := range sim.workersOf(j) {
			if hang > 0 && hung < 8 {
				hung++
				w.hangFor(hang)
			}
		}
		sim.countEvent(cancelledWhileRunningEvent)
		sim.schedule(time.Duration(sim.rng.IntN(200))*time.Millisecond, func() { sim.cancelWhenAccepted(j, nil) })
	}
}

// onTaskCompleted is called when a task has completed, before its machine says so.
func (sim *Simulation) onTaskCompleted(j *userJob) {
	for _, d := range j.done {
		if !d {
			return
		}
	}
	if j.spec.Shape == api.Service || !sim.faultHits(sim.cancelAtCompletion) {
		return
	}
	sim.countEvent(cancelledAtCompletionEvent)
	sim.schedule(time.Duration(sim.rng.IntN(300))*time.Millisecond, func() {
		sim.cancelWhenAccepted(j, nil)
		sim.probeAllNodes(j)
	})
}

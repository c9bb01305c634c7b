package simulator

import (
	"time"

	"opaldale/internal/api"
)

// runningJobs returns the accepted, uncancelled jobs that have tasks on machines.
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

// workersOf returns the workers that have tasks of a job.
func (sim *Simulation) workersOf(j *userJob) (out []*worker) {
	for _, w := range sim.sortedWorkers() {
		if w.taskCount(j.spec.ID) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// cancelRunning cancels up to n running jobs within 200 ms. If hang is positive, up to eight of their machines hang for
// that long.
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

// onTaskCompleted is called when a task has completed, before the worker reports it. If a fault occurs, the user cancels a
// job whose last task has just completed.
func (sim *Simulation) onTaskCompleted(j *userJob) {
	for _, d := range j.done {
		if !d {
			return
		}
	}
	if j.spec.Shape == api.Service || !sim.faultOccurs(sim.cancelAtCompletion) {
		return
	}
	sim.countEvent(cancelledAtCompletionEvent)
	sim.schedule(time.Duration(sim.rng.IntN(300))*time.Millisecond, func() {
		sim.cancelWhenAccepted(j, nil)
		sim.probeAllNodes(j)
	})
}

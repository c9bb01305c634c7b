package rebalancer

// This file detects machines that are much slower than others.

import (
	"log/slog"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// RecordCompletion records the run time of a completed task on a machine, if it is comparable with that of other tasks of the
// job. It is not if the task resumed from a checkpoint, which shortens the run time, or if an earlier term placed the task, so
// that the start is unknown. Tasks of gangs are not recorded either.
func (r *Rebalancer) RecordCompletion(t *jobs.Task, w *workers.Worker) {
	resumed := t.Attempt > 1 && t.Job.Spec.CanCheckpoint()
	if !t.SeenRunning() || !t.PlacedThisTerm() || resumed || t.Job.IsGang() {
		return
	}
	r.slownessEstimator.RecordRun(t.Job.Spec.ID, w.Model, w.ID, r.leader.Now().Sub(t.RunningSince))
}

// DetectSlowMachines marks machines that are much slower than others. No more tasks are placed on a marked machine. It is
// terminated when all its tasks have completed or been moved.
func (r *Rebalancer) DetectSlowMachines() {
	if !r.config.Execute {
		return
	}
	r.slowMachines = 0
	all := r.workers.Sorted()
	for _, w := range all {
		switch {
		case w.State == workers.Terminated:
			r.slownessEstimator.RemoveMachine(w.ID)
		case w.State == workers.Up && r.slownessEstimator.DetectSlow(w.ID, len(all)):
			r.slowMachines++
			r.markSlow(w)
		}
	}
}

// markSlow marks a machine as slow for the rest of the term.
func (r *Rebalancer) markSlow(w *workers.Worker) {
	if w.Slow {
		return
	}
	w.Slow = true
	slog.Info("machine marked as slow",
		"machine", string(w.ID), "slowness", r.slownessEstimator.Slowness(w.ID), "tasks", len(w.Tasks))
}

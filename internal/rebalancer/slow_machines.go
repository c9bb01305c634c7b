package rebalancer

// This file detects machines that are slower than others.

import (
	"log/slog"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// RecordCompletion records how long a task has run on a machine, if that is comparable with other tasks of its job. The
// runtime of a task that was resumed from a checkpoint is shorter, and the start of a task that an earlier term placed
// is unknown.
func (r *Rebalancer) RecordCompletion(t *jobs.Task, w *workers.Worker) {
	resumed := t.Attempt > 1 && t.Job.Spec.CanCheckpoint()
	if !t.SeenRunning() || !t.PlacedThisTerm() || resumed || t.Job.IsGang() {
		return
	}
	r.speedTracker.RecordRun(t.Job.Spec.ID, w.Model, w.ID, r.leader.Now().Sub(t.RunningSince))
}

// DetectSlowMachines marks machines that are much slower than others. No more tasks are placed on them; their tasks
// complete or are moved, and a machine without tasks is terminated.
func (r *Rebalancer) DetectSlowMachines() {
	if !r.config.Execute {
		return
	}
	r.slowMachines = 0
	all := r.workers.Sorted()
	for _, w := range all {
		switch {
		case w.State == workers.Terminated:
			r.speedTracker.RemoveMachine(w.ID)
		case w.State == workers.Up && r.speedTracker.DetectSlow(w.ID, len(all)):
			r.slowMachines++
			r.markSlow(w)
		}
	}
}

// markSlow marks a machine as slow, for the rest of the term.
func (r *Rebalancer) markSlow(w *workers.Worker) {
	if w.Slow {
		return
	}
	w.Slow = true
	slog.Info("machine is slow", "machine", string(w.ID), "slowness", r.speedTracker.Slowness(w.ID), "tasks", len(w.Tasks))
}

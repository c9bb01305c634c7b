package controller

import (
	"log/slog"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// noteCompletion notes how long a task ran, if that was from its beginning: one that has saved before
// needs less, and of one that an earlier term placed the beginning is not known.
func (m *rebalancer) noteCompletion(t *jobs.Task, w *workers.Worker) {
	resumed := t.Attempt > 1 && t.Job.Spec.CanCheckpoint()
	if !t.SeenRunning() || !t.PlacedThisTerm() || resumed || t.Job.IsGang() {
		return
	}
	m.speedTracker.RecordRun(t.Job.Spec.ID, w.Model, w.ID, m.leader.controller.env.Now().Sub(t.RunningSince))
}

// detectSlowMachines looks for machines that are much slower than others. Nothing more is placed on
// them; what is there ends or is moved, and an empty one is returned.
func (m *rebalancer) detectSlowMachines() {
	if !m.executesMoves {
		return
	}
	m.slowMachines = 0
	all := m.leader.workers.Sorted()
	for _, w := range all {
		switch {
		case w.State == workers.Terminated:
			m.speedTracker.RemoveMachine(w.ID)
		case w.State == workers.Up && m.speedTracker.DetectSlow(w.ID, len(all)):
			m.slowMachines++
			if !w.Slow {
				w.Slow = true
				slog.Info("machine is slow", "host", string(w.ID), "times", m.speedTracker.Slowness(w.ID), "tasks", len(w.Tasks))
			}
		}
	}
}

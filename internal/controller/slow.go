package controller

import (
	"log/slog"

	"opaldale/internal/jobs"
	"opaldale/internal/workers"
)

// completed notes how long a task ran, if that was from its beginning: one that has saved before
// needs less, and of one that an earlier term placed the beginning is not known.
func (m *mover) completed(t *jobs.Task, w *workers.Worker) {
	resumed := t.Attempt > 1 && t.Job.Spec.CanCheckpoint()
	if !t.SeenRunning() || !t.PlacedThisTerm() || resumed || t.Job.IsGang() {
		return
	}
	m.speeds.RecordRun(t.Job.Spec.ID, w.Model, w.ID, m.lead.c.env.Now().Sub(t.RunningSince))
}

// judgeSpeeds looks for machines that are much slower than others. Nothing more is placed on
// them; what is there ends or is moved, and an empty one is returned.
func (m *mover) judgeSpeeds() {
	if !m.carries {
		return
	}
	m.slow = 0
	all := m.lead.workers.Sorted()
	for _, w := range all {
		switch {
		case w.State == workers.Terminated:
			m.speeds.RemoveMachine(w.ID)
		case w.State == workers.Up && m.speeds.IsSlow(w.ID, len(all)):
			m.slow++
			if !w.Slow {
				w.Slow = true
				slog.Info("machine is slow", "host", string(w.ID), "times", m.speeds.Slowness(w.ID), "tasks", len(w.Tasks))
			}
		}
	}
}

package workers

import (
	"maps"
	"slices"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// taskAttempt identifies one attempt of a task.
type taskAttempt struct {
	task    ident.TaskID
	attempt ident.Attempt
}

func attemptOf(t *jobs.Task) taskAttempt { return taskAttempt{t.TaskID(), t.Attempt} }

func attemptIn(report api.TaskReport) taskAttempt { return taskAttempt{report.TaskID, report.Attempt} }

// targetOf returns the attempt that a command addresses.
func targetOf(command api.Command) taskAttempt { return taskAttempt{command.TaskID, command.Attempt} }

// isTargetOf reports whether a command addresses the attempt.
func (a taskAttempt) isTargetOf(command api.Command) bool { return targetOf(command) == a }

// reportsAttempt reports whether a heartbeat lists an attempt.
func reportsAttempt(heartbeat *api.Heartbeat, attempt taskAttempt) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(report api.TaskReport) bool {
		return attemptIn(report) == attempt
	})
}

// reportedTask returns the allocated task of the machine with the ID and attempt in a report, or nil if there
// is none.
func (w *Worker) reportedTask(report api.TaskReport) *jobs.Task {
	t := w.Tasks[report.TaskID]
	if t == nil || t.Attempt != report.Attempt {
		return nil
	}
	return t
}

// HasUnknownAttempt reports whether the latest heartbeat of any machine lists an attempt of the task that
// this leader does not know. The task must not be started elsewhere while that attempt may run.
func (tb *Table) HasUnknownAttempt(task ident.TaskID) bool { return tb.unknownAttempts[task] > 0 }

// addUnknownAttempt records an attempt that a worker reports but this leader does not know.
func (tb *Table) addUnknownAttempt(w *Worker, attempt taskAttempt) {
	if _, ok := w.unknownAttempts[attempt.task]; !ok {
		tb.unknownAttempts[attempt.task]++
	}
	w.unknownAttempts[attempt.task] = attempt.attempt
}

// recordNewUnknownAttempts logs and counts the unknown attempts of a machine that previous, those in the heartbeat
// before, does not contain.
func (tb *Table) recordNewUnknownAttempts(w *Worker, heartbeat *api.Heartbeat, previous map[ident.TaskID]ident.Attempt) {
	for _, report := range heartbeat.Tasks {
		attempt, unknown := w.unknownAttempts[report.TaskID]
		if !unknown || attempt != report.Attempt || previous[report.TaskID] == attempt {
			continue
		}
		tb.UnknownAttempts++
		logUnknownAttempt(w, tb.cfg.Term, heartbeat, report, tb.placementOf(report.TaskID))
	}
}

// placement is where a task was placed last.
type placement struct {
	attempt ident.Attempt // 0: the task was never placed, or its job is unknown
	machine ident.MachineID
}

// placementOf returns the latest placement of a task that this leader knows.
func (tb *Table) placementOf(task ident.TaskID) placement {
	j := tb.jobs.Jobs[task.Job]
	if j == nil || task.Index >= j.Tasks.Len() {
		return placement{}
	}
	t := j.Tasks.At(task.Index)
	return placement{t.Attempt, t.MachineID}
}

// takeUnknownAttempts removes the unknown attempts of a machine and returns them, nil if there were none.
func (tb *Table) takeUnknownAttempts(w *Worker) map[ident.TaskID]ident.Attempt {
	if len(w.unknownAttempts) == 0 {
		return nil
	}
	taken := maps.Clone(w.unknownAttempts)
	tb.clearUnknownAttempts(w)
	return taken
}

// clearUnknownAttempts removes the unknown attempts of a machine.
func (tb *Table) clearUnknownAttempts(w *Worker) {
	for task := range w.unknownAttempts {
		tb.unknownAttempts[task]--
		if tb.unknownAttempts[task] <= 0 {
			delete(tb.unknownAttempts, task)
		}
	}
	clear(w.unknownAttempts)
}

package workers

import (
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

// isTargetOf reports whether a command is for the attempt.
func (a taskAttempt) isTargetOf(command api.Command) bool {
	return command.TaskID == a.task && command.Attempt == a.attempt
}

// reportsAttempt reports whether a heartbeat has an attempt.
func reportsAttempt(heartbeat *api.Heartbeat, attempt taskAttempt) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(report api.TaskReport) bool {
		return attemptIn(report) == attempt
	})
}

// reportedTask returns the task whose present attempt a report is about, nil if that attempt is
// not known to be on the machine.
func (w *Worker) reportedTask(report api.TaskReport) *jobs.Task {
	t := w.Tasks[report.TaskID]
	if t == nil || t.Attempt != report.Attempt {
		return nil
	}
	return t
}

// HasUnknownAttempt reports whether some machine has reported an attempt of a task that is not known
// here. The task must not be started elsewhere while it may run there.
func (tb *Table) HasUnknownAttempt(task ident.TaskID) bool { return tb.unknownAttempts[task] > 0 }

// addUnknownAttempt records a reported attempt that is not known here.
func (tb *Table) addUnknownAttempt(w *Worker, attempt taskAttempt) {
	if _, ok := w.unknownAttempts[attempt.task]; !ok {
		tb.unknownAttempts[attempt.task]++
	}
	w.unknownAttempts[attempt.task] = attempt.attempt
}

// clearUnknownAttempts forgets the unknown attempts on a machine.
func (tb *Table) clearUnknownAttempts(w *Worker) {
	for task := range w.unknownAttempts {
		tb.unknownAttempts[task]--
		if tb.unknownAttempts[task] <= 0 {
			delete(tb.unknownAttempts, task)
		}
	}
	clear(w.unknownAttempts)
}

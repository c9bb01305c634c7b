package workers

import (
	"fmt"
	"log/slog"
	"strings"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// commandList is a list of commands in the log. It is formatted only if its line is logged.
type commandList []api.Command

// String lists the commands, separated by commas.
func (l commandList) String() string {
	texts := make([]string, 0, len(l))
	for _, command := range l {
		texts = append(texts, fmt.Sprintf("%s %s attempt %d", command.Verb, command.TaskID, command.Attempt))
	}
	return strings.Join(texts, ", ")
}

// logCallSent logs the start of a call to a worker. The number identifies the call in logCallEnded.
func logCallSent(w *Worker, number uint64, request api.CommandRequest) {
	slog.Debug("command call sent", "machine", string(w.ID), "call", number,
		"token", uint64(request.FencingToken), "commands", commandList(request.Commands))
}

// logCallEnded logs the result of a call to a worker.
func logCallEnded(w *Worker, number uint64, result CommandResult) {
	slog.Debug("command call ended", "machine", string(w.ID), "call", number, "status", result.Status,
		"not_sent", result.NotSent)
}

// logCallRejected logs a call with commands that the worker rejected as outdated.
func logCallRejected(w *Worker, number uint64, request api.CommandRequest, heartbeat *api.Heartbeat) {
	slog.Warn("worker rejected commands as outdated", "machine", string(w.ID), "call", number,
		"token", uint64(request.FencingToken), "worker_token", uint64(heartbeat.FencingToken),
		"incarnation", uint64(request.Incarnation), "worker_incarnation", uint64(heartbeat.Incarnation),
		"commands", commandList(request.Commands))
}

// logUnknownAttempt logs an attempt that a machine runs and that the leader has not placed there, or considers gone.
func logUnknownAttempt(
	w *Worker, term ident.Term, heartbeat *api.Heartbeat, report api.TaskReport, newest placement,
) {
	slog.Warn("machine runs unknown attempt", "machine", string(w.ID), "task", report.TaskID.String(),
		"attempt", uint64(report.Attempt), "status", string(report.Status), "term", uint64(term),
		"token", uint64(heartbeat.FencingToken), "incarnation", uint64(heartbeat.Incarnation),
		"newest_attempt", uint64(newest.attempt), "newest_machine", string(newest.machine))
}

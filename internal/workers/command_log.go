package workers

import (
	"fmt"
	"log/slog"
	"strings"

	"opaldale/internal/api"
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

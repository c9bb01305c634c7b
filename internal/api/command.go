package api

import (
	"slices"

	"opaldale/internal/ident"
)

// Verb is the effect of a command on an attempt of a task.
type Verb string

// The verbs that workers support.
const (
	Launch Verb = "launch" // start the attempt
	Kill   Verb = "kill"   // stop the attempt
	Clear  Verb = "clear"  // remove the ended attempt from the worker's heartbeats
)

// Command is a command to a worker about an attempt of a task.
type Command struct {
	Verb         Verb          `json:"verb"`
	TaskID       ident.TaskID  `json:"piece"`
	Attempt      ident.Attempt `json:"try"`
	GracePeriodS *float64      `json:"wind_down_s,omitempty"` // Kill only: time for saving a checkpoint
}

// CommandRequest is the body of POST /commands. A worker rejects the request if it has received a higher
// fencing token, or if its incarnation differs.
type CommandRequest struct {
	FencingToken ident.FencingToken `json:"epoch"`
	Incarnation  ident.Incarnation  `json:"tenure"`
	Commands     []Command          `json:"orders"`
}

// ContainsLaunch reports whether any of the commands starts a task.
func ContainsLaunch(commands []Command) bool {
	return slices.ContainsFunc(commands, func(command Command) bool { return command.Verb == Launch })
}

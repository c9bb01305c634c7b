package api

import (
	"slices"

	"opaldale/internal/ident"
)

// Verb is the effect of a command on an attempt of a task.
type Verb string

// The verbs that workers know.
const (
	Launch Verb = "launch" // starts it
	Kill   Verb = "kill"   // ends it
	Clear  Verb = "clear"  // forgets it after its end
)

// Command is a command to a worker about an attempt of a task.
type Command struct {
	Verb         Verb          `json:"verb"`
	TaskID       ident.TaskID  `json:"piece"`
	Attempt      ident.Attempt `json:"try"`
	GracePeriodS *float64      `json:"wind_down_s,omitempty"` // of a kill: time to save a checkpoint
}

// CommandRequest is the body of POST /commands. The worker refuses it if it has seen a higher
// token or is in another incarnation.
type CommandRequest struct {
	FencingToken ident.FencingToken `json:"epoch"`
	Incarnation  ident.Incarnation  `json:"tenure"`
	Commands     []Command          `json:"orders"`
}

// ContainsLaunch reports whether any of the commands starts a task.
func ContainsLaunch(commands []Command) bool {
	return slices.ContainsFunc(commands, func(command Command) bool { return command.Verb == Launch })
}

package controller

import (
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// leaderEnv is the world as a leader's tables act on it. What only a leader may do
// carries the time until which leadership is sure and isn't sent after it: between a
// decision and the call that follows from it the process may stand still, or wait for a
// free socket.
type leaderEnv struct {
	Env
	validUntil func() ident.MonotonicTime
}

// Cloud sends a request; machines are rented and returned by a sure leader only.
func (p leaderEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	if r.Op == cloud.Provision || r.Op == cloud.Terminate {
		r.NotAfter = p.validUntil()
	}
	p.Env.Cloud(r, done)
}

// Worker sends a command; tasks are started by a sure leader only. To stop one is safe
// whoever leads.
func (p leaderEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Launches() {
		command.NotAfter = p.validUntil()
	}
	p.Env.Worker(command, done)
}

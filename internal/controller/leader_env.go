package controller

import (
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// leaderEnv is the environment in which a leader's term acts. What only a leader may do carries the time until which
// leadership is certain, and isn't sent after it: between a decision and the call that follows from it the
// process may pause, or wait for a free connection.
type leaderEnv struct {
	Env
	validUntil func() ident.MonotonicTime
}

// Cloud sends a request; only a certain leader may provision and terminate machines.
func (e leaderEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	if r.Op == cloud.Provision || r.Op == cloud.Terminate {
		r.NotAfter = e.validUntil()
	}
	e.Env.Cloud(r, done)
}

// Worker sends commands; only a certain leader may launch tasks. Stopping one is safe whoever leads.
func (e leaderEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Launches() {
		command.NotAfter = e.validUntil()
	}
	e.Env.Worker(command, done)
}

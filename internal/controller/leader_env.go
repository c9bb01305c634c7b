package controller

// This file limits a leader's calls to the validity of its lease.

import (
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// leaderEnv is the Env of a leader's term. It sets the expiry of the leader's lease as the deadline of calls that only a
// leader may make. A call is not sent after its deadline: the process may pause, or wait for a free connection, between the
// decision and the call.
type leaderEnv struct {
	Env
	validUntil func() ident.MonotonicTime // the expiry of the leader's lease
}

// Cloud sends a request. Provisioning and terminating machines require a valid lease.
func (e leaderEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	if r.Op == cloud.Provision || r.Op == cloud.Terminate {
		r.NotAfter = e.validUntil()
	}
	e.Env.Cloud(r, done)
}

// Worker sends commands. Launching a task requires a valid lease; stopping a task is safe without one.
func (e leaderEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Launches() {
		command.NotAfter = e.validUntil()
	}
	e.Env.Worker(command, done)
}

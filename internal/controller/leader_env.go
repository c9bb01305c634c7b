package controller

// This file bounds the calls of a leader by its lease.

import (
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// leaderEnv is the environment of a leader's term. It stamps the calls that only a leader may make with the expiry of the
// leader's lease, after which they are not sent: between a decision and its call the process may pause, or wait for
// a free connection.
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

// Worker sends commands. Launching a task requires a valid lease; stopping one is safe without.
func (e leaderEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Launches() {
		command.NotAfter = e.validUntil()
	}
	e.Env.Worker(command, done)
}

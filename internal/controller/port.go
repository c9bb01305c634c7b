package controller

import (
	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/workers"
)

// leaderPort is the world as a leader's tables act on it. What only a leader may do
// carries the time until which leadership is sure and isn't sent after it: between a
// decision and the call that follows from it the process may stand still, or wait for a
// free socket.
type leaderPort struct {
	Env
	until func() ident.MonotonicTime
}

// Cloud sends a request; machines are rented and returned by a sure leader only.
func (p leaderPort) Cloud(r cloud.Request, f func(cloud.Response)) {
	if r.Op == cloud.Provision || r.Op == cloud.Terminate {
		r.NotAfter = p.until()
	}
	p.Env.Cloud(r, f)
}

// Worker sends a command; tasks are started by a sure leader only. To stop one is safe
// whoever leads.
func (p leaderPort) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	if c.Launches() {
		c.NotAfter = p.until()
	}
	p.Env.Worker(c, f)
}

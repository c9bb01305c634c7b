package linktracker

import (
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// Env is what a node needs of its process.
type Env interface {
	Now() ident.MonotonicTime
	WallMS() int64
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
	Cloud(cloud.Request, func(cloud.Response))
	Worker(workers.CommandCall, func(workers.CommandResult))
	SendPeer(to ident.NodeID, f *transport.Frame)
}

var (
	storeEndpoint = links.Endpoint{Kind: links.KVStore}
	cloudEndpoint = links.Endpoint{Kind: links.Cloud}
	directions    = []links.Direction{links.Inbound, links.Outbound}
)

func peerEndpoint(n ident.NodeID) links.Endpoint {
	return links.Endpoint{Kind: links.PeerNode, Name: string(n)}
}

func machinesEndpoint(zone string) links.Endpoint {
	return links.Endpoint{Kind: links.Machines, Name: zone}
}

// monitoredEnv is an environment in which what is sent and answered is evidence on the links.
type monitoredEnv struct {
	Env
	monitor *links.Monitor
}

// Store sends a request to the store. A watch is no evidence, since it takes long by design.
func (e monitoredEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	if r.Op == kvstore.Watch {
		e.Env.Store(r, done)
		return
	}
	sent := e.Now()
	e.monitor.Sent(storeEndpoint, sent)
	e.Env.Store(r, func(response kvstore.Response) {
		switch {
		case response.Outcome == kvstore.Unavailable:
			e.monitor.AnsweredWithError(storeEndpoint, sent, e.Now())
		case response.Outcome != kvstore.NoAnswer:
			e.monitor.Answered(storeEndpoint, sent, e.Now())
		case response.ConnectionRefused:
			e.monitor.ConnectionRefused(storeEndpoint, e.Now())
		}
		done(response)
	})
}

// Cloud sends a request to the cloud.
func (e monitoredEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	sent := e.Now()
	e.monitor.Sent(cloudEndpoint, sent)
	e.Env.Cloud(r, func(response cloud.Response) {
		switch {
		case response.Outcome == cloud.NotSent:
			e.monitor.Unsent(cloudEndpoint, sent)
		case response.Outcome == cloud.Unavailable:
			e.monitor.AnsweredWithError(cloudEndpoint, sent, e.Now())
		case response.Outcome != cloud.NoAnswer:
			e.monitor.Answered(cloudEndpoint, sent, e.Now())
		case response.ConnectionRefused:
			e.monitor.ConnectionRefused(cloudEndpoint, e.Now())
		}
		done(response)
	})
}

// Worker sends a command to a machine. A refused connection is that machine's fault, not its zone's, and shows
// that the network carries both ways.
func (e monitoredEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Zone == "" {
		e.Env.Worker(command, done)
		return
	}
	zone, sent := machinesEndpoint(command.Zone), e.Now()
	e.monitor.Sent(zone, sent)
	e.Env.Worker(command, func(result workers.CommandResult) {
		switch {
		case result.NotSent:
			e.monitor.Unsent(zone, sent)
		case result.Status != 0 || result.ConnectionRefused:
			e.monitor.Answered(zone, sent, e.Now())
		}
		done(result)
	})
}

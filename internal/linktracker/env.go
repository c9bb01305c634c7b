package linktracker

// This file records the calls of a node as evidence on its links.

import (
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/links"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// Env provides clocks, timers, and calls to the services and nodes that a node depends on.
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

// monitoredEnv wraps an Env and reports calls and their responses to the monitor.
type monitoredEnv struct {
	Env
	monitor *links.Monitor
}

// callOutcome is the outcome of a call to an endpoint, as evidence on the link.
type callOutcome uint8

const (
	callUnanswered callOutcome = iota // nothing is recorded: the monitor itself measures the time since the call
	callNotSent
	callRejected // the endpoint responded that it does not serve this node
	callAnswered
	callRefused // the connection was refused
)

// beginCall records a call to an endpoint, and returns the function that records the outcome of the call.
func (e monitoredEnv) beginCall(endpoint links.Endpoint) func(callOutcome) {
	sent := e.Now()
	e.monitor.Sent(endpoint, sent)
	return func(outcome callOutcome) {
		switch outcome {
		case callNotSent:
			e.monitor.Unsent(endpoint, sent)
		case callRejected:
			e.monitor.RespondedWithError(endpoint, sent, e.Now())
		case callAnswered:
			e.monitor.Responded(endpoint, sent, e.Now())
		case callRefused:
			e.monitor.ConnectionRefused(endpoint, e.Now())
		}
	}
}

// Store sends a request to the store. Watches are not monitored, because they are long polls: the store delays its
// response until a key changes.
func (e monitoredEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	if r.Op == kvstore.Watch {
		e.Env.Store(r, done)
		return
	}
	recordOutcome := e.beginCall(storeEndpoint)
	e.Env.Store(r, func(response kvstore.Response) {
		recordOutcome(storeCallOutcome(response))
		done(response)
	})
}

func storeCallOutcome(response kvstore.Response) callOutcome {
	switch {
	case response.Outcome == kvstore.Unavailable:
		return callRejected
	case response.Outcome != kvstore.NoResponse:
		return callAnswered
	case response.ConnectionRefused:
		return callRefused
	}
	return callUnanswered
}

// Cloud sends a request to the cloud provider.
func (e monitoredEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	recordOutcome := e.beginCall(cloudEndpoint)
	e.Env.Cloud(r, func(response cloud.Response) {
		recordOutcome(cloudCallOutcome(response))
		done(response)
	})
}

func cloudCallOutcome(response cloud.Response) callOutcome {
	switch {
	case response.Outcome == cloud.NotSent:
		return callNotSent
	case response.Outcome == cloud.Unavailable:
		return callRejected
	case response.Outcome != cloud.NoResponse:
		return callAnswered
	case response.ConnectionRefused:
		return callRefused
	}
	return callUnanswered
}

// Worker sends a command to a machine. A refused connection counts as a response: only the machine has failed, while the
// link to its zone works in both directions.
func (e monitoredEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Zone == "" {
		e.Env.Worker(command, done)
		return
	}
	recordOutcome := e.beginCall(machinesEndpoint(command.Zone))
	e.Env.Worker(command, func(result workers.CommandResult) {
		recordOutcome(workerCallOutcome(result))
		done(result)
	})
}

func workerCallOutcome(result workers.CommandResult) callOutcome {
	switch {
	case result.NotSent:
		return callNotSent
	case result.Status != 0 || result.ConnectionRefused:
		return callAnswered
	}
	return callUnanswered
}

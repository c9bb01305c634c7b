package linktracker

// This file observes the calls of a node as evidence on its links.

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

// monitoredEnv wraps an environment, and reports calls and their answers to the monitor.
type monitoredEnv struct {
	Env
	monitor *links.Monitor
}

// callEnd is how a call to an endpoint ended, as evidence on the link.
type callEnd uint8

const (
	callUnanswered callEnd = iota // no evidence: the monitor counts the time since the call itself
	callNotSent
	callRejected // the endpoint responded that it does not serve this node
	callAnswered
	callRefused // the connection was refused
)

// beginCall records a call to an endpoint, and returns the function that records how it ended.
func (e monitoredEnv) beginCall(endpoint links.Endpoint) func(callEnd) {
	sent := e.Now()
	e.monitor.Sent(endpoint, sent)
	return func(end callEnd) {
		switch end {
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

// Store sends a request to the store. Watches are not monitored, since their answers are delayed by design.
func (e monitoredEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	if r.Op == kvstore.Watch {
		e.Env.Store(r, done)
		return
	}
	end := e.beginCall(storeEndpoint)
	e.Env.Store(r, func(response kvstore.Response) {
		end(storeCallEnd(response))
		done(response)
	})
}

func storeCallEnd(response kvstore.Response) callEnd {
	switch {
	case response.Outcome == kvstore.Unavailable:
		return callRejected
	case response.Outcome != kvstore.NoAnswer:
		return callAnswered
	case response.ConnectionRefused:
		return callRefused
	}
	return callUnanswered
}

// Cloud sends a request to the cloud.
func (e monitoredEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	end := e.beginCall(cloudEndpoint)
	e.Env.Cloud(r, func(response cloud.Response) {
		end(cloudCallEnd(response))
		done(response)
	})
}

func cloudCallEnd(response cloud.Response) callEnd {
	switch {
	case response.Outcome == cloud.NotSent:
		return callNotSent
	case response.Outcome == cloud.Unavailable:
		return callRejected
	case response.Outcome != cloud.NoAnswer:
		return callAnswered
	case response.ConnectionRefused:
		return callRefused
	}
	return callUnanswered
}

// Worker sends a command to a machine. A refused connection counts as an answer: it is the machine that has failed, and the
// link to its zone works in both directions.
func (e monitoredEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	if command.Zone == "" {
		e.Env.Worker(command, done)
		return
	}
	end := e.beginCall(machinesEndpoint(command.Zone))
	e.Env.Worker(command, func(result workers.CommandResult) {
		end(workerCallEnd(result))
		done(result)
	})
}

func workerCallEnd(result workers.CommandResult) callEnd {
	switch {
	case result.NotSent:
		return callNotSent
	case result.Status != 0 || result.ConnectionRefused:
		return callAnswered
	}
	return callUnanswered
}

package server

import (
	"net/http"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/httpcall"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

const (
	// commandTimeout bounds a command: a worker responds within milliseconds, or after a lost packet.
	commandTimeout = 1200 * time.Millisecond
	// maxCommandResponseBytes bounds what is read of a worker's response.
	maxCommandResponseBytes = 1 << 20
)

// controllerEnv is the environment of a controller. Calls run on goroutines of their own; their
// responses are handled by the event loop.
type controllerEnv struct{ server *Server }

// Now reads the monotonic clock.
func (e controllerEnv) Now() ident.MonotonicTime { return e.server.loop.now() }

// WallMS reads the wall clock, in milliseconds since 1970.
func (e controllerEnv) WallMS() int64 { return time.Now().UnixMilli() }

// After calls a function on the event loop once a time has passed.
func (e controllerEnv) After(d time.Duration, f func()) { e.server.loop.after(d, f) }

// SendPeer sends a frame to a peer, if it is connected.
func (e controllerEnv) SendPeer(to ident.NodeID, f *transport.Frame) { e.server.transport.Send(to, f) }

// Store sends a request to the key-value store.
func (e controllerEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	callOutside(e.server.loop, func() kvstore.Response { return e.server.store.Do(r) }, done)
}

// Cloud sends a request to the provider, unless it has expired.
func (e controllerEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	callOutside(e.server.loop, func() cloud.Response {
		if e.server.loop.expired(r.NotAfter) {
			return cloud.Response{Outcome: cloud.NotSent}
		}
		return e.server.cloud.Do(r)
	}, done)
}

// Worker sends commands to a worker.
func (e controllerEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	callOutside(e.server.loop, func() workers.CommandResult { return e.server.sendCommand(command) }, done)
}

// callOutside makes a blocking call outside of the event loop, which handles its result.
func callOutside[T any](l *eventLoop, call func() T, done func(T)) {
	go func() {
		result := call()
		l.postUrgent(func() { done(result) })
	}()
}

// sendCommand sends commands to a worker, once one of the slots for commands is free, unless they have
// expired by then.
func (s *Server) sendCommand(command workers.CommandCall) workers.CommandResult {
	s.commandSlots <- struct{}{}
	defer func() { <-s.commandSlots }()
	if s.loop.expired(command.NotAfter) {
		return workers.CommandResult{NotSent: true}
	}
	call := httpcall.Call{
		Method:           http.MethodPost,
		URL:              "http://" + command.Addr + "/commands",
		Body:             command.Body,
		Timeout:          commandTimeout,
		MaxResponseBytes: maxCommandResponseBytes,
	}
	status, body, err := call.Do(s.workerClient)
	if err != nil {
		return workers.CommandResult{ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	heartbeat, err := api.ParseHeartbeat(body)
	if err != nil {
		return workers.CommandResult{}
	}
	return workers.CommandResult{Status: status, Heartbeat: heartbeat}
}

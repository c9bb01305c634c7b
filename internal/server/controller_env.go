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
	// commandTimeout is the maximum time for a command and its response. A worker responds within
	// milliseconds; the timeout allows for one TCP retransmission.
	commandTimeout = 1200 * time.Millisecond
	// maxCommandResponseBytes is the number of bytes after which a worker's response is truncated.
	maxCommandResponseBytes = 1 << 20
)

// controllerEnv implements the environment of a controller. Its methods are called on the event loop.
// Blocking calls run on separate goroutines, and callbacks run on the event loop.
type controllerEnv struct{ server *Server }

// Now returns the reading of the monotonic clock.
func (e controllerEnv) Now() ident.MonotonicTime { return e.server.loop.now() }

// WallMS returns the wall clock time in milliseconds since the Unix epoch.
func (e controllerEnv) WallMS() int64 { return time.Now().UnixMilli() }

// After calls f on the event loop once d has elapsed.
func (e controllerEnv) After(d time.Duration, f func()) { e.server.loop.after(d, f) }

// SendPeer enqueues a frame for a peer. The frame is dropped if the peer is not connected or its queue is full.
func (e controllerEnv) SendPeer(to ident.NodeID, f *transport.Frame) { e.server.transport.Send(to, f) }

// Store sends a request to the key-value store and calls done with the response.
func (e controllerEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	callAsync(e.server.loop, func() kvstore.Response { return e.server.store.Do(r) }, done)
}

// Cloud sends a request to the provider and calls done with the response. It does not send a request
// whose deadline has passed.
func (e controllerEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	callAsync(e.server.loop, func() cloud.Response {
		if e.server.loop.expired(r.NotAfter) {
			return cloud.Response{Outcome: cloud.NotSent}
		}
		return e.server.cloud.Do(r)
	}, done)
}

// Worker sends commands to a worker and calls done with the result.
func (e controllerEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	callAsync(e.server.loop, func() workers.CommandResult { return e.server.sendCommand(command) }, done)
}

// callAsync runs a blocking call on a new goroutine, and then calls done with the result on the event loop.
func callAsync[T any](l *eventLoop, call func() T, done func(T)) {
	go func() {
		result := call()
		l.postUrgent(func() { done(result) })
	}()
}

// sendCommand sends commands to a worker and waits for the response. It waits for a command slot first,
// and does not send commands whose deadline has passed by then.
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

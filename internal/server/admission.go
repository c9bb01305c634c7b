package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/transport"
)

// admission sheds load: it refuses requests while a node is overloaded, the least important kinds
// first, so that the node keeps its leadership and its workers. Its methods may be called from any
// goroutine.
type admission struct {
	heartbeatsInFlight   atomic.Int64
	userRequestsInFlight atomic.Int64
	lag                  func() time.Duration // how long user events wait in the event loop
	// heartbeatLimit is the maximum number of heartbeats in flight, normally the number of inbound
	// connections. Values below minHeartbeatLimit, such as 0, stand for minHeartbeatLimit.
	heartbeatLimit int64
}

// minHeartbeatLimit is the lower bound on admission.heartbeatLimit.
const minHeartbeatLimit = 1200

// admissionLimit is the load up to which a kind of request is admitted.
type admissionLimit struct {
	maxInFlight int64         // exclusive; counts heartbeats, or user requests of all kinds together
	maxLag      time.Duration // of the event loop, inclusive; 0 for no limit
}

// userLimits are the limits of user requests. Worker heartbeats take precedence over cancellations,
// since losing them loses work. Cancellations take precedence over polls, and polls over submissions,
// which are the most expensive and cause further work.
var userLimits = map[transport.Method]admissionLimit{
	transport.CancelJob: {maxInFlight: 800, maxLag: 1500 * time.Millisecond},
	transport.GetJob:    {maxInFlight: 600, maxLag: 700 * time.Millisecond},
	transport.SubmitJob: submitLimit,
}

// submitLimit is the limit of submissions, and the default for kinds without a limit of their own.
var submitLimit = admissionLimit{maxInFlight: 400, maxLag: 400 * time.Millisecond}

// limitFor returns the limit of a kind of request.
func (a *admission) limitFor(method transport.Method) admissionLimit {
	if method == transport.WorkerHeartbeat {
		return admissionLimit{maxInFlight: max(minHeartbeatLimit, a.heartbeatLimit)}
	}
	if limit, ok := userLimits[method]; ok {
		return limit
	}
	return submitLimit
}

// inFlight returns the counter of a kind of request. Heartbeats have a separate one: thousands of them
// wait at the same time during an election.
func (a *admission) inFlight(method transport.Method) *atomic.Int64 {
	if method == transport.WorkerHeartbeat {
		return &a.heartbeatsInFlight
	}
	return &a.userRequestsInFlight
}

// admissible reports whether a request is admitted at present. It does not count the request.
func (a *admission) admissible(method transport.Method) bool {
	limit := a.limitFor(method)
	if a.inFlight(method).Load() >= limit.maxInFlight {
		return false
	}
	return limit.maxLag == 0 || a.lag() <= limit.maxLag
}

// acquire counts a request and returns true if it is admitted. The caller must call release once it has
// responded.
func (a *admission) acquire(method transport.Method) bool {
	if !a.admissible(method) {
		return false
	}
	a.inFlight(method).Add(1)
	return true
}

// release stops counting a request that was admitted by acquire.
func (a *admission) release(method transport.Method) { a.inFlight(method).Add(-1) }

// overloadRetryAfterS is the Retry-After, in seconds, of a request that is not admitted.
const overloadRetryAfterS = 2

// overloadedResponse is the response to a request that is not admitted.
var overloadedResponse = controller.Response{
	Status:      http.StatusServiceUnavailable,
	RetryAfterS: overloadRetryAfterS,
	Body:        api.JSON(api.ErrorResponse{Error: "overloaded"}),
}

package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/transport"
)

// admission refuses requests while a node is overloaded, the least important kinds first, so that the
// node keeps its leadership and its workers.
type admission struct {
	heartbeatsInFlight   atomic.Int64
	userRequestsInFlight atomic.Int64
	lag                  func() time.Duration // of the event loop
	// heartbeatLimit bounds the heartbeats in flight, by the number of connections that the node
	// accepts. minHeartbeatLimit holds where that is less or not set.
	heartbeatLimit int64
}

// minHeartbeatLimit is the least bound on heartbeats in flight.
const minHeartbeatLimit = 1200

// admissionLimit is what a kind of request is admitted up to.
type admissionLimit struct {
	maxInFlight int64         // heartbeats, or requests of users of all kinds
	maxLag      time.Duration // of the event loop; 0 for no limit
}

// userLimits are the limits of users' requests. Heartbeats of workers precede cancellations, since
// losing them loses work; cancellations precede polls, and polls precede submissions, which cost
// most and lead to further work.
var userLimits = map[transport.Method]admissionLimit{
	transport.CancelJob: {maxInFlight: 800, maxLag: 1500 * time.Millisecond},
	transport.GetJob:    {maxInFlight: 600, maxLag: 700 * time.Millisecond},
	transport.SubmitJob: submitLimit,
}

// submitLimit is the limit of submissions, and of kinds that have none of their own.
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

// inFlight returns the counter of a kind of request. Heartbeats have their own: thousands of them wait
// together while a leader is elected.
func (a *admission) inFlight(method transport.Method) *atomic.Int64 {
	if method == transport.WorkerHeartbeat {
		return &a.heartbeatsInFlight
	}
	return &a.userRequestsInFlight
}

// admit says whether a request is admitted now.
func (a *admission) admit(method transport.Method) bool {
	limit := a.limitFor(method)
	if a.inFlight(method).Load() >= limit.maxInFlight {
		return false
	}
	return limit.maxLag == 0 || a.lag() <= limit.maxLag
}

// acquire counts a request if it is admitted; release must be called once it is answered.
func (a *admission) acquire(method transport.Method) bool {
	if !a.admit(method) {
		return false
	}
	a.inFlight(method).Add(1)
	return true
}

// release stops counting a request.
func (a *admission) release(method transport.Method) { a.inFlight(method).Add(-1) }

// overloadRetryAfterS is after how many seconds a request that is not admitted should be repeated.
const overloadRetryAfterS = 2

// overloadedResponse is the response to a request that is not admitted.
var overloadedResponse = controller.Response{
	Status:      http.StatusServiceUnavailable,
	RetryAfterS: overloadRetryAfterS,
	Body:        api.JSON(api.ErrorResponse{Error: "overloaded"}),
}

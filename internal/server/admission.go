package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/transport"
)

// admission is the admission control of a node. While the node is overloaded it rejects requests, those
// of the least important kind first, so that the node can still renew its leader lease and the leases of
// its workers. Its methods may be called from any goroutine.
type admission struct {
	heartbeatsInFlight   atomic.Int64
	userRequestsInFlight atomic.Int64
	lag                  func() time.Duration // returns how long user events wait in the event loop
	// heartbeatLimit is the maximum number of heartbeats in flight, normally the maximum number of
	// inbound connections. If it is below minHeartbeatLimit, minHeartbeatLimit applies.
	heartbeatLimit int64
}

// minHeartbeatLimit is the lower bound on admission.heartbeatLimit.
const minHeartbeatLimit = 1200

// admissionLimit is the maximum load at which a kind of request is admitted.
type admissionLimit struct {
	maxInFlight int64         // exclusive limit on the requests in flight: heartbeats, or user requests of all kinds
	maxLag      time.Duration // inclusive limit on the lag of the event loop; 0: no limit
}

// userLimits are the limits of user requests. Worker heartbeats take precedence over cancellations,
// because a worker whose heartbeats fail loses its lease and its running tasks. Cancellations take
// precedence over polls. Submissions come last: they are the most expensive requests and cause further load.
var userLimits = map[transport.Method]admissionLimit{
	transport.CancelJob: {maxInFlight: 800, maxLag: 1500 * time.Millisecond},
	transport.GetJob:    {maxInFlight: 600, maxLag: 700 * time.Millisecond},
	transport.SubmitJob: submitLimit,
}

// submitLimit is the limit of submissions, and of request kinds that are not in userLimits.
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

// inFlight returns the counter of requests in flight for a kind of request. Heartbeats have a separate
// counter, because thousands of them wait at the same time during an election.
func (a *admission) inFlight(method transport.Method) *atomic.Int64 {
	if method == transport.WorkerHeartbeat {
		return &a.heartbeatsInFlight
	}
	return &a.userRequestsInFlight
}

// admissible reports whether a request would be admitted now. It does not count the request as in flight.
func (a *admission) admissible(method transport.Method) bool {
	limit := a.limitFor(method)
	if a.inFlight(method).Load() >= limit.maxInFlight {
		return false
	}
	return limit.maxLag == 0 || a.lag() <= limit.maxLag
}

// acquire reports whether a request is admitted, and counts an admitted request as in flight. The caller
// must call release after responding to an admitted request.
func (a *admission) acquire(method transport.Method) bool {
	if !a.admissible(method) {
		return false
	}
	a.inFlight(method).Add(1)
	return true
}

// release ends the count of a request that was admitted by acquire.
func (a *admission) release(method transport.Method) { a.inFlight(method).Add(-1) }

// overloadRetryAfterS is the Retry-After header, in seconds, of the response to a rejected request.
const overloadRetryAfterS = 2

// overloadedResponse is the response to a request that admission control rejects.
var overloadedResponse = controller.Response{
	Status:      http.StatusServiceUnavailable,
	RetryAfterS: overloadRetryAfterS,
	Body:        api.JSON(api.ErrorResponse{Error: "overloaded"}),
}

package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/transport"
)

// admission refuses requests of users while a node is overloaded, the least important
// kinds first, so that it keeps its lease and its workers.
type admission struct {
	heartbeatsInFlight   atomic.Int64 // under way
	userRequestsInFlight atomic.Int64 // of users, under way
	lag                  func() time.Duration
	// heartbeatLimit bounds the reports under way, by the connections that a node takes;
	// minHeartbeatLimit where that is less or unknown.
	heartbeatLimit int64
}

// minHeartbeatLimit is the least bound on reports under way.
const minHeartbeatLimit = 1200

// admissionLimit bounds one kind of request.
type admissionLimit struct {
	maxInFlight int64         // that are under way: reports, or users' requests of all kinds
	maxLag      time.Duration // of the loop; 0: refused for none
}

// limitFor returns the bounds for a kind of request. Workers' reports come before
// cancellations, for losing them loses work; those before polls, and polls before
// submissions, which cost most and are only the beginning of more work.
func (a *admission) limitFor(method transport.Method) admissionLimit {
	switch method {
	case transport.WorkerHeartbeat:
		return admissionLimit{maxInFlight: max(minHeartbeatLimit, a.heartbeatLimit)}
	case transport.CancelJob:
		return admissionLimit{maxInFlight: 800, maxLag: 1500 * time.Millisecond}
	case transport.GetJob:
		return admissionLimit{maxInFlight: 600, maxLag: 700 * time.Millisecond}
	default:
		return admissionLimit{maxInFlight: 400, maxLag: 400 * time.Millisecond}
	}
}

// inflight returns the count that a kind of request belongs to. Reports have their own:
// thousands of them wait together while a leader is elected.
func (a *admission) inflight(method transport.Method) *atomic.Int64 {
	if method == transport.WorkerHeartbeat {
		return &a.heartbeatsInFlight
	}
	return &a.userRequestsInFlight
}

// admits says whether a request may begin now.
func (a *admission) admits(method transport.Method) bool {
	l := a.limitFor(method)
	if a.inflight(method).Load() >= l.maxInFlight {
		return false
	}
	return l.maxLag == 0 || a.lag() <= l.maxLag
}

// acquire counts a request that is admitted; end is called when it is answered.
func (a *admission) acquire(method transport.Method) bool {
	if !a.admits(method) {
		return false
	}
	a.inflight(method).Add(1)
	return true
}

func (a *admission) release(method transport.Method) { a.inflight(method).Add(-1) }

// overloadRetryAfterS is when refused clients should come back, in seconds.
const overloadRetryAfterS = 2

// overloadedResponse is the answer to a request that is not admitted.
var overloadedResponse = controller.Response{
	Status:      http.StatusServiceUnavailable,
	RetryAfterS: overloadRetryAfterS,
	Body:        api.JSON(api.ErrorResponse{Error: "overloaded"}),
}

package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/mesh"
)

// admission refuses requests of users while a node is overloaded, the least important
// kinds first, so that it keeps its lease and its workers.
type admission struct {
	reports  atomic.Int64 // under way
	requests atomic.Int64 // of users, under way
	lag      func() time.Duration
	// reportLimit bounds the reports under way, by the connections that a node takes;
	// minReports where that is less or unknown.
	reportLimit int64
}

// minReports is the least bound on reports under way.
const minReports = 1200

// limit bounds one kind of request.
type limit struct {
	inflight int64         // that are under way: reports, or users' requests of all kinds
	lag      time.Duration // of the loop; 0: refused for none
}

// limitOf returns the bounds for a kind of request. Workers' reports come before
// cancellations, for losing them loses work; those before polls, and polls before
// submissions, which cost most and are only the beginning of more work.
func (a *admission) limitOf(v mesh.Verb) limit {
	switch v {
	case mesh.Checkin:
		return limit{inflight: max(minReports, a.reportLimit)}
	case mesh.Cancel:
		return limit{inflight: 800, lag: 1500 * time.Millisecond}
	case mesh.Poll:
		return limit{inflight: 600, lag: 700 * time.Millisecond}
	default:
		return limit{inflight: 400, lag: 400 * time.Millisecond}
	}
}

// inflight returns the count that a kind of request belongs to. Reports have their own:
// thousands of them wait together while a leader is elected.
func (a *admission) inflight(v mesh.Verb) *atomic.Int64 {
	if v == mesh.Checkin {
		return &a.reports
	}
	return &a.requests
}

// admits says whether a request may begin now.
func (a *admission) admits(v mesh.Verb) bool {
	l := a.limitOf(v)
	if a.inflight(v).Load() >= l.inflight {
		return false
	}
	return l.lag == 0 || a.lag() <= l.lag
}

// begin counts a request that is admitted; end is called when it is answered.
func (a *admission) begin(v mesh.Verb) bool {
	if !a.admits(v) {
		return false
	}
	a.inflight(v).Add(1)
	return true
}

func (a *admission) end(v mesh.Verb) { a.inflight(v).Add(-1) }

// overloadRetry is when refused clients should come back, in seconds.
const overloadRetry = 2

// overloaded is the answer to a request that is not admitted.
var overloaded = controller.Reply{
	Status: http.StatusServiceUnavailable,
	Retry:  overloadRetry,
	Body:   api.JSON(api.ErrorResponse{Error: "overloaded"}),
}

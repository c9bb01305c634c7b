package controller

import (
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// Response answers a request of a user or a worker.
type Response struct {
	Status      int
	RetryAfterS int // Retry-After in seconds, 0 for none
	Body        []byte
	// ValidUntil is when the answer may be out of date, by this node's clock; 0: never.
	ValidUntil ident.MonotonicTime
}

// limitValidity bounds an answer's time, if it says that the request was taken.
func (r Response) limitValidity(deadline ident.MonotonicTime) Response {
	if r.Status < http.StatusInternalServerError && (r.ValidUntil == 0 || deadline < r.ValidUntil) {
		r.ValidUntil = deadline
	}
	return r
}

// IfValid returns the answer if it still holds at that time.
func (r Response) IfValid(now ident.MonotonicTime) Response {
	if r.ValidUntil > 0 && now >= r.ValidUntil {
		return unavailable("the answer came too late")
	}
	return r
}

func jsonResponse(status int, v any) Response { return Response{Status: status, Body: api.JSON(v)} }

func errorResponse(status int, text string) Response {
	return jsonResponse(status, api.ErrorResponse{Error: text})
}

// ackResponse is the short answer about a job that is known.
func ackResponse(v api.JobView) Response {
	return jsonResponse(http.StatusOK, api.JobStatus{ID: v.ID, Status: v.Status})
}

// failoverRetryAfterS tells a client when to come back: about the time of a failover.
const failoverRetryAfterS = 1

func unavailable(text string) Response {
	r := errorResponse(http.StatusServiceUnavailable, text)
	r.RetryAfterS = failoverRetryAfterS
	return r
}

package controller

// This file defines the responses to requests, and the reasons for refusals.

import (
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// Response is the response to a request from a user or a worker.
type Response struct {
	Status      int // HTTP status
	RetryAfterS int // value of Retry-After in seconds; 0 means no such header
	Body        []byte
	// ValidUntil is the time, by this node's clock, from which the response may be outdated; 0 means never. The server
	// must call IfValid immediately before it sends the response.
	ValidUntil ident.MonotonicTime
}

// limitValidity returns the response with its validity limited to a deadline. Refusals don't become outdated, and are returned
// unchanged.
func (r Response) limitValidity(deadline ident.MonotonicTime) Response {
	if r.Status < http.StatusInternalServerError && (r.ValidUntil == 0 || deadline < r.ValidUntil) {
		r.ValidUntil = deadline
	}
	return r
}

// IfValid returns the response if it is valid at the given time, and a refusal otherwise.
func (r Response) IfValid(now ident.MonotonicTime) Response {
	if r.ValidUntil > 0 && now >= r.ValidUntil {
		return unavailable(responseExpired)
	}
	return r
}

func jsonResponse(status int, v any) Response { return Response{Status: status, Body: api.JSON(v)} }

func errorResponse(status int, text string) Response {
	return jsonResponse(status, api.ErrorResponse{Error: text})
}

// viewResponse returns the response to a poll.
func viewResponse(v api.JobView) Response { return jsonResponse(http.StatusOK, v) }

// ackResponse returns the short response with the ID and status of a job that exists.
func ackResponse(v api.JobView) Response {
	return jsonResponse(http.StatusOK, api.StatusResponse{ID: v.ID, Status: v.Status})
}

// createdResponse returns the response to the submission that created a job. The job may have been cancelled since.
func createdResponse(v api.JobView) Response {
	if v.Status != api.StatusQueued {
		return ackResponse(v)
	}
	return jsonResponse(http.StatusCreated, api.StatusResponse{ID: v.ID, Status: v.Status})
}

func noSuchJob() Response { return errorResponse(http.StatusNotFound, "no such job") }

// failoverRetryAfterS is the Retry-After of refusals, in seconds.
const failoverRetryAfterS = 1

// refusal is the reason for refusing a request that may succeed later. It is the error text that the client receives.
type refusal string

const (
	noLeader             refusal = "no leader at present"
	leaderTimedOut       refusal = "the leader did not answer"
	noAuthority          refusal = "not entitled to answer"
	storeUnavailable     refusal = "state service unavailable"
	storeTimedOut        refusal = "state service is slow"
	tooManyPolls         refusal = "too many polls at present"
	tooMuchWork          refusal = "too much accepted work at present"
	unreadableJob        refusal = "unreadable job"
	earlierVersionRuns   refusal = "some nodes still run an earlier version"
	earlierVersionMayRun refusal = "some nodes may run an earlier version"
	responseExpired      refusal = "the answer came too late"
	tryAgain             refusal = "try again"
)

// unavailable returns the refusal of a request that may succeed later. Unlike refuse it doesn't count the refusal.
func unavailable(reason refusal) Response {
	r := errorResponse(http.StatusServiceUnavailable, string(reason))
	r.RetryAfterS = failoverRetryAfterS
	return r
}

// refuse answers a request with unavailable, and counts it.
func (c *Controller) refuse(reply func(Response), reason refusal) {
	c.Refused++
	reply(unavailable(reason))
}

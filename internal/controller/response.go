package controller

// This file defines the answers to requests, and the reasons for refusing one.

import (
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// Response is the answer to a request of a user or a worker.
type Response struct {
	Status      int // of HTTP
	RetryAfterS int // Retry-After in seconds, 0 for none
	Body        []byte
	// ValidUntil is when the answer may become outdated, by this node's clock; 0 means never. The server must pass
	// the answer through IfValid immediately before it sends it.
	ValidUntil ident.MonotonicTime
}

// limitValidity bounds the validity of an answer. Refusals don't become outdated, and are returned unchanged.
func (r Response) limitValidity(deadline ident.MonotonicTime) Response {
	if r.Status < http.StatusInternalServerError && (r.ValidUntil == 0 || deadline < r.ValidUntil) {
		r.ValidUntil = deadline
	}
	return r
}

// IfValid returns the answer if it is still valid at a time, and a refusal otherwise.
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

// viewResponse is the answer to a poll.
func viewResponse(v api.JobView) Response { return jsonResponse(http.StatusOK, v) }

// ackResponse is the short answer about a job that is known.
func ackResponse(v api.JobView) Response {
	return jsonResponse(http.StatusOK, api.StatusResponse{ID: v.ID, Status: v.Status})
}

func noSuchJob() Response { return errorResponse(http.StatusNotFound, "no such job") }

// failoverRetryAfterS is the Retry-After of refusals, in seconds.
const failoverRetryAfterS = 1

// refusal is the reason for refusing a request that may succeed later. It is the error text that the client receives.
type refusal string

const (
	noLeader             refusal = "no leader at present"
	leaderSilent         refusal = "the leader did not answer"
	notEntitled          refusal = "not entitled to answer"
	storeUnavailable     refusal = "state service unavailable"
	storeSlow            refusal = "state service is slow"
	tooManyPolls         refusal = "too many polls at present"
	unreadableJob        refusal = "unreadable job"
	earlierVersionRuns   refusal = "some nodes still run an earlier version"
	earlierVersionMayRun refusal = "some nodes may run an earlier version"
	responseExpired      refusal = "the answer came too late"
	tryAgain             refusal = "try again"
)

// unavailable is the answer to a request that may succeed later. Unlike refuse it doesn't count the refusal.
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

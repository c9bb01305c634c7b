package controller

import (
	"net/http"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// Reply answers a request of a user or a worker.
type Reply struct {
	Status int
	Retry  int // Retry-After in seconds, 0 for none
	Body   []byte
	// Until is when the answer may be out of date, by this node's clock; 0: never.
	Until ident.MonotonicTime
}

// within bounds an answer's time, if it says that the request was taken.
func (r Reply) within(at ident.MonotonicTime) Reply {
	if r.Status < http.StatusInternalServerError && (r.Until == 0 || at < r.Until) {
		r.Until = at
	}
	return r
}

// Now returns the answer if it still holds at that time.
func (r Reply) Now(now ident.MonotonicTime) Reply {
	if r.Until > 0 && now >= r.Until {
		return unavailable("the answer came too late")
	}
	return r
}

func answer(status int, v any) Reply { return Reply{Status: status, Body: api.JSON(v)} }

func problem(status int, text string) Reply { return answer(status, api.ErrorResponse{Error: text}) }

// ack is the short answer about a job that is known.
func ack(v api.JobView) Reply {
	return answer(http.StatusOK, api.JobStatus{ID: v.ID, Status: v.Status})
}

// retryAfter tells a client when to come back: about the time of a failover.
const retryAfter = 1

func unavailable(text string) Reply {
	r := problem(http.StatusServiceUnavailable, text)
	r.Retry = retryAfter
	return r
}

package controller

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
)

// tokenBucket bounds the state service requests that polls cause.
type tokenBucket struct {
	tokens, perSecond float64
	refilledAt        ident.MonotonicTime
}

func (b *tokenBucket) allow(now ident.MonotonicTime, n float64) bool {
	b.tokens = min(b.perSecond, b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// pollFromStore answers a poll from the state service. A job only ever moves from live to
// over, so reading in this order can't miss it.
func (c *Controller) pollFromStore(id ident.JobID, reply func(Response)) {
	deadline, unbounded := c.env.Now().Add(2*storeTimeout), reply
	reply = func(r Response) { unbounded(r.limitValidity(deadline)) }
	if !c.pollLimiter.allow(c.env.Now(), 2) {
		c.Refused++
		reply(unavailable("too many polls at present"))
		return
	}
	c.storeGet(jobs.LiveKey(id), reply, func(r kvstore.Response) {
		v, err := jobs.ParseLiveView(r.Value)
		if err != nil {
			slog.Error("unreadable job", "job", string(id), "err", err)
			reply(unavailable("unreadable job"))
			return
		}
		c.rememberIfCancelled(v.ID, v.Status)
		reply(jsonResponse(http.StatusOK, v))
	}, func() { c.pollFinished(id, reply) })
}

// pollFinished answers a poll for a job that is not live.
func (c *Controller) pollFinished(id ident.JobID, reply func(Response)) {
	c.lookUpFinished(id, func(ended jobs.ArchivedJob, found bool, err error) {
		switch {
		case err != nil:
			reply(unavailable("state service unavailable"))
		case !found:
			reply(errorResponse(http.StatusNotFound, "no such job"))
		default:
			c.rememberIfCancelled(id, ended.Phase.Status())
			reply(jsonResponse(http.StatusOK, ended.View(id)))
		}
	})
}

// errStoreUnavailable says that the state service gave no clear answer.
var errStoreUnavailable = errors.New("state service unavailable")

// lookUpFinished looks a job up among those that are over.
func (c *Controller) lookUpFinished(id ident.JobID, done func(ended jobs.ArchivedJob, found bool, err error)) {
	c.env.Store(kvstore.Request{Op: kvstore.Get, Key: jobs.ArchiveKey(id), Timeout: storeTimeout}, func(r kvstore.Response) {
		var ended jobs.ArchivedJob
		switch r.Outcome {
		case kvstore.OK:
			if err := json.Unmarshal(r.Value, &ended); err != nil {
				slog.Error("unreadable job", "id", string(id), "err", err)
				done(ended, false, err)
				return
			}
			done(ended, true, nil)
		case kvstore.NotFound:
			done(ended, false, nil)
		default:
			done(ended, false, errStoreUnavailable)
		}
	})
}

func (c *Controller) storeGet(path string, reply func(Response), found func(kvstore.Response), missing func()) {
	c.env.Store(kvstore.Request{Op: kvstore.Get, Key: path, Timeout: storeTimeout}, func(r kvstore.Response) {
		switch r.Outcome {
		case kvstore.OK:
			found(r)
		case kvstore.NotFound:
			missing()
		default:
			c.Refused++
			reply(unavailable("state service unavailable"))
		}
	})
}

package controller

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/statesvc"
)

// bucket bounds the state service requests that polls cause.
type bucket struct {
	tokens, perSecond float64
	filled            ident.MonotonicTime
}

func (b *bucket) take(now ident.MonotonicTime, n float64) bool {
	b.tokens = min(b.perSecond, b.tokens+b.perSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// read answers a poll from the state service. A job only ever moves from live to
// over, so reading in this order can't miss it.
func (c *Controller) read(job string, reply func(Reply)) {
	id := ident.JobID(job)
	until, later := c.env.Now().Add(2*commitTime), reply
	reply = func(r Reply) { later(r.within(until)) }
	if !c.reads.take(c.env.Now(), 2) {
		c.Refused++
		reply(unavailable("too many polls at present"))
		return
	}
	c.get(jobs.LiveKey(id), reply, func(r statesvc.Response) {
		v, err := jobs.ParseLiveView(r.Value)
		if err != nil {
			slog.Error("unreadable job", "id", job, "err", err)
			reply(unavailable("unreadable job"))
			return
		}
		c.learned(v.ID, v.Status)
		reply(answer(http.StatusOK, v))
	}, func() { c.readOver(id, reply) })
}

// readOver answers a poll for a job that is not live.
func (c *Controller) readOver(id ident.JobID, reply func(Reply)) {
	c.over(id, func(e jobs.ArchivedJob, found bool, err error) {
		switch {
		case err != nil:
			reply(unavailable("state service unavailable"))
		case !found:
			reply(problem(http.StatusNotFound, "no such job"))
		default:
			c.learned(id, e.Phase.String())
			reply(answer(http.StatusOK, e.View(id)))
		}
	})
}

// errState says that the state service gave no clear answer.
var errState = errors.New("state service unavailable")

// over looks a job up among those that are over.
func (c *Controller) over(id ident.JobID, f func(e jobs.ArchivedJob, found bool, err error)) {
	c.env.Store(statesvc.Request{Op: statesvc.Get, Key: jobs.ArchiveKey(id), Timeout: commitTime}, func(r statesvc.Response) {
		var e jobs.ArchivedJob
		switch r.Outcome {
		case statesvc.OK:
			if err := json.Unmarshal(r.Value, &e); err != nil {
				slog.Error("unreadable job", "id", string(id), "err", err)
				f(e, false, err)
				return
			}
			f(e, true, nil)
		case statesvc.NotFound:
			f(e, false, nil)
		default:
			f(e, false, errState)
		}
	})
}

func (c *Controller) get(path string, reply func(Reply), found func(statesvc.Response), missing func()) {
	c.env.Store(statesvc.Request{Op: statesvc.Get, Key: path, Timeout: commitTime}, func(r statesvc.Response) {
		switch r.Outcome {
		case statesvc.OK:
			found(r)
		case statesvc.NotFound:
			missing()
		default:
			c.Refused++
			reply(unavailable("state service unavailable"))
		}
	})
}

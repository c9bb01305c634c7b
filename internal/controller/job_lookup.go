package controller

// This file answers polls from the store, and limits the rate of their reads.

import (
	"encoding/json"
	"errors"
	"log/slog"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
	"opaldale/internal/kvstore"
)

const (
	// pollReads is the largest number of store reads per poll; archiveReads is the number for a job that is known not
	// to be live.
	pollReads    = 2
	archiveReads = 1
)

// tokenBucket limits the rate of store reads for polls. It holds at most the tokens of one second.
type tokenBucket struct {
	tokens, perSecond float64
	refilledAt        ident.MonotonicTime
}

// allow takes n tokens if that many are available, and reports whether it took them.
func (b *tokenBucket) allow(now ident.MonotonicTime, n float64) bool {
	b.tokens = min(b.perSecond, b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// pollFromStore answers a poll from the store. A job moves only from the live jobs to the archive, so reading them in this
// order can't miss it.
func (c *Controller) pollFromStore(id ident.JobID, reply func(Response)) {
	deadline := c.env.Now().Add(pollReads * storeTimeout)
	replyInTime := func(r Response) { reply(r.limitValidity(deadline)) }
	if !c.pollLimiter.allow(c.env.Now(), pollReads) {
		c.refuse(replyInTime, tooManyPolls)
		return
	}
	read := kvstore.Request{Op: kvstore.Get, Key: jobs.LiveKey(id), Timeout: storeTimeout}
	c.env.Store(read, func(r kvstore.Response) {
		switch r.Outcome {
		case kvstore.OK:
			c.replyWithLiveJob(id, r.Value, replyInTime)
		case kvstore.NotFound:
			c.pollFromArchive(id, replyInTime)
		default:
			c.refuse(replyInTime, storeUnavailable)
		}
	})
}

// replyWithLiveJob answers a poll with the record of a live job.
func (c *Controller) replyWithLiveJob(id ident.JobID, record json.RawMessage, reply func(Response)) {
	view, err := jobs.ParseLiveView(record)
	if err != nil {
		slog.Error("unreadable job record in store", "job", string(id), "err", err)
		reply(unavailable(unreadableJob))
		return
	}
	c.rememberIfCancelled(view.ID, view.Status)
	reply(viewResponse(view))
}

// pollFromArchive answers a poll for a job that is not live.
func (c *Controller) pollFromArchive(id ident.JobID, reply func(Response)) {
	c.lookUpArchived(id, func(job jobs.ArchivedJob, found bool, err error) {
		switch {
		case err != nil:
			reply(unavailable(storeUnavailable))
		case !found:
			reply(noSuchJob())
		default:
			c.rememberIfCancelled(id, job.Phase.Status())
			reply(viewResponse(job.View(id)))
		}
	})
}

// errStoreUnavailable is returned for a read that the store did not serve.
var errStoreUnavailable = errors.New(string(storeUnavailable))

// lookUpArchived reads a job from the archive. If found is false and err nil, the job is not in the archive; err is
// errStoreUnavailable if the store did not serve the read.
func (c *Controller) lookUpArchived(id ident.JobID, done func(job jobs.ArchivedJob, found bool, err error)) {
	read := kvstore.Request{Op: kvstore.Get, Key: jobs.ArchiveKey(id), Timeout: storeTimeout}
	c.env.Store(read, func(r kvstore.Response) {
		var job jobs.ArchivedJob
		switch r.Outcome {
		case kvstore.OK:
			if err := decode.JSON(r.Value, &job); err != nil {
				slog.Error("unreadable job record in store", "job", string(id), "err", err)
				done(job, false, err)
				return
			}
			done(job, true, nil)
		case kvstore.NotFound:
			done(job, false, nil)
		default:
			done(job, false, errStoreUnavailable)
		}
	})
}

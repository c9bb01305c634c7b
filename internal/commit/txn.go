package commit

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// send counts a transaction and sends its first copy.
func (c *Committer) send(t *txn) {
	c.inFlightTxns++
	c.Txns++
	c.Puts += uint64(len(t.request.Mutations))
	c.sendCopy(t)
}

// sendCopy sends a copy of a transaction and handles its outcome.
func (c *Committer) sendCopy(t *txn) {
	c.request(t.request, func(response kvstore.Response) {
		switch response.Outcome {
		case kvstore.OK:
			c.setUnavailable(false)
			c.handleCommitted(t, response.StoreRevision)
		case kvstore.Conflict:
			c.setUnavailable(false)
			c.handleConflict(t, response.FailedKeys)
		case kvstore.Invalid:
			c.setUnavailable(false)
			c.handleRejected(t, response.Error)
		case kvstore.RateLimited:
			// This copy was not applied.
			c.limiter.drainTokens()
			c.retry(t, func() { c.sendCopy(t) })
		case kvstore.Unavailable:
			c.handleUnavailable(t)
		case kvstore.NoAnswer:
			t.uncertain = true
			c.handleUnavailable(t)
		default:
			c.failTerm(fmt.Errorf("%w: %v", ErrUnexpectedResponse, response.Outcome))
		}
	})
}

// retry calls f after the delay of a transaction, which doubles each time.
func (c *Committer) retry(t *txn, f func()) {
	c.Retries++
	c.after(t.retryDelay, f)
	t.retryDelay = min(2*t.retryDelay, maxRetryDelay)
}

func (c *Committer) handleUnavailable(t *txn) {
	c.setUnavailable(true)
	if c.OnUnavailable != nil {
		c.OnUnavailable()
	}
	c.retry(t, func() { c.sendCopy(t) })
}

// handleCommitted settles a transaction that was applied. revision is that of the keys it put.
func (c *Committer) handleCommitted(t *txn, revision ident.Revision) {
	c.inFlightTxns--
	c.limiter.rejections = 0
	callbacks := c.markDocumentsDurable(t, revision)
	for _, record := range t.records {
		callbacks = append(callbacks, c.log.markDurable(record, revision)...)
	}
	c.compactLog()
	for _, f := range callbacks {
		f()
	}
	c.Flush()
}

// markDocumentsDurable marks the documents of a transaction as durable, and returns their callbacks.
func (c *Committer) markDocumentsDurable(t *txn, revision ident.Revision) (callbacks []func()) {
	putKeys := make(map[string]bool, len(t.request.Mutations))
	for _, mutation := range t.request.Mutations {
		putKeys[mutation.Put] = true
	}
	for _, d := range t.documents {
		if putKeys[d.Key] {
			d.Revision = revision
			d.LSN = max(d.LSN, d.renderedLSN)
		} else {
			d.Revision = 0
			d.deleted = true
		}
		c.log.slots.releaseCovered(d)
		d.MustNotExist, d.uncertain, d.rejections = nil, false, 0
		callbacks = append(callbacks, d.inFlightCallbacks...)
		d.inFlightCallbacks = nil
		d.transition(committed)
		if d.state == dirty {
			c.enqueue(d)
		}
	}
	return callbacks
}

// compactLog shortens a log that has become long.
func (c *Committer) compactLog() {
	c.log.slots.dropObsolete()
	for _, d := range c.log.format.compact(&c.log, c.limiter.limits.MaxValueBytes) {
		c.MarkDirtyLazily(d, nil)
	}
}

// handleConflict settles a transaction with compares that failed. As long as the leader key is
// unchanged, only this committer has written. So a key of MustNotExist exists, or an earlier copy
// of this very transaction, or a transaction that was given up, has been applied.
func (c *Committer) handleConflict(t *txn, failed []string) {
	if slices.Contains(failed, c.leaderCompare.Key) {
		c.failTerm(ErrAnotherLeader)
		return
	}
	existing, others := partitionByExistence(t.documents, failed)
	switch {
	case len(existing) > 0:
		c.handleExisting(t, existing, others)
	case t.hasUncertainKeys():
		c.refreshRevisions(t, failed)
	case t.uncertain:
		c.recoverRevision(t)
	default:
		c.failTerm(fmt.Errorf("%w on %s", ErrConflict, strings.Join(failed, ", ")))
	}
}

// partitionByExistence separates the documents with a MustNotExist key among the failed ones.
func partitionByExistence(documents []*Document, failed []string) (existing, others []*Document) {
	isFailed := func(key string) bool { return slices.Contains(failed, key) }
	for _, d := range documents {
		if slices.ContainsFunc(d.MustNotExist, isFailed) {
			existing = append(existing, d)
		} else {
			others = append(others, d)
		}
	}
	return existing, others
}

// handleExisting gives up a transaction because of documents with a MustNotExist key that exists.
// No copy of it was applied: one that was would have found these keys absent, and would have
// left them so.
func (c *Committer) handleExisting(t *txn, existing, others []*Document) {
	c.inFlightTxns--
	for _, d := range existing {
		d.discard()
	}
	c.requeue(t, others)
	c.Flush()
}

// requeue gives up a transaction: its records' entries and the given documents wait for another one.
func (c *Committer) requeue(t *txn, documents []*Document) {
	for _, d := range documents {
		d.requeue(t.uncertain)
		c.enqueue(d)
	}
	for _, record := range t.records {
		c.log.requeue(record, t.uncertain)
	}
}

// refreshRevisions reads the revisions of the failed keys, which a transaction that was given up
// has changed after all, and gives this transaction up to write its content again. The content is
// complete and newer. Once it is applied, the earlier transaction can't be any more.
func (c *Committer) refreshRevisions(t *txn, failed []string) {
	if len(failed) == 0 {
		c.inFlightTxns--
		c.requeue(t, t.documents)
		c.scheduleFlush(initialRetryDelay)
		return
	}
	c.readRevision(failed[0], func(revision ident.Revision, outcome kvstore.Outcome) {
		switch outcome {
		case kvstore.OK, kvstore.NotFound:
			t.setRevision(failed[0], revision)
			c.refreshRevisions(t, failed[1:])
		default:
			c.retry(t, func() { c.refreshRevisions(t, failed) })
		}
	})
}

// setRevision sets the revision of a key among the documents and records of a transaction.
func (t *txn) setRevision(key string, revision ident.Revision) {
	for _, d := range t.documents {
		if d.Key == key {
			d.Revision = revision
		}
	}
	for _, record := range t.records {
		if record.slot.key == key {
			record.slot.revision = revision
		}
	}
}

// recoverRevision settles a transaction of which an earlier copy was applied: it reads the revision
// that the copy gave to the keys.
func (c *Committer) recoverRevision(t *txn) {
	key := t.firstPut()
	if key == "" {
		c.handleCommitted(t, 0)
		return
	}
	c.readRevision(key, func(revision ident.Revision, outcome kvstore.Outcome) {
		switch outcome {
		case kvstore.OK:
			c.handleCommitted(t, revision)
		case kvstore.NoAnswer, kvstore.Unavailable, kvstore.RateLimited:
			c.retry(t, func() { c.recoverRevision(t) })
		default:
			c.failTerm(fmt.Errorf("%w: %s", ErrKeyLost, key))
		}
	})
}

// readRevision reads the revision of a key; it is 0 unless the outcome is OK.
func (c *Committer) readRevision(key string, onResponse func(ident.Revision, kvstore.Outcome)) {
	c.request(kvstore.Request{Op: kvstore.Get, Key: key, Timeout: txnTimeout}, func(response kvstore.Response) {
		revision := response.Revision
		if response.Outcome != kvstore.OK {
			revision = 0
		}
		onResponse(revision, response.Outcome)
	})
}

// handleRejected gives up a transaction that the store finds malformed or too large: its limits
// are stricter than known. This copy was not applied. If an earlier one was not answered, its
// keys are uncertain until something newer is written there. The content is written again in
// smaller transactions; a document that is rejected by itself waits longer each time.
func (c *Committer) handleRejected(t *txn, reason string) {
	c.inFlightTxns--
	c.Rejected++
	slog.Error("transaction rejected", "mutations", len(t.request.Mutations), "reason", reason)
	documents := t.documents
	if !c.limiter.reduceLimits(t) && len(documents) > 0 {
		c.postpone(t, documents[0])
		documents = nil
	}
	c.limiter.recordRejection(c.port.Now())
	c.requeue(t, documents)
	c.scheduleFlush(initialRetryDelay)
}

// postpone takes the only document out of a rejected transaction and queues it again later.
func (c *Committer) postpone(t *txn, d *Document) {
	d.requeue(t.uncertain)
	d.rejections++
	c.after(rejectionPause(d.rejections), func() {
		if d.state == dirty {
			c.enqueue(d)
			c.Flush()
		}
	})
}

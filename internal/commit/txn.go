package commit

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// send counts a new transaction and sends it for the first time.
func (c *Committer) send(t *txn) {
	c.inFlightTxns++
	c.Txns++
	c.Puts += uint64(len(t.request.Mutations))
	c.sendCopy(t)
}

// sendCopy sends a transaction, for the first time or as a retry, and handles the outcome.
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
			// The store did not apply this copy.
			c.limiter.drainTokens()
			c.retry(t, func() { c.sendCopy(t) })
		case kvstore.Unavailable:
			c.handleUnavailable(t)
		case kvstore.NoResponse:
			t.uncertain = true
			c.handleUnavailable(t)
		default:
			c.failTerm(fmt.Errorf("%w: %v", ErrUnexpectedResponse, response.Outcome))
		}
	})
}

// retry calls f after the retry delay of a transaction, which doubles with each retry up to maxRetryDelay.
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

// handleCommitted completes a transaction that was applied. revision is the new revision of the keys that the
// transaction put.
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

// markDocumentsDurable records that the documents of a transaction are durable, and returns their callbacks.
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
		callbacks = append(callbacks, d.takeApplied()...)
		if d.state == dirty {
			c.enqueue(d)
		}
	}
	return callbacks
}

// compactLog shortens the log if it has become too long.
func (c *Committer) compactLog() {
	c.log.slots.dropObsolete()
	for _, d := range c.log.format.compact(&c.log, c.limiter.limits.MaxValueBytes) {
		c.MarkDirtyLazily(d, nil)
	}
}

// handleConflict handles a transaction that was not applied because compares failed. If the leader key is
// unchanged, no other leader has written, which leaves three expected causes: a key of MustNotExist exists, an
// earlier copy of this transaction was applied, or an abandoned transaction was applied. Any other conflict
// ends the term.
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
		c.failTerm(fmt.Errorf("%w: %s", ErrConflict, strings.Join(failed, ", ")))
	}
}

// partitionByExistence separates the documents that have a MustNotExist key among the failed keys from the
// others.
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

// handleExisting abandons a transaction because a MustNotExist key of some of its documents exists. It discards
// these documents and sends the others again. No copy of the transaction was applied: a copy could be applied
// only while these keys did not exist, and would not have created them.
func (c *Committer) handleExisting(t *txn, existing, others []*Document) {
	c.inFlightTxns--
	for _, d := range existing {
		d.discard()
	}
	c.requeue(t, others)
	c.Flush()
}

// requeue abandons a transaction, and queues the entries of its records and the given documents for another one.
func (c *Committer) requeue(t *txn, documents []*Document) {
	for _, d := range documents {
		d.markUnsent(t.uncertain)
		c.enqueue(d)
	}
	for _, record := range t.records {
		c.log.requeueEntries(record, t.uncertain)
	}
}

// refreshRevisions handles a conflict with an abandoned transaction that was applied nevertheless. It reads the
// current revisions of the failed keys, abandons this transaction, and queues its content again. That content
// is complete and newer than the content of the earlier transaction. Once it is written, the earlier
// transaction can no longer be applied.
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

// setRevision sets the revision of the document or record with the given key in a transaction.
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

// recoverRevision completes a transaction whose earlier copy was applied. It reads the revision that the copy
// gave to the keys from the store.
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
		case kvstore.NoResponse, kvstore.Unavailable, kvstore.RateLimited:
			c.retry(t, func() { c.recoverRevision(t) })
		default:
			c.failTerm(fmt.Errorf("%w: %s", ErrKeyLost, key))
		}
	})
}

// readRevision reads the revision of a key. The revision is 0 unless the outcome is OK.
func (c *Committer) readRevision(key string, onResponse func(ident.Revision, kvstore.Outcome)) {
	c.request(kvstore.Request{Op: kvstore.Get, Key: key, Timeout: txnTimeout}, func(response kvstore.Response) {
		revision := response.Revision
		if response.Outcome != kvstore.OK {
			revision = 0
		}
		onResponse(revision, response.Outcome)
	})
}

// handleRejected abandons a transaction that the store rejected as malformed or too large, because the limits of
// the store are stricter than the known limits. The store did not apply this copy. If an earlier copy had no
// response, the revisions of its keys are uncertain until newer content is written to them. The content is
// sent again in smaller transactions. If a transaction with a single document is rejected, the document is
// sent again after a pause that increases with each rejection.
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

// postpone queues the only document of a rejected transaction again after a pause.
func (c *Committer) postpone(t *txn, d *Document) {
	d.markUnsent(t.uncertain)
	d.rejections++
	c.after(rejectionPause(d.rejections), func() {
		if d.state == dirty {
			c.enqueue(d)
			c.Flush()
		}
	})
}

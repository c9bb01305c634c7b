package commit

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// txn is one transaction on its way. Its content never changes: a repeat is the
// same transaction, so the stamps it compares let it apply at most once.
type txn struct {
	documents  []*Document
	slots      []*logSlot
	entries    [][]queuedEntry // by slot
	textFormat bool            // records are in the log's own format
	request    kvstore.Request
	uncertain  bool // a copy may have been carried out, or may yet be
	retryDelay time.Duration
}

func (c *Committer) send(t *txn) {
	c.openTxns++
	c.Txns++
	c.Puts += uint64(len(t.request.Mutations))
	c.attempt(t)
}

func (c *Committer) attempt(t *txn) {
	c.port.Store(t.request, func(response kvstore.Response) {
		if c.stopped {
			return
		}
		switch response.Outcome {
		case kvstore.OK:
			c.noteAvailability(true)
			c.handleCommitted(t, response.StoreRevision)
		case kvstore.Conflict:
			c.noteAvailability(true)
			c.handleConflict(t, response.FailedKeys)
		case kvstore.RateLimited:
			// A lower rate than we know of. Nothing was carried out by this copy.
			c.TightenLimits()
			c.rateTokens = 0
			c.retry(t, func() { c.attempt(t) })
		case kvstore.Invalid:
			c.noteAvailability(true)
			c.handleRejected(t, response.Error)
		case kvstore.NoAnswer, kvstore.Unavailable:
			if response.Outcome == kvstore.NoAnswer {
				t.uncertain = true
			}
			c.noteAvailability(false)
			if c.OnUnavailable != nil {
				c.OnUnavailable()
			}
			c.retry(t, func() { c.attempt(t) })
		default:
			c.failTerm(fmt.Errorf("%w: %v", ErrUnexpectedResponse, response.Outcome))
		}
	})
}

// noteAvailability notes whether the service takes transactions.
func (c *Committer) noteAvailability(available bool) {
	if c.unavailable == available {
		slog.Info("state service takes transactions", "yes", available)
	}
	c.unavailable = !available
}

func (c *Committer) retry(t *txn, f func()) {
	c.Retries++
	c.port.After(t.retryDelay, func() {
		if !c.stopped {
			f()
		}
	})
	t.retryDelay = min(2*t.retryDelay, maxRetryDelay)
}

// handleConflict settles a 409. The leader key unchanged means that nobody but us has
// written; then either a key that must be absent was there, or an earlier copy
// of this very transaction was carried out.
func (c *Committer) handleConflict(t *txn, failed []string) {
	isFailed := make(map[string]bool, len(failed))
	for _, key := range failed {
		isFailed[key] = true
	}
	if isFailed[c.leaderCompare.Key] {
		c.failTerm(ErrAnotherLeader)
		return
	}
	var existing, others []*Document
	for _, d := range t.documents {
		exists := false
		for _, key := range d.MustNotExist {
			exists = exists || isFailed[key]
		}
		if exists {
			existing = append(existing, d)
		} else {
			others = append(others, d)
		}
	}
	if len(existing) > 0 {
		// Nothing was carried out, by any copy: a copy carried out would have
		// left the absent keys absent.
		c.openTxns--
		for _, d := range existing {
			d.inFlightCallbacks, d.pendingCallbacks = nil, nil
			d.setState(clean)
			if d.OnExists != nil {
				d.OnExists()
			}
		}
		c.requeue(t, others)
		c.Flush()
		return
	}
	if t.hasUncertainKeys() {
		c.refreshRevisions(t, failed)
		return
	}
	if !t.uncertain {
		c.failTerm(fmt.Errorf("%w on %s", ErrConflict, strings.Join(failed, ", ")))
		return
	}
	c.recoverRevision(t)
}

// detach takes a document out of a transaction that is given up; it waits for another one.
func (t *txn) detach(d *Document) {
	d.pendingCallbacks = append(d.inFlightCallbacks, d.pendingCallbacks...)
	d.inFlightCallbacks = nil
	d.uncertain = d.uncertain || t.uncertain
	d.queuedAs = urgent
	d.setState(dirty)
}

// requeue takes a transaction apart again: documents and lines wait for another one.
func (c *Committer) requeue(t *txn, documents []*Document) {
	for _, d := range documents {
		t.detach(d)
		c.enqueue(d)
	}
	// The lines go into new records; their slots are as they were.
	for i, s := range t.slots {
		delete(c.inFlightLSNs, s.lsn)
		s.uncertain = s.uncertain || t.uncertain
		c.freeSlots = append(c.freeSlots, s)
		for _, l := range t.entries[i] {
			c.Append(l.entry, nil)
			c.entryCallbacks[l.entry] = append(l.callbacks, c.entryCallbacks[l.entry]...)
		}
	}
}

// hasUncertainKeys says whether a transaction that was given up may yet change, or have
// changed, one of this one's keys.
func (t *txn) hasUncertainKeys() bool {
	for _, d := range t.documents {
		if d.uncertain {
			return true
		}
	}
	for _, s := range t.slots {
		if s.uncertain {
			return true
		}
	}
	return false
}

// refreshRevisions learns the stamps of keys that a transaction which was given up has changed
// after all, and writes anew: what is written is absolute, and newer. Once it is
// carried out, that transaction can't be any more.
func (c *Committer) refreshRevisions(t *txn, failed []string) {
	if len(failed) == 0 {
		c.openTxns--
		c.requeue(t, t.documents)
		c.scheduleFlush(initialRetryDelay)
		return
	}
	key := failed[0]
	c.port.Store(kvstore.Request{Op: kvstore.Get, Key: key, Timeout: txnTimeout}, func(response kvstore.Response) {
		var revision ident.Revision
		switch {
		case c.stopped:
			return
		case response.Outcome == kvstore.OK:
			revision = response.Revision
		case response.Outcome != kvstore.NotFound:
			c.retry(t, func() { c.refreshRevisions(t, failed) })
			return
		}
		for _, d := range t.documents {
			if d.Key == key {
				d.Revision = revision
			}
		}
		for _, s := range t.slots {
			if s.key == key {
				s.revision = revision
			}
		}
		c.refreshRevisions(t, failed[1:])
	})
}

// handleRejected settles a 400: the limits are lower than we know of. This copy was not
// carried out; of an earlier one without an answer nobody knows, so its keys are in
// doubt until something newer is written there. All is written anew, in smaller
// pieces; what is refused by itself waits longer each time.
func (c *Committer) handleRejected(t *txn, reason string) {
	c.openTxns--
	c.Rejected++
	slog.Error("the state service refuses a transaction", "changes", len(t.request.Mutations), "why", reason)
	documents := t.documents
	switch {
	case c.TightenLimits():
	case len(t.documents)+len(t.slots) > 1:
		c.limits.MutationsPerTxn = max(1, len(t.request.Mutations)/2)
	case len(t.slots) > 0 && c.limits.MaxValueBytes > minValueBytes:
		c.limits.MaxValueBytes = max(minValueBytes, c.limits.MaxValueBytes/2)
	case len(t.documents) > 0:
		d := t.documents[0]
		documents = nil
		t.detach(d)
		d.rejections = min(d.rejections+1, 10)
		c.port.After(min(time.Second<<d.rejections, maxRejectionPause), func() {
			if !c.stopped && d.state == dirty {
				c.enqueue(d)
				c.Flush()
			}
		})
	}
	if c.consecutiveRejections++; c.consecutiveRejections > maxImmediateRejections {
		c.pausedUntil = c.port.Now().Add(min(time.Second<<min(c.consecutiveRejections-maxImmediateRejections, 10), maxRejectionPause))
	}
	c.requeue(t, documents)
	c.scheduleFlush(initialRetryDelay)
}

// recoverRevision reads the stamp that an earlier copy of the transaction left.
func (c *Committer) recoverRevision(t *txn) {
	key := ""
	for _, mutation := range t.request.Mutations {
		if mutation.Put != "" {
			key = mutation.Put
			break
		}
	}
	if key == "" {
		c.handleCommitted(t, 0)
		return
	}
	c.port.Store(kvstore.Request{Op: kvstore.Get, Key: key, Timeout: txnTimeout}, func(response kvstore.Response) {
		switch {
		case c.stopped:
		case response.Outcome == kvstore.OK:
			c.handleCommitted(t, response.Revision)
		case response.Outcome == kvstore.NoAnswer || response.Outcome == kvstore.Unavailable || response.Outcome == kvstore.RateLimited:
			c.retry(t, func() { c.recoverRevision(t) })
		default:
			c.failTerm(fmt.Errorf("%w: %s", ErrKeyLost, key))
		}
	})
}

func (c *Committer) handleCommitted(t *txn, revision ident.Revision) {
	c.openTxns--
	c.consecutiveRejections = 0
	putKeys := make(map[string]bool, len(t.request.Mutations))
	for _, mutation := range t.request.Mutations {
		putKeys[mutation.Put] = true
	}
	var callbacks []func()
	for _, d := range t.documents {
		d.Revision = 0
		if putKeys[d.Key] {
			d.Revision = revision
			d.LSN = max(d.LSN, d.renderedLSN)
		} else {
			d.deleted = true
		}
		c.releaseCovered(d)
		d.MustNotExist, d.uncertain, d.rejections = nil, false, 0
		callbacks = append(callbacks, d.inFlightCallbacks...)
		d.inFlightCallbacks = nil
		if d.state == inFlightDirty {
			d.setState(dirty)
			c.enqueue(d)
		} else {
			d.setState(clean)
		}
	}
	for i, s := range t.slots {
		s.revision, s.uncertain = revision, false
		delete(c.inFlightLSNs, s.lsn)
		var documents []*Document
		var entries []Entry
		for _, l := range t.entries[i] {
			callbacks = append(callbacks, l.callbacks...)
			if t.textFormat {
				entries = append(entries, l.entry)
			} else {
				documents = append(documents, l.entry.Document())
			}
		}
		if t.textFormat {
			c.pinEntries(s, entries)
		} else {
			c.pinDocuments(s, documents)
		}
	}
	c.compactLog()
	for _, f := range callbacks {
		f()
	}
	c.Flush()
}

// failTerm ends the term: what memory holds may differ from the truth.
func (c *Committer) failTerm(err error) {
	slog.Error("term lost", "err", err)
	c.stopped = true
	c.onTermLost(err)
}

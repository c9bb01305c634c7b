// Package commit writes the leader's documents to the key-value store: grouped into
// transactions, within the limits of the store, and each change at most once, although
// transactions may be repeated, delayed or lost.
//
// Small and frequent changes are written to a log instead of to their documents: a record of
// the log holds changes of many documents in one put. The slot of a record, its key, is reused
// once the record is obsolete. Which records are obsolete depends on the format of the log:
//
//   - In the JSON format, a record is obsolete when each document with a change in it has been
//     put as a whole, or deleted, since.
//   - In the text format, a record is obsolete when each of its entries has a newer line in
//     another record. Lines of the oldest records are written again when the log becomes long.
package commit

import (
	"errors"
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// Port is the environment of a committer. Its callbacks run in the event loop that calls the
// committer.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

const (
	maxInFlightTxns       = 3 // transactions whose outcome is open
	lazyRecheckInterval   = 100 * time.Millisecond
	initialRetryDelay     = 100 * time.Millisecond
	maxRetryDelay         = time.Second
	txnTimeout            = 1500 * time.Millisecond
	maxTxnBytes           = 48 << 10 // of a transaction, below the 64 KiB that the store takes
	mutationOverheadBytes = 200      // bytes of a mutation beside its value
)

// The errors for which a committer ends its term. Each means that the content in memory may differ
// from the stored one.
var (
	// ErrAnotherLeader means that the leader key has changed.
	ErrAnotherLeader = errors.New("another leader")
	// ErrConflict means that a key has a revision that no write of this leader gave it.
	ErrConflict = errors.New("unexpected conflict")
	// ErrKeyLost means that a key that the leader has put does not exist.
	ErrKeyLost = errors.New("key lost")
	// ErrUnexpectedResponse means that the store gave an answer that does not belong to the request.
	ErrUnexpectedResponse = errors.New("unexpected response of the store")
)

// lifecycle is the state of a committer. It only moves forward.
type lifecycle uint8

const (
	running   lifecycle = iota
	quiescing           // open transactions are settled, no others are sent
	stopped             // nothing is sent, and responses are dropped
)

// Counters count what a committer has sent.
type Counters struct {
	Txns     uint64 // transactions, each counted once however often it is sent
	Puts     uint64 // mutations of these transactions
	Retries  uint64 // requests that were sent again
	Rejected uint64 // transactions that the store found malformed or too large
}

// Committer is the only writer of the leader's keys, for one term. It is not safe for concurrent use:
// all calls come from the node's event loop.
type Committer struct {
	Counters

	// OnUnavailable is called whenever the store is unavailable for a transaction or does not answer.
	// It may be nil.
	OnUnavailable func()

	port          Port
	leaderCompare kvstore.Compare // holds as long as this node is the leader
	onTermLost    func(error)

	lifecycle      lifecycle
	unavailable    bool // the store was unavailable or did not answer at the last transaction
	limiter        limiter
	log            changeLog
	urgentQueue    []*Document
	lazyQueue      []*Document
	inFlightTxns   int
	flushScheduled bool
}

// New makes the committer of a term. onTermLost is called at most once, with one of the errors
// above; the committer has stopped by then.
func New(port Port, limits Limits, leaderCompare kvstore.Compare, onTermLost func(error)) *Committer {
	return &Committer{
		port:          port,
		leaderCompare: leaderCompare,
		onTermLost:    onTermLost,
		limiter:       newLimiter(limits, port.Now()),
		log:           newChangeLog(port.Now()),
	}
}

// ExpectLimits sets the limits that the store may introduce without notice.
func (c *Committer) ExpectLimits(l Limits) { c.limiter.expected = c.limiter.limits.Min(l) }

// UseTextFormat switches the log to the text format, and puts the expected limits into force for all
// content.
func (c *Committer) UseTextFormat() {
	c.log.format = textFormat{}
	c.limiter.applyExpectedLimits()
}

// HasSpareCapacity reports whether nothing urgent is queued and content that is not urgent may be
// sent now.
func (c *Committer) HasSpareCapacity() bool {
	return len(c.urgentQueue)+len(c.log.pending) == 0 && c.limiter.hasSpareTokens()
}

// Quiesce ends the sending of transactions; the open ones are still settled.
func (c *Committer) Quiesce() { c.advance(quiescing) }

// Drained reports whether no transaction is open.
func (c *Committer) Drained() bool { return c.inFlightTxns == 0 }

// Stop ends the committer. No callback is called after that.
func (c *Committer) Stop() { c.advance(stopped) }

// advance changes the state of the committer, unless it is in a later one.
func (c *Committer) advance(to lifecycle) { c.lifecycle = max(c.lifecycle, to) }

// failTerm stops the committer and ends the term.
func (c *Committer) failTerm(err error) {
	slog.Error("term lost", "err", err)
	c.advance(stopped)
	c.onTermLost(err)
}

// StoreUnavailable reports whether the store was unavailable or did not answer at the last transaction.
func (c *Committer) StoreUnavailable() bool { return c.unavailable }

func (c *Committer) setUnavailable(unavailable bool) {
	if c.unavailable != unavailable {
		slog.Info("key-value store availability changed", "available", !unavailable)
	}
	c.unavailable = unavailable
}

// Backlog returns the number of urgent documents that wait for a transaction.
func (c *Committer) Backlog() int { return len(c.urgentQueue) }

// Flush sends what is queued, as far as the limits allow.
func (c *Committer) Flush() {
	for c.lifecycle == running && c.inFlightTxns < maxInFlightTxns {
		wait, queued := c.timeToNextTxn(c.port.Now())
		if wait > 0 {
			c.scheduleFlush(wait)
			return
		}
		if !queued {
			return
		}
		t := c.buildTxn()
		if t == nil {
			return
		}
		c.limiter.spend(len(t.request.Mutations))
		c.send(t)
	}
}

// timeToNextTxn returns how long to wait before a transaction may be sent, and whether anything
// is queued for one.
func (c *Committer) timeToNextTxn(now ident.MonotonicTime) (wait time.Duration, queued bool) {
	if now < c.limiter.pausedUntil {
		return c.limiter.pausedUntil.Sub(now), true
	}
	c.limiter.refill(now)
	switch {
	case len(c.urgentQueue) > 0:
	case len(c.log.pending) > 0:
		wait = c.log.timeToNextRecord(now, c.limiter.limits.MutationsPerSecond)
	case len(c.lazyQueue) == 0:
		return 0, false
	case !c.limiter.hasSpareTokens():
		wait = lazyRecheckInterval
	}
	if wait <= 0 && !c.limiter.allowsTxn() {
		wait = tokenRefillWait
	}
	return wait, true
}

// scheduleFlush calls Flush after d, unless a call is scheduled already.
func (c *Committer) scheduleFlush(d time.Duration) {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	c.after(d, func() {
		c.flushScheduled = false
		c.Flush()
	})
}

// after calls f after d, unless the committer has stopped by then.
func (c *Committer) after(d time.Duration, f func()) {
	c.port.After(d, func() {
		if c.lifecycle != stopped {
			f()
		}
	})
}

// request sends a request; its response is dropped if the committer has stopped by then.
func (c *Committer) request(r kvstore.Request, onResponse func(kvstore.Response)) {
	c.port.Store(r, func(response kvstore.Response) {
		if c.lifecycle != stopped {
			onResponse(response)
		}
	})
}

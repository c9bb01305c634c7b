// Package commit writes the leader's documents to the key-value store. It groups writes into
// compare-and-swap transactions within the limits of the store, and applies each change at most once,
// although transactions may be retried, delayed or lost.
//
// Small and frequent changes are written to a log instead of to their documents: one record of the log
// holds changes of many documents. Each record is stored under a key, its slot, which is reused once the
// record is obsolete. Whether a record is obsolete depends on the format of the log:
//
//   - In the JSON format, which belongs to the legacy format of the store, a record is obsolete when
//     every document with a change in the record has been put or deleted since.
//   - In the text format, which belongs to the packed format, a record is obsolete when every entry in
//     the record has a newer line in another record. If the log becomes too long, the lines of its
//     oldest records are written again.
package commit

import (
	"errors"
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// Port gives a Committer access to the clock, to timers and to the key-value store. Callbacks run in the event
// loop that calls the Committer.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

const (
	maxInFlightTxns       = 3 // transactions whose outcome is not known yet
	lazyRecheckInterval   = 100 * time.Millisecond
	initialRetryDelay     = 100 * time.Millisecond
	maxRetryDelay         = time.Second
	txnTimeout            = 1500 * time.Millisecond
	maxTxnBytes           = 48 << 10 // estimated size of a transaction, below the store's limit of 64 KiB
	mutationOverheadBytes = 200      // estimated size of a mutation without its value
)

// The errors for which a Committer ends the term. After each of them the content in memory may differ from the
// stored content.
var (
	// ErrAnotherLeader means that the leader key has changed.
	ErrAnotherLeader = errors.New("leader key changed, another node may lead")
	// ErrConflict means that a key has a revision that was not set by a write of this leader.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrKeyLost means that a key that this leader has put does not exist.
	ErrKeyLost = errors.New("key written by this leader does not exist")
	// ErrUnexpectedResponse means that the store sent an outcome that is not valid for the request.
	ErrUnexpectedResponse = errors.New("unexpected outcome of a key-value store transaction")
)

// lifecycle is the state of a Committer. It never returns to an earlier state.
type lifecycle uint8

const (
	running   lifecycle = iota
	quiescing           // in-flight transactions are completed, no new ones are sent
	stopped             // nothing is sent, and responses are ignored
)

// Counters count the transactions and requests of a Committer.
type Counters struct {
	Txns     uint64 // transactions, each counted once regardless of retries
	Puts     uint64 // mutations of these transactions
	Retries  uint64 // retried requests
	Rejected uint64 // transactions that the store rejected as malformed or too large
}

// Committer writes the leader's keys during one term. No other component writes them. A Committer is not safe
// for concurrent use: all calls must come from the event loop of the node.
type Committer struct {
	Counters

	// OnUnavailable is called each time the store is unavailable or does not respond to a transaction.
	// It may be nil.
	OnUnavailable func()

	port          Port
	leaderCompare kvstore.Compare // holds while this node holds the leader key
	onTermLost    func(error)

	lifecycle      lifecycle
	unavailable    bool // the store was unavailable or did not respond to the last transaction
	limiter        limiter
	log            changeLog
	urgentQueue    []*Document
	lazyQueue      []*Document
	inFlightTxns   int
	flushScheduled bool
}

// New returns the Committer of a term. When a transaction fails with one of the errors above, the Committer
// stops and then calls onTermLost with that error. It calls onTermLost at most once.
func New(port Port, limits Limits, leaderCompare kvstore.Compare, onTermLost func(error)) *Committer {
	return &Committer{
		port:          port,
		leaderCompare: leaderCompare,
		onTermLost:    onTermLost,
		limiter:       newLimiter(limits, port.Now()),
		log:           newChangeLog(port.Now()),
	}
}

// ExpectLimits sets stricter limits that the store may start to enforce without notice. The Committer applies
// them after the first rejected or rate-limited transaction, or with UseTextFormat.
func (c *Committer) ExpectLimits(l Limits) { c.limiter.expected = c.limiter.limits.Min(l) }

// UseTextFormat switches the log to the text format, and applies the expected limits to all further
// transactions.
func (c *Committer) UseTextFormat() {
	c.log.format = textFormat{}
	c.limiter.applyExpectedLimits()
}

// HasSpareCapacity reports whether nothing urgent is queued and the rate limit leaves capacity for lazy
// documents.
func (c *Committer) HasSpareCapacity() bool {
	return len(c.urgentQueue)+len(c.log.pending) == 0 && c.limiter.hasSpareTokens()
}

// Quiesce stops sending new transactions. In-flight transactions are still retried and completed.
func (c *Committer) Quiesce() { c.advance(quiescing) }

// Drained reports whether no transaction is in flight.
func (c *Committer) Drained() bool { return c.inFlightTxns == 0 }

// Stop stops the Committer. It calls no callbacks after that.
func (c *Committer) Stop() { c.advance(stopped) }

// advance moves the Committer to a state, unless it is already in a later state.
func (c *Committer) advance(to lifecycle) { c.lifecycle = max(c.lifecycle, to) }

// failTerm stops the Committer and reports the end of the term.
func (c *Committer) failTerm(err error) {
	slog.Error("committer stopped, term must end", "err", err)
	c.advance(stopped)
	c.onTermLost(err)
}

// StoreUnavailable reports whether the store was unavailable or did not respond to the last transaction.
func (c *Committer) StoreUnavailable() bool { return c.unavailable }

func (c *Committer) setUnavailable(unavailable bool) {
	if c.unavailable != unavailable {
		slog.Info("key-value store availability changed", "available", !unavailable)
	}
	c.unavailable = unavailable
}

// Backlog returns the number of queued urgent documents.
func (c *Committer) Backlog() int { return len(c.urgentQueue) }

// Flush sends queued documents and log entries within the limits. If a limit is reached, it schedules another
// call.
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

// timeToNextTxn returns how long to wait before the next transaction may be sent. queued is false if there is
// nothing to send; while sending is paused it is always true.
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

// scheduleFlush calls Flush after d, unless a call is already scheduled.
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

// after calls f after d, unless the Committer has been stopped by then.
func (c *Committer) after(d time.Duration, f func()) {
	c.port.After(d, func() {
		if c.lifecycle != stopped {
			f()
		}
	})
}

// request sends a request. It ignores the response if the Committer has been stopped by then.
func (c *Committer) request(r kvstore.Request, onResponse func(kvstore.Response)) {
	c.port.Store(r, func(response kvstore.Response) {
		if c.lifecycle != stopped {
			onResponse(response)
		}
	})
}

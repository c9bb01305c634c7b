// Package commit writes the leader's documents to the state service: in groups,
// within its limits, and each change at most once however often a transaction is
// repeated, late or lost.
//
// Small and frequent changes go to a log instead of their documents: a record of
// the log holds the changes of many documents in one put. Its slot is used again
// when all of them have been put as a whole, or deleted, since. In the log's own
// format (Pack) a record holds lines of text, and its slot is used again when each
// entry has a newer line; a log that has become long writes such lines once more.
package commit

import (
	"errors"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// Port is what the committer needs of the world.
type Port interface {
	Now() ident.MonotonicTime
	After(time.Duration, func())
	Store(kvstore.Request, func(kvstore.Response))
}

// Limits are those of the state service, already reduced by what other requests
// need.
type Limits struct {
	MutationsPerTxn    int     // puts and deletes in a transaction
	MutationsPerSecond float64 // puts and deletes a second
	MaxValueBytes      int     // of a value
}

// Min returns the smaller of both for each.
func (l Limits) Min(other Limits) Limits {
	return Limits{MutationsPerTxn: min(l.MutationsPerTxn, other.MutationsPerTxn), MutationsPerSecond: min(l.MutationsPerSecond, other.MutationsPerSecond), MaxValueBytes: min(l.MaxValueBytes, other.MaxValueBytes)}
}

const (
	maxOpenTxns         = 3       // transactions whose outcome is open
	maxRecordsPerTxn    = 2       // records of the log in a transaction
	jsonLogShare        = 0.25    // part of the puts that records may take
	textLogShare        = 0.5     // and in the log's own format: jobs' own keys are then put only as they come and go
	compactAfterRecords = 200     // records kept before documents are put to free them
	compactAfterBytes   = 2 << 20 // or so much of them, in the log's own format
	estimatedLineBytes  = 24      // bytes of such a line
	minValueBytes       = 256     // a record is not made smaller than that, whatever the service says
	// maxImmediateRejections is how many refusals in a row are answered at once with smaller pieces,
	// and maxRejectionPause how long the pauses between more of them become.
	maxImmediateRejections = 20
	maxRejectionPause      = time.Minute
	maxTxnBytes            = 48 << 10 // of a transaction, below the service's 64 KiB
	mutationOverheadBytes  = 200      // bytes around a value
	initialRetryDelay      = 100 * time.Millisecond
	maxRetryDelay          = time.Second
	txnTimeout             = 1500 * time.Millisecond
)

// Committer is the leader's only way to write. It lives for one term.
type Committer struct {
	port           Port
	limits         Limits
	expectedLimits Limits          // what the service may come to
	textFormat     bool            // the log is in its own format
	leaderCompare  kvstore.Compare // holds as long as we are the leader
	onTermLost     func(error)

	urgentQueue           []*Document // urgent
	lazyQueue             []*Document
	openTxns              int
	rateTokens            float64
	refilledAt            ident.MonotonicTime
	flushScheduled        bool
	consecutiveRejections int                 // transactions refused in a row
	pausedUntil           ident.MonotonicTime // nothing is sent earlier
	stopped               bool
	quiesced              bool // nothing new is sent
	unavailable           bool // the service refused or did not answer last time

	pendingEntries []Entry             // changed, not yet in a record
	entryCallbacks map[Entry][]func()  // to call when they are durable
	lastLSN        uint64              // of the newest record
	inFlightLSNs   map[uint64]bool     // records under way
	lastRecordAt   ident.MonotonicTime // when it was built
	slotCount      int                 // keys of the log ever used
	freeSlots      []*logSlot
	usedSlots      []*logSlot // durable, oldest first, some of them free again
	liveSlots      int        // those of them that are not
	pinnedEntries  int        // entries that hold one

	// OnUnavailable is called when the service doesn't take a transaction.
	OnUnavailable func()

	Txns, Puts, Retries, LogRecords, Rejected uint64
}

// The reasons for which a committer ends its term. Each means that the content in memory may
// differ from the stored one.
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

// New makes the committer of a term. onTermLost is called at most once, with one of the errors
// above; the committer has stopped by then.
func New(port Port, limits Limits, leaderCompare kvstore.Compare, onTermLost func(error)) *Committer {
	return &Committer{port: port, limits: limits, expectedLimits: limits, leaderCompare: leaderCompare, onTermLost: onTermLost,
		rateTokens: limits.MutationsPerSecond, refilledAt: port.Now(), lastRecordAt: port.Now().Add(-time.Hour), entryCallbacks: map[Entry][]func(){}, inFlightLSNs: map[uint64]bool{}}
}

// ExpectLimits tells to which limits the service may come without notice.
func (c *Committer) ExpectLimits(l Limits) { c.expectedLimits = c.limits.Min(l) }

// TightenLimits keeps within those limits from now on, and says whether that is less.
func (c *Committer) TightenLimits() bool {
	before := c.limits
	c.limits = c.limits.Min(c.expectedLimits)
	c.rateTokens = min(c.rateTokens, c.limits.MutationsPerSecond)
	return c.limits != before
}

// UseTextFormat has the log written in its own format from now on, within the tight limits.
func (c *Committer) UseTextFormat() {
	c.textFormat = true
	c.TightenLimits()
}

// HasSpareCapacity says whether there are puts left for what may wait.
func (c *Committer) HasSpareCapacity() bool {
	return len(c.urgentQueue)+len(c.pendingEntries) == 0 && c.hasSpareTokens()
}

// Quiesce has nothing new sent from now on; what is under way is still settled.
func (c *Committer) Quiesce() { c.quiesced = true }

// Drained says whether no transaction is under way.
func (c *Committer) Drained() bool { return c.openTxns == 0 }

// Stop ends the committer; nothing of it is called any more.
func (c *Committer) Stop() { c.stopped = true }

// StoreUnavailable says whether the service did not take the last transaction.
func (c *Committer) StoreUnavailable() bool { return c.unavailable }

// Backlog is the number of urgent documents not yet carried out.
func (c *Committer) Backlog() int { return len(c.urgentQueue) }

// Flush sends what is queued, as far as the limits allow.
func (c *Committer) Flush() {
	for !c.stopped && !c.quiesced && c.openTxns < maxOpenTxns {
		now := c.port.Now()
		if now < c.pausedUntil {
			c.scheduleFlush(c.pausedUntil.Sub(now))
			return
		}
		c.rateTokens = min(c.limits.MutationsPerSecond, c.rateTokens+c.limits.MutationsPerSecond*now.Sub(c.refilledAt).Seconds())
		c.refilledAt = now
		due, wait := c.due(now)
		if !due {
			if wait > 0 {
				c.scheduleFlush(wait)
			}
			return
		}
		if c.rateTokens < float64(min(c.limits.MutationsPerTxn, 4)) {
			c.scheduleFlush(50 * time.Millisecond)
			return
		}
		t := c.buildTxn()
		if t == nil {
			return
		}
		c.rateTokens -= float64(len(t.request.Mutations))
		c.send(t)
	}
}

// due says whether a transaction should be sent now, else when to look again.
func (c *Committer) due(now ident.MonotonicTime) (bool, time.Duration) {
	if len(c.urgentQueue) > 0 {
		return true, 0
	}
	if len(c.pendingEntries) > 0 {
		// Records are paced, so that puts are left for documents; what comes
		// meanwhile goes into the same one.
		share := jsonLogShare
		if c.textFormat {
			share = textLogShare
		}
		interval := time.Duration(float64(time.Second) / (share * c.limits.MutationsPerSecond))
		wait := c.lastRecordAt.Add(interval).Sub(now)
		return wait <= 0, wait
	}
	if len(c.lazyQueue) > 0 {
		return c.hasSpareTokens(), 100 * time.Millisecond
	}
	return false, 0
}

// hasSpareTokens says whether there are puts left for what may wait.
func (c *Committer) hasSpareTokens() bool { return c.rateTokens > c.limits.MutationsPerSecond/2 }

// scheduleFlush flushes again later.
func (c *Committer) scheduleFlush(d time.Duration) {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	c.port.After(d, func() {
		c.flushScheduled = false
		c.Flush()
	})
}

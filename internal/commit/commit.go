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
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// Port is what the committer needs of the world.
type Port interface {
	Now() ident.Mono
	After(time.Duration, func())
	State(statesvc.Request, func(statesvc.Reply))
}

// Limits are those of the state service, already reduced by what other requests
// need.
type Limits struct {
	Ops        int     // puts and deletes in a transaction
	PerSecond  float64 // puts and deletes a second
	ValueBytes int     // of a value
}

// Within returns the smaller of both for each.
func (l Limits) Within(o Limits) Limits {
	return Limits{Ops: min(l.Ops, o.Ops), PerSecond: min(l.PerSecond, o.PerSecond), ValueBytes: min(l.ValueBytes, o.ValueBytes)}
}

const (
	maxOpen   = 3       // transactions whose outcome is open
	maxLog    = 2       // records of the log in a transaction
	logShare  = 0.25    // part of the puts that records may take
	textShare = 0.5     // and in the log's own format: jobs' own keys are then put only as they come and go
	logLength = 200     // records kept before documents are put to free them
	logBytes  = 2 << 20 // or so much of them, in the log's own format
	lineGuess = 24      // bytes of such a line
	minValue  = 256     // a record is not made smaller than that, whatever the service says
	// maxStrikes is how many refusals in a row are answered at once with smaller pieces,
	// and maxReject how long the pauses between more of them become.
	maxStrikes = 20
	maxReject  = time.Minute
	maxBytes   = 48 << 10 // of a transaction, below the service's 64 KiB
	perChange  = 200      // bytes around a value
	firstWait  = 100 * time.Millisecond
	longWait   = time.Second
	txnTime    = 1500 * time.Millisecond
)

// Committer is the leader's only way to write. It lives for one term.
type Committer struct {
	port   Port
	limits Limits
	tight  Limits        // what the service may come to
	text   bool          // the log is in its own format
	leader statesvc.Cond // holds as long as we are the leader
	onLost func(why string)

	queue   []*Doc // urgent
	lazy    []*Doc
	open    int
	tokens  float64
	filled  ident.Mono
	timer   bool
	strikes int        // transactions refused in a row
	paused  ident.Mono // nothing is sent earlier
	dead    bool
	quiet   bool // nothing new is sent
	down    bool // the service refused or did not answer last time

	entries []Entry            // changed, not yet in a record
	then    map[Entry][]func() // to call when they are durable
	lsn     uint64             // of the newest record
	flying  map[uint64]bool    // records under way
	logged  ident.Mono         // when it was built
	slots   int                // keys of the log ever used
	free    []*slot
	used    []*slot // durable, oldest first, some of them free again
	live    int     // those of them that are not
	pinned  int     // entries that hold one

	// OnDown is called when the service doesn't take a transaction.
	OnDown func()

	Txns, Puts, Repeats, Records, Rejected uint64
}

// New makes the committer of a term. onLost is called when the leader key is not
// ours any more, or when the service contradicts what we know.
func New(port Port, limits Limits, leader statesvc.Cond, onLost func(string)) *Committer {
	return &Committer{port: port, limits: limits, tight: limits, leader: leader, onLost: onLost,
		tokens: limits.PerSecond, filled: port.Now(), logged: port.Now().Add(-time.Hour), then: map[Entry][]func(){}, flying: map[uint64]bool{}}
}

// Expect tells to which limits the service may come without notice.
func (c *Committer) Expect(l Limits) { c.tight = c.limits.Within(l) }

// Tighten keeps within those limits from now on, and says whether that is less.
func (c *Committer) Tighten() bool {
	was := c.limits
	c.limits = c.limits.Within(c.tight)
	c.tokens = min(c.tokens, c.limits.PerSecond)
	return c.limits != was
}

// Pack has the log written in its own format from now on, within the tight limits.
func (c *Committer) Pack() {
	c.text = true
	c.Tighten()
}

// Spare says whether there are puts left for what may wait.
func (c *Committer) Spare() bool { return len(c.queue)+len(c.entries) == 0 && c.spare() }

// Quiesce has nothing new sent from now on; what is under way is still settled.
func (c *Committer) Quiesce() { c.quiet = true }

// Settled says whether no transaction is under way.
func (c *Committer) Settled() bool { return c.open == 0 }

// Stop ends the committer; nothing of it is called any more.
func (c *Committer) Stop() { c.dead = true }

// Down says whether the service did not take the last transaction.
func (c *Committer) Down() bool { return c.down }

// Backlog is the number of urgent documents not yet carried out.
func (c *Committer) Backlog() int { return len(c.queue) }

// Flush sends what is queued, as far as the limits allow.
func (c *Committer) Flush() {
	for !c.dead && !c.quiet && c.open < maxOpen {
		now := c.port.Now()
		if now < c.paused {
			c.wake(c.paused.Sub(now))
			return
		}
		c.tokens = min(c.limits.PerSecond, c.tokens+c.limits.PerSecond*now.Sub(c.filled).Seconds())
		c.filled = now
		due, wait := c.due(now)
		if !due {
			if wait > 0 {
				c.wake(wait)
			}
			return
		}
		if c.tokens < float64(min(c.limits.Ops, 4)) {
			c.wake(50 * time.Millisecond)
			return
		}
		t := c.build()
		if t == nil {
			return
		}
		c.tokens -= float64(len(t.req.Then))
		c.send(t)
	}
}

// due says whether a transaction should be sent now, else when to look again.
func (c *Committer) due(now ident.Mono) (bool, time.Duration) {
	if len(c.queue) > 0 {
		return true, 0
	}
	if len(c.entries) > 0 {
		// Records are paced, so that puts are left for documents; what comes
		// meanwhile goes into the same one.
		share := logShare
		if c.text {
			share = textShare
		}
		pace := time.Duration(float64(time.Second) / (share * c.limits.PerSecond))
		wait := c.logged.Add(pace).Sub(now)
		return wait <= 0, wait
	}
	if len(c.lazy) > 0 {
		return c.spare(), 100 * time.Millisecond
	}
	return false, 0
}

// spare says whether there are puts left for what may wait.
func (c *Committer) spare() bool { return c.tokens > c.limits.PerSecond/2 }

// wake flushes again later.
func (c *Committer) wake(d time.Duration) {
	if c.timer {
		return
	}
	c.timer = true
	c.port.After(d, func() {
		c.timer = false
		c.Flush()
	})
}

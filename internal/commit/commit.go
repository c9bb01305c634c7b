// Package commit writes the leader's documents to the state service: in groups,
// within its limits, and each change at most once however often a transaction is
// repeated, late or lost.
package commit

import (
	"encoding/json"
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// state is where a document stands between memory and the state service.
type state uint8

const (
	clean       state = iota // memory and service agree
	dirty                    // changed in memory, queued
	flying                   // in a transaction whose outcome is open
	flyingDirty              // in such a transaction, and changed again since
)

// Doc is one key that only the leader writes.
type Doc struct {
	Path  string
	Stamp ident.Stamp // of the last change known to be carried out

	Render func() json.RawMessage   // the value to put; nil deletes the key
	Also   func() []statesvc.Change // further changes of the same transaction, may be nil
	Absent []string                 // keys that must not exist; only for a first put
	Exists func()                   // called if one of Absent does exist: nothing was put

	state   state
	waiting []func() // to call when the present content is carried out
	riding  []func() // to call when the open transaction is carried out
}

// Idle says whether nothing of the document is queued or open.
func (d *Doc) Idle() bool { return d.state == clean }

func (d *Doc) to(s state) { d.state = s }

// Port is what the committer needs of the world.
type Port interface {
	Now() ident.Mono
	After(time.Duration, func())
	State(statesvc.Request, func(statesvc.Reply))
}

// Limits are those of the state service, already reduced by what other requests
// need.
type Limits struct {
	Ops       int     // puts and deletes in a transaction
	PerSecond float64 // puts and deletes a second
}

const (
	maxOpen   = 3        // transactions whose outcome is open
	maxBytes  = 48 << 10 // of a transaction, below the service's 64 KiB
	perChange = 200      // bytes around a value
	firstWait = 100 * time.Millisecond
	longWait  = time.Second
	txnTime   = 1500 * time.Millisecond
)

// Committer is the leader's only way to write. It lives for one term.
type Committer struct {
	port   Port
	limits Limits
	leader statesvc.Cond // holds as long as we are the leader
	onLost func(why string)

	queue  []*Doc
	open   int
	tokens float64
	filled ident.Mono
	timer  bool
	dead   bool
	down   bool // the service refused or did not answer last time

	// OnDown is called when the service doesn't take a transaction.
	OnDown func()

	Txns, Puts, Repeats uint64
}

// New makes the committer of a term. onLost is called when the leader key is not
// ours any more, or when the service contradicts what we know.
func New(port Port, limits Limits, leader statesvc.Cond, onLost func(string)) *Committer {
	return &Committer{port: port, limits: limits, leader: leader, onLost: onLost,
		tokens: limits.PerSecond, filled: port.Now()}
}

// Stop ends the committer; nothing of it is called any more.
func (c *Committer) Stop() { c.dead = true }

// Down says whether the service did not take the last transaction.
func (c *Committer) Down() bool { return c.down }

// Backlog is the number of documents not yet carried out.
func (c *Committer) Backlog() int { return len(c.queue) }

// Mark queues the document's present content; then is called once that, or later
// content, has been carried out.
func (c *Committer) Mark(d *Doc, then func()) {
	if then != nil {
		d.waiting = append(d.waiting, then)
	}
	switch d.state {
	case clean:
		d.to(dirty)
		c.queue = append(c.queue, d)
	case flying:
		d.to(flyingDirty)
	}
}

// txn is one transaction on its way. Its content never changes: a repeat is the
// same transaction, so the stamps it compares let it apply at most once.
type txn struct {
	docs   []*Doc
	req    statesvc.Request
	unsure bool // a copy may have been carried out, or may yet be
	wait   time.Duration
}

// Flush sends what is queued, as far as the limits allow.
func (c *Committer) Flush() {
	for !c.dead && c.open < maxOpen && len(c.queue) > 0 {
		now := c.port.Now()
		c.tokens = min(c.limits.PerSecond, c.tokens+c.limits.PerSecond*now.Sub(c.filled).Seconds())
		c.filled = now
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

func (c *Committer) build() *txn {
	t := &txn{wait: firstWait}
	conds := []statesvc.Cond{c.leader}
	var changes []statesvc.Change
	size, n := 0, 0
	for _, d := range c.queue {
		var own []statesvc.Change
		value := d.Render()
		if value == nil {
			if d.Stamp != 0 {
				own = append(own, statesvc.Change{Delete: d.Path})
			}
		} else {
			own = append(own, statesvc.Change{Put: d.Path, Value: value})
		}
		if d.Also != nil {
			own = append(own, d.Also()...)
		}
		add := len(value) + perChange*len(own)
		if n > 0 && (len(changes)+len(own) > c.limits.Ops || size+add > maxBytes ||
			float64(len(changes)+len(own)) > c.tokens || len(conds)+len(d.Absent)+1 > 4*c.limits.Ops) {
			break
		}
		n++
		size += add
		conds = append(conds, statesvc.Cond{Path: d.Path, Stamp: d.Stamp})
		for _, p := range d.Absent {
			conds = append(conds, statesvc.Cond{Path: p})
		}
		changes = append(changes, own...)
		d.riding, d.waiting = d.waiting, nil
		d.to(flying)
		t.docs = append(t.docs, d)
	}
	c.queue = append(c.queue[:0], c.queue[n:]...)
	if len(t.docs) == 0 {
		return nil
	}
	t.req = statesvc.Request{Op: statesvc.Txn, If: conds, Then: changes, Timeout: txnTime}
	return t
}

func (c *Committer) send(t *txn) {
	c.open++
	c.Txns++
	c.Puts += uint64(len(t.req.Then))
	c.try(t)
}

func (c *Committer) try(t *txn) {
	c.port.State(t.req, func(r statesvc.Reply) {
		if c.dead {
			return
		}
		switch r.Outcome {
		case statesvc.OK:
			c.down = false
			c.done(t, ident.Stamp(r.Ledger))
		case statesvc.Conflict:
			c.down = false
			c.conflict(t, r.Failed)
		case statesvc.Lost, statesvc.Refused:
			if r.Outcome == statesvc.Lost {
				t.unsure = true
			}
			c.down = true
			if c.OnDown != nil {
				c.OnDown()
			}
			c.again(t, func() { c.try(t) })
		default:
			c.fail("state service: " + r.Error)
		}
	})
}

func (c *Committer) again(t *txn, f func()) {
	c.Repeats++
	c.port.After(t.wait, func() {
		if !c.dead {
			f()
		}
	})
	t.wait = min(2*t.wait, longWait)
}

// conflict settles a 409. The leader key unchanged means that nobody but us has
// written; then either a key that must be absent was there, or an earlier copy
// of this very transaction was carried out.
func (c *Committer) conflict(t *txn, failed []string) {
	set := make(map[string]bool, len(failed))
	for _, p := range failed {
		set[p] = true
	}
	if set[c.leader.Path] {
		c.fail("another leader")
		return
	}
	var taken, rest []*Doc
	for _, d := range t.docs {
		exists := false
		for _, p := range d.Absent {
			exists = exists || set[p]
		}
		if exists {
			taken = append(taken, d)
		} else {
			rest = append(rest, d)
		}
	}
	if len(taken) > 0 {
		// Nothing was carried out, by any copy: a copy carried out would have
		// left the absent keys absent.
		c.open--
		for _, d := range taken {
			d.riding, d.waiting = nil, nil
			d.to(clean)
			if d.Exists != nil {
				d.Exists()
			}
		}
		for _, d := range rest {
			d.waiting = append(d.riding, d.waiting...)
			d.riding = nil
			d.to(dirty)
			c.queue = append(c.queue, d)
		}
		c.Flush()
		return
	}
	if !t.unsure {
		c.fail("conflict on " + t.docs[0].Path)
		return
	}
	c.settle(t)
}

// settle reads the stamp that an earlier copy of the transaction left.
func (c *Committer) settle(t *txn) {
	path := ""
	for _, ch := range t.req.Then {
		if ch.Put != "" {
			path = ch.Put
			break
		}
	}
	if path == "" {
		c.done(t, 0)
		return
	}
	c.port.State(statesvc.Request{Op: statesvc.Get, Path: path, Timeout: txnTime}, func(r statesvc.Reply) {
		switch {
		case c.dead:
		case r.Outcome == statesvc.OK:
			c.done(t, r.Stamp)
		case r.Outcome == statesvc.Lost || r.Outcome == statesvc.Refused:
			c.again(t, func() { c.settle(t) })
		default:
			c.fail("lost " + path)
		}
	})
}

func (c *Committer) done(t *txn, stamp ident.Stamp) {
	c.open--
	put := make(map[string]bool, len(t.req.Then))
	for _, ch := range t.req.Then {
		put[ch.Put] = true
	}
	var then []func()
	for _, d := range t.docs {
		d.Stamp = 0
		if put[d.Path] {
			d.Stamp = stamp
		}
		d.Absent = nil
		then = append(then, d.riding...)
		d.riding = nil
		if d.state == flyingDirty {
			d.to(dirty)
			c.queue = append(c.queue, d)
		} else {
			d.to(clean)
		}
	}
	for _, f := range then {
		f()
	}
	c.Flush()
}

// fail ends the term: what memory holds may differ from the truth.
func (c *Committer) fail(why string) {
	slog.Error("commit failed", "why", why)
	c.dead = true
	c.onLost(why)
}

package commit

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// txn is one transaction on its way. Its content never changes: a repeat is the
// same transaction, so the stamps it compares let it apply at most once.
type txn struct {
	docs   []*Doc
	slots  []*slot
	lines  [][]line // by slot
	text   bool     // records are in the log's own format
	req    statesvc.Request
	unsure bool // a copy may have been carried out, or may yet be
	wait   time.Duration
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
			c.taken(true)
			c.done(t, ident.Stamp(r.Ledger))
		case statesvc.Conflict:
			c.taken(true)
			c.conflict(t, r.Failed)
		case statesvc.Limited:
			// A lower rate than we know of. Nothing was carried out by this copy.
			c.Tighten()
			c.tokens = 0
			c.again(t, func() { c.try(t) })
		case statesvc.Bad:
			c.taken(true)
			c.tooLarge(t, r.Error)
		case statesvc.Lost, statesvc.Refused:
			if r.Outcome == statesvc.Lost {
				t.unsure = true
			}
			c.taken(false)
			if c.OnDown != nil {
				c.OnDown()
			}
			c.again(t, func() { c.try(t) })
		default:
			c.fail("state service: " + r.Error)
		}
	})
}

// taken notes whether the service takes transactions.
func (c *Committer) taken(yes bool) {
	if c.down == yes {
		slog.Info("state service takes transactions", "yes", yes)
	}
	c.down = !yes
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
		c.undo(t, rest)
		c.Flush()
		return
	}
	if t.doubtful() {
		c.reread(t, failed)
		return
	}
	if !t.unsure {
		c.fail("conflict on " + t.docs[0].Path)
		return
	}
	c.settle(t)
}

// leave takes a document out of a transaction that is given up; it waits for another one.
func (t *txn) leave(d *Doc) {
	d.waiting = append(d.riding, d.waiting...)
	d.riding = nil
	d.doubt = d.doubt || t.unsure
	d.queued = urgent
	d.to(dirty)
}

// undo takes a transaction apart again: documents and lines wait for another one.
func (c *Committer) undo(t *txn, docs []*Doc) {
	for _, d := range docs {
		t.leave(d)
		c.enqueue(d)
	}
	// The lines go into new records; their slots are as they were.
	for i, s := range t.slots {
		delete(c.flying, s.lsn)
		s.doubt = s.doubt || t.unsure
		c.free = append(c.free, s)
		for _, l := range t.lines[i] {
			c.Append(l.entry, nil)
			c.then[l.entry] = append(l.then, c.then[l.entry]...)
		}
	}
}

// doubtful says whether a transaction that was given up may yet change, or have
// changed, one of this one's keys.
func (t *txn) doubtful() bool {
	for _, d := range t.docs {
		if d.doubt {
			return true
		}
	}
	for _, s := range t.slots {
		if s.doubt {
			return true
		}
	}
	return false
}

// reread learns the stamps of keys that a transaction which was given up has changed
// after all, and writes anew: what is written is absolute, and newer. Once it is
// carried out, that transaction can't be any more.
func (c *Committer) reread(t *txn, failed []string) {
	if len(failed) == 0 {
		c.open--
		c.undo(t, t.docs)
		c.wake(firstWait)
		return
	}
	path := failed[0]
	c.port.State(statesvc.Request{Op: statesvc.Get, Path: path, Timeout: txnTime}, func(r statesvc.Reply) {
		var stamp ident.Stamp
		switch {
		case c.dead:
			return
		case r.Outcome == statesvc.OK:
			stamp = r.Stamp
		case r.Outcome != statesvc.NotFound:
			c.again(t, func() { c.reread(t, failed) })
			return
		}
		for _, d := range t.docs {
			if d.Path == path {
				d.Stamp = stamp
			}
		}
		for _, s := range t.slots {
			if s.path == path {
				s.stamp = stamp
			}
		}
		c.reread(t, failed[1:])
	})
}

// tooLarge settles a 400: the limits are lower than we know of. This copy was not
// carried out; of an earlier one without an answer nobody knows, so its keys are in
// doubt until something newer is written there. All is written anew, in smaller
// pieces; what is refused by itself waits longer each time.
func (c *Committer) tooLarge(t *txn, why string) {
	c.open--
	c.Rejected++
	slog.Error("the state service refuses a transaction", "changes", len(t.req.Then), "why", why)
	docs := t.docs
	switch {
	case c.Tighten():
	case len(t.docs)+len(t.slots) > 1:
		c.limits.Ops = max(1, len(t.req.Then)/2)
	case len(t.slots) > 0 && c.limits.ValueBytes > minValue:
		c.limits.ValueBytes = max(minValue, c.limits.ValueBytes/2)
	case len(t.docs) > 0:
		d := t.docs[0]
		docs = nil
		t.leave(d)
		d.rejected = min(d.rejected+1, 10)
		c.port.After(min(time.Second<<d.rejected, maxReject), func() {
			if !c.dead && d.state == dirty {
				c.enqueue(d)
				c.Flush()
			}
		})
	}
	if c.strikes++; c.strikes > maxStrikes {
		c.paused = c.port.Now().Add(min(time.Second<<min(c.strikes-maxStrikes, 10), maxReject))
	}
	c.undo(t, docs)
	c.wake(firstWait)
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
		case r.Outcome == statesvc.Lost || r.Outcome == statesvc.Refused || r.Outcome == statesvc.Limited:
			c.again(t, func() { c.settle(t) })
		default:
			c.fail("lost " + path)
		}
	})
}

func (c *Committer) done(t *txn, stamp ident.Stamp) {
	c.open--
	c.strikes = 0
	put := make(map[string]bool, len(t.req.Then))
	for _, ch := range t.req.Then {
		put[ch.Put] = true
	}
	var then []func()
	for _, d := range t.docs {
		d.Stamp = 0
		if put[d.Path] {
			d.Stamp = stamp
			d.LSN = max(d.LSN, d.rendered)
		} else {
			d.gone = true
		}
		c.cover(d)
		d.Absent, d.doubt, d.rejected = nil, false, 0
		then = append(then, d.riding...)
		d.riding = nil
		if d.state == flyingDirty {
			d.to(dirty)
			c.enqueue(d)
		} else {
			d.to(clean)
		}
	}
	for i, s := range t.slots {
		s.stamp, s.doubt = stamp, false
		delete(c.flying, s.lsn)
		var homes []*Doc
		var entries []Entry
		for _, l := range t.lines[i] {
			then = append(then, l.then...)
			if t.text {
				entries = append(entries, l.entry)
			} else {
				homes = append(homes, l.entry.Home())
			}
		}
		if t.text {
			c.hold(s, entries)
		} else {
			c.keep(s, homes)
		}
	}
	c.fold()
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

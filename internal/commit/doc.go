package commit

import (
	"encoding/json"

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

// urgency says in which queue a document waits.
type urgency uint8

const (
	unqueued urgency = iota
	lazy             // when there is room to spare
	urgent           // with the next transaction
)

// Doc is one key that only the leader writes.
type Doc struct {
	Path  string
	Stamp ident.Stamp // of the last change known to be carried out
	LSN   uint64      // records of the log up to it are part of what was put

	Render func() json.RawMessage   // the value to put; nil deletes the key
	Also   func() []statesvc.Change // further changes of the same transaction, may be nil
	Absent []string                 // keys that must not exist; only for a first put
	Exists func()                   // called if one of Absent does exist: nothing was put

	state    state
	queued   urgency
	rendered uint64   // LSN of the value in the open transaction
	slots    []*slot  // records whose changes it has not taken over yet
	gone     bool     // deleted for good
	doubt    bool     // a transaction that was given up may yet change its key
	rejected int      // times that the service found it malformed or too large by itself
	waiting  []func() // to call when the present content is carried out
	riding   []func() // to call when the open transaction is carried out
}

// Open says whether others may read what we don't know to be carried out: a transaction
// with the document is under way, or was given up without an answer.
func (d *Doc) Open() bool { return d.state == flying || d.state == flyingDirty || d.doubt }

// Idle says whether nothing of the document is queued or open.
func (d *Doc) Idle() bool { return d.state == clean }

func (d *Doc) to(s state) { d.state = s }

// Mark queues the document's present content; then is called once that, or later
// content, has been carried out.
func (c *Committer) Mark(d *Doc, then func()) { c.mark(d, urgent, then) }

// MarkLazy is Mark for what may wait until there is room to spare.
func (c *Committer) MarkLazy(d *Doc, then func()) { c.mark(d, lazy, then) }

func (c *Committer) mark(d *Doc, u urgency, then func()) {
	if then != nil {
		d.waiting = append(d.waiting, then)
	}
	switch d.state {
	case clean:
		d.to(dirty)
	case flying:
		d.to(flyingDirty)
	}
	if u <= d.queued {
		return
	}
	d.queued = u
	if d.state == dirty {
		c.enqueue(d)
	}
}

// enqueue puts a dirty document at the end of its queue. One that was in the lazy
// queue before is passed over there.
func (c *Committer) enqueue(d *Doc) {
	if d.queued == urgent {
		c.queue = append(c.queue, d)
	} else {
		c.lazy = append(c.lazy, d)
	}
}

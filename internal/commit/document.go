package commit

import (
	"encoding/json"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// documentState is where a document stands between memory and the state service.
type documentState uint8

const (
	clean         documentState = iota // memory and service agree
	dirty                              // changed in memory, queued
	inFlight                           // in a transaction whose outcome is open
	inFlightDirty                      // in such a transaction, and changed again since
)

// urgency says in which queue a document waits.
type urgency uint8

const (
	notQueued urgency = iota
	lazy              // when there is room to spare
	urgent            // with the next transaction
)

// Document is one key that only the leader writes.
type Document struct {
	Key      string
	Revision ident.Revision // of the last change known to be carried out
	LSN      uint64         // records of the log up to it are part of what was put

	Render         func() json.RawMessage    // the value to put; nil deletes the key
	ExtraMutations func() []kvstore.Mutation // further changes of the same transaction, may be nil
	MustNotExist   []string                  // keys that must not exist; only for a first put
	OnExists       func()                    // called if one of Absent does exist: nothing was put

	state             documentState
	queuedAs          urgency
	renderedLSN       uint64     // LSN of the value in the open transaction
	slots             []*logSlot // records whose changes it has not taken over yet
	deleted           bool       // deleted for good
	uncertain         bool       // a transaction that was given up may yet change its key
	rejections        int        // times that the service found it malformed or too large by itself
	pendingCallbacks  []func()   // to call when the present content is carried out
	inFlightCallbacks []func()   // to call when the open transaction is carried out
}

// OutcomeUnknown says whether others may read what we don't know to be carried out: a transaction
// with the document is under way, or was given up without an answer.
func (d *Document) OutcomeUnknown() bool {
	return d.state == inFlight || d.state == inFlightDirty || d.uncertain
}

// Idle says whether nothing of the document is queued or open.
func (d *Document) Idle() bool { return d.state == clean }

func (d *Document) setState(s documentState) { d.state = s }

// MarkDirty queues the document's present content; then is called once that, or later
// content, has been carried out.
func (c *Committer) MarkDirty(d *Document, onDurable func()) { c.markDirty(d, urgent, onDurable) }

// MarkDirtyLazily is Mark for what may wait until there is room to spare.
func (c *Committer) MarkDirtyLazily(d *Document, onDurable func()) { c.markDirty(d, lazy, onDurable) }

func (c *Committer) markDirty(d *Document, u urgency, onDurable func()) {
	if onDurable != nil {
		d.pendingCallbacks = append(d.pendingCallbacks, onDurable)
	}
	switch d.state {
	case clean:
		d.setState(dirty)
	case inFlight:
		d.setState(inFlightDirty)
	}
	if u <= d.queuedAs {
		return
	}
	d.queuedAs = u
	if d.state == dirty {
		c.enqueue(d)
	}
}

// enqueue puts a dirty document at the end of its queue. One that was in the lazy
// queue before is passed over there.
func (c *Committer) enqueue(d *Document) {
	if d.queuedAs == urgent {
		c.urgentQueue = append(c.urgentQueue, d)
	} else {
		c.lazyQueue = append(c.lazyQueue, d)
	}
}

package commit

import (
	"encoding/json"
	"fmt"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// documentState relates the content of a document in memory to the stored one.
type documentState uint8

const (
	clean         documentState = iota // both are equal
	dirty                              // changed in memory, waiting for a transaction
	inFlight                           // in a transaction whose outcome is open
	inFlightDirty                      // in such a transaction, and changed again since
)

// documentEvent is what changes the state of a document.
type documentEvent uint8

const (
	contentChanged documentEvent = iota // in memory
	sent                                // in a transaction
	committed                           // the transaction was applied
	requeued                            // the transaction was given up; the document waits for another one
	discarded                           // the transaction was given up, and the document with it
)

// documentTransitions holds the state after each event that may occur in a state.
var documentTransitions = map[documentState]map[documentEvent]documentState{
	clean:         {contentChanged: dirty},
	dirty:         {contentChanged: dirty, sent: inFlight},
	inFlight:      {contentChanged: inFlightDirty, committed: clean, requeued: dirty, discarded: clean},
	inFlightDirty: {contentChanged: inFlightDirty, committed: dirty, requeued: dirty, discarded: clean},
}

// urgency is the queue in which a document waits.
type urgency uint8

const (
	notQueued urgency = iota
	lazy              // sent when there is capacity to spare
	urgent            // sent with the next transaction
)

// Document is one key that only the leader writes.
type Document struct {
	Key      string
	Revision ident.Revision // of the last applied write of the key
	LSN      uint64         // the stored content includes the records of the log up to it

	// Render returns the value to put; nil deletes the key.
	Render func() json.RawMessage
	// ExtraMutations returns further mutations of the same transaction. It may be nil.
	ExtraMutations func() []kvstore.Mutation
	// MustNotExist are keys that must not exist at the first put.
	MustNotExist []string
	// OnExists is called instead of the callbacks of MarkDirty if one of these keys does exist:
	// nothing was put, and nothing is queued any more. It may be nil.
	OnExists func()

	state             documentState
	queuedAs          urgency
	renderedLSN       uint64     // LSN of the value in the open transaction
	slots             []*logSlot // with changes that the stored content does not include
	deleted           bool       // a delete of the key was applied
	uncertain         bool       // a transaction that was given up may yet be applied
	rejections        int        // times in a row that the store rejected it in a transaction by itself
	pendingCallbacks  []func()   // to call when the present content is durable
	inFlightCallbacks []func()   // to call when the open transaction is applied
}

// OutcomeUnknown reports whether a write of this document may or may not have been applied: a
// transaction with it is open, or was given up without an answer.
func (d *Document) OutcomeUnknown() bool {
	return d.state == inFlight || d.state == inFlightDirty || d.uncertain
}

// Idle reports whether the document is neither queued nor in an open transaction.
func (d *Document) Idle() bool { return d.state == clean }

// transition moves the document to the state that follows from an event. It panics if the event
// can't occur in the present state.
func (d *Document) transition(event documentEvent) {
	next, valid := documentTransitions[d.state][event]
	if !valid {
		panic(fmt.Sprintf("document %s in state %d: event %d", d.Key, d.state, event))
	}
	d.state = next
}

// mutations returns the mutations that write the document's content, and the bytes of its value.
func (d *Document) mutations() (mutations []kvstore.Mutation, valueBytes int) {
	value := d.Render()
	switch {
	case value != nil:
		mutations = append(mutations, kvstore.Mutation{Put: d.Key, Value: value})
	case d.Revision != 0:
		mutations = append(mutations, kvstore.Mutation{Delete: d.Key})
	}
	if d.ExtraMutations != nil {
		mutations = append(mutations, d.ExtraMutations()...)
	}
	return mutations, len(value)
}

// compares returns what must hold for the document to be written.
func (d *Document) compares() []kvstore.Compare {
	compares := []kvstore.Compare{{Key: d.Key, Revision: d.Revision}}
	for _, key := range d.MustNotExist {
		compares = append(compares, kvstore.Compare{Key: key})
	}
	return compares
}

// markSent moves the document into a transaction. lsn is that of the rendered value.
func (d *Document) markSent(lsn uint64) {
	d.inFlightCallbacks, d.pendingCallbacks = d.pendingCallbacks, nil
	d.renderedLSN = lsn
	d.queuedAs = notQueued
	d.transition(sent)
}

// requeue takes the document out of a transaction that is given up; it waits for another one.
func (d *Document) requeue(uncertain bool) {
	d.pendingCallbacks = append(d.inFlightCallbacks, d.pendingCallbacks...)
	d.inFlightCallbacks = nil
	d.uncertain = d.uncertain || uncertain
	d.queuedAs = urgent
	d.transition(requeued)
}

// discard takes the document out of a transaction that was not applied because one of its
// MustNotExist keys exists.
func (d *Document) discard() {
	d.inFlightCallbacks, d.pendingCallbacks = nil, nil
	d.transition(discarded)
	if d.OnExists != nil {
		d.OnExists()
	}
}

// MarkDirty queues the document's present content. onDurable, unless nil, is called once that
// content, or a later one, is durable.
func (c *Committer) MarkDirty(d *Document, onDurable func()) { c.markDirty(d, urgent, onDurable) }

// MarkDirtyLazily is MarkDirty for content that may wait until there is capacity to spare.
func (c *Committer) MarkDirtyLazily(d *Document, onDurable func()) { c.markDirty(d, lazy, onDurable) }

func (c *Committer) markDirty(d *Document, u urgency, onDurable func()) {
	if onDurable != nil {
		d.pendingCallbacks = append(d.pendingCallbacks, onDurable)
	}
	d.transition(contentChanged)
	if u <= d.queuedAs {
		return
	}
	d.queuedAs = u
	if d.state == dirty {
		c.enqueue(d)
	}
}

// enqueue puts a dirty document at the end of its queue. If it is also in the other queue, it is
// skipped there.
func (c *Committer) enqueue(d *Document) {
	if d.queuedAs == urgent {
		c.urgentQueue = append(c.urgentQueue, d)
	} else {
		c.lazyQueue = append(c.lazyQueue, d)
	}
}

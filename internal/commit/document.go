package commit

import (
	"encoding/json"
	"fmt"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// documentState describes how the content of a document in memory relates to its stored content.
type documentState uint8

const (
	clean         documentState = iota // the stored content is current
	dirty                              // changed in memory, not yet in a transaction
	inFlight                           // in a transaction whose outcome is not known yet
	inFlightDirty                      // in flight, and changed in memory again since
)

// documentEvent is an event that changes the state of a document.
type documentEvent uint8

const (
	contentChanged documentEvent = iota // the content changed in memory
	sent                                // the document was sent in a transaction
	committed                           // the transaction was applied
	requeued                            // the transaction was abandoned, and the document will be sent in another one
	discarded                           // the transaction was abandoned, and the document will not be sent again
)

// documentTransitions holds the next state for each event that is valid in a state.
var documentTransitions = map[documentState]map[documentEvent]documentState{
	clean:         {contentChanged: dirty},
	dirty:         {contentChanged: dirty, sent: inFlight},
	inFlight:      {contentChanged: inFlightDirty, committed: clean, requeued: dirty, discarded: clean},
	inFlightDirty: {contentChanged: inFlightDirty, committed: dirty, requeued: dirty, discarded: clean},
}

// urgency is the queue that a document is in.
type urgency uint8

const (
	notQueued urgency = iota
	lazy              // sent when there is spare capacity
	urgent            // sent in the next transaction
)

// Document is the content of one key that only the leader writes.
type Document struct {
	Key      string
	Revision ident.Revision // revision of the key after the last applied write
	LSN      uint64         // the stored content includes all log records up to this LSN

	// Render returns the value to put, or nil to delete the key.
	Render func() json.RawMessage
	// ExtraMutations returns further mutations for the same transaction. It may be nil.
	ExtraMutations func() []kvstore.Mutation
	// OnSent is called when the document is put into a transaction, after Render. It returns a function that is
	// called if that transaction is applied, before all callbacks of the transaction, so that each of them finds the
	// owner's record of the stored content up to date. OnSent may be nil.
	OnSent func() (onApplied func())
	// MustNotExist lists keys that must not exist when the document is first put.
	MustNotExist []string
	// OnExists is called if a key of MustNotExist exists. The document is then neither put nor queued
	// again, and the callbacks of MarkDirty are not called. It may be nil.
	OnExists func()

	state             documentState
	queuedAs          urgency
	renderedLSN       uint64     // LSN of the value in the in-flight transaction
	slots             []*logSlot // slots of log records whose changes the stored content does not include
	deleted           bool       // the key was deleted
	uncertain         bool       // an abandoned transaction may have been applied, or may still be applied
	rejections        int        // consecutive rejections of a transaction with this document alone
	pendingCallbacks  []func()   // to call when the current content is durable
	inFlightCallbacks []func()   // to call when the in-flight transaction is applied
	onApplied         func()     // result of OnSent for the in-flight transaction; may be nil
	nextWrite         []func()   // see AfterNextWrite
}

// OutcomeUnknown reports whether it is unknown if a write of this document was applied: a transaction with the
// document is in flight, or was abandoned without a response.
func (d *Document) OutcomeUnknown() bool {
	return d.state == inFlight || d.state == inFlightDirty || d.uncertain
}

// AfterNextWrite calls f once, after the next transaction that writes the document is applied, whatever content it
// has. The document must be queued or in flight. f is not called if the document is dropped; see OnExists.
func (d *Document) AfterNextWrite(f func()) { d.nextWrite = append(d.nextWrite, f) }

// Idle reports whether the document is neither queued nor in an in-flight transaction.
func (d *Document) Idle() bool { return d.state == clean }

// transition changes the state of the document after an event. It panics if the event is not valid in the
// current state.
func (d *Document) transition(event documentEvent) {
	next, valid := documentTransitions[d.state][event]
	if !valid {
		panic(fmt.Sprintf("document %s in state %d: invalid event %d", d.Key, d.state, event))
	}
	d.state = next
}

// mutations returns the mutations that write the document, and the size of its value in bytes.
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

// compares returns the conditions under which the document may be written.
func (d *Document) compares() []kvstore.Compare {
	compares := []kvstore.Compare{{Key: d.Key, Revision: d.Revision}}
	for _, key := range d.MustNotExist {
		compares = append(compares, kvstore.Compare{Key: key})
	}
	return compares
}

// markSent records that the document is in a transaction. lsn is the LSN of the rendered value.
func (d *Document) markSent(lsn uint64) {
	d.inFlightCallbacks, d.pendingCallbacks = d.pendingCallbacks, nil
	d.renderedLSN = lsn
	d.queuedAs = notQueued
	if d.OnSent != nil {
		d.onApplied = d.OnSent()
	}
	d.transition(sent)
}

// takeApplied records that the in-flight transaction was applied, and returns the callbacks to call.
func (d *Document) takeApplied() (callbacks []func()) {
	if d.onApplied != nil {
		d.onApplied()
	}
	callbacks = append(d.inFlightCallbacks, d.nextWrite...)
	d.onApplied, d.inFlightCallbacks, d.nextWrite = nil, nil, nil
	d.transition(committed)
	return callbacks
}

// markUnsent returns a document of an abandoned transaction to the dirty state, so that it can be sent in another
// one. uncertain is set if the abandoned transaction may still be applied. The caller adds the document to the
// queue.
func (d *Document) markUnsent(uncertain bool) {
	d.pendingCallbacks = append(d.inFlightCallbacks, d.pendingCallbacks...)
	d.inFlightCallbacks = nil
	d.uncertain = d.uncertain || uncertain
	d.queuedAs = urgent
	d.transition(requeued)
}

// discard drops the document's changes, after a transaction that was not applied because one of the document's
// MustNotExist keys exists.
func (d *Document) discard() {
	d.inFlightCallbacks, d.pendingCallbacks, d.nextWrite = nil, nil, nil
	d.transition(discarded)
	if d.OnExists != nil {
		d.OnExists()
	}
}

// MarkDirty queues the document to be written. onDurable, unless nil, is called once the current content or
// later content is durable.
func (c *Committer) MarkDirty(d *Document, onDurable func()) { c.markDirty(d, urgent, onDurable) }

// MarkDirtyLazily is like MarkDirty, but the document is sent only when there is spare capacity.
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

// enqueue adds a dirty document to the end of the queue for its urgency. If the document is also in the other
// queue, addDocuments skips it there.
func (c *Committer) enqueue(d *Document) {
	if d.queuedAs == urgent {
		c.urgentQueue = append(c.urgentQueue, d)
	} else {
		c.lazyQueue = append(c.lazyQueue, d)
	}
}

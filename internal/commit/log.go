package commit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"opaldale/internal/ident"
)

// Entry is something small of a document whose changes go to the log.
type Entry interface {
	// JSONLine is its present content, and Home the document that it is part of; both are of
	// the first format, as are slots' homes, keep, cover and fold.
	JSONLine() any
	Document() *Document
	// TextLine is its present content in the log's own format, beside the name that
	// lines of one group share; neither has a space in it.
	TextLine() (group, line string)
	// Pin is the entry's hold on the record with its newest line.
	Pin() *Pin
}

// Pin is an entry's hold on a record of the log.
type Pin struct {
	slot     *logSlot
	released bool // the entry needs no line any more
}

// Held says whether a durable record holds the entry's newest content.
func (p *Pin) Held() bool { return p.slot != nil }

// MaxLineBytes bounds a line in JSON, comma included.
const MaxLineBytes = 130

// LogPrefix is where the records of the log are.
const LogPrefix = "log/"

// logRecord is the value of a slot of the log.
type logRecord struct {
	LSN   uint64 `json:"n"`
	Lines []any  `json:"l,omitempty"`
	Text  string `json:"t,omitempty"` // a line for each group: its name, then its lines, with spaces between
}

// logSlot is a key of the log.
type logSlot struct {
	key        string
	revision   ident.Revision
	lsn        uint64
	references int         // documents that have not taken over their lines, or entries whose newest line it has
	documents  []*Document // of its lines
	entries    []Entry     // that held it when it was written
	rewriting  bool        // they are being written once more
	uncertain  bool        // as in Doc
}

// LSN is the number of the newest record of the log up to which all are durable: for
// documents to put beside their content, which has all lines up to it. (It was that of
// the newest one under way. When that never came to be, but such a document did, the
// next term gave the number out again, and the record's lines were passed over.)
func (c *Committer) LSN() uint64 {
	lsn := c.lastLSN
	for n := range c.inFlightLSNs {
		lsn = min(lsn, n-1)
	}
	return lsn
}

// ObserveLSN notes the number of a record that a document of an earlier term has taken over:
// no later record may have it or a lower one.
func (c *Committer) ObserveLSN(lsn uint64) { c.lastLSN = max(c.lastLSN, lsn) }

// Append queues an entry's present content for the log; then is called once that,
// or later content, is durable.
func (c *Committer) Append(e Entry, onDurable func()) {
	callbacks, queued := c.entryCallbacks[e]
	if !queued {
		c.pendingEntries = append(c.pendingEntries, e)
	}
	if onDurable != nil {
		callbacks = append(callbacks, onDurable)
	}
	c.entryCallbacks[e] = callbacks
}

// RestoreJSON takes in a record that an earlier term left, with those of its
// documents that were not put since.
func (c *Committer) RestoreJSON(key string, revision ident.Revision, lsn uint64, documents []*Document) {
	c.noteRestoredSlot(key, lsn)
	c.pinDocuments(&logSlot{key: key, revision: revision, lsn: lsn}, documents)
}

func (c *Committer) noteRestoredSlot(key string, lsn uint64) {
	c.lastLSN = max(c.lastLSN, lsn)
	// There may be gaps, of slots whose first record never came to be.
	if n, err := strconv.Atoi(strings.TrimPrefix(key, LogPrefix)); err == nil {
		c.slotCount = max(c.slotCount, n+1)
	}
}

// RestoreText takes in a record that an earlier term left, whose lines hold it by
// themselves. Records come in the order of their numbers.
func (c *Committer) RestoreText(key string, revision ident.Revision, lsn uint64, entries []Entry) {
	c.noteRestoredSlot(key, lsn)
	c.pinEntries(&logSlot{key: key, revision: revision, lsn: lsn}, entries)
}

// pinEntries has entries hold a durable record from now on, instead of an earlier one.
func (c *Committer) pinEntries(slot *logSlot, entries []Entry) {
	slot.references, slot.documents, slot.entries = 0, nil, nil
	for _, e := range entries {
		pin := e.Pin()
		if pin.released || pin.slot == slot || pin.slot != nil && pin.slot.lsn > slot.lsn {
			continue
		}
		c.unpin(pin)
		pin.slot = slot
		slot.references++
		c.pinnedEntries++
		slot.entries = append(slot.entries, e)
	}
	c.retainSlot(slot)
}

// retainSlot keeps a record for as long as something holds it.
func (c *Committer) retainSlot(s *logSlot) {
	if s.references == 0 {
		c.freeSlots = append(c.freeSlots, s)
		return
	}
	c.usedSlots = append(c.usedSlots, s)
	c.liveSlots++
}

func (c *Committer) unpin(p *Pin) {
	s := p.slot
	if s == nil {
		return
	}
	p.slot = nil
	c.pinnedEntries--
	c.releaseReference(s)
}

// releaseReference notes that one thing less holds a record; without any its slot is free.
func (c *Committer) releaseReference(s *logSlot) {
	if s.references--; s.references == 0 {
		// A new one: this is still in its place among the used.
		c.freeSlots = append(c.freeSlots, &logSlot{key: s.key, revision: s.revision})
		s.documents, s.entries = nil, nil
		c.liveSlots--
	}
}

// Release notes that an entry needs no line any more: its document is gone for good.
func (c *Committer) Release(p *Pin) {
	p.released = true
	c.unpin(p)
}

// pinDocuments notes a durable record, until all its documents have its lines.
func (c *Committer) pinDocuments(slot *logSlot, documents []*Document) {
	slot.references, slot.documents = 0, nil
	seen := map[*Document]bool{}
	for _, d := range documents {
		if !d.deleted && d.LSN < slot.lsn && !seen[d] {
			seen[d] = true
			d.slots = append(d.slots, slot)
			slot.documents = append(slot.documents, d)
		}
	}
	slot.references = len(slot.documents)
	c.retainSlot(slot)
}

// releaseCovered notes that a document has taken over all lines up to its LSN.
func (c *Committer) releaseCovered(d *Document) {
	remaining := d.slots[:0]
	for _, s := range d.slots {
		if !d.deleted && s.lsn > d.LSN {
			remaining = append(remaining, s)
			continue
		}
		c.releaseReference(s)
	}
	d.slots = remaining
}

// compactLog has the documents put that hold up the oldest records of a log that has
// become long: a successor reads all of it.
func (c *Committer) compactLog() {
	if len(c.usedSlots) > 2*c.liveSlots+compactAfterRecords {
		c.usedSlots = slices.DeleteFunc(c.usedSlots, func(s *logSlot) bool { return s.references == 0 })
	}
	if c.textFormat {
		c.rewriteOldestRecords()
		return
	}
	excess := c.liveSlots - compactAfterRecords
	for i := 0; i < len(c.usedSlots) && excess > 0; i++ {
		if c.usedSlots[i].references == 0 {
			continue
		}
		excess--
		for _, d := range c.usedSlots[i].documents {
			if d.state == clean && d.LSN < c.usedSlots[i].lsn {
				c.MarkDirtyLazily(d, nil)
			}
		}
	}
}

// rewriteOldestRecords has the lines of the oldest records written once more, while more records
// are held than twice what their lines need: a successor reads all of them.
func (c *Committer) rewriteOldestRecords() {
	maxRecords := max(compactAfterRecords, compactAfterBytes/c.limits.MaxValueBytes, 2*c.pinnedEntries*estimatedLineBytes/c.limits.MaxValueBytes)
	excess := c.liveSlots - maxRecords
	for i := 0; i < len(c.usedSlots) && excess > 0; i++ {
		slot := c.usedSlots[i]
		if slot.references == 0 {
			continue
		}
		excess--
		if slot.rewriting {
			continue
		}
		slot.rewriting = true
		for _, e := range slot.entries {
			if e.Pin().slot == slot {
				c.Append(e, nil)
			}
		}
	}
}

// allocateSlot takes a key of the log that is free, or a new one.
func (c *Committer) allocateSlot() *logSlot {
	if n := len(c.freeSlots); n > 0 {
		s := c.freeSlots[n-1]
		c.freeSlots = c.freeSlots[:n-1]
		return s
	}
	c.slotCount++
	return &logSlot{key: fmt.Sprintf("%s%05d", LogPrefix, c.slotCount-1)}
}

package commit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"opaldale/internal/ident"
)

// logSlot is a key of the log and the record that is stored under the key.
type logSlot struct {
	key        string
	revision   ident.Revision
	lsn        uint64      // LSN of the record
	references int         // number of documents or entries that need the record
	documents  []*Document // JSON format: documents that needed the record when it became durable
	entries    []Entry     // text format: entries that needed the record when it became durable
	rewriting  bool        // the needed entries are queued again, to be written to newer records
	uncertain  bool        // an abandoned transaction may have changed the key, or may still change it
}

// Pin is an entry's reference to the record that holds its newest line.
type Pin struct {
	slot     *logSlot
	released bool // the entry no longer needs a record
}

// Held reports whether a durable record holds the entry's newest line.
func (p *Pin) Held() bool { return p.slot != nil }

// slotTable manages the slots of the log.
type slotTable struct {
	count         int        // number of keys that have been used
	free          []*logSlot // slots without a record, or with an obsolete one
	used          []*logSlot // slots with a durable record, oldest first; may include slots that have become free
	live          int        // number of used slots with references
	pinnedEntries int        // number of entries that need a record
}

// allocate returns a slot for a new record.
func (t *slotTable) allocate() *logSlot {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		return slot
	}
	t.count++
	return &logSlot{key: fmt.Sprintf("%s%05d", LogPrefix, t.count-1)}
}

// reserveKey reserves a key that an earlier term used, so that no new slot gets it. The numbers of the keys in
// use may have gaps: a slot whose first record was never written has no key in the store.
func (t *slotTable) reserveKey(key string) {
	if n, err := strconv.Atoi(strings.TrimPrefix(key, LogPrefix)); err == nil {
		t.count = max(t.count, n+1)
	}
}

// pinEntries moves the references of entries from earlier records to a durable record. It skips released entries
// and entries that refer to a newer record.
func (t *slotTable) pinEntries(slot *logSlot, entries []Entry) {
	slot.references, slot.documents, slot.entries = 0, nil, nil
	for _, e := range entries {
		pin := e.Pin()
		if pin.released || pin.slot == slot || pin.slot != nil && pin.slot.lsn > slot.lsn {
			continue
		}
		t.unpin(pin)
		pin.slot = slot
		slot.references++
		t.pinnedEntries++
		slot.entries = append(slot.entries, e)
	}
	t.retain(slot)
}

// unpin removes an entry's reference to a record.
func (t *slotTable) unpin(p *Pin) {
	slot := p.slot
	if slot == nil {
		return
	}
	p.slot = nil
	t.pinnedEntries--
	t.releaseReference(slot)
}

// pinDocuments adds references from documents to a durable record. It skips documents that are deleted or whose
// stored content includes the record.
func (t *slotTable) pinDocuments(slot *logSlot, documents []*Document) {
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
	t.retain(slot)
}

// releaseCovered removes a document's references to the records that its stored content includes. A deleted
// document needs no records.
func (t *slotTable) releaseCovered(d *Document) {
	remaining := d.slots[:0]
	for _, slot := range d.slots {
		if !d.deleted && slot.lsn > d.LSN {
			remaining = append(remaining, slot)
			continue
		}
		t.releaseReference(slot)
	}
	d.slots = remaining
}

// retain adds a slot to the used slots if its record has references, and to the free slots otherwise.
func (t *slotTable) retain(slot *logSlot) {
	if slot.references == 0 {
		t.free = append(t.free, slot)
		return
	}
	t.used = append(t.used, slot)
	t.live++
}

// releaseReference removes one reference to a record. The slot becomes free with the last reference.
func (t *slotTable) releaseReference(slot *logSlot) {
	slot.references--
	if slot.references > 0 {
		return
	}
	// The old logSlot stays in used until dropObsolete removes it.
	t.free = append(t.free, &logSlot{key: slot.key, revision: slot.revision})
	slot.documents, slot.entries = nil, nil
	t.live--
}

// dropObsolete removes slots without references from the used slots, once there are many of them.
func (t *slotTable) dropObsolete() {
	if len(t.used) > 2*t.live+compactAfterRecords {
		t.used = slices.DeleteFunc(t.used, func(s *logSlot) bool { return s.references == 0 })
	}
}

// oldestLive returns the n oldest slots whose records are needed, or all such slots if there are fewer.
func (t *slotTable) oldestLive(n int) (oldest []*logSlot) {
	for i := 0; i < len(t.used) && len(oldest) < n; i++ {
		if t.used[i].references > 0 {
			oldest = append(oldest, t.used[i])
		}
	}
	return oldest
}

package commit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"opaldale/internal/ident"
)

// logSlot is a key of the log with the record in it.
type logSlot struct {
	key        string
	revision   ident.Revision
	lsn        uint64      // of the record
	references int         // documents, or entries, that need the record
	documents  []*Document // that need it, in the JSON format
	entries    []Entry     // that needed it when it was written, in the text format
	rewriting  bool        // its entries are queued again, to be written to newer records
	uncertain  bool        // a transaction that was given up may yet change the key
}

// Pin is an entry's reference to the record that has its newest line.
type Pin struct {
	slot     *logSlot
	released bool // the entry needs no line any more
}

// Held reports whether a durable record has the entry's newest line.
func (p *Pin) Held() bool { return p.slot != nil }

// slotTable is the set of slots of the log.
type slotTable struct {
	count         int        // keys ever used
	free          []*logSlot // with a record that nothing needs, or with none
	used          []*logSlot // with a durable record, oldest first; some are free again
	live          int        // number of used slots with references
	pinnedEntries int        // entries that need a record
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

// reserveKey keeps a key that an earlier term used from being given to a new slot. The keys in use
// may have gaps, where the first record of a slot was never written.
func (t *slotTable) reserveKey(key string) {
	if n, err := strconv.Atoi(strings.TrimPrefix(key, LogPrefix)); err == nil {
		t.count = max(t.count, n+1)
	}
}

// pinEntries makes entries need a durable record, instead of an earlier one.
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

// pinDocuments makes documents need a durable record until their stored content includes it.
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

// releaseCovered removes a document's references to the records that its stored content includes.
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

// retain keeps a record for as long as something needs it.
func (t *slotTable) retain(slot *logSlot) {
	if slot.references == 0 {
		t.free = append(t.free, slot)
		return
	}
	t.used = append(t.used, slot)
	t.live++
}

// releaseReference removes one reference to a record; without any its slot is free.
func (t *slotTable) releaseReference(slot *logSlot) {
	slot.references--
	if slot.references > 0 {
		return
	}
	// The slot itself stays in its place among the used ones until dropObsolete.
	t.free = append(t.free, &logSlot{key: slot.key, revision: slot.revision})
	slot.documents, slot.entries = nil, nil
	t.live--
}

// dropObsolete removes slots without references from the used ones, once there are many of them.
func (t *slotTable) dropObsolete() {
	if len(t.used) > 2*t.live+compactAfterRecords {
		t.used = slices.DeleteFunc(t.used, func(s *logSlot) bool { return s.references == 0 })
	}
}

// oldestLive returns the n oldest slots whose record is needed, or all if there are fewer.
func (t *slotTable) oldestLive(n int) (oldest []*logSlot) {
	for i := 0; i < len(t.used) && len(oldest) < n; i++ {
		if t.used[i].references > 0 {
			oldest = append(oldest, t.used[i])
		}
	}
	return oldest
}

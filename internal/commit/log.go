package commit

import (
	"encoding/json"
	"time"

	"opaldale/internal/ident"
)

// Entry is a small part of a document whose changes are written to the log.
type Entry interface {
	// JSONLine is the entry's present content in the JSON format of the log.
	JSONLine() any
	// Document is the document that the entry is part of. Only the JSON format needs it.
	Document() *Document
	// TextLine is the entry's present content in the text format, and the group that it is
	// listed under. Neither contains a space.
	TextLine() (group, line string)
	// Pin is the entry's reference to the record with its newest line in the text format.
	Pin() *Pin
}

// MaxLineBytes bounds the size of a JSONLine, including the comma after it.
const MaxLineBytes = 130

// LogPrefix is the prefix of the keys of the log.
const LogPrefix = "log/"

const (
	// maxRecordsPerTxn bounds the records of the log in a transaction.
	maxRecordsPerTxn = 2
	// idleBeforeStart is the time for which a new log counts as idle, so that its first
	// record is not delayed.
	idleBeforeStart = time.Hour
)

// logRecord is the value of a slot of the log.
type logRecord struct {
	LSN   uint64 `json:"n"`
	Lines []any  `json:"l,omitempty"` // JSON format
	Text  string `json:"t,omitempty"` // text format: a line for each group, with its name and its entries' lines
}

// recordEntry is an entry in a record of an open transaction.
type recordEntry struct {
	entry     Entry
	callbacks []func() // to call when it is durable
}

// inFlightRecord is a record in an open transaction.
type inFlightRecord struct {
	slot    *logSlot
	format  logFormat
	entries []recordEntry
}

// changeLog is the log of small changes. Records are numbered by their LSN, in the order in which
// they were made.
type changeLog struct {
	format       logFormat
	slots        slotTable
	pending      []Entry            // changed, not yet in a record
	callbacks    map[Entry][]func() // of the pending entries
	lastLSN      uint64             // of the newest record
	inFlightLSNs map[uint64]bool    // of records in open transactions
	lastRecordAt ident.MonotonicTime
}

func newChangeLog(now ident.MonotonicTime) changeLog {
	return changeLog{
		format:       jsonFormat{},
		callbacks:    map[Entry][]func(){},
		inFlightLSNs: map[uint64]bool{},
		lastRecordAt: now.Add(-idleBeforeStart),
	}
}

// append queues an entry's present content for the next record.
func (l *changeLog) append(e Entry, onDurable func()) {
	callbacks, queued := l.callbacks[e]
	if !queued {
		l.pending = append(l.pending, e)
	}
	if onDurable != nil {
		callbacks = append(callbacks, onDurable)
	}
	l.callbacks[e] = callbacks
}

// timeToNextRecord returns how long the next record must wait. Records are paced so that
// capacity is left for documents; entries that change meanwhile share the record.
func (l *changeLog) timeToNextRecord(now ident.MonotonicTime, mutationsPerSecond float64) time.Duration {
	interval := time.Duration(float64(time.Second) / (l.format.rateShare() * mutationsPerSecond))
	return l.lastRecordAt.Add(interval).Sub(now)
}

// takeRecord moves pending entries, as many as fit, into a new record and returns it with its value.
func (l *changeLog) takeRecord(now ident.MonotonicTime, maxValueBytes int) (inFlightRecord, json.RawMessage) {
	l.lastLSN++
	l.lastRecordAt = now
	record := logRecord{LSN: l.lastLSN}
	count := l.format.fill(&record, l.pending, maxValueBytes)
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // the lines are made of plain fields
	}
	inFlight := inFlightRecord{slot: l.slots.allocate(), format: l.format, entries: l.takePending(count)}
	inFlight.slot.lsn = record.LSN
	l.inFlightLSNs[record.LSN] = true
	return inFlight, value
}

// takePending removes the first pending entries.
func (l *changeLog) takePending(count int) []recordEntry {
	taken := make([]recordEntry, count)
	for i, e := range l.pending[:count] {
		taken[i] = recordEntry{entry: e, callbacks: l.callbacks[e]}
		delete(l.callbacks, e)
	}
	l.pending = l.pending[count:]
	if len(l.pending) == 0 {
		l.pending = nil
	}
	return taken
}

// markDurable marks a record as durable, and returns the callbacks of its entries.
func (l *changeLog) markDurable(record inFlightRecord, revision ident.Revision) (callbacks []func()) {
	record.slot.revision, record.slot.uncertain = revision, false
	delete(l.inFlightLSNs, record.slot.lsn)
	entries := make([]Entry, len(record.entries))
	for i, p := range record.entries {
		entries[i] = p.entry
		callbacks = append(callbacks, p.callbacks...)
	}
	record.format.addReferences(&l.slots, record.slot, entries)
	return callbacks
}

// requeue takes a record out of a transaction that is given up: its entries wait for another
// record, and its slot is free. If the outcome of the transaction is uncertain, so is the content
// of the slot.
func (l *changeLog) requeue(record inFlightRecord, uncertain bool) {
	delete(l.inFlightLSNs, record.slot.lsn)
	record.slot.uncertain = record.slot.uncertain || uncertain
	l.slots.free = append(l.slots.free, record.slot)
	for _, p := range record.entries {
		l.append(p.entry, nil)
		l.callbacks[p.entry] = append(p.callbacks, l.callbacks[p.entry]...)
	}
}

// durableLSN returns the newest LSN up to which all records are durable.
func (l *changeLog) durableLSN() uint64 {
	lsn := l.lastLSN
	for n := range l.inFlightLSNs {
		lsn = min(lsn, n-1)
	}
	return lsn
}

// observeRecord keeps the LSN and the slot of a record of an earlier term from being assigned
// again.
func (l *changeLog) observeRecord(key string, lsn uint64) {
	l.lastLSN = max(l.lastLSN, lsn)
	l.slots.reserveKey(key)
}

// LSN returns the newest LSN up to which all records of the log are durable. Documents store it beside
// their content, which includes the changes of all these records. The LSN of a record in an open
// transaction must not be stored: if that record is lost, the next term assigns its LSN again, and
// the document would hide the changes of that later record.
func (c *Committer) LSN() uint64 { return c.log.durableLSN() }

// ObserveLSN keeps an LSN, and all lower ones, from being assigned to a record: a document of an
// earlier term includes the record with that LSN.
func (c *Committer) ObserveLSN(lsn uint64) { c.log.lastLSN = max(c.log.lastLSN, lsn) }

// Append queues an entry's present content for the log. onDurable, unless nil, is called once that
// content, or a later one, is durable.
func (c *Committer) Append(e Entry, onDurable func()) { c.log.append(e, onDurable) }

// Release drops the need for an entry's line: its document is deleted for good.
func (c *Committer) Release(p *Pin) {
	p.released = true
	c.log.slots.unpin(p)
}

// RestoreJSON restores a record in the JSON format from an earlier term, with those of its documents
// that were not put since.
func (c *Committer) RestoreJSON(key string, revision ident.Revision, lsn uint64, documents []*Document) {
	c.log.observeRecord(key, lsn)
	c.log.slots.pinDocuments(&logSlot{key: key, revision: revision, lsn: lsn}, documents)
}

// RestoreText restores a record in the text format from an earlier term, with its entries.
// Records must be restored in the order of their LSNs.
func (c *Committer) RestoreText(key string, revision ident.Revision, lsn uint64, entries []Entry) {
	c.log.observeRecord(key, lsn)
	c.log.slots.pinEntries(&logSlot{key: key, revision: revision, lsn: lsn}, entries)
}

package commit

import (
	"encoding/json"
	"time"

	"opaldale/internal/ident"
)

// Entry is a small part of a document whose changes are written to the log.
type Entry interface {
	// JSONLine returns the entry's current content in the JSON format of the log.
	JSONLine() any
	// Document returns the document that contains the entry. Only the JSON format uses it.
	Document() *Document
	// TextLine returns the entry's current content in the text format of the log, and the group under
	// which it is listed. Neither contains a space or a newline.
	TextLine() (group, line string)
	// Pin returns the entry's reference to the record that holds its newest line. Only the text format
	// uses it.
	Pin() *Pin
}

// MaxLineBytes is the maximum size of an encoded JSONLine, including the comma after it.
const MaxLineBytes = 130

// LogPrefix is the prefix of the keys that hold the records of the log.
const LogPrefix = "log/"

const (
	// maxRecordsPerTxn is the maximum number of log records in a transaction.
	maxRecordsPerTxn = 2
	// idleBeforeStart is the assumed time since the last record when a log is created, so that its first
	// record is sent without delay.
	idleBeforeStart = time.Hour
)

// logRecord is a record of the log, as stored under the key of its slot.
type logRecord struct {
	LSN   uint64 `json:"n"`
	Lines []any  `json:"l,omitempty"` // JSON format
	Text  string `json:"t,omitempty"` // text format: a line for each group, with its name and the lines of its entries
}

// recordEntry is an entry in a record of an in-flight transaction.
type recordEntry struct {
	entry     Entry
	callbacks []func() // to call when the record is durable
}

// inFlightRecord is a record in an in-flight transaction.
type inFlightRecord struct {
	slot    *logSlot
	format  logFormat
	entries []recordEntry
}

// changeLog is the log of small changes. Its records have increasing log sequence numbers (LSNs).
type changeLog struct {
	format       logFormat
	slots        slotTable
	pending      []Entry            // changed entries that are not in a record yet
	callbacks    map[Entry][]func() // callbacks of the pending entries
	lastLSN      uint64             // LSN of the newest record
	inFlightLSNs map[uint64]bool    // LSNs of records in in-flight transactions
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

// append queues an entry for the next record.
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

// timeToNextRecord returns how long to wait before the next record may be sent. The rate of records is limited
// to leave capacity for documents. Entries that change in the meantime are written in the same record.
func (l *changeLog) timeToNextRecord(now ident.MonotonicTime, mutationsPerSecond float64) time.Duration {
	interval := time.Duration(float64(time.Second) / (l.format.rateShare() * mutationsPerSecond))
	return l.lastRecordAt.Add(interval).Sub(now)
}

// takeRecord moves as many pending entries as fit into a new record, and returns the record and its encoded
// value.
func (l *changeLog) takeRecord(now ident.MonotonicTime, maxValueBytes int) (inFlightRecord, json.RawMessage) {
	l.lastLSN++
	l.lastRecordAt = now
	record := logRecord{LSN: l.lastLSN}
	count := l.format.fill(&record, l.pending, maxValueBytes)
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // cannot occur: JSONLine returns values that can be encoded
	}
	inFlight := inFlightRecord{slot: l.slots.allocate(), format: l.format, entries: l.takePending(count)}
	inFlight.slot.lsn = record.LSN
	l.inFlightLSNs[record.LSN] = true
	return inFlight, value
}

// takePending removes and returns the first count pending entries.
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

// markDurable records that a record is durable at a revision, and returns the callbacks of its entries.
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

// requeueEntries queues the entries of a record again after its transaction was abandoned, and frees the slot of the
// record. uncertain is set if the transaction may have been applied or may still be applied; the content of
// the slot is then unknown.
func (l *changeLog) requeueEntries(record inFlightRecord, uncertain bool) {
	delete(l.inFlightLSNs, record.slot.lsn)
	record.slot.uncertain = record.slot.uncertain || uncertain
	l.slots.free = append(l.slots.free, record.slot)
	for _, p := range record.entries {
		l.append(p.entry, nil)
		l.callbacks[p.entry] = append(p.callbacks, l.callbacks[p.entry]...)
	}
}

// durableLSN returns the highest LSN up to which all records are durable.
func (l *changeLog) durableLSN() uint64 {
	lsn := l.lastLSN
	for n := range l.inFlightLSNs {
		lsn = min(lsn, n-1)
	}
	return lsn
}

// observeRecord reserves the LSN and the slot of a record of an earlier term, so that they are not assigned
// to a new record.
func (l *changeLog) observeRecord(key string, lsn uint64) {
	l.lastLSN = max(l.lastLSN, lsn)
	l.slots.reserveKey(key)
}

// LSN returns the highest LSN up to which all records of the log are durable. Documents store this LSN with
// their content, which includes the changes of all these records. A document must not store the LSN of a
// record that is in flight: if that record is lost, the next term assigns the same LSN to another record,
// and would ignore the changes in that record, because the document seems to include them.
func (c *Committer) LSN() uint64 { return c.log.durableLSN() }

// ObserveLSN reserves an LSN and all lower ones, so that they are not assigned to new records. The caller passes
// the LSN of each document of an earlier term.
func (c *Committer) ObserveLSN(lsn uint64) { c.log.lastLSN = max(c.log.lastLSN, lsn) }

// Append queues an entry to be written to the log. onDurable, unless nil, is called once the current content or
// later content is durable.
func (c *Committer) Append(e Entry, onDurable func()) { c.log.append(e, onDurable) }

// Release removes an entry's reference to its record permanently. The caller uses it when the document of the
// entry is deleted.
func (c *Committer) Release(p *Pin) {
	p.released = true
	c.log.slots.unpin(p)
}

// RestoreJSON restores a record in the JSON format that an earlier term wrote. documents are the documents with
// changes in the record. Documents that already include the record are ignored.
func (c *Committer) RestoreJSON(key string, revision ident.Revision, lsn uint64, documents []*Document) {
	c.log.observeRecord(key, lsn)
	c.log.slots.pinDocuments(&logSlot{key: key, revision: revision, lsn: lsn}, documents)
}

// RestoreText restores a record in the text format that an earlier term wrote, with its entries. Records must be
// restored in the order of their LSNs.
func (c *Committer) RestoreText(key string, revision ident.Revision, lsn uint64, entries []Entry) {
	c.log.observeRecord(key, lsn)
	c.log.slots.pinEntries(&logSlot{key: key, revision: revision, lsn: lsn}, entries)
}

package commit

import "strings"

const (
	// jsonRateShare and textRateShare are the fractions of the mutation rate that log records may use.
	// The share of the text format is larger, because documents are then written only when they are
	// created and when they are deleted.
	jsonRateShare = 0.25
	textRateShare = 0.5
	// The log is compacted when it has more needed records than compactAfterRecords. In the text format
	// this threshold is raised to the number of full records in compactAfterBytes, or to twice the number
	// of full records that all needed lines fill, whichever is larger.
	compactAfterRecords = 200
	compactAfterBytes   = 2 << 20
	estimatedLineBytes  = 24 // estimated size of a line in the text format
	// recordEnvelopeBytes is the maximum size of a record without its lines.
	recordEnvelopeBytes = 64
	// escapedNewlineBytes is the size of an escaped newline in a JSON string.
	escapedNewlineBytes = 2
)

// logFormat defines how entries are written to the log. Each new leader reads the whole log, so each format
// also limits the length of the log.
type logFormat interface {
	// rateShare returns the fraction of the mutation rate that log records may use.
	rateShare() float64
	// fill adds pending entries, from the first, to a record while its size is at most maxValueBytes. It
	// adds at least one entry, and returns the number of added entries.
	fill(record *logRecord, pending []Entry, maxValueBytes int) int
	// addReferences marks a durable record as needed by the entries, or their documents, in the record.
	addReferences(slots *slotTable, slot *logSlot, entries []Entry)
	// compact shortens the log if it is too long. To make the oldest records obsolete, it queues their
	// entries again, or returns the documents that the caller must put.
	compact(log *changeLog, maxValueBytes int) []*Document
}

// jsonFormat is the log format at format level 0 (the legacy format). A record is a list of JSON lines, and is needed until the
// documents of its lines have been put or deleted.
type jsonFormat struct{}

func (jsonFormat) rateShare() float64 { return jsonRateShare }

func (jsonFormat) fill(record *logRecord, pending []Entry, maxValueBytes int) int {
	linesPerRecord := max(1, (maxValueBytes-recordEnvelopeBytes)/MaxLineBytes)
	count := min(linesPerRecord, len(pending))
	for _, e := range pending[:count] {
		record.Lines = append(record.Lines, e.JSONLine())
	}
	return count
}

func (jsonFormat) addReferences(slots *slotTable, slot *logSlot, entries []Entry) {
	documents := make([]*Document, len(entries))
	for i, e := range entries {
		documents[i] = e.Document()
	}
	slots.pinDocuments(slot, documents)
}

func (jsonFormat) compact(log *changeLog, _ int) (outdated []*Document) {
	for _, slot := range log.slots.oldestLive(log.slots.live - compactAfterRecords) {
		for _, d := range slot.documents {
			if d.state == clean && d.LSN < slot.lsn {
				outdated = append(outdated, d)
			}
		}
	}
	return outdated
}

// textFormat is the log format at ident.FormatPacked and later levels (the packed format). A record is a text with a
// group of entries, and is needed until all of its entries have a newer line in another record.
type textFormat struct{}

func (textFormat) rateShare() float64 { return textRateShare }

func (textFormat) fill(record *logRecord, pending []Entry, maxValueBytes int) int {
	var text strings.Builder
	lastGroup, count, size := "", 0, recordEnvelopeBytes
	for _, e := range pending {
		group, line := e.TextLine()
		added := len(line) + 1
		if group != lastGroup {
			added += len(group) + escapedNewlineBytes
		}
		if count > 0 && size+added > maxValueBytes {
			break
		}
		if group != lastGroup {
			if count > 0 {
				text.WriteByte('\n')
			}
			text.WriteString(group)
			lastGroup = group
		}
		text.WriteByte(' ')
		text.WriteString(line)
		size += added
		count++
	}
	record.Text = text.String()
	return count
}

func (textFormat) addReferences(slots *slotTable, slot *logSlot, entries []Entry) {
	slots.pinEntries(slot, entries)
}

func (textFormat) compact(log *changeLog, maxValueBytes int) []*Document {
	neededBytes := log.slots.pinnedEntries * estimatedLineBytes
	maxRecords := max(compactAfterRecords, compactAfterBytes/maxValueBytes, 2*neededBytes/maxValueBytes)
	for _, slot := range log.slots.oldestLive(log.slots.live - maxRecords) {
		if slot.rewriting {
			continue
		}
		slot.rewriting = true
		for _, e := range slot.entries {
			if e.Pin().slot == slot {
				log.append(e, nil)
			}
		}
	}
	return nil
}

// ParseText calls visit for each entry's line in the text of a record. It stops at the first error of visit and
// returns that error.
func ParseText(text string, visit func(group, line string) error) error {
	for len(text) > 0 {
		var groupLine string
		groupLine, text, _ = strings.Cut(text, "\n")
		group, rest, _ := strings.Cut(groupLine, " ")
		for len(rest) > 0 {
			var line string
			line, rest, _ = strings.Cut(rest, " ")
			if err := visit(group, line); err != nil {
				return err
			}
		}
	}
	return nil
}

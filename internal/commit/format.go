package commit

import "strings"

const (
	// jsonRateShare and textRateShare are the parts of the mutation rate that records may take.
	// In the text format, documents are put only when they are created and deleted.
	jsonRateShare = 0.25
	textRateShare = 0.5
	// A log is compacted when it has more records than compactAfterRecords or, in the text
	// format, more than compactAfterBytes hold or twice the number that its lines need.
	compactAfterRecords = 200
	compactAfterBytes   = 2 << 20
	estimatedLineBytes  = 24 // of a line in the text format
	// recordEnvelopeBytes bounds the size of a record without its lines.
	recordEnvelopeBytes = 64
	// escapedNewlineBytes is the size of a newline within a JSON string.
	escapedNewlineBytes = 2
)

// logFormat is a way to write entries to the log. A successor of the leader reads the whole log,
// so each format also bounds its length.
type logFormat interface {
	// rateShare is the part of the mutation rate that records may take.
	rateShare() float64
	// fill writes the first of the pending entries to a record that must not take more than
	// maxValueBytes. It returns their number, which is at least one.
	fill(record *logRecord, pending []Entry, maxValueBytes int) int
	// addReferences makes a durable record needed by what has changes in it.
	addReferences(slots *slotTable, slot *logSlot, entries []Entry)
	// compact makes the oldest records obsolete if the log is too long: it queues their entries
	// again, or returns the documents to put.
	compact(log *changeLog, maxValueBytes int) []*Document
}

// jsonFormat is the format of ident.FormatLevel 0: a record is a list of JSON lines and is needed
// until the documents of its lines have been put.
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

// textFormat is the format from ident.FormatPacked on: a record is a text with a line for each
// group of entries and is needed until its entries have been written again.
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

// ParseText calls visit for each line of a record's text, until it returns an error.
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

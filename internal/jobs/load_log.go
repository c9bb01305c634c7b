package jobs

import (
	"fmt"
	"sort"

	"opaldale/internal/commit"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// storedRecord is a log record as read from the store.
type storedRecord struct {
	logRecord
	key      string
	revision ident.Revision
}

// LoadLog restores tasks from the log records. All jobs must have been loaded before.
func (tb *Table) LoadLog(pairs []kvstore.KeyValue) error {
	records := make([]storedRecord, len(pairs))
	for i, pair := range pairs {
		records[i] = storedRecord{key: pair.Key, revision: pair.Revision}
		if err := decode.JSON(pair.Value, &records[i].logRecord); err != nil {
			return fmt.Errorf("%s: %w", pair.Key, err)
		}
	}
	// Log keys are reused, so the order of keys is not the order in which the records were written.
	sort.Slice(records, func(i, k int) bool { return records[i].LSN < records[k].LSN })
	for _, record := range records {
		if err := tb.loadRecord(record); err != nil {
			return fmt.Errorf("%s: %w", record.key, err)
		}
	}
	return nil
}

// loadRecord applies a log record and passes it to the committer, which keeps the record in the store until
// none of its lines is needed any more.
func (tb *Table) loadRecord(record storedRecord) error {
	tasks, err := tb.applyRecord(record)
	if err != nil {
		return err
	}
	if tb.packedLog {
		entries := make([]commit.Entry, len(tasks))
		for i, t := range tasks {
			entries[i] = t
		}
		tb.commits.RestoreText(record.key, record.revision, record.LSN, entries)
		return nil
	}
	if record.Text != "" {
		return errLaterFormat
	}
	documents := make([]*commit.Document, len(tasks))
	for i, t := range tasks {
		documents[i] = t.Document()
	}
	tb.commits.RestoreJSON(record.key, record.revision, record.LSN, documents)
	return nil
}

// applyRecord applies the lines of a log record, in either format, and returns the tasks that it restored.
func (tb *Table) applyRecord(record storedRecord) (tasks []*Task, err error) {
	for _, line := range record.Lines {
		tasks = tb.applyLine(tasks, record, line)
	}
	err = commit.ParseText(record.Text, func(group, text string) error {
		index, task, err := parseLogLine(text)
		if err == nil {
			tasks = tb.applyLine(tasks, record, logLine{ident.JobID(group), index, task})
		}
		return err
	})
	return tasks, err
}

// applyLine restores a task from a log line and appends it to the list of tasks that the record restored.
// It ignores lines of archived jobs and lines that the task's document already includes.
func (tb *Table) applyLine(tasks []*Task, record storedRecord, line logLine) []*Task {
	j := tb.Jobs[line.Job]
	if j == nil || line.Index >= j.Tasks.Len() {
		return tasks
	}
	t := j.Tasks.At(line.Index)
	if j.storage.format != inLog && documentCovers(t.Document(), record) {
		return tasks
	}
	t.restore(line.taskRecord)
	return append(tasks, t)
}

// documentCovers reports whether a document's stored value includes the lines of a log record. Comparing
// LSNs is not sufficient because earlier versions may have assigned the same LSN twice. A record with a
// later store revision than the document is not included, whatever its LSN. In that case documentCovers
// lowers the document's LSN below the record's.
func documentCovers(doc *commit.Document, record storedRecord) bool {
	if doc.LSN < record.LSN {
		return false
	}
	if doc.Revision >= record.revision {
		return true
	}
	doc.LSN = record.LSN - 1
	return false
}

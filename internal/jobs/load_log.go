package jobs

import (
	"encoding/json"
	"fmt"
	"sort"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// storedRecord is a record of the log as it was read from the store.
type storedRecord struct {
	logRecord
	key      string
	revision ident.Revision
}

// LoadLog restores tasks from the records of the log. All jobs must have been loaded.
func (tb *Table) LoadLog(pairs []kvstore.KeyValue) error {
	records := make([]storedRecord, len(pairs))
	for i, pair := range pairs {
		records[i] = storedRecord{key: pair.Key, revision: pair.Revision}
		if err := json.Unmarshal(pair.Value, &records[i].logRecord); err != nil {
			return fmt.Errorf("%s: %w", pair.Key, err)
		}
	}
	// Keys are reused, so that their order is not that of the records.
	sort.Slice(records, func(i, k int) bool { return records[i].LSN < records[k].LSN })
	for _, record := range records {
		if err := tb.loadRecord(record); err != nil {
			return fmt.Errorf("%s: %w", record.key, err)
		}
	}
	return nil
}

// loadRecord applies a record, and passes it to the committer, which keeps it for as long as its lines
// are stored nowhere else.
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

// applyRecord applies the lines of a record, in either format, and returns the tasks that it restored.
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

// applyLine restores a task from a line, and appends it to the tasks of its record. Lines of jobs
// that are archived, and those that the task's document has already, have no effect.
func (tb *Table) applyLine(tasks []*Task, record storedRecord, line logLine) []*Task {
	j := tb.Jobs[line.Job]
	if j == nil || line.Index >= len(j.Tasks) {
		return tasks
	}
	t := &j.Tasks[line.Index]
	if j.storage.format != inLog && documentCovers(t.Document(), record) {
		return tasks
	}
	t.restore(line.taskRecord)
	return append(tasks, t)
}

// documentCovers reports whether a document was put with the lines of a record. Its LSN alone does not
// show that: earlier versions may have assigned an LSN twice. A record that was written after the
// document is not part of it, whatever its LSN; the document's LSN is then lowered.
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

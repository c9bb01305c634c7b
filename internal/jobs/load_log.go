package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// storedRecord is a key of the log as it was read.
type storedRecord struct {
	logRecord
	key      string
	revision ident.Revision
}

// LoadLog takes over the keys of the log, after all jobs.
func (tb *Table) LoadLog(pairs []kvstore.KeyValue) error {
	records := make([]storedRecord, len(pairs))
	for i, pair := range pairs {
		records[i] = storedRecord{key: pair.Key, revision: pair.Revision}
		if err := json.Unmarshal(pair.Value, &records[i].logRecord); err != nil {
			return fmt.Errorf("%s: %w", pair.Key, err)
		}
	}
	// The keys are reused in any order, so that theirs says nothing.
	sort.Slice(records, func(i, k int) bool { return records[i].LSN < records[k].LSN })
	for _, record := range records {
		if err := tb.loadRecord(record); err != nil {
			return fmt.Errorf("%s: %w", record.key, err)
		}
	}
	return nil
}

// loadRecord applies the lines of a record, and has the committer keep it as long as they are
// stored nowhere else.
func (tb *Table) loadRecord(record storedRecord) error {
	var tasks []*Task
	for _, line := range record.Lines {
		tasks = tb.applyLine(tasks, record, line)
	}
	err := commit.ParseText(record.Text, func(group, text string) error {
		index, task, err := parseLogLine(text)
		if err == nil {
			tasks = tb.applyLine(tasks, record, logLine{ident.JobID(group), index, task})
		}
		return err
	})
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
		return errors.New("of a later format")
	}
	documents := make([]*commit.Document, len(tasks))
	for i, t := range tasks {
		documents[i] = t.Document()
	}
	tb.commits.RestoreJSON(record.key, record.revision, record.LSN, documents)
	return nil
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
// say so: earlier versions may have given a number out twice. A record that was written after
// the document is not part of it, whatever its number; the document's LSN is then lowered.
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

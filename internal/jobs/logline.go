package jobs

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// JSONLine is the task in the log of changes.
func (t *Task) JSONLine() any { return logLine{t.Job.Spec.ID, t.Index, t.toRecord()} }

// TextLine is the task in the log's own format: its index, its try, and if it counts on a
// machine that one and its session, or a mark if it has completed.
func (t *Task) TextLine() (group, line string) {
	rec := t.toRecord()
	b := strconv.AppendInt(nil, int64(t.Index), 10)
	b = append(b, ',')
	b = strconv.AppendUint(b, uint64(rec.Attempt), 10)
	switch {
	case rec.Done:
		b = append(b, ",+"...)
	case rec.MachineID != "":
		b = append(b, ',')
		b = append(b, url.QueryEscape(string(rec.MachineID))...)
		b = append(b, ',')
		b = strconv.AppendUint(b, uint64(rec.Incarnation), 10)
	}
	return string(t.Job.Spec.ID), string(b)
}

// parseLogLine reads what Text wrote.
func parseLogLine(text string) (index int, rec taskRecord, err error) {
	fields := strings.Split(text, ",")
	if len(fields) < 2 || len(fields) > 4 {
		return 0, rec, fmt.Errorf("malformed line %q", text)
	}
	index, err = strconv.Atoi(fields[0])
	parseUint := func(s string) uint64 {
		n, parseErr := strconv.ParseUint(s, 10, 64)
		if parseErr != nil {
			err = parseErr
		}
		return n
	}
	rec.Attempt = ident.Attempt(parseUint(fields[1]))
	switch {
	case len(fields) == 3 && fields[2] == "+":
		rec.Done = true
	case len(fields) == 3:
		return 0, rec, fmt.Errorf("malformed line %q", text)
	case len(fields) == 4:
		machineID, parseErr := url.QueryUnescape(fields[2])
		if parseErr != nil || machineID == "" {
			return 0, rec, fmt.Errorf("malformed line %q", text)
		}
		rec.MachineID, rec.Incarnation = ident.MachineID(machineID), ident.Incarnation(parseUint(fields[3]))
	}
	if err != nil || index < 0 {
		return 0, rec, fmt.Errorf("malformed line %q", text)
	}
	return index, rec, nil
}

// Pin is the task's hold on the record of the log with its newest line.
func (t *Task) Pin() *commit.Pin { return &t.logPin }

// Document is the document that holds the task.
func (t *Task) Document() *commit.Document {
	if len(t.Job.segmentDocs) == 0 {
		return t.Job.headerDoc
	}
	return t.Job.segmentDocs[t.Index/t.Job.tasksPerSegment]
}

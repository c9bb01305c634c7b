package jobs

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// JSONLine returns the task's line in a log record, in the legacy format.
func (t *Task) JSONLine() any { return logLine{t.Job.Spec.ID, t.Index, t.toRecord()} }

// Syntax of a line in the packed format.
const (
	fieldSeparator = ","
	completedMark  = "+" // written instead of the machine and incarnation
)

// TextLine returns the task's line in a log record, in the packed format, and the group that the line
// belongs to, which is the job ID. The line consists of the task's index and attempt, followed by its
// machine and incarnation if the task is allocated, or by completedMark if it has completed.
func (t *Task) TextLine() (group, line string) {
	record := t.toRecord()
	b := strconv.AppendInt(nil, int64(t.Index), 10)
	b = append(b, fieldSeparator...)
	b = strconv.AppendUint(b, uint64(record.Attempt), 10)
	switch {
	case record.Done:
		b = append(b, fieldSeparator+completedMark...)
	case record.MachineID != "":
		b = append(b, fieldSeparator...)
		b = append(b, url.QueryEscape(string(record.MachineID))...)
		b = append(b, fieldSeparator...)
		b = strconv.AppendUint(b, uint64(record.Incarnation), 10)
	}
	return string(t.Job.Spec.ID), string(b)
}

// parseLogLine parses a line as returned by TextLine.
func parseLogLine(text string) (index int, record taskRecord, err error) {
	malformed := func() (int, taskRecord, error) {
		return 0, taskRecord{}, fmt.Errorf("malformed log line %q: want index,attempt[,machine,incarnation|,+]", text)
	}
	fields := strings.Split(text, fieldSeparator)
	if len(fields) < 2 {
		return malformed()
	}
	index, indexErr := strconv.Atoi(fields[0])
	attempt, attemptErr := strconv.ParseUint(fields[1], 10, 64)
	if indexErr != nil || attemptErr != nil || index < 0 {
		return malformed()
	}
	record.Attempt = ident.Attempt(attempt)
	switch placement := fields[2:]; {
	case len(placement) == 0: // neither allocated nor completed
	case len(placement) == 1 && placement[0] == completedMark:
		record.Done = true
	case len(placement) == 2:
		machineID, machineErr := url.QueryUnescape(placement[0])
		incarnation, incarnationErr := strconv.ParseUint(placement[1], 10, 64)
		if machineErr != nil || incarnationErr != nil || machineID == "" {
			return malformed()
		}
		record.MachineID, record.Incarnation = ident.MachineID(machineID), ident.Incarnation(incarnation)
	default:
		return malformed()
	}
	return index, record, nil
}

// Pin returns the task's reference to the log record that has its newest line.
func (t *Task) Pin() *commit.Pin { return &t.logPin }

// Document returns the document that stores the task in the legacy format: the job's header or a segment.
func (t *Task) Document() *commit.Document {
	s := &t.Job.storage
	if len(s.segments) == 0 {
		return s.header
	}
	return s.segments[t.Index/s.tasksPerSegment]
}

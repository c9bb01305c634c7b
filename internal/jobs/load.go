package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/decode"
	"opaldale/internal/ident"
)

// Errors for invalid values in the store.
var (
	errNotJob        = errors.New("not a job header: its specification is missing or has another job ID than the key")
	errLaterFormat   = errors.New("stored in the packed log format, which this term has not enabled")
	errNoSuchSegment = errors.New("key has no valid segment number for the job")
)

// Load restores a job, or some of its tasks, from a stored key that starts with LivePrefix. Keys must be
// loaded in lexical order, so that a job's header is loaded before its segments.
func (tb *Table) Load(key string, value json.RawMessage, revision ident.Revision) error {
	id, number, isSegment := strings.Cut(strings.TrimPrefix(key, LivePrefix), "/")
	if !isSegment {
		return tb.loadHeader(key, value, revision)
	}
	j := tb.Jobs[ident.JobID(id)]
	if j == nil || j.storage.format == inLog {
		tb.deleteStraySegment(key, revision)
		return nil
	}
	return tb.loadSegment(j, storedSegment{key, number, value, revision})
}

// loadHeader restores a job from its header.
func (tb *Table) loadHeader(key string, value json.RawMessage, revision ident.Revision) error {
	var header jobHeader
	if err := decode.JSON(value, &header); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if header.Spec == nil || LiveKey(header.Spec.ID) != key {
		return fmt.Errorf("%s: %w", key, errNotJob)
	}
	if header.Logged && !tb.packedLog {
		return fmt.Errorf("%s: %w", key, errLaterFormat)
	}
	j := tb.newLoadedJob(header)
	tb.initStorage(j)
	j.storage.header.Revision, j.storage.header.LSN = revision, header.LSN
	tb.initLoadedFormat(j, header)
	tb.commits.ObserveLSN(header.LSN)
	tb.Jobs[header.Spec.ID] = j
	tb.Seq = max(tb.Seq, header.Seq)
	return restoreTasks(j, 0, header.Tasks)
}

// assumedClosedFor is how long ago a job is assumed to have ended that an earlier term closed, because the
// time of its end is not stored. It is longer than all time limits that are measured from the end of a job.
const assumedClosedFor = time.Hour

func (tb *Table) newLoadedJob(header jobHeader) *Job {
	age := time.Duration(max(0, tb.wallClock()-header.SubmittedAtMS)) * time.Millisecond
	j := &Job{
		Spec:              header.Spec,
		Seq:               header.Seq,
		SubmittedAtMS:     header.SubmittedAtMS,
		SubmittedAt:       tb.now().Add(-age),
		SubmissionDurable: true,
		Phase:             header.Phase,
		DurablePhase:      header.Phase,
	}
	if j.Phase != Open {
		j.ClosedAt = tb.now().Add(-assumedClosedFor)
	}
	return j
}

// initLoadedFormat sets the storage format of a loaded job, which its header determines.
func (tb *Table) initLoadedFormat(j *Job, header jobHeader) {
	switch {
	case header.Logged:
		j.storage.format = inLog
	case len(header.Tasks) == 0 && j.Tasks.Len() > 0:
		j.storage.format = inDocuments
		tb.makeSegments(j, tb.tasksPerSegment)
	default:
		j.storage.format = inDocuments
		j.storage.segments = nil
	}
}

// storedSegment is a segment's key and value as read from the store.
type storedSegment struct {
	key      string
	number   string // part of the key after the job ID
	value    json.RawMessage
	revision ident.Revision
}

// deleteStraySegment deletes a segment whose job is archived or has its tasks in the log.
func (tb *Table) deleteStraySegment(key string, revision ident.Revision) {
	doc := &commit.Document{Key: key, Revision: revision, Render: func() json.RawMessage { return nil }}
	tb.commits.MarkDirty(doc, nil)
}

// loadSegment restores some of a job's tasks from a segment, in the legacy format.
func (tb *Table) loadSegment(j *Job, stored storedSegment) error {
	var segment taskSegment
	if err := decode.JSON(stored.value, &segment); err != nil {
		return fmt.Errorf("%s: %w", stored.key, err)
	}
	index, err := strconv.Atoi(stored.number)
	if err != nil || index < 0 {
		return fmt.Errorf("%s: %w", stored.key, errNoSuchSegment)
	}
	if err := tb.adjustSegments(j, index, len(segment.Tasks)); err != nil {
		return fmt.Errorf("%s: %w", stored.key, err)
	}
	if index >= len(j.storage.segments) {
		return fmt.Errorf("%s: %w", stored.key, errNoSuchSegment)
	}
	doc := j.storage.segments[index]
	doc.Revision, doc.LSN = stored.revision, segment.LSN
	tb.commits.ObserveLSN(segment.LSN)
	return restoreTasks(j, index*j.storage.tasksPerSegment, segment.Tasks)
}

// adjustSegments changes the segment size of a job to the one that a stored segment implies. The segment may
// have been written under another limit on the size of values.
func (tb *Table) adjustSegments(j *Job, index, count int) error {
	division := segmentDivision{total: j.Tasks.Len(), expected: j.storage.tasksPerSegment}
	tasksPerSegment, ok := division.infer(index, count)
	if !ok {
		return fmt.Errorf("segment %d has %d tasks, which matches no segment size for a job of %d tasks",
			index, count, j.Tasks.Len())
	}
	if tasksPerSegment == j.storage.tasksPerSegment {
		return nil
	}
	for _, doc := range j.storage.segments {
		if doc.Revision != 0 {
			return fmt.Errorf("segment %d implies %d tasks per segment, segments loaded before have %d",
				index, tasksPerSegment, j.storage.tasksPerSegment)
		}
	}
	tb.makeSegments(j, tasksPerSegment)
	return nil
}

// segmentDivision describes how a job's tasks are divided into segments. All segments have the same number
// of tasks, except that the last one may have fewer.
type segmentDivision struct {
	total    int // number of tasks of the job
	expected int // expected number of tasks per segment
}

// infer returns the number of tasks per segment that follows from the number of tasks in one segment. It
// prefers the expected number. It returns false if no segment size is consistent with the segment.
func (d segmentDivision) infer(index, count int) (tasksPerSegment int, ok bool) {
	consistent := func(n int) bool { return n > 0 && index*n < d.total && count == min(n, d.total-index*n) }
	switch {
	case consistent(d.expected), count == 0:
		return d.expected, d.expected != 0
	case index > 0 && consistent((d.total-count)/index): // the last segment, which has fewer tasks
		return (d.total - count) / index, true
	case consistent(count):
		return count, true
	}
	return 0, false
}

// restoreTasks restores consecutive tasks, starting at index first, from their records.
func restoreTasks(j *Job, first int, records []taskRecord) error {
	if first+len(records) > j.Tasks.Len() {
		return fmt.Errorf("%s: the store has %d tasks from index %d on, but the job has only %d tasks",
			j.Spec.ID, len(records), first, j.Tasks.Len())
	}
	for i, record := range records {
		if record != (taskRecord{}) { // otherwise the task was never placed
			j.Tasks.At(first + i).restore(record)
		}
	}
	return nil
}

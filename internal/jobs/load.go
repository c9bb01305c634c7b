package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// Errors of keys that an earlier term has left.
var (
	errNotJob        = errors.New("not a job")
	errLaterFormat   = errors.New("of a later format")
	errNoSuchSegment = errors.New("no such segment")
)

// Load restores a job, or some of its tasks, from a key below LivePrefix that an earlier term has
// left. Keys must be loaded in their order, in which a header comes before its segments.
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
	if err := json.Unmarshal(value, &header); err != nil {
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

// assumedClosedFor is the age of the end of a job that an earlier term has closed, which is not
// stored. It is longer than any time that counts from there.
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

// initLoadedFormat sets where a loaded job's tasks are stored.
func (tb *Table) initLoadedFormat(j *Job, header jobHeader) {
	switch {
	case header.Logged:
		j.storage.format = inLog
	case len(header.Tasks) == 0 && len(j.Tasks) > 0:
		j.storage.format = inDocuments
		tb.makeSegments(j, tb.tasksPerSegment)
	default:
		j.storage.format = inDocuments
		j.storage.segments = nil
	}
}

// storedSegment is a segment as it was read from the store.
type storedSegment struct {
	key      string
	number   string // the part of the key after the job's ID
	value    json.RawMessage
	revision ident.Revision
}

// deleteStraySegment deletes a segment whose job is archived, or has its tasks in the log.
func (tb *Table) deleteStraySegment(key string, revision ident.Revision) {
	doc := &commit.Document{Key: key, Revision: revision, Render: func() json.RawMessage { return nil }}
	tb.commits.MarkDirty(doc, nil)
}

// loadSegment restores some of a job's tasks, in the first format.
func (tb *Table) loadSegment(j *Job, stored storedSegment) error {
	var segment taskSegment
	if err := json.Unmarshal(stored.value, &segment); err != nil {
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

// adjustSegments divides a job's tasks into segments as a stored segment shows, which may have
// been written under another limit on the size of values.
func (tb *Table) adjustSegments(j *Job, index, count int) error {
	division := segmentDivision{total: len(j.Tasks), expected: j.storage.tasksPerSegment}
	tasksPerSegment, ok := division.infer(index, count)
	if !ok {
		return fmt.Errorf("%d tasks of %d", count, len(j.Tasks))
	}
	if tasksPerSegment == j.storage.tasksPerSegment {
		return nil
	}
	for _, doc := range j.storage.segments {
		if doc.Revision != 0 {
			return errors.New("its segments are divided in two ways")
		}
	}
	tb.makeSegments(j, tasksPerSegment)
	return nil
}

// segmentDivision is the division of a job's tasks into segments, all but the last of the same size.
type segmentDivision struct {
	total    int // number of tasks
	expected int // tasks per segment, unless a segment shows otherwise
}

// infer returns the number of tasks per segment that the number of tasks in one segment shows. It
// returns false if no division has such a segment.
func (d segmentDivision) infer(index, count int) (tasksPerSegment int, ok bool) {
	consistent := func(n int) bool { return n > 0 && index*n < d.total && count == min(n, d.total-index*n) }
	switch {
	case consistent(d.expected), count == 0:
		return d.expected, d.expected != 0
	case index > 0 && consistent((d.total-count)/index): // the last one, which is shorter
		return (d.total - count) / index, true
	case consistent(count):
		return count, true
	}
	return 0, false
}

// restoreTasks restores the tasks from an index on.
func restoreTasks(j *Job, first int, records []taskRecord) error {
	if first+len(records) > len(j.Tasks) {
		return fmt.Errorf("%s: more tasks than pieces", j.Spec.ID)
	}
	for i, record := range records {
		j.Tasks[first+i].restore(record)
	}
	return nil
}

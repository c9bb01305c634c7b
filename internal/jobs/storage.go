package jobs

import (
	"encoding/json"
	"fmt"
	"log/slog"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// storageFormat says where the store holds a job's tasks. All values except inLog belong to the legacy format
// (below ident.FormatPacked). When support for that format is dropped, also remove the segments, the tasks and
// the LSN in a header, the conversion, Task.JSONLine and Task.Document.
type storageFormat uint8

const (
	inDocuments storageFormat = iota // in the header or segments; later changes are in the log
	converting                       // being moved to the log
	inLog                            // only in the log
)

// storage holds a job's documents and its storage format.
type storage struct {
	format          storageFormat
	header          *commit.Document
	segments        []*commit.Document // hold the tasks of large jobs in the legacy format; nil if there are none
	tasksPerSegment int
	archived        bool // the job is archived in memory: its header and segments render as nil
}

// Prefixes of the keys under which jobs are stored.
const (
	LivePrefix    = "live/"
	ArchivePrefix = "over/"
)

// LiveKey returns the key of the header of a job that is not archived.
func LiveKey(id ident.JobID) string { return LivePrefix + string(id) }

// ArchiveKey returns the key of the record of an archived job.
func ArchiveKey(id ident.JobID) string { return ArchivePrefix + string(id) }

func segmentKey(id ident.JobID, n int) string { return fmt.Sprintf("%s/%05d", LiveKey(id), n) }

// initStorage creates the list of the job's tasks, and its documents.
func (tb *Table) initStorage(j *Job) {
	j.Tasks = newTaskList(j, j.Spec.Tasks, tb.now())
	j.storage.header = &commit.Document{Key: LiveKey(j.Spec.ID)}
	j.storage.header.Render = func() json.RawMessage { return tb.renderHeader(j) }
	j.storage.header.OnSent = j.recordDurableOnceApplied
	if tb.packedLog {
		j.storage.format = inLog
		return
	}
	if j.Tasks.Len() > tb.maxInlineTasks {
		tb.makeSegments(j, tb.tasksPerSegment)
	}
}

// renderHeader returns the value to store for the job's header, or nil if the job is archived.
func (tb *Table) renderHeader(j *Job) json.RawMessage {
	if j.storage.archived {
		return nil
	}
	header := jobHeader{Spec: j.Spec, Seq: j.Seq, SubmittedAtMS: j.SubmittedAtMS, Phase: j.Phase}
	if j.storage.format == inLog {
		header.Spec, header.Logged = j.trimmedSpec(), true
		return api.JSON(header)
	}
	header.LSN = tb.commits.LSN()
	if len(j.storage.segments) == 0 {
		header.Tasks = toRecords(&j.Tasks, 0, j.Tasks.Len())
	}
	return api.JSON(header)
}

// makeSegments creates the segment documents of a job, with the given number of tasks in each.
func (tb *Table) makeSegments(j *Job, tasksPerSegment int) {
	j.storage.tasksPerSegment, j.storage.segments = tasksPerSegment, nil
	for first := 0; first < j.Tasks.Len(); first += tasksPerSegment {
		end := min(first+tasksPerSegment, j.Tasks.Len())
		doc := &commit.Document{Key: segmentKey(j.Spec.ID, first/tasksPerSegment)}
		doc.Render = func() json.RawMessage { return tb.renderSegment(j, first, end) }
		j.storage.segments = append(j.storage.segments, doc)
	}
}

// renderSegment returns the value to store for the segment of the tasks from first to before end, or nil if the job is
// archived or its tasks are stored only in the log.
func (tb *Table) renderSegment(j *Job, first, end int) json.RawMessage {
	if j.storage.archived || j.storage.format == inLog {
		return nil
	}
	return api.JSON(taskSegment{LSN: tb.commits.LSN(), Tasks: toRecords(&j.Tasks, first, end)})
}

// trimmedSpec returns the specification to store. For a job that is not open, it omits the fields that are
// needed only to place tasks.
func (j *Job) trimmedSpec() *api.Spec {
	if j.Phase == Open {
		return j.Spec
	}
	s := *j.Spec
	s.Models, s.Zone, s.Class, s.Image = nil, nil, "", ""
	return &s
}

// recordDurableOnceApplied is called when the header is sent. The function that it returns records that the store holds the
// job in its present phase. Every transaction that creates the job or stores its end writes the header, or deletes it
// together with putting the archive record, and no other code sets the two fields of a job that was not loaded.
func (j *Job) recordDurableOnceApplied() (onApplied func()) {
	phase := j.Phase
	return func() {
		j.SubmissionDurable, j.DurablePhase = true, phase
		slog.Debug("job record durable", "job", string(j.Spec.ID), "phase", phase.String())
	}
}

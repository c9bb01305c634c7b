package jobs

import (
	"encoding/json"
	"fmt"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// storageFormat is the place of a job's tasks in the store. All formats but the last belong to the
// first version of the stored data. When that is no longer read, segments, the tasks and the
// LSN of a header, the conversion, and a task's JSONLine and Document can be removed with it.
type storageFormat uint8

const (
	inDocuments storageFormat = iota // in the header or the segments, and in the log since those were put
	converting                       // being moved to the log alone
	inLog                            // in the log alone
)

// storage holds the documents of a job and the place of its tasks in the store.
type storage struct {
	format          storageFormat
	header          *commit.Document
	segments        []*commit.Document // of the tasks of larger jobs; nil if they are not in segments
	tasksPerSegment int
	archived        bool // the job was archived in memory: its header and segments render as nil
}

// The keys of jobs.
const (
	LivePrefix    = "live/"
	ArchivePrefix = "over/"
)

// LiveKey returns the key of the header of a job that is not archived.
func LiveKey(id ident.JobID) string { return LivePrefix + string(id) }

// ArchiveKey returns the key of a job that is over.
func ArchiveKey(id ident.JobID) string { return ArchivePrefix + string(id) }

func segmentKey(id ident.JobID, n int) string { return fmt.Sprintf("%s/%05d", LiveKey(id), n) }

// initStorage makes the job's tasks and documents.
func (tb *Table) initStorage(j *Job) {
	now := tb.now()
	j.Tasks = make([]Task, j.Spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i] = Task{Job: j, Index: i, StateSince: now}
	}
	j.storage.header = &commit.Document{Key: LiveKey(j.Spec.ID)}
	j.storage.header.Render = func() json.RawMessage { return tb.renderHeader(j) }
	if tb.packedLog {
		j.storage.format = inLog
		return
	}
	if len(j.Tasks) > tb.maxInlineTasks {
		tb.makeSegments(j, tb.tasksPerSegment)
	}
}

// renderHeader returns the value of the job's header, nil once the job is archived.
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
		header.Tasks = toRecords(j.Tasks)
	}
	return api.JSON(header)
}

// makeSegments makes the documents of a job whose tasks are in segments.
func (tb *Table) makeSegments(j *Job, tasksPerSegment int) {
	j.storage.tasksPerSegment, j.storage.segments = tasksPerSegment, nil
	for first := 0; first < len(j.Tasks); first += tasksPerSegment {
		tasks := j.Tasks[first:min(first+tasksPerSegment, len(j.Tasks))]
		doc := &commit.Document{Key: segmentKey(j.Spec.ID, first/tasksPerSegment)}
		doc.Render = func() json.RawMessage { return tb.renderSegment(j, tasks) }
		j.storage.segments = append(j.storage.segments, doc)
	}
}

// renderSegment returns the value of a segment, nil once the job is archived or only the log has its
// tasks.
func (tb *Table) renderSegment(j *Job, tasks []Task) json.RawMessage {
	if j.storage.archived || j.storage.format == inLog {
		return nil
	}
	return api.JSON(taskSegment{LSN: tb.commits.LSN(), Tasks: toRecords(tasks)})
}

// trimmedSpec returns the specification to store. That of a job that is over lacks the fields that
// only its placement needs.
func (j *Job) trimmedSpec() *api.Spec {
	if j.Phase == Open {
		return j.Spec
	}
	s := *j.Spec
	s.Models, s.Zone, s.Class, s.Image = nil, nil, "", ""
	return &s
}

// markPhaseDurable records that the job's phase is durable.
func (j *Job) markPhaseDurable() {
	j.DurablePhase = j.Phase
	callAll(&j.callbacks.phaseDurable)
}

package jobs

import (
	"encoding/json"
	"fmt"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// The keys of jobs.
const (
	LivePrefix    = "live/"
	ArchivePrefix = "over/"
)

// LiveKey is the key of an unfinished job's header.
func LiveKey(id ident.JobID) string { return LivePrefix + string(id) }

// ArchiveKey is the key of a job that is over.
func ArchiveKey(id ident.JobID) string { return ArchivePrefix + string(id) }

// jobHeader is the value of a live key.
type jobHeader struct {
	Spec          *api.Spec    `json:"spec"`
	Seq           uint64       `json:"seq"`
	SubmittedAtMS int64        `json:"at_ms"`
	Phase         Phase        `json:"phase"`
	LSN           uint64       `json:"lsn,omitempty"` // records of the log up to it are part of this
	Tasks         []taskRecord `json:"tasks,omitempty"`
	// Logged says that the log alone has the tasks: one without a line was never placed.
	Logged bool `json:"logged,omitempty"`
}

// taskSegment is the value of a segment's key, of the first format.
type taskSegment struct {
	LSN   uint64       `json:"lsn,omitempty"`
	Tasks []taskRecord `json:"tasks"`
}

// logLine is a task's change in the log, of the first format.
type logLine struct {
	Job   ident.JobID `json:"j"`
	Index int         `json:"i,omitempty"`
	taskRecord
}

// taskRecord is a task in the state service. A task that was never placed is empty.
type taskRecord struct {
	Attempt     ident.Attempt     `json:"t,omitempty"`
	MachineID   ident.MachineID   `json:"h,omitempty"`
	Incarnation ident.Incarnation `json:"n,omitempty"`
	Done        bool              `json:"d,omitempty"`
}

// maxRecordBytes bounds a record's size in JSON, commas included.
const maxRecordBytes = 110

// HeaderSpecBytes is the room left for the specification in a header with tasks.
const HeaderSpecBytes = 4 << 10

// headerReserveBytes is the room left for what may still change in a header without.
const headerReserveBytes = 64

// trimmedSpec is the specification without what a cancelled job has no use for, if it is
// cancelled.
func (j *Job) trimmedSpec() *api.Spec {
	if j.Phase == Open {
		return j.Spec
	}
	s := *j.Spec
	s.Models, s.Zone, s.Class, s.Image = nil, nil, "", ""
	return &s
}

// markPhaseDurable notes that the job's phase is.
func (j *Job) markPhaseDurable() {
	j.DurablePhase = j.Phase
	callbacks := j.onPhaseDurable
	j.onPhaseDurable = nil
	for _, f := range callbacks {
		f()
	}
}

// initStorage makes the job's tasks and documents.
func (tb *Table) initStorage(j *Job) {
	id := j.Spec.ID
	now := tb.now()
	j.Tasks = make([]Task, j.Spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i] = Task{Job: j, Index: i, StateSince: now}
	}
	j.headerDoc = &commit.Document{Key: LiveKey(id)}
	j.headerDoc.Render = func() json.RawMessage {
		if j.archived {
			return nil
		}
		hdr := jobHeader{Spec: j.Spec, Seq: j.Seq, SubmittedAtMS: j.SubmittedAtMS, Phase: j.Phase}
		if j.storage == inLog {
			hdr.Spec, hdr.Logged = j.trimmedSpec(), true
			return api.JSON(hdr)
		}
		hdr.LSN = tb.commits.LSN()
		if len(j.segmentDocs) == 0 {
			hdr.Tasks = toRecords(j.Tasks)
		}
		return api.JSON(hdr)
	}
	if tb.packedLog {
		j.storage = inLog
		return
	}
	if len(j.Tasks) > tb.maxInlineTasks {
		tb.makeSegments(j, tb.tasksPerSegment)
	}
}

// makeSegments makes the documents of a job whose tasks are in segments.
func (tb *Table) makeSegments(j *Job, tasksPerSegment int) {
	j.tasksPerSegment, j.segmentDocs = tasksPerSegment, nil
	for first := 0; first < len(j.Tasks); first += tasksPerSegment {
		part := j.Tasks[first:min(first+tasksPerSegment, len(j.Tasks))]
		doc := &commit.Document{Key: segmentKey(j.Spec.ID, first/tasksPerSegment)}
		doc.Render = func() json.RawMessage {
			if j.archived || j.storage == inLog {
				return nil
			}
			return api.JSON(taskSegment{LSN: tb.commits.LSN(), Tasks: toRecords(part)})
		}
		j.segmentDocs = append(j.segmentDocs, doc)
	}
}

func segmentKey(id ident.JobID, n int) string { return fmt.Sprintf("%s/%05d", LiveKey(id), n) }

func toRecords(tasks []Task) []taskRecord {
	out := make([]taskRecord, len(tasks))
	for i := range tasks {
		out[i] = tasks[i].toRecord()
	}
	return out
}

func (t *Task) toRecord() taskRecord {
	rec := taskRecord{Attempt: t.Attempt, Done: t.State == Completed}
	if t.State.Allocated() {
		rec.MachineID, rec.Incarnation = t.MachineID, t.Incarnation
	}
	return rec
}

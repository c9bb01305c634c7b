package jobs

import (
	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// jobHeader is the value of a job's live key.
type jobHeader struct {
	Spec          *api.Spec    `json:"spec"`
	Seq           uint64       `json:"seq"`
	SubmittedAtMS int64        `json:"at_ms"`
	Phase         Phase        `json:"phase"`
	LSN           uint64       `json:"lsn,omitempty"` // log records up to this sequence number are included in the header
	Tasks         []taskRecord `json:"tasks,omitempty"`
	// Logged is set if the tasks are stored only in the log. Tasks without a line there were never placed.
	Logged bool `json:"logged,omitempty"`
}

// taskSegment is the value of a segment's key, in the legacy format.
type taskSegment struct {
	LSN   uint64       `json:"lsn,omitempty"`
	Tasks []taskRecord `json:"tasks"`
}

// logRecord is the value of a log key. Its lines are in one of two formats.
type logRecord struct {
	LSN   uint64    `json:"n"`
	Lines []logLine `json:"l"` // in the legacy format
	Text  string    `json:"t"` // in the packed format
}

// logLine is a log line, which holds the state of one task, in the legacy format.
type logLine struct {
	Job   ident.JobID `json:"j"`
	Index int         `json:"i,omitempty"`
	taskRecord
}

// taskRecord is the stored state of a task. It is the zero value for a task that was never placed.
type taskRecord struct {
	Attempt     ident.Attempt     `json:"t,omitempty"`
	MachineID   ident.MachineID   `json:"h,omitempty"`
	Incarnation ident.Incarnation `json:"n,omitempty"`
	Done        bool              `json:"d,omitempty"`
}

// Size bounds of stored values, in bytes.
const (
	// maxRecordBytes is an upper bound on the size of a taskRecord in JSON, including the comma after it.
	maxRecordBytes = 110
	// HeaderSpecBytes is the space reserved for the specification in a header with tasks.
	HeaderSpecBytes = 4 << 10
	// headerReserveBytes is the space reserved for later changes of fields in a header without tasks.
	headerReserveBytes = 64
	// segmentReserveBytes is the space reserved for the parts of a segment other than its tasks.
	segmentReserveBytes = 64
)

// toRecords returns the records of the tasks from first to before end.
func toRecords(tasks *TaskList, first, end int) []taskRecord {
	out := make([]taskRecord, end-first)
	for i := range out {
		if t := tasks.created(first + i); t != nil {
			out[i] = t.toRecord()
		}
	}
	return out
}

func (t *Task) toRecord() taskRecord {
	record := taskRecord{Attempt: t.Attempt, Done: t.State == Completed}
	if t.State.Allocated() {
		record.MachineID, record.Incarnation = t.MachineID, t.Incarnation
	}
	return record
}

// restore sets a task's state from its record.
func (t *Task) restore(record taskRecord) {
	state := Waiting
	t.Attempt, t.MachineID, t.Incarnation = record.Attempt, "", 0
	switch {
	case record.Done:
		state = Completed
	case record.MachineID != "":
		state = Assigned
		t.MachineID, t.Incarnation = record.MachineID, record.Incarnation
	}
	t.Job.recordTransition(t.State, state)
	t.State = state
}

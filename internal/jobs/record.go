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
	LivePrefix = "live/"
	OverPrefix = "over/"
)

// LiveKey is the key of an unfinished job's header.
func LiveKey(id ident.JobID) string { return LivePrefix + string(id) }

// OverKey is the key of a job that is over.
func OverKey(id ident.JobID) string { return OverPrefix + string(id) }

// header is the value of a live key.
type header struct {
	Spec  *api.Spec `json:"spec"`
	Seq   uint64    `json:"seq"`
	AtMS  int64     `json:"at_ms"`
	Phase Phase     `json:"phase"`
	LSN   uint64    `json:"lsn,omitempty"` // records of the log up to it are part of this
	Tasks []record  `json:"tasks,omitempty"`
	// Logged says that the log alone has the tasks: one without a line was never placed.
	Logged bool `json:"logged,omitempty"`
}

// segment is the value of a segment's key, of the first format.
type segment struct {
	LSN   uint64   `json:"lsn,omitempty"`
	Tasks []record `json:"tasks"`
}

// line is a task's change in the log, of the first format.
type line struct {
	Job   ident.JobID `json:"j"`
	Index int         `json:"i,omitempty"`
	record
}

// record is a task in the state service. A task that was never placed is empty.
type record struct {
	Attempt ident.Attempt     `json:"t,omitempty"`
	Host    ident.MachineID   `json:"h,omitempty"`
	Session ident.Incarnation `json:"n,omitempty"`
	Done    bool              `json:"d,omitempty"`
}

// recordBytes bounds a record's size in JSON, commas included.
const recordBytes = 110

// HeaderBytes is the room left for the specification in a header with tasks.
const HeaderBytes = 4 << 10

// spareBytes is the room left for what may still change in a header without.
const spareBytes = 64

// trimmed is the specification without what a cancelled job has no use for, if it is
// cancelled.
func (j *Job) trimmed() *api.Spec {
	if j.Phase == Open {
		return j.Spec
	}
	s := *j.Spec
	s.Models, s.Zone, s.Class, s.Image = nil, nil, "", ""
	return &s
}

// durable notes that the job's phase is.
func (j *Job) durable() {
	j.Durable = j.Phase
	fs := j.clears
	j.clears = nil
	for _, f := range fs {
		f()
	}
}

// shape makes the job's tasks and documents.
func (tb *Table) shape(j *Job) {
	id := j.Spec.ID
	now := tb.now()
	j.Tasks = make([]Task, j.Spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i] = Task{Job: j, Index: i, Since: now}
	}
	j.head = &commit.Document{Key: LiveKey(id)}
	j.head.Render = func() json.RawMessage {
		if j.over {
			return nil
		}
		h := header{Spec: j.Spec, Seq: j.Seq, AtMS: j.AtMS, Phase: j.Phase}
		if j.form == logged {
			h.Spec, h.Logged = j.trimmed(), true
			return api.JSON(h)
		}
		h.LSN = tb.commits.LSN()
		if len(j.segs) == 0 {
			h.Tasks = records(j.Tasks)
		}
		return api.JSON(h)
	}
	if tb.packed {
		j.form = logged
		return
	}
	if len(j.Tasks) > tb.inline {
		tb.divide(j, tb.perSeg)
	}
}

// divide makes the documents of a job whose tasks are in segments.
func (tb *Table) divide(j *Job, per int) {
	j.perSeg, j.segs = per, nil
	for at := 0; at < len(j.Tasks); at += per {
		part := j.Tasks[at:min(at+per, len(j.Tasks))]
		d := &commit.Document{Key: segKey(j.Spec.ID, at/per)}
		d.Render = func() json.RawMessage {
			if j.over || j.form == logged {
				return nil
			}
			return api.JSON(segment{LSN: tb.commits.LSN(), Tasks: records(part)})
		}
		j.segs = append(j.segs, d)
	}
}

func segKey(id ident.JobID, n int) string { return fmt.Sprintf("%s/%05d", LiveKey(id), n) }

func records(tasks []Task) []record {
	out := make([]record, len(tasks))
	for i := range tasks {
		out[i] = tasks[i].record()
	}
	return out
}

func (t *Task) record() record {
	r := record{Attempt: t.Attempt, Done: t.State == Finished}
	if t.State.Held() {
		r.Host, r.Session = t.Host, t.Session
	}
	return r
}

package jobs

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// Load takes in what an earlier term left. Pairs come in the order of keys, so a
// header comes before its segments.
func (tb *Table) Load(path string, value json.RawMessage, revision ident.Revision) error {
	id, segment, isSegment := strings.Cut(strings.TrimPrefix(path, LivePrefix), "/")
	if isSegment {
		return tb.loadSegment(path, ident.JobID(id), segment, value, revision)
	}
	return tb.loadHeader(path, value, revision)
}

// loadHeader takes in a job.
func (tb *Table) loadHeader(path string, value json.RawMessage, revision ident.Revision) error {
	var hdr jobHeader
	if err := json.Unmarshal(value, &hdr); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if hdr.Spec == nil || LiveKey(hdr.Spec.ID) != path {
		return fmt.Errorf("%s: not a job", path)
	}
	age := time.Duration(max(0, tb.wallClock()-hdr.SubmittedAtMS)) * time.Millisecond
	j := &Job{Spec: hdr.Spec, Seq: hdr.Seq, SubmittedAtMS: hdr.SubmittedAtMS, SubmittedAt: tb.now().Add(-age), Phase: hdr.Phase, DurablePhase: hdr.Phase, SubmissionDurable: true}
	if j.Phase != Open {
		j.ClosedAt = tb.now().Add(-time.Hour) // nobody knows, long enough
	}
	tb.initStorage(j)
	j.storage = inDocuments
	if hdr.Logged {
		if !tb.packedLog {
			return fmt.Errorf("%s: of a later format", path)
		}
		j.storage = inLog
	} else if len(hdr.Tasks) == 0 && len(j.Tasks) > 0 {
		tb.makeSegments(j, tb.tasksPerSegment)
	} else {
		j.segmentDocs = nil
	}
	j.headerDoc.Revision, j.headerDoc.LSN = revision, hdr.LSN
	tb.commits.ObserveLSN(hdr.LSN)
	tb.Jobs[hdr.Spec.ID] = j
	tb.Seq = max(tb.Seq, hdr.Seq)
	return tb.restoreTasks(j, 0, hdr.Tasks)
}

// loadSegment takes in a part of a job's tasks, of the first format.
func (tb *Table) loadSegment(path string, id ident.JobID, number string, value json.RawMessage, revision ident.Revision) error {
	j := tb.Jobs[id]
	if j == nil || j.storage == inLog {
		doc := &commit.Document{Key: path, Revision: revision, Render: func() json.RawMessage { return nil }}
		tb.commits.MarkDirty(doc, nil)
		return nil
	}
	var seg taskSegment
	if err := json.Unmarshal(value, &seg); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	segmentIndex, err := strconv.Atoi(number)
	if err != nil || segmentIndex < 0 {
		return fmt.Errorf("%s: no such segment", path)
	}
	switch per := inferTasksPerSegment(segmentIndex, len(seg.Tasks), len(j.Tasks), j.tasksPerSegment); {
	case per == 0:
		return fmt.Errorf("%s: %d tasks of %d", path, len(seg.Tasks), len(j.Tasks))
	case per != j.tasksPerSegment:
		// Divided under another limit: the segment says how.
		for _, doc := range j.segmentDocs {
			if doc.Revision != 0 {
				return fmt.Errorf("%s: its segments are divided in two ways", path)
			}
		}
		tb.makeSegments(j, per)
	}
	if segmentIndex >= len(j.segmentDocs) {
		return fmt.Errorf("%s: no such segment", path)
	}
	j.segmentDocs[segmentIndex].Revision, j.segmentDocs[segmentIndex].LSN = revision, seg.LSN
	tb.commits.ObserveLSN(seg.LSN)
	return tb.restoreTasks(j, segmentIndex*j.tasksPerSegment, seg.Tasks)
}

// inferTasksPerSegment works out how many tasks each segment has from the n-th, which has so
// many of all, if it isn't as many as thought.
func inferTasksPerSegment(index, count, total, expected int) int {
	consistent := func(per int) bool { return per > 0 && index*per < total && count == min(per, total-index*per) }
	switch {
	case consistent(expected), count == 0:
		return expected
	case index > 0 && consistent((total-count)/index): // the last one, which is shorter
		return (total - count) / index
	case consistent(count):
		return count
	}
	return 0
}

func (tb *Table) restoreTasks(j *Job, first int, records []taskRecord) error {
	if first+len(records) > len(j.Tasks) {
		return fmt.Errorf("%s: more tasks than pieces", j.Spec.ID)
	}
	for i, rec := range records {
		j.Tasks[first+i].restore(rec)
	}
	return nil
}

// restore sets a task to what was durable of it.
func (t *Task) restore(rec taskRecord) {
	j := t.Job
	if t.State == Completed {
		j.CompletedTasks--
	}
	if t.State.Allocated() {
		j.AllocatedTasks--
	}
	t.Attempt, t.State, t.MachineID, t.Incarnation = rec.Attempt, Waiting, "", 0
	switch {
	case rec.Done:
		t.State = Completed
		j.CompletedTasks++
	case rec.MachineID != "":
		t.MachineID, t.Incarnation, t.State = rec.MachineID, rec.Incarnation, Assigned
		j.AllocatedTasks++
	}
}

// LoadLog takes in the records of the log, after all jobs.
func (tb *Table) LoadLog(pairs []kvstore.KeyValue) error {
	type rec struct {
		LSN   uint64    `json:"n"`
		Lines []logLine `json:"l"`
		Text  string    `json:"t"`
	}
	records := make([]rec, len(pairs))
	order := make([]int, len(pairs))
	for i, p := range pairs {
		order[i] = i
		if err := json.Unmarshal(p.Value, &records[i]); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
	}
	// Slots are used again in any order.
	sort.Slice(order, func(i, k int) bool { return records[order[i]].LSN < records[order[k]].LSN })
	for _, i := range order {
		r := records[i]
		var homeDocs []*commit.Document
		var entries []commit.Entry
		apply := func(id ident.JobID, index int, rec taskRecord) {
			j := tb.Jobs[id]
			if j == nil || index >= len(j.Tasks) {
				return // over since
			}
			t := &j.Tasks[index]
			// Numbers of records were once given out twice, see Committer.LSN: what was
			// written after its home has not been taken over by it.
			if home := t.Document(); j.storage != inLog && home.LSN >= r.LSN {
				if home.Revision >= pairs[i].Revision {
					return
				}
				home.LSN = r.LSN - 1
			}
			t.restore(rec)
			homeDocs = append(homeDocs, t.Document())
			entries = append(entries, t)
		}
		for _, entry := range r.Lines {
			apply(entry.Job, entry.Index, entry.taskRecord)
		}
		err := commit.ParseText(r.Text, func(group, text string) error {
			index, rec, err := parseLogLine(text)
			if err == nil {
				apply(ident.JobID(group), index, rec)
			}
			return err
		})
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", pairs[i].Key, err)
		case tb.packedLog:
			tb.commits.RestoreText(pairs[i].Key, pairs[i].Revision, r.LSN, entries)
		case r.Text != "":
			return fmt.Errorf("%s: of a later format", pairs[i].Key)
		default:
			tb.commits.RestoreJSON(pairs[i].Key, pairs[i].Revision, r.LSN, homeDocs)
		}
	}
	return nil
}

// ParseLiveView is the view of a job as a live key has it: for nodes that don't lead.
func ParseLiveView(value json.RawMessage) (api.JobView, error) {
	var hdr jobHeader
	if err := json.Unmarshal(value, &hdr); err != nil {
		return api.JobView{}, err
	}
	if hdr.Spec == nil {
		return api.JobView{}, fmt.Errorf("not a job")
	}
	view := api.JobView{ID: hdr.Spec.ID, Status: api.StatusQueued}
	for _, t := range hdr.Tasks {
		if t.Done {
			view.Done++
		} else if t.MachineID != "" {
			view.Running++
		}
	}
	switch {
	case hdr.Phase != Open:
		view.Status, view.Running = hdr.Phase.Status(), 0
	case view.Running > 0:
		view.Status = api.StatusRunning
	}
	return view, nil
}

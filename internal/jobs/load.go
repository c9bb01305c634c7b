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
	"opaldale/internal/statesvc"
)

// Load takes in what an earlier term left. Pairs come in the order of keys, so a
// header comes before its segments.
func (tb *Table) Load(path string, value json.RawMessage, stamp ident.Revision) error {
	id, segment, isSegment := strings.Cut(strings.TrimPrefix(path, LivePrefix), "/")
	if isSegment {
		return tb.loadSegment(path, ident.JobID(id), segment, value, stamp)
	}
	return tb.loadHeader(path, value, stamp)
}

// loadHeader takes in a job.
func (tb *Table) loadHeader(path string, value json.RawMessage, stamp ident.Revision) error {
	var h header
	if err := json.Unmarshal(value, &h); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if h.Spec == nil || LiveKey(h.Spec.ID) != path {
		return fmt.Errorf("%s: not a job", path)
	}
	age := time.Duration(max(0, tb.wall()-h.AtMS)) * time.Millisecond
	j := &Job{Spec: h.Spec, Seq: h.Seq, AtMS: h.AtMS, Arrived: tb.now().Add(-age), Phase: h.Phase, Durable: h.Phase, Known: true}
	if j.Phase != Open {
		j.Ended = tb.now().Add(-time.Hour) // nobody knows, long enough
	}
	tb.shape(j)
	j.form = whole
	if h.Logged {
		if !tb.packed {
			return fmt.Errorf("%s: of a later format", path)
		}
		j.form = logged
	} else if len(h.Tasks) == 0 && len(j.Tasks) > 0 {
		tb.divide(j, tb.perSeg)
	} else {
		j.segs = nil
	}
	j.head.Revision, j.head.LSN = stamp, h.LSN
	tb.commits.ObserveLSN(h.LSN)
	tb.Jobs[h.Spec.ID] = j
	tb.Seq = max(tb.Seq, h.Seq)
	return tb.restore(j, 0, h.Tasks)
}

// loadSegment takes in a part of a job's tasks, of the first format.
func (tb *Table) loadSegment(path string, id ident.JobID, number string, value json.RawMessage, stamp ident.Revision) error {
	j := tb.Jobs[id]
	if j == nil || j.form == logged {
		d := &commit.Document{Key: path, Revision: stamp, Render: func() json.RawMessage { return nil }}
		tb.commits.MarkDirty(d, nil)
		return nil
	}
	var s segment
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		return fmt.Errorf("%s: no such segment", path)
	}
	switch per := perSegment(n, len(s.Tasks), len(j.Tasks), j.perSeg); {
	case per == 0:
		return fmt.Errorf("%s: %d tasks of %d", path, len(s.Tasks), len(j.Tasks))
	case per != j.perSeg:
		// Divided under another limit: the segment says how.
		for _, d := range j.segs {
			if d.Revision != 0 {
				return fmt.Errorf("%s: its segments are divided in two ways", path)
			}
		}
		tb.divide(j, per)
	}
	if n >= len(j.segs) {
		return fmt.Errorf("%s: no such segment", path)
	}
	j.segs[n].Revision, j.segs[n].LSN = stamp, s.LSN
	tb.commits.ObserveLSN(s.LSN)
	return tb.restore(j, n*j.perSeg, s.Tasks)
}

// perSegment works out how many tasks each segment has from the n-th, which has so
// many of all, if it isn't as many as thought.
func perSegment(n, has, all, thought int) int {
	can := func(per int) bool { return per > 0 && n*per < all && has == min(per, all-n*per) }
	switch {
	case can(thought), has == 0:
		return thought
	case n > 0 && can((all-has)/n): // the last one, which is shorter
		return (all - has) / n
	case can(has):
		return has
	}
	return 0
}

func (tb *Table) restore(j *Job, at int, recs []record) error {
	if at+len(recs) > len(j.Tasks) {
		return fmt.Errorf("%s: more tasks than pieces", j.Spec.ID)
	}
	for i, r := range recs {
		j.Tasks[at+i].restore(r)
	}
	return nil
}

// restore sets a task to what was durable of it.
func (t *Task) restore(r record) {
	j := t.Job
	if t.State == Finished {
		j.Done--
	}
	if t.State.Held() {
		j.Held--
	}
	t.Attempt, t.State, t.Host, t.Session = r.Attempt, Waiting, "", 0
	switch {
	case r.Done:
		t.State = Finished
		j.Done++
	case r.Host != "":
		t.Host, t.Session, t.State = r.Host, r.Session, Assigned
		j.Held++
	}
}

// LoadLog takes in the records of the log, after all jobs.
func (tb *Table) LoadLog(pairs []statesvc.KeyValue) error {
	type rec struct {
		LSN   uint64 `json:"n"`
		Lines []line `json:"l"`
		Text  string `json:"t"`
	}
	recs := make([]rec, len(pairs))
	order := make([]int, len(pairs))
	for i, p := range pairs {
		order[i] = i
		if err := json.Unmarshal(p.Value, &recs[i]); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
	}
	// Slots are used again in any order.
	sort.Slice(order, func(i, k int) bool { return recs[order[i]].LSN < recs[order[k]].LSN })
	for _, i := range order {
		r := recs[i]
		var homes []*commit.Document
		var entries []commit.Entry
		apply := func(id ident.JobID, index int, rec record) {
			j := tb.Jobs[id]
			if j == nil || index >= len(j.Tasks) {
				return // over since
			}
			t := &j.Tasks[index]
			// Numbers of records were once given out twice, see Committer.LSN: what was
			// written after its home has not been taken over by it.
			if d := t.Document(); j.form != logged && d.LSN >= r.LSN {
				if d.Revision >= pairs[i].Revision {
					return
				}
				d.LSN = r.LSN - 1
			}
			t.restore(rec)
			homes = append(homes, t.Document())
			entries = append(entries, t)
		}
		for _, l := range r.Lines {
			apply(l.Job, l.Index, l.record)
		}
		err := commit.ParseText(r.Text, func(group, text string) error {
			index, rec, err := parseLine(text)
			if err == nil {
				apply(ident.JobID(group), index, rec)
			}
			return err
		})
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", pairs[i].Key, err)
		case tb.packed:
			tb.commits.RestoreText(pairs[i].Key, pairs[i].Revision, r.LSN, entries)
		case r.Text != "":
			return fmt.Errorf("%s: of a later format", pairs[i].Key)
		default:
			tb.commits.RestoreJSON(pairs[i].Key, pairs[i].Revision, r.LSN, homes)
		}
	}
	return nil
}

// ReadLive is the view of a job as a live key has it: for nodes that don't lead.
func ReadLive(value json.RawMessage) (api.View, error) {
	var h header
	if err := json.Unmarshal(value, &h); err != nil {
		return api.View{}, err
	}
	if h.Spec == nil {
		return api.View{}, fmt.Errorf("not a job")
	}
	v := api.View{ID: h.Spec.ID, Status: "queued"}
	for _, t := range h.Tasks {
		if t.Done {
			v.Done++
		} else if t.Host != "" {
			v.Running++
		}
	}
	switch {
	case h.Phase != Open:
		v.Status, v.Running = h.Phase.String(), 0
	case v.Running > 0:
		v.Status = "running"
	}
	return v, nil
}

package jobs

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
)

// JSONLine is the task in the log of changes.
func (t *Task) JSONLine() any { return line{t.Job.Spec.ID, t.Index, t.record()} }

// TextLine is the task in the log's own format: its index, its try, and if it counts on a
// machine that one and its session, or a mark if it has completed.
func (t *Task) TextLine() (group, line string) {
	r := t.record()
	b := strconv.AppendInt(nil, int64(t.Index), 10)
	b = append(b, ',')
	b = strconv.AppendUint(b, uint64(r.Attempt), 10)
	switch {
	case r.Done:
		b = append(b, ",+"...)
	case r.Host != "":
		b = append(b, ',')
		b = append(b, url.QueryEscape(string(r.Host))...)
		b = append(b, ',')
		b = strconv.AppendUint(b, uint64(r.Session), 10)
	}
	return string(t.Job.Spec.ID), string(b)
}

// parseLine reads what Text wrote.
func parseLine(text string) (index int, r record, err error) {
	f := strings.Split(text, ",")
	if len(f) < 2 || len(f) > 4 {
		return 0, r, fmt.Errorf("malformed line %q", text)
	}
	index, err = strconv.Atoi(f[0])
	num := func(s string) uint64 {
		n, bad := strconv.ParseUint(s, 10, 64)
		if bad != nil {
			err = bad
		}
		return n
	}
	r.Attempt = ident.Attempt(num(f[1]))
	switch {
	case len(f) == 3 && f[2] == "+":
		r.Done = true
	case len(f) == 3:
		return 0, r, fmt.Errorf("malformed line %q", text)
	case len(f) == 4:
		host, bad := url.QueryUnescape(f[2])
		if bad != nil || host == "" {
			return 0, r, fmt.Errorf("malformed line %q", text)
		}
		r.Host, r.Session = ident.MachineID(host), ident.Incarnation(num(f[3]))
	}
	if err != nil || index < 0 {
		return 0, r, fmt.Errorf("malformed line %q", text)
	}
	return index, r, nil
}

// Pin is the task's hold on the record of the log with its newest line.
func (t *Task) Pin() *commit.Pin { return &t.pin }

// Document is the document that holds the task.
func (t *Task) Document() *commit.Document {
	if len(t.Job.segs) == 0 {
		return t.Job.head
	}
	return t.Job.segs[t.Index/t.Job.perSeg]
}

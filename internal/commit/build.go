package commit

import (
	"encoding/json"
	"strings"

	"opaldale/internal/statesvc"
)

// line is an entry in a record that is under way.
type line struct {
	entry Entry
	then  []func()
}

// draft is a transaction while it is put together.
type draft struct {
	t       *txn
	conds   []statesvc.Cond
	changes []statesvc.Change
	size    int
}

func (c *Committer) build() *txn {
	b := &draft{t: &txn{wait: firstWait}, conds: []statesvc.Cond{c.leader}}
	b.t.text = c.text
	c.addLog(b)
	c.queue = c.addDocs(b, c.queue, urgent)
	if len(c.queue) == 0 && c.spare() {
		c.lazy = c.addDocs(b, c.lazy, lazy)
	}
	if len(b.t.docs) == 0 && len(b.t.slots) == 0 {
		return nil
	}
	b.t.req = statesvc.Request{Op: statesvc.Txn, If: b.conds, Then: b.changes, Timeout: txnTime}
	return b.t
}

// addLog packs the lines that wait into records.
func (c *Committer) addLog(b *draft) {
	for n := 0; n < min(maxLog, c.limits.Ops) && len(c.entries) > 0; n++ {
		c.lsn++
		c.logged = c.port.Now()
		c.Records++
		rec := record{LSN: c.lsn}
		var take []Entry
		if c.text {
			take = c.pack(&rec)
		} else {
			per := max(1, (c.limits.ValueBytes-64)/LineBytes)
			take = c.entries[:min(per, len(c.entries))]
			for _, e := range take {
				rec.Lines = append(rec.Lines, e.Line())
			}
		}
		c.entries = c.entries[len(take):]
		lines := make([]line, len(take))
		for i, e := range take {
			lines[i] = line{e, c.then[e]}
			delete(c.then, e)
		}
		value, err := json.Marshal(rec)
		if err != nil {
			panic(err)
		}
		s := c.slot()
		s.lsn = c.lsn
		c.flying[c.lsn] = true
		b.t.slots = append(b.t.slots, s)
		b.t.lines = append(b.t.lines, lines)
		b.conds = append(b.conds, statesvc.Cond{Path: s.path, Stamp: s.stamp})
		b.changes = append(b.changes, statesvc.Change{Put: s.path, Value: value})
		b.size += len(value) + perChange
	}
	if len(c.entries) == 0 {
		c.entries = nil
	}
}

// pack fills a record with lines of text, as many as surely fit into a value, and
// returns their entries.
func (c *Committer) pack(rec *record) []Entry {
	const envelope = 64 // the record without its text
	var text strings.Builder
	last, n, size := "", 0, envelope
	for _, e := range c.entries {
		group, line := e.Text()
		add := len(line) + 1
		if group != last {
			add += len(group) + 2 // the end of a line takes two bytes in JSON
		}
		if n > 0 && size+add > c.limits.ValueBytes {
			break
		}
		if group != last {
			if n > 0 {
				text.WriteByte('\n')
			}
			text.WriteString(group)
			last = group
		}
		text.WriteByte(' ')
		text.WriteString(line)
		size += add
		n++
	}
	rec.Text = text.String()
	return c.entries[:n]
}

// Unpack calls f for each line of a record's text.
func Unpack(text string, f func(group, line string) error) error {
	for len(text) > 0 {
		var row string
		row, text, _ = strings.Cut(text, "\n")
		group, rest, _ := strings.Cut(row, " ")
		for len(rest) > 0 {
			var line string
			line, rest, _ = strings.Cut(rest, " ")
			if err := f(group, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// addDocs adds documents from the front of a queue as far as the limits allow,
// and returns the rest of it.
func (c *Committer) addDocs(b *draft, queue []*Doc, u urgency) []*Doc {
	n := 0
	for _, d := range queue {
		if d.queued != u || d.state != dirty {
			n++ // went with the other queue
			continue
		}
		var own []statesvc.Change
		value := d.Render()
		if value == nil {
			if d.Stamp != 0 {
				own = append(own, statesvc.Change{Delete: d.Path})
			}
		} else {
			own = append(own, statesvc.Change{Put: d.Path, Value: value})
		}
		if d.Also != nil {
			own = append(own, d.Also()...)
		}
		add := len(value) + perChange*len(own)
		if len(b.changes) > 0 && (len(b.changes)+len(own) > c.limits.Ops || b.size+add > maxBytes ||
			float64(len(b.changes)+len(own)) > c.tokens || len(b.conds)+len(d.Absent)+1 > 4*c.limits.Ops) {
			break
		}
		n++
		b.size += add
		b.conds = append(b.conds, statesvc.Cond{Path: d.Path, Stamp: d.Stamp})
		for _, p := range d.Absent {
			b.conds = append(b.conds, statesvc.Cond{Path: p})
		}
		b.changes = append(b.changes, own...)
		d.riding, d.waiting = d.waiting, nil
		d.rendered = c.LSN()
		d.queued = unqueued
		d.to(flying)
		b.t.docs = append(b.t.docs, d)
	}
	return append(queue[:0], queue[n:]...)
}

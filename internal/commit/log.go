package commit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"opaldale/internal/ident"
)

// Entry is something small of a document whose changes go to the log.
type Entry interface {
	// Line is its present content, and Home the document that it is part of; both are of
	// the first format, as are slots' homes, keep, cover and fold.
	Line() any
	Home() *Doc
	// Text is its present content in the log's own format, beside the name that
	// lines of one group share; neither has a space in it.
	Text() (group, line string)
	// Pin is the entry's hold on the record with its newest line.
	Pin() *Pin
}

// Pin is an entry's hold on a record of the log.
type Pin struct {
	slot *slot
	gone bool // the entry needs no line any more
}

// Held says whether a durable record holds the entry's newest content.
func (p *Pin) Held() bool { return p.slot != nil }

// LineBytes bounds a line in JSON, comma included.
const LineBytes = 130

// LogPrefix is where the records of the log are.
const LogPrefix = "log/"

// record is the value of a slot of the log.
type record struct {
	LSN   uint64 `json:"n"`
	Lines []any  `json:"l,omitempty"`
	Text  string `json:"t,omitempty"` // a line for each group: its name, then its lines, with spaces between
}

// slot is a key of the log.
type slot struct {
	path    string
	stamp   ident.Stamp
	lsn     uint64
	left    int     // documents that have not taken over their lines, or entries whose newest line it has
	homes   []*Doc  // of its lines
	entries []Entry // that held it when it was written
	folding bool    // they are being written once more
	doubt   bool    // as in Doc
}

// LSN is the number of the newest record of the log up to which all are durable: for
// documents to put beside their content, which has all lines up to it. (It was that of
// the newest one under way. When that never came to be, but such a document did, the
// next term gave the number out again, and the record's lines were passed over.)
func (c *Committer) LSN() uint64 {
	lsn := c.lsn
	for n := range c.flying {
		lsn = min(lsn, n-1)
	}
	return lsn
}

// Seen notes the number of a record that a document of an earlier term has taken over:
// no later record may have it or a lower one.
func (c *Committer) Seen(lsn uint64) { c.lsn = max(c.lsn, lsn) }

// Append queues an entry's present content for the log; then is called once that,
// or later content, is durable.
func (c *Committer) Append(e Entry, then func()) {
	fs, queued := c.then[e]
	if !queued {
		c.entries = append(c.entries, e)
	}
	if then != nil {
		fs = append(fs, then)
	}
	c.then[e] = fs
}

// Restore takes in a record that an earlier term left, with those of its
// documents that were not put since.
func (c *Committer) Restore(path string, stamp ident.Stamp, lsn uint64, homes []*Doc) {
	c.restored(path, lsn)
	c.keep(&slot{path: path, stamp: stamp, lsn: lsn}, homes)
}

func (c *Committer) restored(path string, lsn uint64) {
	c.lsn = max(c.lsn, lsn)
	// There may be gaps, of slots whose first record never came to be.
	if n, err := strconv.Atoi(strings.TrimPrefix(path, LogPrefix)); err == nil {
		c.slots = max(c.slots, n+1)
	}
}

// RestoreText takes in a record that an earlier term left, whose lines hold it by
// themselves. Records come in the order of their numbers.
func (c *Committer) RestoreText(path string, stamp ident.Stamp, lsn uint64, entries []Entry) {
	c.restored(path, lsn)
	c.hold(&slot{path: path, stamp: stamp, lsn: lsn}, entries)
}

// hold has entries hold a durable record from now on, instead of an earlier one.
func (c *Committer) hold(s *slot, entries []Entry) {
	s.left, s.homes, s.entries = 0, nil, nil
	for _, e := range entries {
		p := e.Pin()
		if p.gone || p.slot == s || p.slot != nil && p.slot.lsn > s.lsn {
			continue
		}
		c.letGo(p)
		p.slot = s
		s.left++
		c.pinned++
		s.entries = append(s.entries, e)
	}
	c.retain(s)
}

// retain keeps a record for as long as something holds it.
func (c *Committer) retain(s *slot) {
	if s.left == 0 {
		c.free = append(c.free, s)
		return
	}
	c.used = append(c.used, s)
	c.live++
}

func (c *Committer) letGo(p *Pin) {
	s := p.slot
	if s == nil {
		return
	}
	p.slot = nil
	c.pinned--
	c.drop(s)
}

// drop notes that one thing less holds a record; without any its slot is free.
func (c *Committer) drop(s *slot) {
	if s.left--; s.left == 0 {
		// A new one: this is still in its place among the used.
		c.free = append(c.free, &slot{path: s.path, stamp: s.stamp})
		s.homes, s.entries = nil, nil
		c.live--
	}
}

// Release notes that an entry needs no line any more: its document is gone for good.
func (c *Committer) Release(p *Pin) {
	p.gone = true
	c.letGo(p)
}

// keep notes a durable record, until all its documents have its lines.
func (c *Committer) keep(s *slot, homes []*Doc) {
	s.left, s.homes = 0, nil
	seen := map[*Doc]bool{}
	for _, d := range homes {
		if !d.gone && d.LSN < s.lsn && !seen[d] {
			seen[d] = true
			d.slots = append(d.slots, s)
			s.homes = append(s.homes, d)
		}
	}
	s.left = len(s.homes)
	c.retain(s)
}

// cover notes that a document has taken over all lines up to its LSN.
func (c *Committer) cover(d *Doc) {
	rest := d.slots[:0]
	for _, s := range d.slots {
		if !d.gone && s.lsn > d.LSN {
			rest = append(rest, s)
			continue
		}
		c.drop(s)
	}
	d.slots = rest
}

// fold has the documents put that hold up the oldest records of a log that has
// become long: a successor reads all of it.
func (c *Committer) fold() {
	if len(c.used) > 2*c.live+logLength {
		c.used = slices.DeleteFunc(c.used, func(s *slot) bool { return s.left == 0 })
	}
	if c.text {
		c.refresh()
		return
	}
	over := c.live - logLength
	for i := 0; i < len(c.used) && over > 0; i++ {
		if c.used[i].left == 0 {
			continue
		}
		over--
		for _, d := range c.used[i].homes {
			if d.state == clean && d.LSN < c.used[i].lsn {
				c.MarkLazy(d, nil)
			}
		}
	}
}

// refresh has the lines of the oldest records written once more, while more records
// are held than twice what their lines need: a successor reads all of them.
func (c *Committer) refresh() {
	most := max(logLength, logBytes/c.limits.ValueBytes, 2*c.pinned*lineGuess/c.limits.ValueBytes)
	over := c.live - most
	for i := 0; i < len(c.used) && over > 0; i++ {
		s := c.used[i]
		if s.left == 0 {
			continue
		}
		over--
		if s.folding {
			continue
		}
		s.folding = true
		for _, e := range s.entries {
			if e.Pin().slot == s {
				c.Append(e, nil)
			}
		}
	}
}

// slot takes a key of the log that is free, or a new one.
func (c *Committer) slot() *slot {
	if n := len(c.free); n > 0 {
		s := c.free[n-1]
		c.free = c.free[:n-1]
		return s
	}
	c.slots++
	return &slot{path: fmt.Sprintf("%s%05d", LogPrefix, c.slots-1)}
}

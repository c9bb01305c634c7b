// Package commit writes the leader's documents to the state service: in groups,
// within its limits, and each change at most once however often a transaction is
// repeated, late or lost.
//
// Small and frequent changes go to a log instead of their documents: a record of
// the log holds the changes of many documents in one put. Its slot is used again
// when all of them have been put as a whole, or deleted, since. In the log's own
// format (Pack) a record holds lines of text, and its slot is used again when each
// entry has a newer line; a log that has become long writes such lines once more.
package commit

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

// state is where a document stands between memory and the state service.
type state uint8

const (
	clean       state = iota // memory and service agree
	dirty                    // changed in memory, queued
	flying                   // in a transaction whose outcome is open
	flyingDirty              // in such a transaction, and changed again since
)

// urgency says in which queue a document waits.
type urgency uint8

const (
	unqueued urgency = iota
	lazy             // when there is room to spare
	urgent           // with the next transaction
)

// Doc is one key that only the leader writes.
type Doc struct {
	Path  string
	Stamp ident.Stamp // of the last change known to be carried out
	LSN   uint64      // records of the log up to it are part of what was put

	Render func() json.RawMessage   // the value to put; nil deletes the key
	Also   func() []statesvc.Change // further changes of the same transaction, may be nil
	Absent []string                 // keys that must not exist; only for a first put
	Exists func()                   // called if one of Absent does exist: nothing was put

	state    state
	queued   urgency
	rendered uint64   // LSN of the value in the open transaction
	slots    []*slot  // records whose changes it has not taken over yet
	gone     bool     // deleted for good
	doubt    bool     // a transaction that was given up may yet change its key
	rejected int      // times that the service found it malformed or too large by itself
	waiting  []func() // to call when the present content is carried out
	riding   []func() // to call when the open transaction is carried out
}

// Open says whether others may read what we don't know to be carried out: a transaction
// with the document is under way, or was given up without an answer.
func (d *Doc) Open() bool { return d.state == flying || d.state == flyingDirty || d.doubt }

// Idle says whether nothing of the document is queued or open.
func (d *Doc) Idle() bool { return d.state == clean }

func (d *Doc) to(s state) { d.state = s }

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

// Port is what the committer needs of the world.
type Port interface {
	Now() ident.Mono
	After(time.Duration, func())
	State(statesvc.Request, func(statesvc.Reply))
}

// Limits are those of the state service, already reduced by what other requests
// need.
type Limits struct {
	Ops        int     // puts and deletes in a transaction
	PerSecond  float64 // puts and deletes a second
	ValueBytes int     // of a value
}

// Within returns the smaller of both for each.
func (l Limits) Within(o Limits) Limits {
	return Limits{Ops: min(l.Ops, o.Ops), PerSecond: min(l.PerSecond, o.PerSecond), ValueBytes: min(l.ValueBytes, o.ValueBytes)}
}

const (
	maxOpen   = 3       // transactions whose outcome is open
	maxLog    = 2       // records of the log in a transaction
	logShare  = 0.25    // part of the puts that records may take
	textShare = 0.5     // and in the log's own format: jobs' own keys are then put only as they come and go
	logLength = 200     // records kept before documents are put to free them
	logBytes  = 2 << 20 // or so much of them, in the log's own format
	lineGuess = 24      // bytes of such a line
	minValue  = 256     // a record is not made smaller than that, whatever the service says
	// maxStrikes is how many refusals in a row are answered at once with smaller pieces,
	// and maxReject how long the pauses between more of them become.
	maxStrikes = 20
	maxReject  = time.Minute
	maxBytes   = 48 << 10 // of a transaction, below the service's 64 KiB
	perChange  = 200      // bytes around a value
	firstWait  = 100 * time.Millisecond
	longWait   = time.Second
	txnTime    = 1500 * time.Millisecond
)

// Committer is the leader's only way to write. It lives for one term.
type Committer struct {
	port   Port
	limits Limits
	tight  Limits        // what the service may come to
	text   bool          // the log is in its own format
	leader statesvc.Cond // holds as long as we are the leader
	onLost func(why string)

	queue   []*Doc // urgent
	lazy    []*Doc
	open    int
	tokens  float64
	filled  ident.Mono
	timer   bool
	strikes int        // transactions refused in a row
	paused  ident.Mono // nothing is sent earlier
	dead    bool
	down    bool // the service refused or did not answer last time

	entries []Entry            // changed, not yet in a record
	then    map[Entry][]func() // to call when they are durable
	lsn     uint64             // of the newest record
	flying  map[uint64]bool    // records under way
	logged  ident.Mono         // when it was built
	slots   int                // keys of the log ever used
	free    []*slot
	used    []*slot // durable, oldest first, some of them free again
	live    int     // those of them that are not
	pinned  int     // entries that hold one

	// OnDown is called when the service doesn't take a transaction.
	OnDown func()

	Txns, Puts, Repeats, Records, Rejected uint64
}

// New makes the committer of a term. onLost is called when the leader key is not
// ours any more, or when the service contradicts what we know.
func New(port Port, limits Limits, leader statesvc.Cond, onLost func(string)) *Committer {
	return &Committer{port: port, limits: limits, tight: limits, leader: leader, onLost: onLost,
		tokens: limits.PerSecond, filled: port.Now(), logged: port.Now().Add(-time.Hour), then: map[Entry][]func(){}, flying: map[uint64]bool{}}
}

// Expect tells to which limits the service may come without notice.
func (c *Committer) Expect(l Limits) { c.tight = c.limits.Within(l) }

// Tighten keeps within those limits from now on, and says whether that is less.
func (c *Committer) Tighten() bool {
	was := c.limits
	c.limits = c.limits.Within(c.tight)
	c.tokens = min(c.tokens, c.limits.PerSecond)
	return c.limits != was
}

// Pack has the log written in its own format from now on, within the tight limits.
func (c *Committer) Pack() {
	c.text = true
	c.Tighten()
}

// Spare says whether there are puts left for what may wait.
func (c *Committer) Spare() bool { return len(c.queue)+len(c.entries) == 0 && c.spare() }

// Stop ends the committer; nothing of it is called any more.
func (c *Committer) Stop() { c.dead = true }

// Down says whether the service did not take the last transaction.
func (c *Committer) Down() bool { return c.down }

// Backlog is the number of urgent documents not yet carried out.
func (c *Committer) Backlog() int { return len(c.queue) }

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

// Mark queues the document's present content; then is called once that, or later
// content, has been carried out.
func (c *Committer) Mark(d *Doc, then func()) { c.mark(d, urgent, then) }

// MarkLazy is Mark for what may wait until there is room to spare.
func (c *Committer) MarkLazy(d *Doc, then func()) { c.mark(d, lazy, then) }

func (c *Committer) mark(d *Doc, u urgency, then func()) {
	if then != nil {
		d.waiting = append(d.waiting, then)
	}
	switch d.state {
	case clean:
		d.to(dirty)
	case flying:
		d.to(flyingDirty)
	}
	if u <= d.queued {
		return
	}
	d.queued = u
	if d.state == dirty {
		c.enqueue(d)
	}
}

// enqueue puts a dirty document at the end of its queue. One that was in the lazy
// queue before is passed over there.
func (c *Committer) enqueue(d *Doc) {
	if d.queued == urgent {
		c.queue = append(c.queue, d)
	} else {
		c.lazy = append(c.lazy, d)
	}
}

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

// txn is one transaction on its way. Its content never changes: a repeat is the
// same transaction, so the stamps it compares let it apply at most once.
type txn struct {
	docs   []*Doc
	slots  []*slot
	lines  [][]line // by slot
	text   bool     // records are in the log's own format
	req    statesvc.Request
	unsure bool // a copy may have been carried out, or may yet be
	wait   time.Duration
}

// Flush sends what is queued, as far as the limits allow.
func (c *Committer) Flush() {
	for !c.dead && c.open < maxOpen {
		now := c.port.Now()
		if now < c.paused {
			c.wake(c.paused.Sub(now))
			return
		}
		c.tokens = min(c.limits.PerSecond, c.tokens+c.limits.PerSecond*now.Sub(c.filled).Seconds())
		c.filled = now
		due, wait := c.due(now)
		if !due {
			if wait > 0 {
				c.wake(wait)
			}
			return
		}
		if c.tokens < float64(min(c.limits.Ops, 4)) {
			c.wake(50 * time.Millisecond)
			return
		}
		t := c.build()
		if t == nil {
			return
		}
		c.tokens -= float64(len(t.req.Then))
		c.send(t)
	}
}

// due says whether a transaction should be sent now, else when to look again.
func (c *Committer) due(now ident.Mono) (bool, time.Duration) {
	if len(c.queue) > 0 {
		return true, 0
	}
	if len(c.entries) > 0 {
		// Records are paced, so that puts are left for documents; what comes
		// meanwhile goes into the same one.
		share := logShare
		if c.text {
			share = textShare
		}
		pace := time.Duration(float64(time.Second) / (share * c.limits.PerSecond))
		wait := c.logged.Add(pace).Sub(now)
		return wait <= 0, wait
	}
	if len(c.lazy) > 0 {
		return c.spare(), 100 * time.Millisecond
	}
	return false, 0
}

// spare says whether there are puts left for what may wait.
func (c *Committer) spare() bool { return c.tokens > c.limits.PerSecond/2 }

// wake flushes again later.
func (c *Committer) wake(d time.Duration) {
	if c.timer {
		return
	}
	c.timer = true
	c.port.After(d, func() {
		c.timer = false
		c.Flush()
	})
}

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

func (c *Committer) send(t *txn) {
	c.open++
	c.Txns++
	c.Puts += uint64(len(t.req.Then))
	c.try(t)
}

func (c *Committer) try(t *txn) {
	c.port.State(t.req, func(r statesvc.Reply) {
		if c.dead {
			return
		}
		switch r.Outcome {
		case statesvc.OK:
			c.taken(true)
			c.done(t, ident.Stamp(r.Ledger))
		case statesvc.Conflict:
			c.taken(true)
			c.conflict(t, r.Failed)
		case statesvc.Limited:
			// A lower rate than we know of. Nothing was carried out by this copy.
			c.Tighten()
			c.tokens = 0
			c.again(t, func() { c.try(t) })
		case statesvc.Bad:
			c.taken(true)
			c.tooLarge(t, r.Error)
		case statesvc.Lost, statesvc.Refused:
			if r.Outcome == statesvc.Lost {
				t.unsure = true
			}
			c.taken(false)
			if c.OnDown != nil {
				c.OnDown()
			}
			c.again(t, func() { c.try(t) })
		default:
			c.fail("state service: " + r.Error)
		}
	})
}

// taken notes whether the service takes transactions.
func (c *Committer) taken(yes bool) {
	if c.down == yes {
		slog.Info("state service takes transactions", "yes", yes)
	}
	c.down = !yes
}

func (c *Committer) again(t *txn, f func()) {
	c.Repeats++
	c.port.After(t.wait, func() {
		if !c.dead {
			f()
		}
	})
	t.wait = min(2*t.wait, longWait)
}

// conflict settles a 409. The leader key unchanged means that nobody but us has
// written; then either a key that must be absent was there, or an earlier copy
// of this very transaction was carried out.
func (c *Committer) conflict(t *txn, failed []string) {
	set := make(map[string]bool, len(failed))
	for _, p := range failed {
		set[p] = true
	}
	if set[c.leader.Path] {
		c.fail("another leader")
		return
	}
	var taken, rest []*Doc
	for _, d := range t.docs {
		exists := false
		for _, p := range d.Absent {
			exists = exists || set[p]
		}
		if exists {
			taken = append(taken, d)
		} else {
			rest = append(rest, d)
		}
	}
	if len(taken) > 0 {
		// Nothing was carried out, by any copy: a copy carried out would have
		// left the absent keys absent.
		c.open--
		for _, d := range taken {
			d.riding, d.waiting = nil, nil
			d.to(clean)
			if d.Exists != nil {
				d.Exists()
			}
		}
		c.undo(t, rest)
		c.Flush()
		return
	}
	if t.doubtful() {
		c.reread(t, failed)
		return
	}
	if !t.unsure {
		c.fail("conflict on " + t.docs[0].Path)
		return
	}
	c.settle(t)
}

// leave takes a document out of a transaction that is given up; it waits for another one.
func (t *txn) leave(d *Doc) {
	d.waiting = append(d.riding, d.waiting...)
	d.riding = nil
	d.doubt = d.doubt || t.unsure
	d.queued = urgent
	d.to(dirty)
}

// undo takes a transaction apart again: documents and lines wait for another one.
func (c *Committer) undo(t *txn, docs []*Doc) {
	for _, d := range docs {
		t.leave(d)
		c.enqueue(d)
	}
	// The lines go into new records; their slots are as they were.
	for i, s := range t.slots {
		delete(c.flying, s.lsn)
		s.doubt = s.doubt || t.unsure
		c.free = append(c.free, s)
		for _, l := range t.lines[i] {
			c.Append(l.entry, nil)
			c.then[l.entry] = append(l.then, c.then[l.entry]...)
		}
	}
}

// doubtful says whether a transaction that was given up may yet change, or have
// changed, one of this one's keys.
func (t *txn) doubtful() bool {
	for _, d := range t.docs {
		if d.doubt {
			return true
		}
	}
	for _, s := range t.slots {
		if s.doubt {
			return true
		}
	}
	return false
}

// reread learns the stamps of keys that a transaction which was given up has changed
// after all, and writes anew: what is written is absolute, and newer. Once it is
// carried out, that transaction can't be any more.
func (c *Committer) reread(t *txn, failed []string) {
	if len(failed) == 0 {
		c.open--
		c.undo(t, t.docs)
		c.wake(firstWait)
		return
	}
	path := failed[0]
	c.port.State(statesvc.Request{Op: statesvc.Get, Path: path, Timeout: txnTime}, func(r statesvc.Reply) {
		var stamp ident.Stamp
		switch {
		case c.dead:
			return
		case r.Outcome == statesvc.OK:
			stamp = r.Stamp
		case r.Outcome != statesvc.NotFound:
			c.again(t, func() { c.reread(t, failed) })
			return
		}
		for _, d := range t.docs {
			if d.Path == path {
				d.Stamp = stamp
			}
		}
		for _, s := range t.slots {
			if s.path == path {
				s.stamp = stamp
			}
		}
		c.reread(t, failed[1:])
	})
}

// tooLarge settles a 400: the limits are lower than we know of. This copy was not
// carried out; of an earlier one without an answer nobody knows, so its keys are in
// doubt until something newer is written there. All is written anew, in smaller
// pieces; what is refused by itself waits longer each time.
func (c *Committer) tooLarge(t *txn, why string) {
	c.open--
	c.Rejected++
	slog.Error("the state service refuses a transaction", "changes", len(t.req.Then), "why", why)
	docs := t.docs
	switch {
	case c.Tighten():
	case len(t.docs)+len(t.slots) > 1:
		c.limits.Ops = max(1, len(t.req.Then)/2)
	case len(t.slots) > 0 && c.limits.ValueBytes > minValue:
		c.limits.ValueBytes = max(minValue, c.limits.ValueBytes/2)
	case len(t.docs) > 0:
		d := t.docs[0]
		docs = nil
		t.leave(d)
		d.rejected = min(d.rejected+1, 10)
		c.port.After(min(time.Second<<d.rejected, maxReject), func() {
			if !c.dead && d.state == dirty {
				c.enqueue(d)
				c.Flush()
			}
		})
	}
	if c.strikes++; c.strikes > maxStrikes {
		c.paused = c.port.Now().Add(min(time.Second<<min(c.strikes-maxStrikes, 10), maxReject))
	}
	c.undo(t, docs)
	c.wake(firstWait)
}

// settle reads the stamp that an earlier copy of the transaction left.
func (c *Committer) settle(t *txn) {
	path := ""
	for _, ch := range t.req.Then {
		if ch.Put != "" {
			path = ch.Put
			break
		}
	}
	if path == "" {
		c.done(t, 0)
		return
	}
	c.port.State(statesvc.Request{Op: statesvc.Get, Path: path, Timeout: txnTime}, func(r statesvc.Reply) {
		switch {
		case c.dead:
		case r.Outcome == statesvc.OK:
			c.done(t, r.Stamp)
		case r.Outcome == statesvc.Lost || r.Outcome == statesvc.Refused || r.Outcome == statesvc.Limited:
			c.again(t, func() { c.settle(t) })
		default:
			c.fail("lost " + path)
		}
	})
}

func (c *Committer) done(t *txn, stamp ident.Stamp) {
	c.open--
	c.strikes = 0
	put := make(map[string]bool, len(t.req.Then))
	for _, ch := range t.req.Then {
		put[ch.Put] = true
	}
	var then []func()
	for _, d := range t.docs {
		d.Stamp = 0
		if put[d.Path] {
			d.Stamp = stamp
			d.LSN = max(d.LSN, d.rendered)
		} else {
			d.gone = true
		}
		c.cover(d)
		d.Absent, d.doubt, d.rejected = nil, false, 0
		then = append(then, d.riding...)
		d.riding = nil
		if d.state == flyingDirty {
			d.to(dirty)
			c.enqueue(d)
		} else {
			d.to(clean)
		}
	}
	for i, s := range t.slots {
		s.stamp, s.doubt = stamp, false
		delete(c.flying, s.lsn)
		var homes []*Doc
		var entries []Entry
		for _, l := range t.lines[i] {
			then = append(then, l.then...)
			if t.text {
				entries = append(entries, l.entry)
			} else {
				homes = append(homes, l.entry.Home())
			}
		}
		if t.text {
			c.hold(s, entries)
		} else {
			c.keep(s, homes)
		}
	}
	c.fold()
	for _, f := range then {
		f()
	}
	c.Flush()
}

// fail ends the term: what memory holds may differ from the truth.
func (c *Committer) fail(why string) {
	slog.Error("commit failed", "why", why)
	c.dead = true
	c.onLost(why)
}

package commit

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"opaldale/internal/kvstore"
)

// documentWorkload changes documents, each of which holds a number that only grows.
type documentWorkload struct {
	t         *testing.T
	store     *flakyStore
	committer *Committer
	documents []*Document
	values    []int
	durable   map[documentValue]int // times that each value was reported durable
}

type documentValue struct{ document, value int }

func newDocumentWorkload(t *testing.T, seed uint64, documents int) *documentWorkload {
	t.Helper()
	store := newFlakyStore(t, seed, 1)
	w := &documentWorkload{
		t:         t,
		store:     store,
		committer: newTestCommitter(t, store, testLimits),
		values:    make([]int, documents),
		durable:   map[documentValue]int{},
	}
	for i := range documents {
		render := func() json.RawMessage { return json.RawMessage(fmt.Sprint(w.values[i])) }
		w.documents = append(w.documents, &Document{Key: fmt.Sprintf("d/%d", i), Render: render})
	}
	return w
}

// change changes one document.
func (w *documentWorkload) change() {
	i := w.store.rng.IntN(len(w.documents))
	w.values[i]++
	value := w.values[i]
	w.committer.MarkDirty(w.documents[i], func() {
		w.durable[documentValue{i, value}]++
		var stored int
		if err := json.Unmarshal(w.store.Entries[w.documents[i].Key].Value, &stored); err != nil {
			w.t.Errorf("%s: %v", w.documents[i].Key, err)
		}
		if stored < value {
			w.t.Errorf("%s is reported durable at %d, is %d", w.documents[i].Key, value, stored)
		}
	})
	w.committer.Flush()
}

// check checks the stored content of a document, how it came about, and the callbacks.
func (w *documentWorkload) check(i int) {
	w.t.Helper()
	d := w.documents[i]
	if got := string(w.store.Entries[d.Key].Value); w.values[i] > 0 && got != fmt.Sprint(w.values[i]) {
		w.t.Errorf("%s ends as %s, want %d", d.Key, got, w.values[i])
	}
	if d.Revision != w.store.Entries[d.Key].Revision || !d.Idle() {
		w.t.Errorf("%s: revision %d, is %d", d.Key, d.Revision, w.store.Entries[d.Key].Revision)
	}
	last := 0
	for _, put := range w.store.puts[d.Key] {
		var value int
		if err := json.Unmarshal([]byte(put), &value); err != nil {
			w.t.Errorf("%s: %v", d.Key, err)
		}
		if value <= last {
			w.t.Errorf("%s goes through %v", d.Key, w.store.puts[d.Key])
		}
		last = value
	}
	for value := 1; value <= w.values[i]; value++ {
		if n := w.durable[documentValue{i, value}]; n != 1 {
			w.t.Errorf("%d of %s is reported durable %d times", value, d.Key, n)
		}
	}
}

// TestAtMostOnce: whatever is lost or late, every document ends with its newest content, never
// returns to an older one, and every callback is called once.
func TestAtMostOnce(t *testing.T) {
	runSeeds(t, 60, func(t *testing.T, seed uint64) {
		w := newDocumentWorkload(t, seed, 12)
		for range 100 {
			w.store.After(time.Duration(w.store.rng.IntN(20_000))*time.Millisecond, w.change)
		}
		w.store.run(10 * time.Minute)
		for i := range w.documents {
			w.check(i)
		}
	})
}

// TestOtherLeader: once the leader key has changed nothing is written, and the term ends.
func TestOtherLeader(t *testing.T) {
	store := newReliableStore(t, kvstore.KeyValue{Key: leaderKey.Key, Revision: 5})
	var lost []error
	c := New(store, testLimits, leaderKey, func(err error) { lost = append(lost, err) })
	render := func() json.RawMessage { return json.RawMessage("1") }
	c.MarkDirty(&Document{Key: "d", Render: render}, func() { t.Error("reported durable") })
	c.Flush()
	store.run(time.Minute)
	if len(lost) != 1 || !errors.Is(lost[0], ErrAnotherLeader) || len(store.puts) != 0 {
		t.Errorf("term lost by %v, puts %v", lost, store.puts)
	}
}

// TestExists: a MustNotExist key that exists fails its own document alone; the others of the
// transaction are written.
func TestExists(t *testing.T) {
	store := newReliableStore(t, kvstore.KeyValue{Key: "over/1", Revision: 1})
	c := newTestCommitter(t, store, testLimits)
	exists, stored := 0, 0
	render := func() json.RawMessage { return json.RawMessage("1") }
	first := &Document{Key: "live/1", Render: render, MustNotExist: []string{"over/1"}, OnExists: func() { exists++ }}
	second := &Document{Key: "live/2", Render: render, MustNotExist: []string{"over/2"}}
	c.MarkDirty(first, func() { t.Error("reported durable") })
	c.MarkDirty(second, func() { stored++ })
	c.Flush()
	store.run(time.Minute)
	if exists != 1 || stored != 1 {
		t.Errorf("exists %d, stored %d", exists, stored)
	}
}

// TestConflictOfLogRecord: a record of the log alone in a transaction whose key was written by
// another process ends the term.
func TestConflictOfLogRecord(t *testing.T) {
	store := newReliableStore(t, kvstore.KeyValue{Key: LogPrefix + "00000", Revision: 1})
	var lost []error
	c := New(store, testLimits, leaderKey, func(err error) { lost = append(lost, err) })
	c.Append(&testEntry{document: &Document{Key: "d/0"}}, func() { t.Error("reported durable") })
	c.Flush()
	store.run(time.Minute)
	if len(lost) != 1 || !errors.Is(lost[0], ErrConflict) {
		t.Errorf("term lost by %v, want ErrConflict", lost)
	}
}

func stopAndQuiesce(c *Committer) {
	c.Stop()
	c.Quiesce()
}

// TestLifecycle: a quiescing committer settles what is open and sends nothing else; a stopped one
// calls nothing.
func TestLifecycle(t *testing.T) {
	for _, tc := range []struct {
		name        string
		end         func(*Committer)
		wantDurable int
	}{
		{"quiesced", (*Committer).Quiesce, 1},
		{"stopped", (*Committer).Stop, 0},
		{"quiesced after the stop", stopAndQuiesce, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := newReliableStore(t)
			c := newTestCommitter(t, store, testLimits)
			render := func() json.RawMessage { return json.RawMessage("1") }
			durable := 0
			c.MarkDirty(&Document{Key: "d/1", Render: render}, func() { durable++ })
			c.Flush()
			tc.end(c)
			c.MarkDirty(&Document{Key: "d/2", Render: render}, func() { t.Error("reported durable") })
			c.Flush()
			store.run(time.Minute)
			if durable != tc.wantDurable || len(store.puts["d/2"]) != 0 {
				t.Errorf("durable %d, puts %v, want %d durable", durable, store.puts, tc.wantDurable)
			}
		})
	}
}

package commit

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"opaldale/internal/kvstore"
)

// documentWorkload changes documents at random. Each document holds a number that only increases.
type documentWorkload struct {
	t         *testing.T
	store     *flakyStore
	committer *Committer
	documents []*Document
	values    []int
	durable   map[documentValue]int // how often each value was reported durable
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

// change increments the number in a random document.
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
			w.t.Errorf("%s: value %d reported durable, but the stored value is %d", w.documents[i].Key, value, stored)
		}
	})
	w.committer.Flush()
}

// check checks the stored content of a document, the sequence of values put to it, and the callbacks.
func (w *documentWorkload) check(i int) {
	w.t.Helper()
	d := w.documents[i]
	if got := string(w.store.Entries[d.Key].Value); w.values[i] > 0 && got != fmt.Sprint(w.values[i]) {
		w.t.Errorf("%s: final stored value %s, want %d", d.Key, got, w.values[i])
	}
	if d.Revision != w.store.Entries[d.Key].Revision || !d.Idle() {
		w.t.Errorf("%s: revision %d, idle %v, want stored revision %d and idle",
			d.Key, d.Revision, d.Idle(), w.store.Entries[d.Key].Revision)
	}
	last := 0
	for _, put := range w.store.puts[d.Key] {
		var value int
		if err := json.Unmarshal([]byte(put), &value); err != nil {
			w.t.Errorf("%s: %v", d.Key, err)
		}
		if value <= last {
			w.t.Errorf("%s: values put are %v, want strictly increasing values", d.Key, w.store.puts[d.Key])
		}
		last = value
	}
	for value := 1; value <= w.values[i]; value++ {
		if n := w.durable[documentValue{i, value}]; n != 1 {
			w.t.Errorf("%s: value %d reported durable %d times, want once", d.Key, value, n)
		}
	}
}

// TestAtMostOnce checks that every document ends with its newest content, that its stored content is never
// replaced by older content, and that every callback is called once, although requests and responses are lost
// or delayed.
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

// TestOtherLeader checks that nothing is written and the term ends if the leader key has changed.
func TestOtherLeader(t *testing.T) {
	store := newReliableStore(t, kvstore.KeyValue{Key: leaderKey.Key, Revision: 5})
	var lost []error
	c := New(store, testLimits, leaderKey, func(err error) { lost = append(lost, err) })
	render := func() json.RawMessage { return json.RawMessage("1") }
	c.MarkDirty(&Document{Key: "d", Render: render}, func() { t.Error("document d reported durable, want no callback") })
	c.Flush()
	store.run(time.Minute)
	if len(lost) != 1 || !errors.Is(lost[0], ErrAnotherLeader) || len(store.puts) != 0 {
		t.Errorf("onTermLost called with %v, puts %v, want one ErrAnotherLeader and no puts", lost, store.puts)
	}
}

// TestExists checks that an existing MustNotExist key prevents only the write of its own document, and that the
// other documents of the transaction are written.
func TestExists(t *testing.T) {
	store := newReliableStore(t, kvstore.KeyValue{Key: "over/1", Revision: 1})
	c := newTestCommitter(t, store, testLimits)
	exists, stored := 0, 0
	render := func() json.RawMessage { return json.RawMessage("1") }
	first := &Document{Key: "live/1", Render: render, MustNotExist: []string{"over/1"}, OnExists: func() { exists++ }}
	second := &Document{Key: "live/2", Render: render, MustNotExist: []string{"over/2"}}
	c.MarkDirty(first, func() { t.Error("live/1 reported durable, want OnExists instead") })
	c.MarkDirty(second, func() { stored++ })
	c.Flush()
	store.run(time.Minute)
	if exists != 1 || stored != 1 {
		t.Errorf("OnExists called %d times, onDurable %d times, want once each", exists, stored)
	}
}

// TestConflictOfLogRecord checks that the term ends if another process has written the key of a log record. The
// record is alone in its transaction.
func TestConflictOfLogRecord(t *testing.T) {
	store := newReliableStore(t, kvstore.KeyValue{Key: LogPrefix + "00000", Revision: 1})
	var lost []error
	c := New(store, testLimits, leaderKey, func(err error) { lost = append(lost, err) })
	c.Append(&testEntry{document: &Document{Key: "d/0"}}, func() { t.Error("entry reported durable, want no callback") })
	c.Flush()
	store.run(time.Minute)
	if len(lost) != 1 || !errors.Is(lost[0], ErrConflict) {
		t.Errorf("onTermLost called with %v, want one ErrConflict", lost)
	}
}

func stopAndQuiesce(c *Committer) {
	c.Stop()
	c.Quiesce()
}

// TestLifecycle checks that a quiescing Committer completes in-flight transactions and sends no new ones, and that
// a stopped Committer calls no callbacks.
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
			c.MarkDirty(&Document{Key: "d/2", Render: render}, func() { t.Error("d/2 reported durable, want it not sent") })
			c.Flush()
			store.run(time.Minute)
			if durable != tc.wantDurable || len(store.puts["d/2"]) != 0 {
				t.Errorf("d/1 reported durable %d times, puts %v, want %d times and no put to d/2",
					durable, store.puts, tc.wantDurable)
			}
		})
	}
}

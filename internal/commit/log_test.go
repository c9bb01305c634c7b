package commit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"opaldale/internal/kvstoretest"
)

const (
	logDocuments       = 5
	entriesPerDocument = 4
)

// storedDocument is the stored content of a document: the values of its entries and an LSN.
type storedDocument struct {
	LSN    uint64
	Values [entriesPerDocument]int
}

// jsonLogWorkload changes entries of documents at random, with a log in the JSON format.
type jsonLogWorkload struct {
	t         *testing.T
	store     *flakyStore
	committer *Committer
	entries   [logDocuments][entriesPerDocument]*testEntry
	durable   int // number of callback calls
}

func newJSONLogWorkload(t *testing.T, seed uint64) *jsonLogWorkload {
	t.Helper()
	store := newFlakyStore(t, seed, 2)
	limits := testLimits
	limits.MaxValueBytes = 1024
	w := &jsonLogWorkload{t: t, store: store, committer: newTestCommitter(t, store, limits)}
	for d := range logDocuments {
		document := &Document{Key: fmt.Sprintf("d/%d", d)}
		document.Render = func() json.RawMessage { return w.render(d) }
		for n := range entriesPerDocument {
			w.entries[d][n] = &testEntry{document: document, index: n}
		}
	}
	return w
}

func (w *jsonLogWorkload) render(document int) json.RawMessage {
	stored := storedDocument{LSN: w.committer.LSN()}
	for n, entry := range w.entries[document] {
		stored.Values[n] = entry.value
	}
	encoded, err := json.Marshal(stored)
	if err != nil {
		w.t.Fatal(err)
	}
	return encoded
}

// load reads the documents as a new leader does: it reads the stored documents and applies the log records that
// they do not include. It also returns the number of log records.
func (w *jsonLogWorkload) load() (documents [logDocuments]storedDocument, records int) {
	for d := range documents {
		pair, exists := w.store.Entries[fmt.Sprintf("d/%d", d)]
		if !exists {
			continue
		}
		if err := json.Unmarshal(pair.Value, &documents[d]); err != nil {
			w.t.Fatalf("%s: %v", pair.Key, err)
		}
	}
	type jsonRecord struct {
		N uint64
		L []testLine
	}
	var log []jsonRecord
	for key, pair := range w.store.Entries {
		if strings.HasPrefix(key, LogPrefix) {
			var record jsonRecord
			if err := json.Unmarshal(pair.Value, &record); err != nil {
				w.t.Fatalf("%s: %v", key, err)
			}
			log = append(log, record)
		}
	}
	sort.Slice(log, func(i, k int) bool { return log[i].N < log[k].N })
	for _, record := range log {
		for _, line := range record.L {
			if documents[line.Doc].LSN < record.N {
				documents[line.Doc].Values[line.N] = line.Value
			}
		}
	}
	return documents, len(log)
}

// change increments a random entry and, in one of 20 calls, also puts its document.
func (w *jsonLogWorkload) change() {
	rng := w.store.rng
	entry := w.entries[rng.IntN(logDocuments)][rng.IntN(entriesPerDocument)]
	entry.value++
	value := entry.value
	w.committer.Append(entry, func() {
		w.durable++
		if stored, _ := w.load(); stored[entry.documentNumber()].Values[entry.index] < value {
			w.t.Errorf("%s: value %d reported durable, but the stored documents are %v", entry.name(), value, stored)
		}
	})
	if rng.IntN(20) == 0 {
		w.committer.MarkDirty(entry.document, nil)
	}
	w.committer.Flush()
}

// TestLog checks that the stored documents and the later log records together hold the durable value of every
// entry, although requests are lost or delayed, and that a long log is compacted.
func TestLog(t *testing.T) {
	const changes = 1500
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		w := newJSONLogWorkload(t, seed)
		for range changes {
			w.store.After(time.Duration(w.store.rng.IntN(200_000))*time.Millisecond, w.change)
		}
		w.store.run(10 * time.Minute)
		stored, records := w.load()
		for d := range w.entries {
			for n, entry := range w.entries[d] {
				if stored[d].Values[n] != entry.value {
					t.Errorf("%s: final stored value %d, want %d", entry.name(), stored[d].Values[n], entry.value)
				}
			}
		}
		if w.durable != changes || records > 2*compactAfterRecords {
			t.Errorf("%d changes reported durable, want %d; %d log records left, want at most %d",
				w.durable, changes, records, 2*compactAfterRecords)
		}
	})
}

// TestLSN checks that Committer.LSN stays below the LSN of the oldest in-flight record until that record is
// durable.
func TestLSN(t *testing.T) {
	store := kvstoretest.NewSteppedStore(kvstoretest.NewMemoryStore())
	unpaced := Limits{MutationsPerTxn: 8, MutationsPerSecond: 1e10, MaxValueBytes: 1024}
	c := newTestCommitter(t, store, unpaced)
	c.ObserveLSN(7)
	entry := &testEntry{document: &Document{Key: "d/0"}}
	for range 2 {
		c.Append(entry, nil)
		c.Flush()
	}
	if lsn := c.LSN(); lsn != 7 || len(store.Pending) != 2 {
		t.Errorf("LSN %d with records in %d in-flight transactions, want 7 and 2", lsn, len(store.Pending))
	}
	store.Run()
	if lsn := c.LSN(); lsn != 9 {
		t.Errorf("LSN %d after two records, want 9", lsn)
	}
}

// readText returns the newest value of each entry in the log records, by the name of the entry.
func readText(t *testing.T, store *flakyStore) map[string]int {
	t.Helper()
	type textRecord struct {
		N uint64 `json:"n"`
		T string `json:"t"`
	}
	values, newest := map[string]int{}, map[string]uint64{}
	for key, pair := range store.Entries {
		var record textRecord
		if !strings.HasPrefix(key, LogPrefix) || json.Unmarshal(pair.Value, &record) != nil {
			continue
		}
		err := ParseText(record.T, func(group, line string) error {
			var index, value int
			if _, err := fmt.Sscanf(line, "%d,%d", &index, &value); err != nil {
				return fmt.Errorf("%q: %w", line, err)
			}
			name := fmt.Sprintf("%s %d", group, index)
			if record.N > newest[name] {
				newest[name], values[name] = record.N, value
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return values
}

// textLogWorkload changes entries at random, with a log in the text format.
type textLogWorkload struct {
	t         *testing.T
	store     *flakyStore
	committer *Committer
	entries   []*testEntry
}

func newTextLogWorkload(t *testing.T, seed uint64, maxValueBytes int) *textLogWorkload {
	t.Helper()
	store := newFlakyStore(t, seed, 4)
	limits := Limits{MutationsPerTxn: 8, MutationsPerSecond: 200, MaxValueBytes: maxValueBytes}
	w := &textLogWorkload{t: t, store: store, committer: newTestCommitter(t, store, limits)}
	w.committer.UseTextFormat()
	for d := range 40 {
		document := &Document{Key: fmt.Sprintf("d/%d", d)}
		for n := range 30 {
			w.entries = append(w.entries, &testEntry{document: document, index: n})
		}
	}
	return w
}

// change increments a random entry. Its callback checks the log for one value in four only, because reading the
// log is slow.
func (w *textLogWorkload) change() {
	entry := w.entries[w.store.rng.IntN(len(w.entries))]
	entry.value++
	value := entry.value
	w.committer.Append(entry, func() {
		if value%4 > 0 {
			return
		}
		if stored := readText(w.t, w.store)[entry.name()]; stored < value {
			w.t.Errorf("%s: value %d reported durable, but the log holds %d", entry.name(), value, stored)
		}
	})
	w.committer.Flush()
}

// checkEntries checks that the log holds the newest line of each entry, and that each entry refers to a record.
func (w *textLogWorkload) checkEntries() {
	w.t.Helper()
	stored := readText(w.t, w.store)
	for _, entry := range w.entries {
		if stored[entry.name()] != entry.value {
			w.t.Errorf("%s: final value in the log %d, want %d", entry.name(), stored[entry.name()], entry.value)
		}
		if entry.value > 0 && !entry.pin.Held() {
			w.t.Errorf("%s refers to no record, want a reference to the record with value %d", entry.name(), entry.value)
		}
	}
}

// TestTextLog checks that a log in the text format always holds the newest line of each entry, although slots are
// reused and a long log is compacted. Released entries must not keep any record in use.
func TestTextLog(t *testing.T) {
	const maxValueBytes = 256
	runSeeds(t, 2, func(t *testing.T, seed uint64) {
		w := newTextLogWorkload(t, seed, maxValueBytes)
		for range 4000 {
			w.store.After(time.Duration(w.store.rng.IntN(100_000))*time.Millisecond, w.change)
		}
		w.store.run(10 * time.Minute)
		w.checkEntries()
		slots := &w.committer.log.slots
		held := slots.live
		for _, entry := range w.entries {
			w.committer.Release(&entry.pin)
		}
		if slots.live != 0 || held == 0 || slots.pinnedEntries != 0 {
			t.Errorf("%d needed records, want above 0; %d needed records and %d pinned entries after the release, want 0",
				held, slots.live, slots.pinnedEntries)
		}
		for key, pair := range w.store.Entries {
			if len(pair.Value) > maxValueBytes {
				t.Errorf("%s has %d bytes, want at most %d", key, len(pair.Value), maxValueBytes)
			}
		}
	})
}

// TestLongLogIsCompacted checks that records that only a few entries still need do not accumulate.
func TestLongLogIsCompacted(t *testing.T) {
	const maxValueBytes = 1 << 10
	store := newReliableStore(t)
	c := newTestCommitter(t, store, Limits{MutationsPerTxn: 8, MutationsPerSecond: 2000, MaxValueBytes: maxValueBytes})
	c.UseTextFormat()
	rng := rand.New(rand.NewPCG(1, 1))
	var idle []*testEntry // written once, each to its own record along with busy entries
	busy := make([]*testEntry, 60)
	for i := range busy {
		busy[i] = &testEntry{document: &Document{Key: "d/0"}, index: i}
	}
	maxRecords := max(compactAfterRecords, compactAfterBytes/maxValueBytes)
	for i := range 2*maxRecords + 50 {
		entry := &testEntry{document: &Document{Key: "d/1"}, index: i}
		idle = append(idle, entry)
		c.Append(entry, nil)
		for _, k := range rng.Perm(len(busy))[:30] {
			c.Append(busy[k], nil)
		}
		c.Flush()
		store.RunUntil(store.Now().Add(20 * time.Millisecond))
	}
	store.RunUntil(store.Now().Add(time.Minute))
	if c.log.slots.live > maxRecords+20 {
		t.Errorf("%d records are needed for %d lines, want at most %d records",
			c.log.slots.live, c.log.slots.pinnedEntries, maxRecords+20)
	}
	for _, entry := range idle {
		if !entry.pin.Held() {
			t.Fatalf("%s refers to no record, want a reference to the record with its line", entry.name())
		}
	}
}

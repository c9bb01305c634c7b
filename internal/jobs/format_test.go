package jobs

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// golden is the content of testdata/production.json: the key-value pairs that the version in production (the
// commit in deploy/service.toml) writes in runScript, and the jobs that it then has in memory. It can be
// removed together with support for the legacy format.
type golden struct {
	Pairs []kvstore.KeyValue
	Jobs  map[string]goldenJob
}

type goldenJob struct {
	Phase string
	Tasks []taskRecord
}

func readGolden(t *testing.T) (g golden) {
	t.Helper()
	b, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &g); err != nil {
		t.Fatal(err)
	}
	return g
}

// runScript makes the changes from which the golden values were recorded.
func runScript(store *fakeStore, tb *Table, c *commit.Committer) {
	zone, deadline := "east", 90.5
	add := func(id string, shape api.Shape, tasks int) *Job {
		s := &api.Spec{
			ID:        ident.JobID(id),
			Class:     "lane",
			Team:      "red",
			Shape:     shape,
			Priority:  api.High,
			Tasks:     tasks,
			VCPUs:     1.5,
			MemoryGB:  2,
			Image:     "img-1",
			ImageGB:   0.5,
			Models:    []string{"m8"},
			Zone:      &zone,
			DeadlineS: &deadline,
			RuntimeS:  30,
		}
		j := tb.Add(s, func() {}, nil)
		store.FlushAndRun(c)
		return j
	}
	place := func(j *Job, n int) {
		for i := range n {
			tb.Place(j.Tasks.At(i), ident.MachineID(fmt.Sprintf("host-%06d", i)), ident.Incarnation(1+i%3), func() {})
		}
		store.FlushAndRun(c)
	}
	small, service := add("j-1", api.Batch, 3), add("j-2", api.Service, 4)
	large, cancelled := add("j-3", api.Batch, 150), add("j-4", api.Batch, 5)
	add("j-5", api.Batch, 400)
	place(small, 3)
	place(service, 4)
	place(large, 149)
	place(cancelled, 2)
	tb.Complete(small.Tasks.At(1), nil)
	tb.MarkNotRunning(service.Tasks.At(2), nil)
	store.FlushAndRun(c)
	for _, d := range large.storage.segments {
		c.MarkDirty(d, nil)
	}
	c.MarkDirty(service.storage.header, nil)
	store.FlushAndRun(c)
	tb.MarkNotRunning(large.Tasks.At(148), nil)
	tb.Complete(large.Tasks.At(7), nil)
	tb.Place(service.Tasks.At(2), "host-000999", 7, func() {})
	tb.Cancel(cancelled, func() {})
	store.FlushAndRun(c)
}

// assertSameJobs checks that a table has the same jobs as the version in production has in memory. stage names
// the step of the test in failure messages.
func assertSameJobs(t *testing.T, stage string, tb *Table, g golden) {
	t.Helper()
	if len(tb.Jobs) != len(g.Jobs) {
		t.Errorf("%s: %d jobs, want %d", stage, len(tb.Jobs), len(g.Jobs))
	}
	for id, want := range g.Jobs {
		j := tb.Jobs[ident.JobID(id)]
		if j == nil {
			t.Errorf("%s: job %s is missing", stage, id)
			continue
		}
		if got := (goldenJob{j.Phase.String(), toRecords(&j.Tasks, 0, j.Tasks.Len())}); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: job %s: got %v, want %v", stage, id, got, want)
		}
	}
}

// loadTable returns the table of a new leader that has loaded the store. If packed is set, the table stores
// tasks only in the log.
func loadTable(t *testing.T, store *fakeStore, packed bool) (*Table, *commit.Committer) {
	t.Helper()
	tb, c := newTestTable(store)
	tb.LimitValueBytes(2048)
	if packed {
		c.ExpectLimits(commit.Limits{MutationsPerTxn: 5, MutationsPerSecond: 1e9, MaxValueBytes: 2048})
		c.UseTextFormat()
		tb.UsePackedLog()
	}
	loadAll(t, store, tb)
	return tb, c
}

func (g golden) newStore() *fakeStore {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	for _, p := range g.Pairs {
		store.Entries[p.Key] = p
		store.Revision = max(store.Revision, p.Revision)
	}
	return store
}

// TestProductionFormatLoads checks that values written by the version in production load with either format
// enabled, and load as the same jobs during and after conversion, wherever a term ends during the conversion.
// After it, no live value exceeds the announced limit and no segments remain.
func TestProductionFormatLoads(t *testing.T) {
	g := readGolden(t)
	old, _ := loadTable(t, g.newStore(), false)
	assertSameJobs(t, "legacy format", old, g)
	for steps := 0; ; steps++ {
		store := g.newStore()
		tb, c := loadTable(t, store, true)
		assertSameJobs(t, "before conversion", tb, g)
		more := true
		for n := range steps {
			more = tb.ConvertToLog(1)
			c.Flush()
			if n < steps-1 {
				store.Run()
			} else {
				store.Pending = nil // the term ends before the responses arrive
			}
		}
		next, _ := loadTable(t, store, true)
		assertSameJobs(t, fmt.Sprintf("after %d steps", steps), next, g)
		if steps > 0 && !more && steps > 2*len(g.Jobs) {
			break
		}
	}
	store := g.newStore()
	tb, c := loadTable(t, store, true)
	for tb.ConvertToLog(1) || !allConverted(tb) {
		store.FlushAndRun(c)
	}
	store.FlushAndRun(c)
	assertSameJobs(t, "converted", tb, g)
	next, _ := loadTable(t, store, true)
	assertSameJobs(t, "loaded again", next, g)
	for path, p := range store.Entries {
		if strings.HasPrefix(path, LivePrefix) && len(p.Value) > 2048 {
			t.Errorf("value of %s has %d bytes after conversion, want at most 2048", path, len(p.Value))
		}
		if strings.Count(path, "/") > 1 {
			t.Errorf("segment %s still exists after conversion", path)
		}
	}
}

func allConverted(tb *Table) bool {
	for _, j := range tb.Jobs {
		if j.storage.format != inLog {
			return false
		}
	}
	return true
}

// TestLegacyFormatRoundTrip checks that with the legacy format this version writes the same values as the version
// in production, so that a leader of that version can read and rewrite all of them.
func TestLegacyFormatRoundTrip(t *testing.T) {
	g := readGolden(t)
	store := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(store)
	runScript(store, tb, c)
	assertSameJobs(t, "in memory", tb, g)
	if len(store.Entries) != len(g.Pairs) {
		t.Errorf("store has %d keys, want %d", len(store.Entries), len(g.Pairs))
	}
	for _, p := range g.Pairs {
		var got, want map[string]any
		if err := json.Unmarshal(store.Entries[p.Key].Value, &got); err != nil {
			t.Errorf("%s: %v", p.Key, err)
			continue
		}
		if err := json.Unmarshal(p.Value, &want); err != nil {
			t.Fatal(err)
		}
		// A header may have a lower LSN, which only makes a new leader apply log records again, but never a higher one.
		if a, ok := got["lsn"].(float64); ok && a <= want["lsn"].(float64) {
			got["lsn"] = want["lsn"]
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("value of %s: got %s, want %s", p.Key, store.Entries[p.Key].Value, p.Value)
		}
	}
}

// TestReusedLogSequenceNumber checks that a log record is applied even if the header already has its log sequence
// number (LSN). This happens if a term ended before it wrote the log record with that LSN and the next term
// assigned the LSN again.
func TestReusedLogSequenceNumber(t *testing.T) {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	head := `{"spec":{"id":"j-1","desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":1,"phase":"open",
		"lsn":9,"tasks":[{},{}]}`
	store.Entries["live/j-1"] = kvstore.KeyValue{Key: "live/j-1", Value: json.RawMessage(head), Revision: 20}
	record := `{"n":9,"l":[{"j":"j-1","t":1,"h":"host-1","n":1}]}`
	store.Entries["log/00000"] = kvstore.KeyValue{Key: "log/00000", Value: json.RawMessage(record), Revision: 31}
	store.Revision = 40
	for _, packed := range []bool{false, true} {
		tb, _ := loadTable(t, store, packed)
		if got := tb.Jobs["j-1"].Tasks.At(0).MachineID; got != "host-1" {
			t.Errorf("packed %v: machine of task 0 is %q, want %q from the log record", packed, got, "host-1")
		}
	}
	delete(store.Entries, "log/00000")
	tb, c := loadTable(t, store, false)
	tb.Place(tb.Jobs["j-1"].Tasks.At(1), "host-2", 1, func() {})
	store.FlushAndRun(c)
	var r struct {
		N uint64 `json:"n"`
	}
	if err := json.Unmarshal(store.Entries["log/00000"].Value, &r); err != nil || r.N <= 9 {
		t.Errorf("new log record has LSN %d (error %v), want more than 9, the LSN of the header", r.N, err)
	}
}

func sortedKeys(keys map[string]kvstore.KeyValue) []string { return slices.Sorted(maps.Keys(keys)) }

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

// golden is testdata/production.json: what the version in production (the commit in deploy/service.toml)
// writes in runScript, and what it has in memory then. It can go with the format before
// ident.FormatPacked.
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

// runScript makes the changes that the golden values come from.
func runScript(k *fakeStore, tb *Table, c *commit.Committer) {
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
		k.Settle(c)
		return j
	}
	place := func(j *Job, n int) {
		for i := range n {
			tb.Place(&j.Tasks[i], ident.MachineID(fmt.Sprintf("host-%06d", i)), ident.Incarnation(1+i%3), func() {})
		}
		k.Settle(c)
	}
	small, service := add("j-1", api.Batch, 3), add("j-2", api.Service, 4)
	large, cancelled := add("j-3", api.Batch, 150), add("j-4", api.Batch, 5)
	add("j-5", api.Batch, 400)
	place(small, 3)
	place(service, 4)
	place(large, 149)
	place(cancelled, 2)
	tb.Complete(&small.Tasks[1], nil)
	tb.MarkGone(&service.Tasks[2], nil)
	k.Settle(c)
	for _, d := range large.storage.segments {
		c.MarkDirty(d, nil)
	}
	c.MarkDirty(service.storage.header, nil)
	k.Settle(c)
	tb.MarkGone(&large.Tasks[148], nil)
	tb.Complete(&large.Tasks[7], nil)
	tb.Place(&service.Tasks[2], "host-000999", 7, func() {})
	tb.Cancel(cancelled, func() {})
	k.Settle(c)
}

// assertSameJobs compares a table with the jobs in memory of the version in production.
func assertSameJobs(t *testing.T, what string, tb *Table, g golden) {
	t.Helper()
	if len(tb.Jobs) != len(g.Jobs) {
		t.Errorf("%s: %d jobs, want %d", what, len(tb.Jobs), len(g.Jobs))
	}
	for id, want := range g.Jobs {
		j := tb.Jobs[ident.JobID(id)]
		if j == nil {
			t.Errorf("%s: %s is missing", what, id)
			continue
		}
		if got := (goldenJob{j.Phase.String(), toRecords(j.Tasks)}); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %s: %v, want %v", what, id, got, want)
		}
	}
}

// loadTable makes the table of a new leader, which writes tasks to the log alone if packed.
func loadTable(t *testing.T, k *fakeStore, packed bool) (*Table, *commit.Committer) {
	t.Helper()
	tb, c := newTestTable(k)
	tb.LimitValueBytes(2048)
	if packed {
		c.ExpectLimits(commit.Limits{MutationsPerTxn: 5, MutationsPerSecond: 1e9, MaxValueBytes: 2048})
		c.UseTextFormat()
		tb.UsePackedLog()
	}
	loadAll(t, k, tb)
	return tb, c
}

func (g golden) store() *fakeStore {
	k := newFakeStore(kvstoretest.NewMemoryStore())
	for _, p := range g.Pairs {
		k.Entries[p.Key] = p
		k.Revision = max(k.Revision, p.Revision)
	}
	return k
}

// TestProductionFormatLoads: values written by the version in production are read in either format, and mean
// the same once they are converted, in whichever state a term ends on the way. Nothing is larger
// than the announced limits then.
func TestProductionFormatLoads(t *testing.T) {
	g := readGolden(t)
	old, _ := loadTable(t, g.store(), false)
	assertSameJobs(t, "first format", old, g)
	for steps := 0; ; steps++ {
		k := g.store()
		tb, c := loadTable(t, k, true)
		assertSameJobs(t, "before conversion", tb, g)
		more := true
		for n := range steps {
			more = tb.ConvertToLog(1)
			c.Flush()
			if n < steps-1 {
				k.Run()
			} else {
				k.Pending = nil // the term ends before the response comes
			}
		}
		next, _ := loadTable(t, k, true)
		assertSameJobs(t, fmt.Sprintf("after %d steps", steps), next, g)
		if steps > 0 && !more && steps > 2*len(g.Jobs) {
			break
		}
	}
	k := g.store()
	tb, c := loadTable(t, k, true)
	for tb.ConvertToLog(1) || !allConverted(tb) {
		k.Settle(c)
	}
	k.Settle(c)
	assertSameJobs(t, "converted", tb, g)
	next, _ := loadTable(t, k, true)
	assertSameJobs(t, "loaded again", next, g)
	for path, p := range k.Entries {
		if strings.HasPrefix(path, LivePrefix) && len(p.Value) > 2048 {
			t.Errorf("%s has %d bytes", path, len(p.Value))
		}
		if strings.Count(path, "/") > 1 {
			t.Errorf("%s is left", path)
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

// TestFirstFormatRoundTrip: in the first format this version writes exactly what the one in production does, so
// that a leader of that version reads all of it and writes it again.
func TestFirstFormatRoundTrip(t *testing.T) {
	g := readGolden(t)
	k := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(k)
	runScript(k, tb, c)
	assertSameJobs(t, "in memory", tb, g)
	if len(k.Entries) != len(g.Pairs) {
		t.Errorf("%d keys, want %d", len(k.Entries), len(g.Pairs))
	}
	for _, p := range g.Pairs {
		var got, want map[string]any
		if err := json.Unmarshal(k.Entries[p.Key].Value, &got); err != nil {
			t.Errorf("%s: %v", p.Key, err)
			continue
		}
		if err := json.Unmarshal(p.Value, &want); err != nil {
			t.Fatal(err)
		}
		// A header may have a lower LSN, so that records of the log are applied again, but never a higher one.
		if a, ok := got["lsn"].(float64); ok && a <= want["lsn"].(float64) {
			got["lsn"] = want["lsn"]
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %s, want %s", p.Key, k.Entries[p.Key].Value, p.Value)
		}
	}
}

// TestReusedLogSequenceNumber: a header may have the number of a log record that was never written, which the next
// term has given out again. The lines of the new record must not count as part of the header.
func TestReusedLogSequenceNumber(t *testing.T) {
	k := newFakeStore(kvstoretest.NewMemoryStore())
	head := `{"spec":{"id":"j-1","desk":"red","shape":"batch","pieces":2,"vcpus":1},"seq":1,"phase":"open",
		"lsn":9,"tasks":[{},{}]}`
	k.Entries["live/j-1"] = kvstore.KeyValue{Key: "live/j-1", Value: json.RawMessage(head), Revision: 20}
	record := `{"n":9,"l":[{"j":"j-1","t":1,"h":"host-1","n":1}]}`
	k.Entries["log/00000"] = kvstore.KeyValue{Key: "log/00000", Value: json.RawMessage(record), Revision: 31}
	k.Revision = 40
	for _, packed := range []bool{false, true} {
		tb, _ := loadTable(t, k, packed)
		if got := tb.Jobs["j-1"].Tasks[0].MachineID; got != "host-1" {
			t.Errorf("packed %v: the placement is not applied: %q", packed, got)
		}
	}
	delete(k.Entries, "log/00000")
	tb, c := loadTable(t, k, false)
	tb.Place(&tb.Jobs["j-1"].Tasks[1], "host-2", 1, func() {})
	k.Settle(c)
	var r struct {
		N uint64 `json:"n"`
	}
	if err := json.Unmarshal(k.Entries["log/00000"].Value, &r); err != nil || r.N <= 9 {
		t.Errorf("record %d after a header with LSN 9 (%v)", r.N, err)
	}
}

func sortedKeys(keys map[string]kvstore.KeyValue) []string { return slices.Sorted(maps.Keys(keys)) }

package jobs

import (
	"fmt"
	"strings"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	goldenfile "opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// recorder is a store that records a description of all requests.
type recorder struct {
	*fakeStore
	kvstoretest.RequestLog
}

func (r *recorder) Store(q kvstore.Request, f func(kvstore.Response)) {
	r.Record(q)
	r.fakeStore.Store(q, f)
}

// storageVariant is a storage format with a limit on the size of values.
type storageVariant struct {
	name       string
	packed     bool
	valueBytes int // limit on the size of values, which determines the segment size
}

var storageVariants = []storageVariant{
	{"legacy format, tasks in the header", false, 16 << 10},
	{"legacy format, tasks in segments", false, 64 + 2*maxRecordBytes},
	{"packed", true, 16 << 10},
}

// open returns a table that uses this variant.
func (s storageVariant) open(r *recorder) (*Table, *commit.Committer) {
	limits := commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}
	c := commit.New(r, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { panic(err) })
	tb := NewTable(c, s.valueBytes, r.Now, func() int64 { return 1_700_000_000_123 })
	if s.packed {
		c.UseTextFormat()
		tb.UsePackedLog()
	}
	return tb, c
}

// goldenSpec returns the specification of a batch job with three tasks and all fields set.
func goldenSpec(id ident.JobID) *api.Spec {
	s := goldenfile.Filled[api.Spec](0)
	s.ID, s.Shape, s.Priority, s.Tasks = id, api.Batch, api.High, 3
	return &s
}

// runLifecycles takes jobs through all changes that are written to the store.
func runLifecycles(r *recorder, tb *Table, c *commit.Committer) {
	flush := func() { r.FlushAndRun(c) }
	add := func(id ident.JobID) *Job {
		j := tb.Add(goldenSpec(id), func() {}, nil)
		flush()
		return j
	}
	open, cancelled, held, done := add("j-11"), add("j-12"), add("j-13"), add("j-14")
	for i := range 3 {
		tb.Place(open.Tasks.At(i), ident.MachineID(fmt.Sprintf("host 0%d,a", i)), ident.Incarnation(21+i), func() {})
		tb.Place(done.Tasks.At(i), "host-14", 31, func() {})
	}
	tb.Place(held.Tasks.At(1), "host-13", 41, func() {})
	flush()
	tb.MarkNotRunning(open.Tasks.At(0), nil)
	flush()
	tb.Place(open.Tasks.At(0), "host-77", 51, func() {})
	tb.Complete(open.Tasks.At(1), nil)
	flush()
	tb.Cancel(cancelled, func() {})
	tb.Cancel(held, func() {})
	for i := range done.Tasks.Len() {
		tb.Complete(done.Tasks.At(i), nil)
	}
	flush()
	c.MarkDirty(open.storage.header, nil)
	for _, d := range open.storage.segments {
		c.MarkDirty(d, nil)
	}
	flush()
}

// describe returns a description of the jobs in a table.
func describe(tb *Table) string {
	var b strings.Builder
	for _, j := range tb.Sorted() {
		fmt.Fprintf(&b, "%s is %s, number %d of %d\n", j.Spec.ID, j.Phase, j.Seq, j.SubmittedAtMS)
		for i := range j.Tasks.Len() {
			t := j.Tasks.At(i)
			fmt.Fprintf(&b, "  %d is %s in attempt %d on %q, incarnation %d\n",
				t.Index, t.State, t.Attempt, t.MachineID, t.Incarnation)
		}
	}
	return b.String()
}

// stored lists the keys and values of a store.
func stored(store *fakeStore) string {
	var b strings.Builder
	for _, path := range sortedKeys(store.Entries) {
		fmt.Fprintf(&b, "%s at %d: %s\n", path, store.Entries[path].Revision, store.Entries[path].Value)
	}
	return b.String()
}

// views lists the views of all live jobs as read by a node that is not the leader.
func views(t *testing.T, store *fakeStore) string {
	t.Helper()
	var b strings.Builder
	for _, path := range sortedKeys(store.Entries) {
		if strings.HasPrefix(path, LivePrefix) && strings.Count(path, "/") == 1 {
			view, err := ParseLiveView(store.Entries[path].Value)
			fmt.Fprintf(&b, "%s, %v\n", api.JSON(view), err)
		}
	}
	return b.String()
}

// TestGoldenStorage compares every key, value and condition that is written for jobs in either format, and the
// jobs that the next term loads, with the golden file.
func TestGoldenStorage(t *testing.T) {
	var d goldenfile.Document
	for _, s := range storageVariants {
		r := &recorder{fakeStore: newFakeStore(kvstoretest.NewMemoryStore())}
		tb, c := s.open(r)
		runLifecycles(r, tb, c)
		d.Add(s.name+": requests", r.Requests())
		d.Add(s.name+": stored", stored(r.fakeStore))
		d.Add(s.name+": views", views(t, r.fakeStore))
		for _, packed := range []bool{false, true} {
			if s.packed && !packed {
				continue // without the packed format enabled, the values cannot be loaded
			}
			next, _ := loadTable(t, r.fakeStore, packed)
			d.Add(fmt.Sprintf("%s: read with packed %v", s.name, packed), describe(next))
		}
	}
	d.Compare(t, "storage")
}

// TestGoldenConversion compares the stored values after jobs are converted from the legacy format to the packed
// one with the golden file.
func TestGoldenConversion(t *testing.T) {
	r := &recorder{fakeStore: newFakeStore(kvstoretest.NewMemoryStore())}
	tb, c := storageVariants[1].open(r)
	runLifecycles(r, tb, c)
	next, c := loadTable(t, r.fakeStore, true)
	for next.ConvertToLog(1) || !allConverted(next) {
		r.FlushAndRun(c)
	}
	r.FlushAndRun(c)
	goldenfile.Compare(t, "conversion", stored(r.fakeStore))
}

// TestGoldenRecords compares stored values that have all of their fields set with the golden file.
func TestGoldenRecords(t *testing.T) {
	var d goldenfile.Document
	for v := range goldenfile.BoolVariants {
		h := goldenfile.Filled[jobHeader](v)
		h.Phase = Cancelled
		goldenfile.RoundTrip(t, &d, fmt.Sprintf("header %d", v), h)
	}
	goldenfile.RoundTrip(t, &d, "segment", goldenfile.Filled[taskSegment](0))
	goldenfile.RoundTrip(t, &d, "line of the legacy format", goldenfile.Filled[logLine](0))
	for _, p := range []Phase{Open, Cancelled, Done} {
		e := goldenfile.Filled[ArchivedJob](0)
		e.Phase = p
		goldenfile.RoundTrip(t, &d, "job that is over: "+p.String(), e)
		d.JSON(t, "view of it", e.View("j-15"))
	}
	d.Compare(t, "records")
}

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

// recorder is a store that keeps a description of all requests.
type recorder struct {
	*fakeStore
	kvstoretest.RequestLog
}

func (r *recorder) Store(q kvstore.Request, f func(kvstore.Response)) {
	r.Record(q)
	r.fakeStore.Store(q, f)
}

// storageVariant is a way to keep tasks in the store.
type storageVariant struct {
	name       string
	packed     bool
	valueBytes int // by which tasks are divided into segments
}

var storageVariants = []storageVariant{
	{"first format, tasks in the header", false, 16 << 10},
	{"first format, tasks in segments", false, 64 + 2*maxRecordBytes},
	{"packed", true, 16 << 10},
}

// open makes a table that writes in this way.
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

// goldenSpec is a submission of three tasks.
func goldenSpec(id ident.JobID) *api.Spec {
	s := goldenfile.Filled[api.Spec](0)
	s.ID, s.Shape, s.Priority, s.Tasks = id, api.Batch, api.High, 3
	return &s
}

// runLifecycles takes jobs through all changes that are written.
func runLifecycles(r *recorder, tb *Table, c *commit.Committer) {
	settle := func() { r.Settle(c) }
	add := func(id ident.JobID) *Job {
		j := tb.Add(goldenSpec(id), func() {}, nil)
		settle()
		return j
	}
	open, cancelled, held, done := add("j-11"), add("j-12"), add("j-13"), add("j-14")
	for i := range 3 {
		tb.Place(&open.Tasks[i], ident.MachineID(fmt.Sprintf("host 0%d,a", i)), ident.Incarnation(21+i), func() {})
		tb.Place(&done.Tasks[i], "host-14", 31, func() {})
	}
	tb.Place(&held.Tasks[1], "host-13", 41, func() {})
	settle()
	tb.MarkGone(&open.Tasks[0], nil)
	settle()
	tb.Place(&open.Tasks[0], "host-77", 51, func() {})
	tb.Complete(&open.Tasks[1], nil)
	settle()
	tb.Cancel(cancelled, func() {})
	tb.Cancel(held, func() {})
	for i := range done.Tasks {
		tb.Complete(&done.Tasks[i], nil)
	}
	settle()
	c.MarkDirty(open.storage.header, nil)
	for _, d := range open.storage.segments {
		c.MarkDirty(d, nil)
	}
	settle()
}

// describe returns a description of the jobs in a table.
func describe(tb *Table) string {
	var b strings.Builder
	for _, j := range tb.Sorted() {
		fmt.Fprintf(&b, "%s is %s, number %d of %d\n", j.Spec.ID, j.Phase, j.Seq, j.SubmittedAtMS)
		for i := range j.Tasks {
			t := &j.Tasks[i]
			fmt.Fprintf(&b, "  %d is %s in attempt %d on %q, incarnation %d\n",
				t.Index, t.State, t.Attempt, t.MachineID, t.Incarnation)
		}
	}
	return b.String()
}

// stored lists the keys and values of a store.
func stored(k *fakeStore) string {
	var b strings.Builder
	for _, path := range sortedKeys(k.Entries) {
		fmt.Fprintf(&b, "%s at %d: %s\n", path, k.Entries[path].Revision, k.Entries[path].Value)
	}
	return b.String()
}

// views lists the views of all live jobs as a node that does not lead reads them.
func views(t *testing.T, k *fakeStore) string {
	t.Helper()
	var b strings.Builder
	for _, path := range sortedKeys(k.Entries) {
		if strings.HasPrefix(path, LivePrefix) && strings.Count(path, "/") == 1 {
			view, err := ParseLiveView(k.Entries[path].Value)
			fmt.Fprintf(&b, "%s, %v\n", api.JSON(view), err)
		}
	}
	return b.String()
}

// TestGoldenStorage pins every key, value and condition with which jobs are written in either format, and what
// the next term reads.
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
				continue // of a later format
			}
			next, _ := loadTable(t, r.fakeStore, packed)
			d.Add(fmt.Sprintf("%s: read with packed %v", s.name, packed), describe(next))
		}
	}
	d.Compare(t, "storage")
}

// TestGoldenConversion pins what is written when jobs are converted from the first format to the packed one.
func TestGoldenConversion(t *testing.T) {
	r := &recorder{fakeStore: newFakeStore(kvstoretest.NewMemoryStore())}
	tb, c := storageVariants[1].open(r)
	runLifecycles(r, tb, c)
	next, c := loadTable(t, r.fakeStore, true)
	for next.ConvertToLog(1) || !allConverted(next) {
		r.Settle(c)
	}
	r.Settle(c)
	goldenfile.Compare(t, "conversion", stored(r.fakeStore))
}

// TestGoldenRecords pins the values of keys with all of their fields set.
func TestGoldenRecords(t *testing.T) {
	var d goldenfile.Document
	for v := range goldenfile.BoolVariants {
		h := goldenfile.Filled[jobHeader](v)
		h.Phase = Cancelled
		goldenfile.RoundTrip(t, &d, fmt.Sprintf("header %d", v), h)
	}
	goldenfile.RoundTrip(t, &d, "segment", goldenfile.Filled[taskSegment](0))
	goldenfile.RoundTrip(t, &d, "line of the first format", goldenfile.Filled[logLine](0))
	for _, p := range []Phase{Open, Cancelled, Done} {
		e := goldenfile.Filled[ArchivedJob](0)
		e.Phase = p
		goldenfile.RoundTrip(t, &d, "job that is over: "+p.String(), e)
		d.JSON(t, "view of it", e.View("j-15"))
	}
	d.Compare(t, "records")
}

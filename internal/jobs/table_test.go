package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// fakeStore is a store that executes all requests in order and panics on a value that is larger than the real
// store accepts.
type fakeStore struct{ *kvstoretest.SteppedStore }

func newFakeStore(s *kvstoretest.MemoryStore) *fakeStore {
	return &fakeStore{kvstoretest.NewSteppedStore(s)}
}

func (store *fakeStore) Store(r kvstore.Request, f func(kvstore.Response)) {
	for _, c := range r.Mutations {
		if len(c.Value) > 16<<10 {
			panic(fmt.Sprintf("value of %s has %d bytes, the store accepts %d", c.Put, len(c.Value), 16<<10))
		}
	}
	store.SteppedStore.Store(r, f)
}

func newTestTable(store *fakeStore) (*Table, *commit.Committer) {
	limits := commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}
	c := commit.New(store, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { panic(err) })
	return NewTable(c, 16<<10, store.Now, func() int64 { return 5 }), c
}

// TestSegments checks that a job that is too large for one value is divided into segments, that a new leader
// loads the tasks of all segments, and that archiving the job removes all of its keys.
func TestSegments(t *testing.T) {
	for _, tasks := range []int{1, 100, 5000} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) { testSegments(t, tasks) })
	}
}

func testSegments(t *testing.T, tasks int) {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(store)
	j := placeHalfCompleted(t, store, tb, c, tasks)
	if j.CompletedTasks != tasks/2 || j.AllocatedTasks != tasks-tasks/2 {
		t.Fatalf("%d tasks completed, %d allocated; want %d, %d", j.CompletedTasks, j.AllocatedTasks, tasks/2, tasks-tasks/2)
	}

	for key := range store.Entries {
		if !strings.HasPrefix(key, LivePrefix) && !strings.HasPrefix(key, commit.LogPrefix) {
			t.Fatalf("key %s was written while the job is open, want only keys below %s and %s",
				key, LivePrefix, commit.LogPrefix)
		}
	}
	successor, successorCommits := newTestTable(store)
	loadAll(t, store, successor)
	j = successor.Jobs["j-1"]
	if j.CompletedTasks != tasks/2 || j.AllocatedTasks != tasks-tasks/2 {
		t.Fatalf("new leader loaded %d completed, %d allocated tasks; want %d, %d",
			j.CompletedTasks, j.AllocatedTasks, tasks/2, tasks-tasks/2)
	}
	if last := j.Tasks.At(tasks - 1); last.MachineID != "host-999999" || last.Incarnation != 1<<40 {
		t.Fatalf("new leader loaded the last task on %s in incarnation %d, want host-999999 in %d",
			last.MachineID, last.Incarnation, uint64(1<<40))
	}
	if v, err := ParseLiveView(store.Entries["live/j-1"].Value); err != nil || v.ID != "j-1" {
		t.Errorf("view from the live key: got %+v, error %v; want the view of j-1", v, err)
	}

	for i := range j.Tasks.Len() {
		if j.Tasks.At(i).State == Assigned {
			successor.Complete(j.Tasks.At(i), nil)
		}
	}
	successorCommits.Flush()
	store.Run()
	for p := range store.Entries {
		if strings.HasPrefix(p, commit.LogPrefix) {
			delete(store.Entries, p) // log keys remain in the store to be reused
		}
	}
	var archived ArchivedJob
	if len(store.Entries) != 1 || json.Unmarshal(store.Entries["over/j-1"].Value, &archived) != nil || archived.Phase != Done {
		t.Errorf("%d keys besides the log, archive record %+v; want 1 key, phase %v", len(store.Entries), archived, Done)
	}
}

// placeHalfCompleted submits j-1, places all its tasks, and completes the first half of them.
func placeHalfCompleted(t *testing.T, store *fakeStore, tb *Table, c *commit.Committer, tasks int) *Job {
	t.Helper()
	s := &api.Spec{ID: "j-1", Shape: api.Batch, Tasks: tasks, Image: strings.Repeat("x", 200)}
	accepted := false
	j := tb.Add(s, func() { accepted = true }, nil)
	store.FlushAndRun(c)
	for i := range j.Tasks.Len() {
		tb.Place(j.Tasks.At(i), "host-999999", 1<<40, func() {})
	}
	store.FlushAndRun(c)
	for i := 0; i < tasks/2; i++ {
		tb.Complete(j.Tasks.At(i), nil)
	}
	store.FlushAndRun(c)
	if !accepted {
		t.Fatal("submission of j-1 is not durable after all responses have arrived")
	}
	return j
}

// loadAll loads all keys of a store in lexical order, as a new leader does.
func loadAll(t *testing.T, store *fakeStore, tb *Table) {
	t.Helper()
	var log []kvstore.KeyValue
	for _, key := range sortedKeys(store.Entries) {
		pair := store.Entries[key]
		switch {
		case strings.HasPrefix(key, LivePrefix):
			if err := tb.Load(key, pair.Value, pair.Revision); err != nil {
				t.Fatal(err)
			}
		case strings.HasPrefix(key, commit.LogPrefix):
			log = append(log, pair)
		}
	}
	if err := tb.LoadLog(log); err != nil {
		t.Fatal(err)
	}
	tb.FinishLoading()
}

// TestCancelledJobStaysLiveUntilTasksGone checks that a cancelled job keeps its live key until its tasks can no
// longer run, so that a new leader loads them, but that users see the job as cancelled immediately.
func TestCancelledJobStaysLiveUntilTasksGone(t *testing.T) {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(store)
	j := tb.Add(&api.Spec{ID: "j-1", Shape: api.Service, Tasks: 2}, func() {}, nil)
	store.FlushAndRun(c)
	tb.Place(j.Tasks.At(0), "h", 1, func() {})
	store.FlushAndRun(c)
	status, archived := api.Status(""), 0
	tb.OnArchived = func(id ident.JobID) {
		archived++
		if id != "j-1" || store.Entries["over/j-1"].Revision == 0 {
			t.Errorf("OnArchived was called for %s, want j-1 and only after over/j-1 is stored", id)
		}
	}
	tb.Cancel(j, func() { status = j.view().Status })
	store.FlushAndRun(c)
	if status != "cancelled" || store.Entries["over/j-1"].Revision != 0 || store.Entries["live/j-1"].Revision == 0 {
		t.Fatalf("after the cancellation: status %q, keys %v; want status cancelled, key live/j-1 and not over/j-1",
			status, store.Entries)
	}
	tb.MarkNotRunning(j.Tasks.At(0), nil)
	store.FlushAndRun(c)
	if store.Entries["over/j-1"].Revision == 0 || store.Entries["live/j-1"].Revision != 0 || archived != 1 {
		t.Errorf("after the task can no longer run: keys %v, archived %d times; want over/j-1 and not live/j-1, archived once",
			store.Entries, archived)
	}
}

// TestInferTasksPerSegment checks that the segment size of a job is inferred from any one segment, also if the
// job was divided under another limit. A last segment with fewer tasks must not be mistaken for a full one of
// a smaller segment size.
func TestInferTasksPerSegment(t *testing.T) {
	for _, total := range []int{2, 7, 100, 149, 150, 200, 296, 5000} {
		for _, segmentSize := range []int{18, 148} {
			for index := 0; index*segmentSize < total; index++ {
				count := min(segmentSize, total-index*segmentSize)
				if got, ok := (segmentDivision{total, segmentSize}).infer(index, count); !ok || got != segmentSize {
					t.Errorf("%d tasks, segment %d with %d: inferred segment size %d, %v; want %d, true",
						total, index, count, got, ok, segmentSize)
				}
			}
		}
	}
	for _, c := range []struct{ index, count, total, want int }{{0, 18, 200, 18}, {3, 18, 200, 18}, {11, 2, 200, 18}} {
		if got, ok := (segmentDivision{c.total, 148}).infer(c.index, c.count); !ok || got != c.want {
			t.Errorf("%+v: inferred segment size %d, %v; want %d, true", c, got, ok, c.want)
		}
	}
	if got, ok := (segmentDivision{40, 148}).infer(1, 30); ok || got != 0 {
		t.Errorf("impossible segment: inferred segment size %d, %v; want 0, false", got, ok)
	}
}

// TestViewWithheldUntilSettled checks that no view of a job is returned while its submission or end is being
// written. Another node may already read the new state from the store, for example when the response to the
// transaction of a cancellation is lost, and a user must not see "running" after "cancelled".
func TestViewWithheldUntilSettled(t *testing.T) {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(store)
	var j *Job
	status := api.Status("")
	readStatus := func(view api.JobView) { status = view.Status }
	j = tb.Add(&api.Spec{ID: "j-1", Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {}, nil)
	c.Flush()
	if j.WhenViewSettled(readStatus); j.ViewSettled() || status != "" {
		t.Errorf("while the submission is being written: settled %v, status %q; want false, no status", j.ViewSettled(), status)
	}
	store.Run()
	if status != "queued" || !j.ViewSettled() {
		t.Errorf("after the submission is written: status %q, settled %v; want queued, true", status, j.ViewSettled())
	}
	status = ""
	tb.Cancel(j, func() {})
	if j.WhenViewSettled(readStatus); status != "queued" {
		t.Errorf("before the cancellation is sent to the store: status %q, want queued", status)
	}
	status = ""
	c.Flush()
	if j.WhenViewSettled(readStatus); j.ViewSettled() || status != "" {
		t.Errorf("while the cancellation is being written: settled %v, status %q; want false, no status", j.ViewSettled(), status)
	}
	store.Run()
	if status != "cancelled" {
		t.Errorf("after the cancellation is written: status %q, want cancelled", status)
	}
}

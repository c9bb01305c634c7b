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

// fakeStore is a store that carries out all requests in order, and panics on a value that is larger than the
// real store accepts.
type fakeStore struct{ *kvstoretest.SteppedStore }

func newFakeStore(s *kvstoretest.MemoryStore) *fakeStore {
	return &fakeStore{kvstoretest.NewSteppedStore(s)}
}

func (k *fakeStore) Store(r kvstore.Request, f func(kvstore.Response)) {
	for _, c := range r.Mutations {
		if len(c.Value) > 16<<10 {
			panic(fmt.Sprintf("%s has %d bytes", c.Put, len(c.Value)))
		}
	}
	k.SteppedStore.Store(r, f)
}

func newTestTable(k *fakeStore) (*Table, *commit.Committer) {
	limits := commit.Limits{MutationsPerTxn: 16, MutationsPerSecond: 1e9, MaxValueBytes: 16 << 10}
	c := commit.New(k, limits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { panic(err) })
	return NewTable(c, 16<<10, k.Now, func() int64 { return 5 }), c
}

// TestSegments: a job too large for one value is divided into segments, all of whose tasks a new leader loads,
// and is archived as a whole.
func TestSegments(t *testing.T) {
	for _, tasks := range []int{1, 100, 5000} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) { testSegments(t, tasks) })
	}
}

func testSegments(t *testing.T, tasks int) {
	k := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(k)
	j := placeHalfCompleted(t, k, tb, c, tasks)
	if j.CompletedTasks != tasks/2 || j.AllocatedTasks != tasks-tasks/2 {
		t.Fatalf("%d completed, %d allocated", j.CompletedTasks, j.AllocatedTasks)
	}

	for key := range k.Entries {
		if !strings.HasPrefix(key, LivePrefix) && !strings.HasPrefix(key, commit.LogPrefix) {
			t.Fatalf("%s is written before the job is over", key)
		}
	}
	successor, successorCommits := newTestTable(k)
	loadAll(t, k, successor)
	j = successor.Jobs["j-1"]
	if j.CompletedTasks != tasks/2 || j.AllocatedTasks != tasks-tasks/2 {
		t.Fatalf("loaded %d completed, %d allocated", j.CompletedTasks, j.AllocatedTasks)
	}
	if last := j.Tasks[tasks-1]; last.MachineID != "host-999999" || last.Incarnation != 1<<40 {
		t.Fatalf("loaded the last task on %s in incarnation %d", last.MachineID, last.Incarnation)
	}
	if v, err := ParseLiveView(k.Entries["live/j-1"].Value); err != nil || v.ID != "j-1" {
		t.Errorf("%+v, %v", v, err)
	}

	for i := range j.Tasks {
		if j.Tasks[i].State == Assigned {
			successor.Complete(&j.Tasks[i], nil)
		}
	}
	successorCommits.Flush()
	k.Run()
	for p := range k.Entries {
		if strings.HasPrefix(p, commit.LogPrefix) {
			delete(k.Entries, p) // keys of the log are kept to be reused
		}
	}
	var archived ArchivedJob
	if len(k.Entries) != 1 || json.Unmarshal(k.Entries["over/j-1"].Value, &archived) != nil || archived.Phase != Done {
		t.Errorf("%d keys are left, archived: %+v", len(k.Entries), archived)
	}
}

// placeHalfCompleted submits j-1, places all its tasks, and completes the first half of them.
func placeHalfCompleted(t *testing.T, k *fakeStore, tb *Table, c *commit.Committer, tasks int) *Job {
	t.Helper()
	s := &api.Spec{ID: "j-1", Shape: api.Batch, Tasks: tasks, Image: strings.Repeat("x", 200)}
	accepted := false
	j := tb.Add(s, func() { accepted = true }, nil)
	k.Settle(c)
	for i := range j.Tasks {
		tb.Place(&j.Tasks[i], "host-999999", 1<<40, func() {})
	}
	k.Settle(c)
	for i := 0; i < tasks/2; i++ {
		tb.Complete(&j.Tasks[i], nil)
	}
	k.Settle(c)
	if !accepted {
		t.Fatal("the submission is not durable")
	}
	return j
}

// loadAll loads all keys of a store in their order, as a new leader does.
func loadAll(t *testing.T, k *fakeStore, tb *Table) {
	t.Helper()
	var log []kvstore.KeyValue
	for _, key := range sortedKeys(k.Entries) {
		pair := k.Entries[key]
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

// TestCancelledJobStaysLiveUntilTasksGone: a cancelled job stays live until its tasks are proven gone, so that
// a new leader knows of them, but its view is that of a cancelled job at once.
func TestCancelledJobStaysLiveUntilTasksGone(t *testing.T) {
	k := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(k)
	j := tb.Add(&api.Spec{ID: "j-1", Shape: api.Service, Tasks: 2}, func() {}, nil)
	k.Settle(c)
	tb.Place(&j.Tasks[0], "h", 1, func() {})
	k.Settle(c)
	status, archived := api.Status(""), 0
	tb.OnArchived = func(id ident.JobID) {
		archived++
		if id != "j-1" || k.Entries["over/j-1"].Revision == 0 {
			t.Errorf("OnArchived is called for %s before that is durable", id)
		}
	}
	tb.Cancel(j, func() { status = j.View().Status })
	k.Settle(c)
	if status != "cancelled" || k.Entries["over/j-1"].Revision != 0 || k.Entries["live/j-1"].Revision == 0 {
		t.Fatalf("status %q, keys %v", status, k.Entries)
	}
	tb.MarkGone(&j.Tasks[0], nil)
	k.Settle(c)
	if k.Entries["over/j-1"].Revision == 0 || k.Entries["live/j-1"].Revision != 0 || archived != 1 {
		t.Errorf("keys %v, archived %d times", k.Entries, archived)
	}
}

// TestInferTasksPerSegment: any one segment of a job shows how many tasks each of them has, also
// when the job was divided under another limit. A short last segment must not be taken for a
// full one of a finer division.
func TestInferTasksPerSegment(t *testing.T) {
	for _, total := range []int{2, 7, 100, 149, 150, 200, 296, 5000} {
		for _, per := range []int{18, 148} {
			for index := 0; index*per < total; index++ {
				count := min(per, total-index*per)
				if got, ok := (segmentDivision{total, per}).infer(index, count); !ok || got != per {
					t.Errorf("%d tasks by %d: segment %d with %d is read as of %d, %v", total, per, index, count, got, ok)
				}
			}
		}
	}
	for _, c := range []struct{ index, count, total, want int }{{0, 18, 200, 18}, {3, 18, 200, 18}, {11, 2, 200, 18}} {
		if got, ok := (segmentDivision{c.total, 148}).infer(c.index, c.count); !ok || got != c.want {
			t.Errorf("%+v is read as of %d, %v", c, got, ok)
		}
	}
	if got, ok := (segmentDivision{40, 148}).infer(1, 30); ok || got != 0 {
		t.Errorf("an impossible segment is read as of %d, %v", got, ok)
	}
}

// TestViewWithheldUntilSettled: while the end of a job is being written another node may read it or not, so
// no view is given here: a user must not be told "running" after "cancelled", as when the response to
// the transaction of a cancellation is lost.
func TestViewWithheldUntilSettled(t *testing.T) {
	k := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(k)
	var j *Job
	status := api.Status("")
	readStatus := func() { status = j.View().Status }
	j = tb.Add(&api.Spec{ID: "j-1", Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {}, nil)
	c.Flush()
	if j.WhenViewSettled(readStatus); j.ViewSettled() || status != "" {
		t.Errorf("while the submission is written: %q", status)
	}
	k.Run()
	if status != "queued" || !j.ViewSettled() {
		t.Errorf("once it is: %q", status)
	}
	status = ""
	tb.Cancel(j, func() {})
	if j.WhenViewSettled(readStatus); status != "queued" {
		t.Errorf("before anything is sent: %q", status)
	}
	status = ""
	c.Flush()
	if j.WhenViewSettled(readStatus); j.ViewSettled() || status != "" {
		t.Errorf("while the cancellation is written: %q", status)
	}
	k.Run()
	if status != "cancelled" {
		t.Errorf("once it is: %q", status)
	}
}

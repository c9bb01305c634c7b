package jobs

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/kvstoretest"
)

// TestCancelledBeforeSubmissionSent guards against a leader that reports a job as queued after another node has read its
// cancellation from the store (went_back): the submission and the cancellation are written in one transaction, and a
// poll or a repeated submission arrives while it is in flight.
func TestCancelledBeforeSubmissionSent(t *testing.T) {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(store)
	var submitted, polled api.Status
	var j *Job
	j = tb.Add(&api.Spec{ID: "j-1", Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {
		j.WhenViewSettled(func(view api.JobView) { submitted = view.Status })
	}, nil)
	tb.Cancel(j, func() {})
	c.Flush()
	if status := storedStatus(t, store.MemoryStore, "j-1"); status != api.StatusCancelled {
		t.Fatalf("status in the store is %q after the transaction is applied, want %q", status, api.StatusCancelled)
	}
	j.WhenViewSettled(func(view api.JobView) { polled = view.Status })
	if polled != "" {
		t.Errorf("poll answered with %q while the transaction is in flight, want no answer yet", polled)
	}
	store.Run()
	if submitted != api.StatusCancelled || polled != api.StatusCancelled {
		t.Errorf("after the response: submission answered with %q, poll with %q, want %q for both", submitted, polled,
			api.StatusCancelled)
	}
}

// TestCancelledWhileLazyWriteIsQueued guards against the same failure when the end of a job reaches the store by a write
// that was queued for another reason: the compaction of the log has queued the header, and the job is cancelled while
// its tasks are converted to the packed format, which takes several transactions. The write that confirms the cancellation
// follows them.
func TestCancelledWhileLazyWriteIsQueued(t *testing.T) {
	store := newFakeStore(kvstoretest.NewMemoryStore())
	tb, c := newTestTable(store)
	j := tb.Add(&api.Spec{ID: "j-1", Shape: api.Service, Tasks: 5000}, func() {}, nil)
	store.FlushAndRun(c)
	for i := range j.Tasks.Len() {
		tb.Place(j.Tasks.At(i), "host-000001", 1, func() {})
	}
	store.FlushAndRun(c)
	c.MarkDirtyLazily(j.storage.header, nil)
	c.UseTextFormat()
	tb.UsePackedLog()
	confirmed, answersBefore := false, 0
	tb.Cancel(j, func() { confirmed = true })
	c.Flush()
	for len(store.Pending) > 0 {
		next := store.Pending[0]
		store.Pending = store.Pending[1:]
		next()
		if storedStatus(t, store.MemoryStore, "j-1") != api.StatusCancelled {
			continue
		}
		j.WhenViewSettled(func(view api.JobView) {
			if !confirmed {
				answersBefore++
			}
			if view.Status != api.StatusCancelled {
				t.Errorf("poll answered with %q, the store has %q", view.Status, api.StatusCancelled)
			}
		})
	}
	if !confirmed || answersBefore == 0 {
		t.Errorf("cancellation confirmed %v, %d polls answered before; want true, at least 1", confirmed, answersBefore)
	}
}

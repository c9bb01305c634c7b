package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestFailuresBlamedOnJob: a job that fails on several machines is suspect, and neither its earlier nor its
// later failures count against machines. Two other jobs that fail in a row, and run well elsewhere,
// still show a faulty machine. Jobs that are neither suspect nor proven healthy do not: many jobs
// may be submitted with the same mistake at once.
func TestFailuresBlamedOnJob(t *testing.T) {
	r := newHarness(t)
	r.answers[0](CommandResult{})
	fail := func(id string, suspect bool) *jobs.Job {
		j := r.jobs.Add(&api.Spec{ID: ident.JobID(id), Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {}, nil)
		r.runUntilIdle()
		j.Suspect = suspect
		r.jobs.Place(&j.Tasks[0], "h", 1, func() {})
		r.runUntilIdle()
		failed := api.TaskReport{TaskID: j.Tasks[0].TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseError}
		r.heartbeat(1, failed)
		r.runUntilIdle()
		return j
	}
	j := fail("j-2", false)
	if !r.worker.PossiblyFaulty() || r.worker.Faulty() {
		t.Fatalf("a first failure: possibly faulty %v, faulty %v", r.worker.PossiblyFaulty(), r.worker.Faulty())
	}
	j.Suspect = true
	if fail("j-3", true); r.worker.PossiblyFaulty() || r.worker.Faulty() {
		t.Errorf("jobs that fail everywhere: possibly faulty %v, faulty %v", r.worker.PossiblyFaulty(), r.worker.Faulty())
	}
	r.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: r.now})
	list := []*jobs.Job{fail("j-4", false), fail("j-5", false), fail("j-6", false)}
	if !r.worker.PossiblyFaulty() || r.worker.Faulty() {
		t.Errorf("jobs that may be at fault or not: possibly faulty %v, faulty %v", r.worker.PossiblyFaulty(), r.worker.Faulty())
	}
	for i, j := range list[:2] {
		if r.worker.Faulty() {
			t.Errorf("%d healthy jobs have failed there, and it is faulty", i)
		}
		r.jobs.Place(&j.Tasks[0], "other", 1, func() {})
		r.runUntilIdle()
		r.now = r.now.Add(time.Second)
		r.jobs.UpdateStatus(&j.Tasks[0], api.Running)
		r.jobs.RecordUnexplainedFailure(j)
		r.now = r.now.Add(11 * time.Second)
		r.jobs.MarkProvenHealthy()
	}
	if !r.worker.Faulty() {
		t.Error("two jobs in a row that run well elsewhere failed there, and it is not faulty")
	}
}

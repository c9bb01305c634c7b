package workers

import (
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/jobs"
)

// TestFailuresBlamedOnJob checks when failures are attributed to the machine. Failures of a suspect job, which
// has failed on several machines, never count against a machine. Two other jobs that fail in a row on one
// machine but run on another do mark the first machine as faulty. Failures of jobs that are neither suspect
// nor proven healthy do not, because many jobs may be submitted with the same mistake at once.
func TestFailuresBlamedOnJob(t *testing.T) {
	h := newHarness(t)
	h.answers[0](CommandResult{})
	fail := func(id string, suspect bool) *jobs.Job {
		j := h.jobs.Add(&api.Spec{ID: ident.JobID(id), Shape: api.Batch, Tasks: 1, VCPUs: 1}, func() {}, nil)
		h.runUntilIdle()
		j.Suspect = suspect
		h.jobs.Place(j.Tasks.At(0), "h", 1, func() {})
		h.runUntilIdle()
		failed := api.TaskReport{TaskID: j.Tasks.At(0).TaskID(), Attempt: 1, Status: api.Ended, Cause: api.CauseError}
		h.heartbeat(1, failed)
		h.runUntilIdle()
		return j
	}
	j := fail("j-2", false)
	if !h.worker.PossiblyFaulty() || h.worker.Faulty() {
		t.Fatalf("after the first failure: possibly faulty %v, faulty %v; want true, false",
			h.worker.PossiblyFaulty(), h.worker.Faulty())
	}
	j.Suspect = true
	if fail("j-3", true); h.worker.PossiblyFaulty() || h.worker.Faulty() {
		t.Errorf("after failures of suspect jobs: possibly faulty %v, faulty %v; want false, false",
			h.worker.PossiblyFaulty(), h.worker.Faulty())
	}
	h.tb.Add(MachineInfo{ID: "other", Model: "m8", Zone: "east", CreatedAt: h.now})
	list := []*jobs.Job{fail("j-4", false), fail("j-5", false), fail("j-6", false)}
	if !h.worker.PossiblyFaulty() || h.worker.Faulty() {
		t.Errorf("after failures of jobs neither suspect nor proven healthy: possibly faulty %v, faulty %v; want true, false",
			h.worker.PossiblyFaulty(), h.worker.Faulty())
	}
	for i, j := range list[:2] {
		if h.worker.Faulty() {
			t.Errorf("machine is faulty after failures of %d healthy jobs, want not faulty before %d", i, faultyThreshold)
		}
		h.jobs.Place(j.Tasks.At(0), "other", 1, func() {})
		h.runUntilIdle()
		h.now = h.now.Add(time.Second)
		h.jobs.UpdateStatus(j.Tasks.At(0), api.Running)
		h.jobs.RecordUnexplainedFailure(j)
		h.now = h.now.Add(11 * time.Second)
		h.jobs.MarkProvenHealthy()
	}
	if !h.worker.Faulty() {
		t.Error("machine is not faulty after consecutive failures of two jobs that run on another machine")
	}
}

package placement

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/settings"
)

// TestBorrowerHasNoLimit checks that a team whose settings are all 0 has neither guarantee nor limit: it may
// use any free capacity.
func TestBorrowerHasNoLimit(t *testing.T) {
	ts := NewTeams([]settings.Team{{Name: "house", CPUs: 8, CPUsMax: 16}, {Name: "borrower"}})
	bigJob := &api.Spec{Team: "borrower", Shape: api.Service, Tasks: api.MaxTasks, VCPUs: 4, GPUs: 1}
	if err := ts.Validate(bigJob); err != nil {
		t.Errorf("Validate of a large job of a borrower: %v", err)
	}
	ts.AddUsage(bigJob, 5000)
	if !ts.Allows(bigJob, 1) || ts.RemainingTasks(bigJob) != api.MaxTasks {
		t.Errorf("RemainingTasks of a borrower: got %d, want %d", ts.RemainingTasks(bigJob), api.MaxTasks)
	}
	house := &api.Spec{Team: "house", Shape: api.Batch, Tasks: 1, VCPUs: 2}
	if ts.RemainingTasks(house) != 8 || ts.Validate(&api.Spec{Team: "house", Shape: api.Batch, VCPUs: 17}) != ErrOverQuota ||
		ts.Validate(&api.Spec{Team: "house", Shape: api.Batch, VCPUs: 1, GPUs: 1}) != ErrOverQuota {
		t.Errorf("team with a limit: got RemainingTasks %d, want 8; or Validate did not return ErrOverQuota",
			ts.RemainingTasks(house))
	}
}

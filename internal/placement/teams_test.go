package placement

import (
	"testing"

	"opaldale/internal/api"
	"opaldale/internal/settings"
)

// TestNoLimit: a guest team has neither guarantee nor limit; its settings say 0 for all,
// which means none. Every job of such a team was refused with 422.
func TestNoLimit(t *testing.T) {
	ts := NewTeams([]settings.Team{{Name: "house", CPUs: 8, CPUsMax: 16}, {Name: "guest"}})
	vast := &api.Spec{Team: "guest", Shape: api.Service, Tasks: api.MaxTasks, VCPUs: 4, GPUs: 1}
	if why := ts.Refusal(vast); why != "" {
		t.Error(why)
	}
	ts.Count(vast, 5000)
	if !ts.Allows(vast, 1) || ts.Room(vast) != api.MaxTasks {
		t.Errorf("room for %d", ts.Room(vast))
	}
	house := &api.Spec{Team: "house", Shape: api.Batch, Tasks: 1, VCPUs: 2}
	if ts.Room(house) != 8 || ts.Refusal(&api.Spec{Team: "house", Shape: api.Batch, VCPUs: 17}) == "" ||
		ts.Refusal(&api.Spec{Team: "house", Shape: api.Batch, VCPUs: 1, GPUs: 1}) == "" {
		t.Errorf("a team with a limit: room for %d", ts.Room(house))
	}
}

package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"opaldale/internal/settings"
	"opaldale/internal/simulator"
)

// TestMovesRecord checks that outcomes are recorded, plotted and printed. Outcomes with a violation, and those that do not
// conform to the schema, must fail the validation.
func TestMovesRecord(t *testing.T) {
	outcome := simulator.StudyMoves(1, settings.RebalanceMove, 1)
	path, plotPath := filepath.Join(t.TempDir(), "moves.json"), filepath.Join(t.TempDir(), "moves.svg")
	if err := recordMoves(path, []simulator.MovesOutcome{outcome}); err != nil {
		t.Fatal(err)
	}
	if err := plotMoves(plotPath, []simulator.MovesOutcome{outcome}); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(path)
	if err != nil || validateMoves(body) != nil {
		t.Errorf("recorded outcomes: read error %v, validation error %v, want none", err, validateMoves(body))
	}
	if info, err := os.Stat(plotPath); err != nil || info.Size() == 0 {
		t.Errorf("plot: got error %v or an empty file", err)
	}
	var table strings.Builder
	if err := writeMoves(&table, []simulator.MovesOutcome{outcome}); err != nil || !strings.Contains(table.String(), "| move |") {
		t.Errorf("table: error %v, got %q, want a row of mode move", err, table.String())
	}
	if outcome.Moves == 0 || len(outcome.RealisedS) == 0 {
		t.Errorf("got no moves or no realised gains, want some: %+v", outcome)
	}
	for _, change := range []func(*simulator.MovesOutcome){
		func(o *simulator.MovesOutcome) { o.Violations = 1 },
		func(o *simulator.MovesOutcome) { o.Mode = "sometimes" },
		func(o *simulator.MovesOutcome) { o.WideWaitS = []float64{-1} },
		func(o *simulator.MovesOutcome) { o.Estimate = 0 },
	} {
		invalid := outcome
		change(&invalid)
		body, err := json.Marshal([]simulator.MovesOutcome{invalid})
		if err != nil || validateMoves(body) == nil {
			t.Errorf("invalid outcome: encoding error %v, validation succeeded, want an error: %s", err, body)
		}
	}
}

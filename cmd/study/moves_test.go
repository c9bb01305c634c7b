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

// TestMovesRecord: outcomes are recorded, plotted and printed; one with a violation, or one that does not conform to the
// schema, is not recorded.
func TestMovesRecord(t *testing.T) {
	outcome := simulator.StudyMoves(1, settings.RebalanceMove, 1)
	path, picture := filepath.Join(t.TempDir(), "moves.json"), filepath.Join(t.TempDir(), "moves.svg")
	if err := recordMoves(path, []simulator.MovesOutcome{outcome}); err != nil {
		t.Fatal(err)
	}
	if err := plotMoves(picture, []simulator.MovesOutcome{outcome}); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(path)
	if err != nil || validateMoves(body) != nil {
		t.Errorf("%v, %v", err, validateMoves(body))
	}
	if info, err := os.Stat(picture); err != nil || info.Size() == 0 {
		t.Errorf("plot: %v", err)
	}
	var table strings.Builder
	if err := writeMoves(&table, []simulator.MovesOutcome{outcome}); err != nil || !strings.Contains(table.String(), "| move |") {
		t.Errorf("%v: %s", err, table.String())
	}
	if outcome.Moves == 0 || len(outcome.RealisedS) == 0 {
		t.Errorf("nothing was moved: %+v", outcome)
	}
	for _, change := range []func(*simulator.MovesOutcome){
		func(o *simulator.MovesOutcome) { o.Violations = 1 },
		func(o *simulator.MovesOutcome) { o.Mode = "sometimes" },
		func(o *simulator.MovesOutcome) { o.WideWaitS = []float64{-1} },
		func(o *simulator.MovesOutcome) { o.Estimate = 0 },
	} {
		bad := outcome
		change(&bad)
		body, err := json.Marshal([]simulator.MovesOutcome{bad})
		if err != nil || validateMoves(body) == nil {
			t.Errorf("%v: taken: %s", err, body)
		}
	}
}

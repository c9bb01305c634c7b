package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"opaldale/internal/golden"
	"opaldale/internal/settings"
	"opaldale/internal/simulator"
)

// runMain has the test's own program run the command instead of the tests.
const runMain = "STUDY_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestGoldenHelp pins the names of commands and flags, their help, and their errors.
func TestGoldenHelp(t *testing.T) {
	var d golden.Document
	for _, line := range []string{"--help", "links --help", "flood --help", "moves --help", "links --seeds 0", "flood --seeds 0",
		"moves --seeds 0", "nonsense"} {
		cmd := exec.Command(os.Args[0], strings.Fields(line)...)
		cmd.Env = []string{runMain + "=1", "GOCOVERDIR=" + t.TempDir()}
		var out, faults strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &faults
		if err := cmd.Run(); cmd.ProcessState == nil {
			t.Fatal(err)
		}
		d.Add("study "+line, fmt.Sprintf("%sexit %d, on standard error:\n%s", out.String(), cmd.ProcessState.ExitCode(),
			faults.String()))
	}
	d.Compare(t, "help")
}

// TestGoldenOutcomes pins the record and the table of moves, with all of their fields set.
func TestGoldenOutcomes(t *testing.T) {
	outcome := golden.Filled[simulator.MovesOutcome](0)
	outcome.Mode, outcome.Violations, outcome.Unfinished = settings.RebalanceMove, 0, 0
	path := filepath.Join(t.TempDir(), "moves.json")
	if err := recordMoves(path, []simulator.MovesOutcome{outcome}); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var d golden.Document
	d.Add("record", string(body))
	outcome.Violations, outcome.Unfinished = 101, 102
	d.JSON(t, "rules broken", outcome)
	var table strings.Builder
	other := outcome
	other.SlowMachines, other.Estimate = 0, 1.5
	if err := writeMoves(&table, []simulator.MovesOutcome{outcome, other}); err != nil {
		t.Fatal(err)
	}
	d.Add("table", table.String())
	d.Compare(t, "outcomes")
}

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

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "STUDY_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestGoldenHelp compares the help of the commands and the errors for invalid arguments with a golden file.
func TestGoldenHelp(t *testing.T) {
	var d golden.Document
	for _, line := range []string{"--help", "links --help", "flood --help", "moves --help", "links --seeds 0", "flood --seeds 0",
		"moves --seeds 0", "nonsense"} {
		cmd := exec.Command(os.Args[0], strings.Fields(line)...)
		cmd.Env = []string{runMainVariable + "=1", "GOCOVERDIR=" + t.TempDir()}
		var out, stderr strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &stderr
		if err := cmd.Run(); cmd.ProcessState == nil {
			t.Fatal(err)
		}
		d.Add("study "+line, fmt.Sprintf("%sexit %d, on standard error:\n%s", out.String(), cmd.ProcessState.ExitCode(),
			stderr.String()))
	}
	d.Compare(t, "help")
}

// TestGoldenOutcomes compares the JSON record and the table of the moves study, with all fields set, with a golden file.
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
	d.JSON(t, "invariant violations", outcome)
	var table strings.Builder
	other := outcome
	other.SlowMachines, other.Estimate = 0, 1.5
	if err := writeMoves(&table, []simulator.MovesOutcome{outcome, other}); err != nil {
		t.Fatal(err)
	}
	d.Add("table", table.String())
	d.Compare(t, "outcomes")
}

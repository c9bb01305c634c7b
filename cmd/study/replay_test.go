package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"opaldale/internal/simulator"
)

// TestReplay checks that replay prints a line for each run, in the order of the seeds, and that concurrent runs do not change
// the digest of a run.
func TestReplay(t *testing.T) {
	const seed, days = 9, 4
	var want strings.Builder
	for i := range uint64(days) {
		o := simulator.Replay(seed + i)
		fmt.Fprintf(&want, "%d %s %s\n", seed+i, o.Scenario, o.Digest)
	}
	cmd := replayCommand()
	var out strings.Builder
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"--seed", fmt.Sprint(seed), "--days", fmt.Sprint(days)})
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	if out.String() != want.String() {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want.String())
	}
	for i, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if f := strings.Fields(line); len(f) != 3 || f[0] != fmt.Sprint(seed+i) || len(f[2]) != 64 {
			t.Errorf("line %d: got %q, want seed %d, a scenario and a digest of 64 digits", i, line, seed+i)
		}
	}
}

// TestReplayRefusesNoDays checks that replay rejects a number of runs below 1.
func TestReplayRefusesNoDays(t *testing.T) {
	cmd := replayCommand()
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetArgs([]string{"--days", "0"})
	if err := cmd.Execute(); err == nil || errors.Is(err, errViolation) {
		t.Errorf("--days 0: got error %v, want an error for the flag", err)
	}
}

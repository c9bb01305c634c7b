package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"opaldale/internal/simulator"
)

// errViolation is returned when a replayed run violated an invariant.
var errViolation = errors.New("rules broken")

// replayCommand returns the command that replays scenarios and prints their digests.
func replayCommand() *cobra.Command {
	var seed uint64
	var days int
	cmd := &cobra.Command{
		Use:   "replay",
		Args:  cobra.NoArgs,
		Short: "Print a digest of all that the controllers send on days of trouble, to compare builds",
		Long: "Replay plays days of the stand-in world, of a kind that follows from the seed, and prints a line for each: its\n" +
			"seed, its kind, and a SHA-256 of all that the controllers send and answer, in order. Two builds that print the\n" +
			"same lines have behaved alike on these days.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if days < 1 {
				return fmt.Errorf("days: must be at least 1")
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			return replay(cmd.OutOrStdout(), seed, days)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first day")
	cmd.Flags().IntVar(&days, "days", 1, "how many days are played, each with the seed after that of the day before")
	return cmd
}

// replay prints a line for each run, and returns an error for those that violated an invariant.
func replay(out io.Writer, seed uint64, days int) error {
	outcomes := runAll(days, func(i int) simulator.ReplayOutcome { return simulator.Replay(seed + uint64(i)) })
	var violations []error
	for _, o := range outcomes {
		if _, err := fmt.Fprintln(out, o.Seed, o.Scenario, o.Digest); err != nil {
			return err
		}
		if len(o.Violations) > 0 {
			violations = append(violations, fmt.Errorf("%w with seed %d: %v", errViolation, o.Seed, o.Violations))
		}
	}
	return errors.Join(violations...)
}

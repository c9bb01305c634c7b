package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"opaldale/internal/simulator"
)

// errViolation is returned if a replayed run violated an invariant.
var errViolation = errors.New("invariants violated")

// replayCommand returns the command that runs simulated scenarios and prints their digests.
func replayCommand() *cobra.Command {
	var seed uint64
	var days int
	cmd := &cobra.Command{
		Use:   "replay",
		Args:  cobra.NoArgs,
		Short: "Print a digest of all controller messages in runs with faults or overload, to compare builds",
		Long: "Replay runs the simulator with consecutive seeds and prints one line for each run: the seed, the scenario that\n" +
			"the seed selects, and the SHA-256 of all requests and responses that the controllers send, in order. Two builds\n" +
			"that print the same lines behaved identically in these runs.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if days < 1 {
				return fmt.Errorf("--days must be at least 1, got %d", days)
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			return replay(cmd.OutOrStdout(), seed, days)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	cmd.Flags().IntVar(&days, "days", 1, "number of simulated runs; each uses the next seed")
	return cmd
}

// replay prints a line for each run, and returns an error that lists the runs that violated an invariant.
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

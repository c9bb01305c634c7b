package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"opaldale/internal/loopback"
)

// socketsCommand returns the command that runs real controllers on sockets under random troubles.
func socketsCommand() *cobra.Command {
	var seed uint64
	var runs int
	var duration time.Duration
	var record string
	cmd := &cobra.Command{
		Use:   "sockets",
		Args:  cobra.NoArgs,
		Short: "Run real controllers on loopback sockets under random troubles, in real time",
		Long: "Sockets starts three controllers, workers, a store and a cloud in this process, connected by sockets.\n" +
			"Commands are late or arrive again, links are slow or broken, controllers are killed. It prints a line for each\n" +
			"run: the seed and the outcome. The times of events depend on the machine, so a seed doesn't reproduce a run;\n" +
			"the record shows the order of events.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runs < 1 || duration <= 0 {
				return fmt.Errorf("--runs and --for must be positive, got %d and %v", runs, duration)
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			for i := range runs {
				troubles := loopback.Troubles{Seed: seed + uint64(i), Duration: duration}
				if err := runOnSockets(cmd.OutOrStdout(), troubles, record); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	cmd.Flags().IntVar(&runs, "runs", 1, "number of runs, one after the other; each uses the next seed")
	cmd.Flags().DurationVar(&duration, "for", time.Minute, "how long each run has troubles")
	cmd.Flags().StringVar(&record, "record", "", "file for the events of each run; the seed is appended to its name")
	return cmd
}

// runOnSockets runs the troubles, with a record in a file if it has a name, and prints the outcome.
func runOnSockets(out io.Writer, troubles loopback.Troubles, record string) error {
	if record == "" {
		return printOutcome(out, troubles)
	}
	file, err := os.Create(fmt.Sprintf("%s-%d", record, troubles.Seed))
	if err != nil {
		return err
	}
	troubles.Record = file
	return errors.Join(printOutcome(out, troubles), file.Close())
}

// printOutcome runs the troubles and prints the outcome. It returns an error if the run violated an invariant.
func printOutcome(out io.Writer, troubles loopback.Troubles) error {
	outcome, err := troubles.Run()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "seed %d: %d jobs, %d done, %d cancelled, %d starts, %d command calls, %d late, "+
		"%d copied, %d links broken, %d controllers killed, %d violations\n", troubles.Seed, outcome.Jobs, outcome.Done,
		outcome.Cancelled, outcome.Starts, outcome.Commands, outcome.LateCommands, outcome.CopiedCommands, outcome.LinksBroken,
		outcome.ControllersKilled, len(outcome.Violations)); err != nil {
		return err
	}
	if len(outcome.Violations) > 0 {
		return fmt.Errorf("%w with seed %d: %q", errViolation, troubles.Seed, outcome.Violations)
	}
	return nil
}

package main

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"opaldale/internal/settings"
	"opaldale/internal/simulator"
)

// perMille scales imbalance to integers for histograms.
const perMille = 1000

// floodCommand returns the command that measures the effect of a flood of submissions by one team.
func floodCommand() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "flood",
		Short: "Measure load balance while one team floods a fleet of fifty machines, by rebalancing mode",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return fmt.Errorf("--seeds must be at least 1, got %d", seeds)
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			out := cmd.OutOrStdout()
			fmt.Fprintln(out, "| mode | imbalance (p50, p90, max) | latency of flooding team's arrays, s (p50, p90, max) "+
				"| latency of other teams' arrays, s (p50, p90, max) | images fetched per run, GB "+
				"| machines provisioned per run | only flooding team overloaded, s of 81 | moves proposed per run |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
			for _, mode := range []settings.Rebalance{settings.RebalanceReport, settings.RebalancePlace, settings.RebalanceMove} {
				if err := runFlood(out, mode, seeds); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 20, "number of simulated runs per table row")
	return cmd
}

// runFlood runs all seeds with a rebalancing mode and prints a row of the table.
func runFlood(out io.Writer, mode settings.Rebalance, seeds int) error {
	outcomes := runAll(seeds, func(seed int) simulator.LoadOutcome { return simulator.StudyFlood(uint64(seed), mode) })
	imbalance, flooding, others := newHistogram(), newHistogram(), newHistogram()
	fetched, machines, problems, overloadedSeconds, moves := 0.0, 0, 0, 0, uint64(0)
	for _, o := range outcomes {
		for _, x := range o.Imbalance {
			if err := imbalance.RecordValue(int64(x * perMille)); err != nil {
				return err
			}
		}
		for _, d := range o.FloodingTeamLatencies {
			if err := flooding.RecordValue(d.Milliseconds()); err != nil {
				return err
			}
		}
		for _, d := range o.OtherTeamLatencies {
			if err := others.RecordValue(d.Milliseconds()); err != nil {
				return err
			}
		}
		fetched += o.FetchedGB
		machines += o.Machines
		overloadedSeconds += o.OverloadedSeconds
		moves += o.Moves
		problems += o.Violations + o.Unfinished
	}
	fmt.Fprintf(out, "| %s | %.2f, %.2f, %.2f | %s | %s | %.0f | %.1f | %.0f | %.1f |\n", mode,
		float64(imbalance.ValueAtQuantile(50))/perMille, float64(imbalance.ValueAtQuantile(90))/perMille,
		float64(imbalance.Max())/perMille,
		formatQuantiles(flooding), formatQuantiles(others), fetched/float64(seeds), float64(machines)/float64(seeds),
		float64(overloadedSeconds)/float64(seeds), float64(moves)/float64(seeds))
	if problems > 0 {
		fmt.Fprintf(out, "\nINVARIANT VIOLATIONS or unfinished work: %d\n\n", problems)
	}
	return nil
}

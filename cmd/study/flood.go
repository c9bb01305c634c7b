package main

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"opaldale/internal/settings"
	"opaldale/internal/simulator"
)

// perMille is the unit of imbalance in histograms.
const perMille = 1000

// floodCommand returns the command that studies a flood by one team.
func floodCommand() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "flood",
		Short: "Have one team flood a fleet of fifty machines, by mode of rebalancing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return fmt.Errorf("seeds: must be at least 1")
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			out := cmd.OutOrStdout()
			fmt.Fprintln(out, "| mode | imbalance (p50, p90, max) | hot team's arrays done after, s (p50, p90, max) | others' "+
				"| fetched GB a day | machines a day | hot, of 81 s | moves that would pay |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
			for _, mode := range []settings.Rebalance{settings.RebalanceReport, settings.RebalancePlace, settings.RebalanceMove} {
				if err := runFlood(out, mode, seeds); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 20, "how many days of each kind are played")
	return cmd
}

// runFlood runs all seeds with a mode of rebalancing and prints a row.
func runFlood(out io.Writer, mode settings.Rebalance, seeds int) error {
	outcomes := runAll(seeds, func(seed int) simulator.LoadOutcome { return simulator.StudyFlood(uint64(seed), mode) })
	imbalance, hot, others := newHistogram(), newHistogram(), newHistogram()
	fetched, machines, problems, hotSeconds, moves := 0.0, 0, 0, 0, uint64(0)
	for _, o := range outcomes {
		for _, x := range o.Imbalance {
			if err := imbalance.RecordValue(int64(x * perMille)); err != nil {
				return err
			}
		}
		for _, d := range o.HotTeamLatencies {
			if err := hot.RecordValue(d.Milliseconds()); err != nil {
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
		hotSeconds += o.HotSeconds
		moves += o.Moves
		problems += o.Violations + o.Unfinished
	}
	fmt.Fprintf(out, "| %s | %.2f, %.2f, %.2f | %s | %s | %.0f | %.1f | %.0f | %.1f |\n", mode,
		float64(imbalance.ValueAtQuantile(50))/perMille, float64(imbalance.ValueAtQuantile(90))/perMille,
		float64(imbalance.Max())/perMille,
		formatQuantiles(hot), formatQuantiles(others), fetched/float64(seeds), float64(machines)/float64(seeds),
		float64(hotSeconds)/float64(seeds), float64(moves)/float64(seeds))
	if problems > 0 {
		fmt.Fprintf(out, "\nRULES BROKEN, or work left undone: %d\n\n", problems)
	}
	return nil
}

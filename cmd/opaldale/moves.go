package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"opaldale/internal/controller"
	"opaldale/internal/settings"
)

// moves shows the moves of running tasks.
func moves() *cobra.Command {
	return reportCommand("moves", "Show moves of running tasks, under way and lately", writeMoves)
}

// writeMoves prints a report as a table.
func writeMoves(out io.Writer, r controller.MoveReport) error {
	part := "follows: moves on record"
	if r.Leads {
		part = "leads: moves under way and lately"
	}
	fmt.Fprintf(out, "%s: rebalance %s, %s\n", r.Node, r.Mode, part)
	if r.Mode != settings.RebalanceMove {
		fmt.Fprintln(out, "this node carries no moves out (docs/rebalancing-operations.md)")
	}
	if r.Error != "" {
		fmt.Fprintln(out, r.Error)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nTASK\tTEAM\tFROM\tTO\tWHY\tSTATE\tREASON\tAGE\tEXPECTED\tREALISED")
	for _, m := range r.Moves {
		realised := "-"
		if m.RealisedGainS != nil {
			realised = fmt.Sprintf("%.1f s", *m.RealisedGainS)
		}
		why := m.Source
		if m.For != "" {
			why += " for " + m.For
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f s\t%.1f s\t%s\n", m.Task, m.Team, m.From, m.To, why, m.State, m.Reason,
			m.AgeS, m.ExpectedGainS-m.CostS, realised)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if r.Truncated {
		fmt.Fprintln(out, "more is on record than is shown")
	}
	return nil
}

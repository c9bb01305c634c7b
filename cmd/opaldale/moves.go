package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"opaldale/internal/controller"
	"opaldale/internal/settings"
)

// movesCommand returns the command that shows the moves of running tasks.
func movesCommand() *cobra.Command {
	return reportCommand("moves", "Show active and recent moves of running tasks", writeMoves)
}

// writeMoves prints a report on moves as a table.
func writeMoves(out io.Writer, report controller.MoveReport) error {
	role := "follows: stored moves"
	if report.Leader {
		role = "leads: active and recent moves"
	}
	fmt.Fprintf(out, "%s: rebalance %s, %s\n", report.Node, report.Mode, role)
	if report.Mode != settings.RebalanceMove {
		fmt.Fprintln(out, "this node does not move tasks (docs/rebalancing-operations.md)")
	}
	if report.Error != "" {
		fmt.Fprintln(out, report.Error)
	}
	table := newTable(out)
	fmt.Fprintln(table, "\nTASK\tTEAM\tFROM\tTO\tWHY\tSTATE\tREASON\tAGE\tEXPECTED\tREALISED")
	for i := range report.Moves {
		writeMove(table, &report.Moves[i])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if report.Truncated {
		fmt.Fprintln(out, "the list is truncated: there are more stored moves")
	}
	return nil
}

// writeMove prints the table row of a move.
func writeMove(table io.Writer, m *controller.MoveEntry) {
	realised := "-"
	if m.RealizedGainS != nil {
		realised = fmt.Sprintf("%.1f s", *m.RealizedGainS)
	}
	reason := m.Source
	if m.For != "" {
		reason += " for " + m.For
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f s\t%.1f s\t%s\n",
		m.Task, m.Team, m.From, m.To, reason, m.State, m.Reason, m.AgeS, m.ExpectedGainS-m.CostS, realised)
}

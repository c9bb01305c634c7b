package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"opaldale/internal/controller"
)

// links shows what a node knows of its links and of its siblings'.
func links() *cobra.Command {
	return reportCommand("links", "Show who reaches whom, as a node knows it", writeLinks)
}

// writeLinks prints a report as tables.
func writeLinks(out io.Writer, r controller.LinkReport) error {
	fmt.Fprintf(out, "%s: authority %s", r.Node, r.Authority)
	if r.Handover != "" {
		fmt.Fprintf(out, ", handover %s", r.Handover)
	}
	fmt.Fprintln(out)
	if !r.Enabled {
		fmt.Fprintln(out, "the view of links is off (docs/links-operations.md)")
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nFROM\tPEER\tDIRECTION\tSTATE\tFOR\tEVIDENCE\tBREAKS\tNOTE")
	for _, l := range r.Links {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f s\t%s\t%d\t%s\n", r.Node, l.Peer, l.Direction, l.State, l.ForS, l.Evidence, l.Breaks, note(l.Damped, l.Refusing))
	}
	fmt.Fprintln(table, "\nFROM\tPEER\tINBOUND\tOUTBOUND\tAGE\tNOTE")
	for _, row := range r.Rows {
		for _, l := range row.Links {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f s\t%s\n", row.Origin, l.Peer, l.Inbound, l.Outbound, row.AgeS, note(l.Damped, l.Refusing))
		}
	}
	fmt.Fprintln(table, "\nHANDOVER\tTO\tAGO\tSTANDING\tSUCCESSOR\tWHY")
	for _, h := range r.Handovers {
		fmt.Fprintf(table, "term %d\t%s\t%.0f s\t%d\t%d\t%s\n", h.Term, h.To, h.AgoS, h.Own, h.Standing, h.Reason)
	}
	return table.Flush()
}

func note(damped, refusing bool) string {
	switch {
	case damped && refusing:
		return "damped, refuses"
	case damped:
		return "damped"
	case refusing:
		return "refuses"
	}
	return ""
}

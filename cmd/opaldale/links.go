package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"opaldale/internal/linktracker"
)

// linksCommand returns the command that shows the state of a node's links, and those advertised by its
// peers.
func linksCommand() *cobra.Command {
	return reportCommand("links", "Show who reaches whom, as a node knows it", writeLinks)
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// writeLinks prints a report as tables.
func writeLinks(out io.Writer, report linktracker.Report) error {
	fmt.Fprintf(out, "%s: authority %s", report.Node, report.Authority)
	if report.Handover != "" {
		fmt.Fprintf(out, ", handover %s", report.Handover)
	}
	fmt.Fprintln(out)
	if !report.Enabled {
		fmt.Fprintln(out, "the view of links is off (docs/links-operations.md)")
		return nil
	}
	table := newTable(out)
	writeOwnLinks(table, report)
	writeAdvertisedLinks(table, report)
	writeHandovers(table, report)
	return table.Flush()
}

func writeOwnLinks(table io.Writer, report linktracker.Report) {
	fmt.Fprintln(table, "\nFROM\tPEER\tDIRECTION\tSTATE\tFOR\tEVIDENCE\tBREAKS\tNOTE")
	for _, l := range report.Links {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f s\t%s\t%d\t%s\n", report.Node, l.Peer, l.Direction, l.State,
			l.DurationS, l.Evidence, l.Breaks, linkNote(l.Damped, l.Refusing))
	}
}

func writeAdvertisedLinks(table io.Writer, report linktracker.Report) {
	fmt.Fprintln(table, "\nFROM\tPEER\tINBOUND\tOUTBOUND\tAGE\tNOTE")
	for _, advertisement := range report.Advertisements {
		for _, l := range advertisement.Links {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f s\t%s\n", advertisement.Origin, l.Peer, l.Inbound, l.Outbound,
				advertisement.AgeS, linkNote(l.Damped, l.Refusing))
		}
	}
}

func writeHandovers(table io.Writer, report linktracker.Report) {
	fmt.Fprintln(table, "\nHANDOVER\tTO\tAGO\tSTANDING\tSUCCESSOR\tWHY")
	for _, h := range report.Handovers {
		fmt.Fprintf(table, "term %d\t%s\t%.0f s\t%d\t%d\t%s\n", h.Term, h.To, h.AgoS, h.OwnScore, h.SuccessorScore, h.Reason)
	}
}

// linkNote returns the reason why a link that may be up is not used, "" if there is none.
func linkNote(damped, refusing bool) string {
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

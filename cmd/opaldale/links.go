package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"opaldale/internal/linktracker"
)

// linksCommand returns the command that shows the state of a node's links and of the links that its peers
// advertise.
func linksCommand() *cobra.Command {
	return reportCommand("links", "Show the links of a node and those advertised by its peers", writeLinks)
}

// newTable returns a writer that aligns tab-separated columns. The caller must call Flush.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// writeLinks prints a report on links as tables.
func writeLinks(out io.Writer, report linktracker.Report) error {
	fmt.Fprintf(out, "%s: authority %s", report.Node, report.Authority)
	if report.Handover != "" {
		fmt.Fprintf(out, ", handover %s", report.Handover)
	}
	fmt.Fprintln(out)
	if !report.Enabled {
		fmt.Fprintln(out, "link monitoring is off (docs/links-operations.md)")
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

// linkNote returns the reason why a link is not used although its state may be up, or "" if there is none.
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

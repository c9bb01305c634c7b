package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"opaldale/internal/controller"
)

const (
	// linksTime bounds the call of a node, and maxLinks what is read of its answer.
	linksTime = 5 * time.Second
	maxLinks  = 1 << 20
)

// links shows what a node knows of its links and of its siblings'.
func links() *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "links", Short: "Show who reaches whom, as a node knows it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := fetchLinks(addr)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = cmd.OutOrStdout().Write(body)
				return err
			}
			var report controller.LinkReport
			if err := json.Unmarshal(body, &report); err != nil {
				return fmt.Errorf("%s: %w", addr, err)
			}
			return writeLinks(cmd.OutOrStdout(), report)
		}}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:8080", "address of a node")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the node's answer as it is")
	return cmd
}

func fetchLinks(addr string) ([]byte, error) {
	resp, err := (&http.Client{Timeout: linksTime}).Get("http://" + addr + "/links")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLinks))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", addr, resp.Status)
	}
	return body, nil
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

package main

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"opaldale/internal/simulator"
)

// linkStudy defines how a link is broken: for the whole duration or, if period is set, for 60 % of each period.
type linkStudy struct {
	name             string
	duration, period time.Duration
}

// linkTotals aggregates the outcomes for one link over all seeds.
type linkTotals struct {
	lastDecision, nextPlacement             *hdrhistogram.Histogram // in ms
	leaderChanges                           *hdrhistogram.Histogram
	noNextPlacement                         int // runs without a placement by another leader
	lateSubmissions, submissions, tasksLost int
	violations, unfinished                  int
}

const (
	// histogramMax is the maximum value of a histogram, in ms. histogramDigits is its number of significant decimal digits.
	histogramMax    = 3_600_000
	histogramDigits = 3
)

// newLinkTotals returns empty totals.
func newLinkTotals() *linkTotals {
	return &linkTotals{lastDecision: newHistogram(), nextPlacement: newHistogram(), leaderChanges: newHistogram()}
}

// add adds the outcome of one run.
func (t *linkTotals) add(o simulator.LinkOutcome) error {
	if err := t.lastDecision.RecordValue(o.LastDecision.Milliseconds()); err != nil {
		return err
	}
	if o.NextPlacement < 0 {
		t.noNextPlacement++
	} else if err := t.nextPlacement.RecordValue(o.NextPlacement.Milliseconds()); err != nil {
		return err
	}
	if err := t.leaderChanges.RecordValue(int64(o.LeaderChanges)); err != nil {
		return err
	}
	t.lateSubmissions += o.LateSubmissions
	t.submissions += o.Submissions
	t.tasksLost += o.TasksLost
	t.violations += o.Violations
	t.unfinished += o.Unfinished
	return nil
}

// linksCommand returns the command that measures the effect of broken links.
func linksCommand() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "links",
		Short: "Measure failover when each directed link of the leader breaks, with link monitoring off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return fmt.Errorf("--seeds must be at least 1, got %d", seeds)
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			for _, s := range []linkStudy{
				{name: "broken for a minute", duration: time.Minute},
				{
					name:     "flapping for ten minutes, down for 2.4 of every 4 s",
					duration: 10 * time.Minute,
					period:   4 * time.Second,
				},
			} {
				if err := s.run(cmd.OutOrStdout(), seeds); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 20, "number of simulated runs per table row")
	return cmd
}

// run prints a table with two rows for each link: without and with link monitoring.
func (s linkStudy) run(out io.Writer, seeds int) error {
	fmt.Fprintf(out, "### %s, %d seeds\n\n", s.name, seeds)
	fmt.Fprintln(out, "| link | link monitoring | last decision of disconnected leader, s (p50, p90, max) "+
		"| first placement by another leader, s (p50, p90, max) | runs without such a placement "+
		"| leader changes (p50, max) | late submissions | tasks lost to expired leases |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, link := range simulator.StudiedLinks {
		for _, monitored := range []bool{false, true} {
			t, err := s.runSeeds(link, monitored, seeds)
			if err != nil {
				return err
			}
			t.printRow(out, link, monitored)
		}
	}
	fmt.Fprintln(out)
	return nil
}

// runSeeds runs all seeds with one broken link and returns their totals.
func (s linkStudy) runSeeds(link simulator.DirectedLink, monitored bool, seeds int) (*linkTotals, error) {
	outcomes := runAll(seeds, func(seed int) simulator.LinkOutcome {
		return simulator.StudyLink(uint64(seed), monitored, link, s.duration, s.period)
	})
	t := newLinkTotals()
	for _, o := range outcomes {
		if err := t.add(o); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// printRow prints the totals as a row of the table.
func (t *linkTotals) printRow(out io.Writer, link simulator.DirectedLink, monitored bool) {
	view := map[bool]string{false: "off", true: "on"}[monitored]
	fmt.Fprintf(out, "| %s to %s | %s | %s | %s | %d | %d, %d | %d of %d | %d |\n", link.From, link.To, view,
		formatQuantiles(t.lastDecision), formatQuantiles(t.nextPlacement), t.noNextPlacement, t.leaderChanges.ValueAtQuantile(50),
		t.leaderChanges.Max(),
		t.lateSubmissions, t.submissions, t.tasksLost)
	if t.violations+t.unfinished > 0 {
		fmt.Fprintf(out, "\nINVARIANT VIOLATIONS: %d, unfinished work: %d\n\n", t.violations, t.unfinished)
	}
}

// formatQuantiles formats the median, the 90th percentile and the maximum of a histogram of milliseconds, in seconds.
func formatQuantiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	toSeconds := func(ms int64) float64 { return float64(ms) / 1000 }
	return fmt.Sprintf("%.1f, %.1f, %.1f", toSeconds(h.ValueAtQuantile(50)), toSeconds(h.ValueAtQuantile(90)), toSeconds(h.Max()))
}

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

// linkStudy is a way to break links: throughout a duration or, with a period, for a part of each period.
type linkStudy struct {
	name             string
	duration, period time.Duration
}

// linkTotals has the outcomes of one link over all seeds.
type linkTotals struct {
	lastDecision, nextPlacement             *hdrhistogram.Histogram // in ms
	leaderChanges                           *hdrhistogram.Histogram
	noNextPlacement                         int
	lateSubmissions, submissions, tasksLost int
	violations, unfinished                  int
}

const (
	// histogramMax is the largest time in a histogram, in ms, and histogramDigits the number of significant digits.
	histogramMax    = 3_600_000
	histogramDigits = 3
)

// newLinkTotals returns totals without an outcome.
func newLinkTotals() *linkTotals {
	return &linkTotals{lastDecision: newHistogram(), nextPlacement: newHistogram(), leaderChanges: newHistogram()}
}

// add adds the outcome of a seed.
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

// linksCommand returns the command that studies broken links.
func linksCommand() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "links",
		Short: "Break each directed link of a leader, with the view of links off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return fmt.Errorf("seeds: must be at least 1")
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
	cmd.Flags().IntVar(&seeds, "seeds", 20, "how many days of each kind are played")
	return cmd
}

// run prints a table with two rows for each link, without and with link monitoring.
func (s linkStudy) run(out io.Writer, seeds int) error {
	fmt.Fprintf(out, "### %s, %d seeds\n\n", s.name, seeds)
	fmt.Fprintln(out, "| link | view | last decision of the cut leader, s (p50, p90, max) "+
		"| another places after, s (p50, p90, max) | never "+
		"| changes of the lead (p50, max) | late submissions | tasks lost with leases |")
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

// runSeeds runs all seeds with a broken link and returns their totals.
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

// printRow prints the totals.
func (t *linkTotals) printRow(out io.Writer, link simulator.DirectedLink, monitored bool) {
	view := map[bool]string{false: "off", true: "on"}[monitored]
	fmt.Fprintf(out, "| %s to %s | %s | %s | %s | %d | %d, %d | %d of %d | %d |\n", link.From, link.To, view,
		formatQuantiles(t.lastDecision), formatQuantiles(t.nextPlacement), t.noNextPlacement, t.leaderChanges.ValueAtQuantile(50),
		t.leaderChanges.Max(),
		t.lateSubmissions, t.submissions, t.tasksLost)
	if t.violations+t.unfinished > 0 {
		fmt.Fprintf(out, "\nRULES BROKEN: %d, work left undone: %d\n\n", t.violations, t.unfinished)
	}
}

// formatQuantiles formats the median, the 90th percentile and the maximum of a histogram of milliseconds, in seconds.
func formatQuantiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	s := func(ms int64) float64 { return float64(ms) / 1000 }
	return fmt.Sprintf("%.1f, %.1f, %.1f", s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(90)), s(h.Max()))
}

package main

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"opaldale/internal/standin"
)

// linkStudy is how a link is broken, and for how long.
type linkStudy struct {
	name           string
	broken, period time.Duration
}

// tally gathers the outcomes of one link over all seeds.
type tally struct {
	lastDecision, nextPlaces *hdrhistogram.Histogram // in ms
	changes                  *hdrhistogram.Histogram
	notFollowed              int
	late, submitted, lost    int
	broken, undone           int
}

const (
	// histogramMost is the largest time in a histogram, in ms, and histogramDigits its
	// precision.
	histogramMost   = 3_600_000
	histogramDigits = 3
)

func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMost, histogramDigits) }
	return &tally{lastDecision: h(), nextPlaces: h(), changes: h()}
}

func (t *tally) add(o standin.LinkOutcome) error {
	if err := t.lastDecision.RecordValue(o.LastDecision.Milliseconds()); err != nil {
		return err
	}
	if o.NextPlaces < 0 {
		t.notFollowed++
	} else if err := t.nextPlaces.RecordValue(o.NextPlaces.Milliseconds()); err != nil {
		return err
	}
	if err := t.changes.RecordValue(int64(o.Changes)); err != nil {
		return err
	}
	t.late += o.Late
	t.submitted += o.Submitted
	t.lost += o.Lost
	t.broken += o.Broken
	t.undone += o.Undone
	return nil
}

func linksCommand() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{Use: "links", Short: "Break each directed link of a leader, with the view of links off and on", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return fmt.Errorf("seeds: must be at least 1")
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			for _, s := range []linkStudy{
				{name: "broken for a minute", broken: time.Minute},
				{name: "flapping for ten minutes, down for 2.4 of every 4 s", broken: 10 * time.Minute, period: 4 * time.Second},
			} {
				if err := s.play(cmd.OutOrStdout(), seeds); err != nil {
					return err
				}
			}
			return nil
		}}
	cmd.Flags().IntVar(&seeds, "seeds", 20, "how many days of each kind are played")
	return cmd
}

// play prints a table with a row for each link, off and on.
func (s linkStudy) play(out io.Writer, seeds int) error {
	fmt.Fprintf(out, "### %s, %d seeds\n\n", s.name, seeds)
	fmt.Fprintln(out, "| link | view | last decision of the cut leader, s (p50, p90, max) | another places after, s (p50, p90, max) | never | changes of the lead (p50, max) | late submissions | tasks lost with leases |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, link := range standin.StudiedLinks {
		for _, watched := range []bool{false, true} {
			t, err := s.tally(link, watched, seeds)
			if err != nil {
				return err
			}
			t.print(out, link, watched)
		}
	}
	fmt.Fprintln(out)
	return nil
}

// tally plays all seeds, as many at a time as there are cores.
func (s linkStudy) tally(link standin.LinkEnds, watched bool, seeds int) (*tally, error) {
	outcomes := make([]standin.LinkOutcome, seeds)
	inParallel(seeds, func(seed int) {
		outcomes[seed] = standin.StudyLink(uint64(seed), watched, link, s.broken, s.period)
	})
	t := newTally()
	for _, o := range outcomes {
		if err := t.add(o); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *tally) print(out io.Writer, link standin.LinkEnds, watched bool) {
	view := map[bool]string{false: "off", true: "on"}[watched]
	fmt.Fprintf(out, "| %s to %s | %s | %s | %s | %d | %d, %d | %d of %d | %d |\n", link.From, link.To, view,
		seconds(t.lastDecision), seconds(t.nextPlaces), t.notFollowed, t.changes.ValueAtQuantile(50), t.changes.Max(),
		t.late, t.submitted, t.lost)
	if t.broken+t.undone > 0 {
		fmt.Fprintf(out, "\nRULES BROKEN: %d, work left undone: %d\n\n", t.broken, t.undone)
	}
}

// seconds tells the middle, the ninth tenth and the largest of a histogram of milliseconds.
func seconds(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	s := func(ms int64) float64 { return float64(ms) / 1000 }
	return fmt.Sprintf("%.1f, %.1f, %.1f", s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(90)), s(h.Max()))
}

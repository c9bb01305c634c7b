package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"opaldale/internal/settings"
	"opaldale/internal/simulator"
)

//go:embed moves.schema.json
var movesSchema []byte

// moveCases are the cases of the moves study, one for each row of its table.
var moveCases = []struct {
	mode     settings.Rebalance
	estimate float64 // estimated run times, as a multiple of the true ones
	slow     bool    // one machine is slow, and there are no wide tasks
}{
	{settings.RebalanceReport, 1, false}, {settings.RebalancePlace, 1, false}, {settings.RebalanceMove, 1, false},
	{settings.RebalanceMove, 0.5, false}, {settings.RebalanceMove, 1.5, false},
	{settings.RebalanceReport, 1, true}, {settings.RebalanceMove, 1, true},
}

// movesCommand returns the command that measures the effect of moves of running tasks. Wide tasks need more CPUs than any
// machine of the fragmented fleet has free, until other tasks end or are moved.
func movesCommand() *cobra.Command {
	var seeds int
	var recordPath, plotPath string
	cmd := &cobra.Command{
		Use:   "moves",
		Short: "Measure waits of wide tasks on a fragmented fleet, with moves of running tasks off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return fmt.Errorf("--seeds must be at least 1, got %d", seeds)
			}
			slog.SetDefault(slog.New(slog.DiscardHandler))
			outcomes := runMoves(seeds)
			if err := writeMoves(cmd.OutOrStdout(), outcomes); err != nil {
				return err
			}
			if recordPath != "" {
				if err := recordMoves(recordPath, outcomes); err != nil {
					return err
				}
			}
			if plotPath != "" {
				return plotMoves(plotPath, outcomes)
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 20, "number of simulated runs per table row")
	cmd.Flags().StringVar(&recordPath, "record", "", "write the outcomes to this file, as JSON")
	cmd.Flags().StringVar(&plotPath, "plot", "", "write a plot of the waits of wide tasks to this file, .png or .svg")
	return cmd
}

// runMoves runs all seeds of all cases. It returns the outcomes in the order of the cases, then of the seeds.
func runMoves(seeds int) []simulator.MovesOutcome {
	return runAll(seeds*len(moveCases), func(i int) simulator.MovesOutcome {
		seed, study := uint64(i%seeds), moveCases[i/seeds]
		if study.slow {
			return simulator.StudySlow(seed, study.mode)
		}
		return simulator.StudyMoves(seed, study.mode, study.estimate)
	})
}

// caseName returns the name of the case that an outcome belongs to.
func caseName(o simulator.MovesOutcome) string {
	switch {
	case o.SlowMachines > 0:
		return string(o.Mode) + ", a slow machine"
	case o.Estimate == 1:
		return string(o.Mode)
	}
	return fmt.Sprintf("%s, estimates times %.1f", o.Mode, o.Estimate)
}

// writeMoves prints a table with a row for each case. The outcomes of a case must be adjacent.
func writeMoves(out io.Writer, outcomes []simulator.MovesOutcome) error {
	fmt.Fprintln(out, "| mode | wait of wide tasks, s (p50, p90, max) | latency of other jobs, s (p50, p90, max) "+
		"| work lost per run, CPU s | moves per run | moves arrived per run "+
		"| gain of arrived moves, s, expected and realised (mean) | most stops of one job |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for len(outcomes) > 0 {
		name := caseName(outcomes[0])
		n := slices.IndexFunc(outcomes, func(o simulator.MovesOutcome) bool { return caseName(o) != name })
		if n < 0 {
			n = len(outcomes)
		}
		if err := writeCase(out, name, outcomes[:n]); err != nil {
			return err
		}
		outcomes = outcomes[n:]
	}
	return nil
}

// writeCase prints the table row of a case.
func writeCase(out io.Writer, name string, outcomes []simulator.MovesOutcome) error {
	wide, narrow := newHistogram(), newHistogram()
	moves, arrived, mostMoved, problems := 0, 0, 0, 0
	lost, expected, realised := 0.0, 0.0, 0.0
	for _, o := range outcomes {
		if err := recordSeconds(wide, o.WideWaitS); err != nil {
			return err
		}
		if err := recordSeconds(narrow, o.NarrowDoneS); err != nil {
			return err
		}
		moves += o.Moves
		arrived += len(o.ExpectedS)
		mostMoved = max(mostMoved, o.MostMoved)
		lost += o.LostCPUS
		expected += sum(o.ExpectedS)
		realised += sum(o.RealisedS)
		problems += o.Violations + o.Unfinished
	}
	n := float64(len(outcomes))
	fmt.Fprintf(out, "| %s | %s | %s | %.0f | %.1f | %.1f | %.1f and %.1f | %d |\n", name, formatQuantiles(wide),
		formatQuantiles(narrow), lost/n, float64(moves)/n,
		float64(arrived)/n, expected/max(1, float64(arrived)), realised/max(1, float64(arrived)), mostMoved)
	if problems > 0 {
		fmt.Fprintf(out, "\nINVARIANT VIOLATIONS or unfinished work: %d\n\n", problems)
	}
	return nil
}

// newHistogram returns an empty histogram of values up to histogramMax.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// recordSeconds adds times in seconds to a histogram of milliseconds.
func recordSeconds(h *hdrhistogram.Histogram, seconds []float64) error {
	for _, s := range seconds {
		if err := h.RecordValue(int64(s * 1000)); err != nil {
			return err
		}
	}
	return nil
}

func sum(values []float64) float64 {
	total := 0.0
	for _, x := range values {
		total += x
	}
	return total
}

// recordMoves writes outcomes to a file as JSON. It returns an error if they do not conform to moves.schema.json.
func recordMoves(path string, outcomes []simulator.MovesOutcome) error {
	body, err := json.MarshalIndent(outcomes, "", " ")
	if err != nil {
		return err
	}
	if err := validateMoves(body); err != nil {
		return err
	}
	return os.WriteFile(path, body, 0o644)
}

// validateMoves returns an error if recorded outcomes do not conform to moves.schema.json.
func validateMoves(body []byte) error {
	const name = "moves.schema.json"
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(movesSchema))
	if err != nil {
		return err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, schema); err != nil {
		return err
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return err
	}
	recorded, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return err
	}
	return compiled.Validate(recorded)
}

// plotMoves plots the cumulative distribution of the waits of wide tasks for each case.
func plotMoves(path string, outcomes []simulator.MovesOutcome) error {
	p := plot.New()
	p.Title.Text = "Wide tasks on a fragmented fleet (simulated)"
	p.X.Label.Text, p.Y.Label.Text = "wait, s", "fraction of tasks started"
	waits := map[string][]float64{}
	var names []string
	for _, o := range outcomes {
		name := caseName(o)
		if waits[name] == nil && len(o.WideWaitS) > 0 {
			names = append(names, name)
		}
		if len(o.WideWaitS) == 0 {
			continue
		}
		waits[name] = append(waits[name], o.WideWaitS...)
	}
	var lines []any
	for _, name := range names {
		list := slices.Sorted(slices.Values(waits[name]))
		points := make(plotter.XYs, len(list))
		for i, s := range list {
			points[i] = plotter.XY{X: s, Y: float64(i+1) / float64(len(list))}
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	p.Legend.Top = false
	return p.Save(18*vg.Centimeter, 11*vg.Centimeter, path)
}

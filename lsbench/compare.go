package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

type (
	// compareCommand replays a load with the current decisions and with baselines.
	compareCommand struct {
		load, plot string
		seed       uint64
	}

	// replaySummary summarizes a run of one policy. Fractions are of all arrivals.
	replaySummary struct {
		inTime, late, refused, lost float64
		// inTimeByRank is the fraction in time of the requests of each rank, starting at rank 0.
		inTimeByRank []float64
		// worstWindow is the smallest fraction in time of any window.
		worstWindow float64
		// p95 is the 95th percentile of the times to the first event in milliseconds.
		p95 float64
		// predictionError is the median absolute error of the predicted time to the first event in
		// milliseconds.
		predictionError float64
		// readTokens is the number of prompt tokens that engines have read, in thousands.
		readTokens float64
	}
)

// windowMS is the length in milliseconds of the windows among which the worst is reported.
const windowMS = 5000

// Name returns the command's name.
func (*compareCommand) Name() string { return "compare" }

// Synopsis returns the command's short description.
func (*compareCommand) Synopsis() string {
	return "replay a recorded load with the current decisions and with baselines"
}

// Usage returns the command's usage.
func (*compareCommand) Usage() string { return "compare -load FILE [-seed N] [-plot FILE.svg]\n" }

// SetFlags defines the command's flags.
func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.load, "load", "", "load file of 'lsbench record'")
	f.StringVar(&c.plot, "plot", "", "SVG file for the fraction in time by window")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random choices")
}

// Execute prints the outcomes of all policies and the error of the model against the recorded times.
func (c *compareCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.load == "" {
		_, _ = fmt.Fprintln(os.Stderr, "compare needs -load")
		return subcommands.ExitUsageError
	}
	l, err := readLoad(c.load)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	var o output
	o.line("%d requests, seed %d; percent of all requests", len(l.Arrivals), c.seed)
	rows := [][]string{row("", "in time", "late", "refused", "lost", "worst 5 s", "p95 ms", "prediction off ms", "1,000 tokens read", "in time by rank")}
	policies := slices.Concat([]replayPolicy{currentPolicy}, ablationPolicies, baselinePolicies)
	runs := make([][]replayOutcome, len(policies))
	var median, tail float64
	for i, p := range policies {
		runs[i] = replay(l, p, c.seed)
		if p.name == recordedPolicy.name {
			median, tail = modelError(l, runs[i])
		}
		s := summarize(l, runs[i])
		var inTimeByRank []string
		for _, fraction := range s.inTimeByRank {
			inTimeByRank = append(inTimeByRank, percent(fraction))
		}
		rows = append(rows, []string{
			p.name, percent(s.inTime), percent(s.late), percent(s.refused), percent(s.lost), percent(s.worstWindow),
			fmt.Sprintf("%.0f", s.p95), fmt.Sprintf("%.0f", s.predictionError), fmt.Sprintf("%.0f", s.readTokens), strings.Join(inTimeByRank, " "),
		})
	}
	o.table(rows)
	o.line("the model's times to the first event (%s) beside the recorded ones: median %+.0f%%, 95th percentile %+.0f%%",
		recordedPolicy.name, 100*median, 100*tail)
	fmt.Print(o.text.String())
	if c.plot == "" {
		return subcommands.ExitSuccess
	}
	if err := plotWindows(c.plot, l, policies, runs); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func percent(fraction float64) string { return fmt.Sprintf("%.1f", 100*fraction) }

// summarize summarizes the outcomes of a run.
func summarize(l load, run []replayOutcome) replaySummary {
	var s replaySummary
	var firsts, predictionError, totals []float64
	for i, r := range run {
		a := l.Arrivals[i]
		s.readTokens += float64(r.readTokens) / 1000
		for len(totals) <= a.Rank {
			totals, s.inTimeByRank = append(totals, 0), append(s.inTimeByRank, 0)
		}
		totals[a.Rank]++
		switch {
		case r.refused:
			s.refused++
		case r.firstEvent < 0:
			s.lost++
		case r.firstEvent <= float64(a.Target):
			s.inTime++
			s.inTimeByRank[a.Rank]++
		default:
			s.late++
		}
		if r.firstEvent >= 0 {
			firsts = append(firsts, r.firstEvent)
			if r.predicted > 0 {
				predictionError = append(predictionError, math.Abs(r.predicted-r.firstEvent))
			}
		}
	}
	n := float64(len(run))
	s.inTime, s.late, s.refused, s.lost = s.inTime/n, s.late/n, s.refused/n, s.lost/n
	for rank := range totals {
		s.inTimeByRank[rank] /= max(totals[rank], 1)
	}
	s.worstWindow = 1
	for _, w := range inTimeByWindow(l, run) {
		s.worstWindow = min(s.worstWindow, w)
	}
	s.p95, s.predictionError = quantile(firsts, 0.95), quantile(predictionError, 0.5)
	return s
}

// inTimeByWindow returns the fraction in time of the requests that arrive in each window.
func inTimeByWindow(l load, run []replayOutcome) []float64 {
	last := int(l.Arrivals[len(l.Arrivals)-1].At / windowMS)
	totals, inTime := make([]float64, last+1), make([]float64, last+1)
	for i, r := range run {
		a := l.Arrivals[i]
		w := int(a.At / windowMS)
		totals[w]++
		if !r.refused && r.firstEvent >= 0 && r.firstEvent <= float64(a.Target) {
			inTime[w]++
		}
	}
	for w := range totals {
		inTime[w] /= max(totals[w], 1)
	}
	return inTime
}

// modelError returns the relative errors of the median and the 95th percentile of the modelled
// times to the first event against the recorded ones. It uses the requests with a first event in
// both.
func modelError(l load, run []replayOutcome) (median, tail float64) {
	var recorded, modelled []float64
	for i, a := range l.Arrivals {
		if a.First >= 0 && run[i].firstEvent >= 0 {
			recorded = append(recorded, float64(a.First))
			modelled = append(modelled, run[i].firstEvent)
		}
	}
	relativeError := func(q float64) float64 { return quantile(modelled, q)/max(quantile(recorded, q), 1) - 1 }
	return relativeError(0.5), relativeError(0.95)
}

// plotWindows plots the fraction in time of each window, with a line for each policy.
func plotWindows(path string, l load, policies []replayPolicy, runs [][]replayOutcome) error {
	p := plot.New()
	p.Title.Text = "Requests in time by window"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "percent in time"
	p.Y.Min, p.Y.Max = 0, 100
	for i, run := range runs {
		var points plotter.XYs
		for w, fraction := range inTimeByWindow(l, run) {
			points = append(points, plotter.XY{X: float64(w*windowMS) / 1000, Y: 100 * fraction})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot windows")
		}
		line.Color = variantColors[i%len(variantColors)]
		line.Dashes = []vg.Length{vg.Points(float64(8 - i)), vg.Points(float64(i))}
		p.Add(line)
		p.Legend.Add(policies[i].name, line)
	}
	p.Legend.Left = true
	return eris.Wrap(p.Save(20*vg.Centimeter, 10*vg.Centimeter, path), "save plot")
}

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
	// compareCommand replays a load with the decisions and with baselines.
	compareCommand struct {
		load, plot string
		seed       uint64
	}

	// replaySummary is the outcome of one policy. Parts are of all arrivals.
	replaySummary struct {
		inTime, late, refused, lost float64
		// ranks is the part in time of the requests of each rank, from 0 on.
		ranks []float64
		// worst is the part in time of the worst window.
		worst float64
		// p95 is the 95th percentile of the times to the first event in ms.
		p95 float64
		// off is the median of how far the prediction was from the time to the first event, in ms.
		off float64
		// read is the prompt tokens that engines have read, in thousands.
		read float64
	}
)

// windowMS is the length of the windows of which the worst counts, in ms.
const windowMS = 5000

// Name returns the command's name.
func (*compareCommand) Name() string { return "compare" }

// Synopsis returns the command's short description.
func (*compareCommand) Synopsis() string { return "replay a recorded load beside baselines" }

// Usage returns the command's usage.
func (*compareCommand) Usage() string { return "compare -load FILE [-seed N] [-plot FILE.svg]\n" }

// SetFlags defines the command's flags.
func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.load, "load", "", "load file of 'lsbench record'")
	f.StringVar(&c.plot, "plot", "", "SVG file for the part in time by window")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the choices")
}

// Execute prints the outcomes of all policies and how far the model is from the record.
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
	policies := slices.Concat([]replayPolicy{presentPolicy}, promptPolicies, baselines)
	runs := make([][]replayed, len(policies))
	var median, tail float64
	for i, p := range policies {
		runs[i] = replay(l, p, c.seed)
		if p.name == recordPolicy.name {
			median, tail = modelError(l, runs[i])
		}
		s := summarize(l, runs[i])
		var ranks []string
		for _, part := range s.ranks {
			ranks = append(ranks, percent(part))
		}
		rows = append(rows, []string{
			p.name, percent(s.inTime), percent(s.late), percent(s.refused), percent(s.lost), percent(s.worst),
			fmt.Sprintf("%.0f", s.p95), fmt.Sprintf("%.0f", s.off), fmt.Sprintf("%.0f", s.read), strings.Join(ranks, " "),
		})
	}
	o.table(rows)
	o.line("the model's times to the first event (%s) beside the recorded ones: median %+.0f%%, 95th percentile %+.0f%%",
		recordPolicy.name, 100*median, 100*tail)
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

func percent(part float64) string { return fmt.Sprintf("%.1f", 100*part) }

// summarize adds up the outcomes of a run.
func summarize(l load, run []replayed) replaySummary {
	var s replaySummary
	var firsts, off, all []float64
	for i, r := range run {
		a := l.Arrivals[i]
		s.read += float64(r.read) / 1000
		for len(all) <= a.Rank {
			all, s.ranks = append(all, 0), append(s.ranks, 0)
		}
		all[a.Rank]++
		switch {
		case r.refused:
			s.refused++
		case r.first < 0:
			s.lost++
		case r.first <= float64(a.Target):
			s.inTime++
			s.ranks[a.Rank]++
		default:
			s.late++
		}
		if r.first >= 0 {
			firsts = append(firsts, r.first)
			if r.predicted > 0 {
				off = append(off, math.Abs(r.predicted-r.first))
			}
		}
	}
	n := float64(len(run))
	s.inTime, s.late, s.refused, s.lost = s.inTime/n, s.late/n, s.refused/n, s.lost/n
	for rank := range all {
		s.ranks[rank] /= max(all[rank], 1)
	}
	s.worst = 1
	for _, w := range windows(l, run) {
		s.worst = min(s.worst, w)
	}
	s.p95, s.off = quantile(firsts, 0.95), quantile(off, 0.5)
	return s
}

// windows returns the part in time of each window.
func windows(l load, run []replayed) []float64 {
	last := int(l.Arrivals[len(l.Arrivals)-1].At / windowMS)
	all, inTime := make([]float64, last+1), make([]float64, last+1)
	for i, r := range run {
		a := l.Arrivals[i]
		w := int(a.At / windowMS)
		all[w]++
		if !r.refused && r.first >= 0 && r.first <= float64(a.Target) {
			inTime[w]++
		}
	}
	for w := range all {
		inTime[w] /= max(all[w], 1)
	}
	return inTime
}

// modelError returns how far the model's times to the first event are from the recorded ones, as
// a part of them: the median and the 95th percentile over the requests that have one in both.
func modelError(l load, run []replayed) (median, tail float64) {
	var recorded, modelled []float64
	for i, a := range l.Arrivals {
		if a.First >= 0 && run[i].first >= 0 {
			recorded = append(recorded, float64(a.First))
			modelled = append(modelled, run[i].first)
		}
	}
	part := func(q float64) float64 { return quantile(modelled, q)/max(quantile(recorded, q), 1) - 1 }
	return part(0.5), part(0.95)
}

// plotWindows draws the part in time of each window, a line for each policy.
func plotWindows(path string, l load, policies []replayPolicy, runs [][]replayed) error {
	p := plot.New()
	p.Title.Text = "Requests in time by window"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "percent in time"
	p.Y.Min, p.Y.Max = 0, 100
	for i, run := range runs {
		var points plotter.XYs
		for w, part := range windows(l, run) {
			points = append(points, plotter.XY{X: float64(w*windowMS) / 1000, Y: 100 * part})
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

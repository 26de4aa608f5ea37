package main

import (
	"fmt"
	"slices"
	"strings"
)

// tally holds the figures of a group of results.
type tally struct {
	name  string
	bad   bool
	moves int
	// finished counts the moves that finished; the rest were rolled back or did not end.
	finished int
	// exposedRequests holds the number of requests to each bad version, exposedSeconds the seconds
	// from the time that it became bad until it had no more traffic. A bad version that finished
	// counts at least until the deadline.
	exposedRequests []float64
	exposedSeconds  []float64
}

// tallies returns a tally for each behaviour, then one for all good and one for all bad versions.
func tallies(results []result) []tally {
	var list []tally
	good, bad := tally{name: "all good"}, tally{name: "all bad", bad: true}
	for _, b := range append(slices.Clone(behaviours), otherRoute) {
		t := tally{name: b.name, bad: b.bad}
		for _, r := range results {
			if r.behaviour.name != b.name {
				continue
			}
			t.add(r)
			if b.bad {
				bad.add(r)
			} else {
				good.add(r)
			}
		}
		list = append(list, t)
	}
	return append(list, good, bad)
}

func (t *tally) add(r result) {
	t.moves++
	if r.ending.finished {
		t.finished++
	}
	if !t.bad || r.badSince < 0 {
		return
	}
	last := r.lastBad
	if r.ending.finished {
		last = max(last, float64(r.deadline))
	}
	t.exposedRequests = append(t.exposedRequests, float64(r.badRequests))
	t.exposedSeconds = append(t.exposedSeconds, last-r.badSince)
}

// correct returns the number of moves with the right outcome: finished for a good version, not
// finished for a bad one.
func (t tally) correct() int {
	if t.bad {
		return t.moves - t.finished
	}
	return t.finished
}

// quantile returns the value below which the given fraction of the values lies, or 0 without values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// movesColumns are the headers of the columns after the version's name. "right" means finished in
// time for a good version and rolled back for a bad one.
var movesColumns = []string{
	"moves", "right", "bad requests, median", "95th", "s to no traffic, median", "95th",
}

// rows returns the cells of a variant's table.
func (r movesRun) rows(variant int) [][]string {
	var rows [][]string
	for _, t := range tallies(r.results[variant]) {
		if t.moves > 0 {
			rows = append(rows, t.cells())
		}
	}
	return rows
}

func (t tally) cells() []string {
	correct := fmt.Sprintf("%d (%.1f%%)", t.correct(), 100*float64(t.correct())/float64(t.moves))
	cells := []string{t.name, fmt.Sprint(t.moves), correct}
	if !t.bad {
		return append(cells, "", "", "", "")
	}
	return append(cells,
		fmt.Sprintf("%.0f", quantile(t.exposedRequests, 0.5)), fmt.Sprintf("%.0f", quantile(t.exposedRequests, 0.95)),
		fmt.Sprintf("%.0f", quantile(t.exposedSeconds, 0.5)), fmt.Sprintf("%.0f", quantile(t.exposedSeconds, 0.95)))
}

// text returns the tables as plain text, followed by the moves for which the sequential test had the
// wrong outcome.
func (r movesRun) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s, about %g requests/s on the route\n", r.size.name, r.size.rate)
	for v, variant := range movesVariants {
		format := "%-33s%6s%15s%22s%7s%25s%7s\n"
		fmt.Fprintf(&b, "\n"+format, variant.name, movesColumns[0], movesColumns[1], movesColumns[2], movesColumns[3], movesColumns[4], movesColumns[5])
		for _, c := range r.rows(v) {
			fmt.Fprintf(&b, format, c[0], c[1], c[2], c[3], c[4], c[5], c[6])
		}
	}
	b.WriteString("\n" + r.forecast())
	b.WriteString("moves of the sequential test that ended wrong:\n")
	for _, x := range r.results[0] {
		if x.ending.finished == x.behaviour.bad {
			fmt.Fprintf(&b, "  %s, feasible %t, first bad at %.0f s, ended at %d s of %d s: %s\n",
				x.behaviour.name, x.feasible, x.badSince, x.ending.second, x.deadline, x.ending.reason)
		}
	}
	return b.String()
}

// forecast compares the estimates at the start with the outcomes of the moves to good versions.
func (r movesRun) forecast() string {
	var feasible, feasibleFinished, other, otherFinished int
	var errors []float64
	for _, x := range r.results[0] {
		switch {
		case x.behaviour.bad:
		case x.feasible:
			feasible++
			if x.ending.finished {
				feasibleFinished++
				errors = append(errors, float64(x.ending.second)-x.forecast)
			}
		default:
			other++
			if x.ending.finished {
				otherFinished++
			}
		}
	}
	return fmt.Sprintf("moves to good versions called feasible at the start: %d, of which %d finished in time; "+
		"called infeasible: %d, of which %d finished\nend after the forecast in s: median %.0f, 95th %.0f\n",
		feasible, feasibleFinished, other, otherFinished, quantile(errors, 0.5), quantile(errors, 0.95))
}

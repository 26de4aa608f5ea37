package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

type (
	// movesCommand compares the sequential test that decides version moves with fixed steps.
	movesCommand struct {
		seed   uint64
		moves  int
		only   string
		rate   float64
		report string
	}

	// movesRun holds the results of all trials at a size, in the order of the trials.
	movesRun struct {
		size size
		// results are indexed by variant.
		results [][]result
	}

	// movesVariant is the sequential test or a baseline.
	movesVariant struct {
		name          string
		newController func(trial, *simulation) controller
	}
)

// movesVariants are compared in each run. The baselines wait for 100 or 400 requests at a step before
// they decide: with fewer, more good versions are rolled back by chance; with more, a bad version
// serves more requests.
var movesVariants = []movesVariant{
	{name: "sequential test", newController: func(t trial, sim *simulation) controller { return newSequentialTest(t, sim) }},
	{name: "fixed steps, judged from 100 requests", newController: func(t trial, _ *simulation) controller { return newFixedSteps(t, 100) }},
	{name: "fixed steps, judged from 400 requests", newController: func(t trial, _ *simulation) controller { return newFixedSteps(t, 400) }},
}

// Name returns the subcommand's name.
func (*movesCommand) Name() string { return "moves" }

// Synopsis returns a line for the list of subcommands.
func (*movesCommand) Synopsis() string {
	return "compare the sequential test for version moves with fixed steps"
}

// Usage returns the subcommand's usage.
func (*movesCommand) Usage() string {
	return "lsbench moves [-seed N] [-moves N] [-only NAME] [-rate N] [-report DIR]\n"
}

// SetFlags defines the subcommand's flags.
func (c *movesCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of all trials")
	f.IntVar(&c.moves, "moves", 300, "number of moves at each size")
	f.StringVar(&c.only, "only", "", "run only behaviours whose name contains this text; empty runs all")
	f.Float64Var(&c.rate, "rate", 0, "mean requests per second of the route at each size; 0 keeps the rate of each size")
	f.StringVar(&c.report, "report", "", "directory for the report; empty writes none")
}

// Execute runs the trials, prints their results and writes the report.
func (c *movesCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "lsbench moves:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *movesCommand) run() error {
	if c.moves < 1 || c.rate < 0 {
		return eris.Errorf("-moves must be at least 1 and -rate must not be negative, got %d and %g", c.moves, c.rate)
	}
	var selected []behaviour
	for _, b := range behaviours {
		if strings.Contains(b.name, c.only) {
			selected = append(selected, b)
		}
	}
	if len(selected) == 0 {
		return eris.Errorf("no behaviour name contains %q", c.only)
	}
	var runs []movesRun
	for _, s := range sizes {
		if c.rate > 0 {
			s.rate = c.rate
		}
		runs = append(runs, runMoves(c.seed, c.moves, s, selected))
	}
	fmt.Printf("seed %d, %d moves at each size, deadlines of 20 to 60 min\n", c.seed, c.moves)
	for _, r := range runs {
		fmt.Print(r.text())
	}
	if c.report == "" {
		return nil
	}
	if err := os.MkdirAll(c.report, 0o755); err != nil {
		return eris.Wrap(err, "create report directory")
	}
	page, err := movesPage(c.seed, c.moves, runs)
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(filepath.Join(c.report, "moves.html"), page, 0o644), "write report")
}

// runMoves runs each trial with each variant. Results depend only on the seed and not on the number
// of processors.
func runMoves(seed uint64, count int, s size, selected []behaviour) movesRun {
	results := make([][][]result, count)
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range indexes {
				for _, v := range movesVariants {
					t := newTrial(seed, i, s, selected[i%len(selected)])
					sim := newSimulation(t)
					results[i] = append(results[i], sim.run(v.newController(t, sim)))
				}
			}
		})
	}
	for i := range count {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	run := movesRun{size: s, results: make([][]result, len(movesVariants))}
	for v := range movesVariants {
		for i := range count {
			run.results[v] = append(run.results[v], results[i][v]...)
		}
	}
	return run
}

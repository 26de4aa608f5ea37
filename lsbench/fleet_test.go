package main

import (
	"flag"
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestFleetBenchIsRepeatable guards against results that differ between runs with the same seed, and
// against a plan that starts two instances for one slot.
func TestFleetBenchIsRepeatable(t *testing.T) {
	c := &fleetCommand{}
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	c.SetFlags(flags)
	var results [2]fleetResult
	for n := range results {
		scenario := newFleetScenario(12, fleetStepsPerDay/2, rand.New(rand.NewPCG(c.seed, 12)))
		results[n] = scenario.run("plan", true, rand.New(rand.NewPCG(c.seed, 77)), c.planController(scenario, true))
	}
	if !reflect.DeepEqual(results[0], results[1]) {
		t.Fatalf("two runs of seed %d differ: %+v and %+v", c.seed, results[0], results[1])
	}
	if r := results[0]; r.duplicates > 0 || r.starts == 0 || r.lostAnswers == 0 || r.refusedStarts == 0 {
		t.Fatalf("want starts, lost answers and refused starts, but no duplicate instance: %+v", r)
	}
}

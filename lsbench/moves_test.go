package main

import (
	"reflect"
	"runtime"
	"strings"
	"testing"
)

// TestMovesRunIsRepeatable guards against results that depend on the number of processors or the
// iteration order of maps, and not only on the seed.
func TestMovesRunIsRepeatable(t *testing.T) {
	var selected []behaviour
	for _, b := range behaviours {
		if strings.Contains(b.name, "crash") {
			selected = append(selected, b)
		}
	}
	first := runMoves(5, len(selected), sizes[1], selected).results
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	second := runMoves(5, len(selected), sizes[1], selected).results
	for v := range first {
		for i := range first[v] {
			a, b := first[v][i], second[v][i]
			a.behaviour.prepare, b.behaviour.prepare = nil, nil
			if !reflect.DeepEqual(a, b) {
				t.Errorf("%s, move %d: results differ between runs: %+v and %+v", movesVariants[v].name, i, a, b)
			}
		}
	}
}

// TestTalliesCountWrongOutcomes guards against tallies that count a finished bad version as a right
// outcome, or that end its traffic before the deadline.
func TestTalliesCountWrongOutcomes(t *testing.T) {
	all := tallies([]result{
		{behaviour: behaviour{name: "bad at once", bad: true}, badSince: 10, lastBad: 20, badRequests: 3, deadline: 100, ending: ending{done: true}},
		{behaviour: behaviour{name: "bad at once", bad: true}, badSince: 10, lastBad: 20, badRequests: 9, deadline: 100, ending: ending{done: true, finished: true}},
		{behaviour: behaviour{name: "good"}, badSince: -1, ending: ending{done: true}},
	})
	good, bad := all[len(all)-2], all[len(all)-1]
	if good.correct() != 0 || bad.correct() != 1 || quantile(bad.exposedSeconds, 0.95) != 90 || quantile(bad.exposedRequests, 0.5) != 9 {
		t.Errorf("wrong tallies: good %+v, bad %+v", good, bad)
	}
}

package scale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lentilstage.dev/domain/setup"

	"lentilstage.dev/decide/cases"
)

type (
	script struct {
		Name string `yaml:"Name"`
		// Prices are those of the data centres a, b and c.
		Prices map[string]float64 `yaml:"Prices"`
		Min    int                `yaml:"Min"`
		Max    int                `yaml:"Max"`
		Steps  []step             `yaml:"Steps"`
	}

	step struct {
		// At is the time since the start in seconds.
		At float64 `yaml:"At"`
		// Firm and Reclaimable are the ready on-demand and reclaimable endpoints by data centre.
		Firm        map[string]int `yaml:"Firm"`
		Reclaimable map[string]int `yaml:"Reclaimable"`
		Demand      float64        `yaml:"Demand"`
		// Evacuated are the data centres that get no orders.
		Evacuated []string `yaml:"Evacuated"`
		// Refused are the kinds whose orders are refused.
		Refused []string `yaml:"Refused"`
		Want    []string `yaml:"Want"`
	}
)

// TestPlans guards against a loss of capacity when the reclaimable endpoints of a data centre are
// lost, against on-demand endpoints that are kept without need, and against repeated orders.
func TestPlans(t *testing.T) {
	for _, s := range cases.Load[script](t, "testdata/plans.yaml") {
		t.Run(s.Name, func(t *testing.T) { s.run(t) })
	}
}

func (s script) run(t *testing.T) {
	start := time.Unix(1000, 0)
	var state State
	scaling := setup.Scaling{Min: s.Min, Max: s.Max, BootTime: 4 * time.Second, Prices: s.Prices}
	for i, step := range s.Steps {
		now := start.Add(time.Duration(step.At * float64(time.Second)))
		ready := map[Kind]int{}
		for c, count := range step.Firm {
			ready[Kind{c, false}] = count
		}
		for c, count := range step.Reclaimable {
			ready[Kind{c, true}] = count
		}
		plan := Make(View{Scaling: scaling, Ready: ready, Demand: step.Demand, Evacuated: step.Evacuated, State: state, DiscoveryComplete: step.At > 2, Now: now})
		state = plan.State
		var got []string
		for _, o := range plan.Orders {
			kind := "on-demand"
			if o.Reclaimable {
				kind = "reclaimable"
			}
			got = append(got, fmt.Sprint(o.DataCentre, " ", kind, " ", o.Count))
			if slices.Contains(step.Refused, fmt.Sprint(o.DataCentre, " ", kind)) {
				state = state.WithRefused(o, now)
			} else {
				state = state.WithSent(o, now)
			}
		}
		if !slices.Equal(got, step.Want) {
			t.Errorf("step %d: orders %q, want %q", i, got, step.Want)
		}
	}
}

// TestDemand guards against a demand that follows a peak too late or falls in each lull.
func TestDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	var d Demand
	work := 0.0
	run := func(rate float64, seconds int) float64 {
		for range seconds * 2 {
			now = now.Add(500 * time.Millisecond)
			work += rate / 2
			d = d.With(work, now)
		}
		return d.Endpoints()
	}
	if got := run(0, 5); got != -1 {
		t.Errorf("demand %.1f before any work", got)
	}
	if got := run(10, 10); got < 9 || got > 10.1 {
		t.Errorf("demand %.1f after 10 s of 10 busy endpoints", got)
	}
	if got := run(20, 3); got < 18 {
		t.Errorf("demand %.1f after 3 s of a peak of 20", got)
	}
	if got := run(10, 3); got < 17 {
		t.Errorf("demand %.1f after 3 s of a lull", got)
	}
	work = 0
	if got := run(10, 1); got < 15 {
		t.Errorf("demand %.1f after the total was reset", got)
	}
}

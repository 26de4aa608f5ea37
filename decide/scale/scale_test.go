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
		// FirmSpeeds and ReclaimableSpeeds are the sums of their speeds, if the endpoints differ.
		FirmSpeeds        map[string]float64 `yaml:"FirmSpeeds"`
		ReclaimableSpeeds map[string]float64 `yaml:"ReclaimableSpeeds"`
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
		plan := Make(View{Scaling: scaling, Ready: ready, Speeds: step.speeds(), Demand: step.Demand, Evacuated: step.Evacuated, State: state, DiscoveryComplete: step.At > 2, Now: now})
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

func (s step) speeds() map[Kind]float64 {
	if s.FirmSpeeds == nil && s.ReclaimableSpeeds == nil {
		return nil
	}
	speeds := map[Kind]float64{}
	for c, sum := range s.FirmSpeeds {
		speeds[Kind{c, false}] = sum
	}
	for c, sum := range s.ReclaimableSpeeds {
		speeds[Kind{c, true}] = sum
	}
	return speeds
}

// TestHold guards against capacity that is held for longer than it takes to come back, and against releases in each lull
// of a demand that varies.
func TestHold(t *testing.T) {
	const boot = 4 * time.Second
	fall := func(boot time.Duration, swing float64) (after, hold float64) {
		now := time.Unix(1000, 0)
		d, work := Demand{}.Holding(boot), 0.0
		for i := range 100 {
			rate := 20.0
			if i >= 75 {
				rate = 10
			}
			now = now.Add(400 * time.Millisecond)
			work += rate * (1 + swing*float64(1-2*(i%2))) * 0.4
			d = d.With(work, now)
		}
		return d.Endpoints(), d.Hold(400 * time.Millisecond).Seconds()
	}
	if usual, _ := fall(0, 0.1); usual < 14 {
		t.Errorf("demand %.1f 10 s after it fell to 10, want the usual hold", usual)
	}
	steady, steadyHold := fall(boot, 0.02)
	if steady > 11.5 || steadyHold < 4 || steadyHold > 5 {
		t.Errorf("demand %.1f 10 s after it fell to 10, with a hold of %.1f s", steady, steadyHold)
	}
	varying, varyingHold := fall(boot, 0.3)
	if varying < steady+1 || varyingHold < steadyHold+2 || varyingHold > fallTimeConstant.Seconds() {
		t.Errorf("varying demand %.1f 10 s after it fell to 10, with a hold of %.1f s", varying, varyingHold)
	}
}

// TestShare guards against a share that counts work from before the window, or of another set of daemons.
func TestShare(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Share
	work := 0.0
	run := func(seconds, rate, ordered float64) (float64, float64, bool) {
		for range int(seconds * 2.5) {
			now = now.Add(400 * time.Millisecond)
			work += rate * 0.4
			s = s.With(work, ordered, now)
		}
		return s.Seconds()
	}
	if _, _, known := run(8, 5, 10); known {
		t.Error("a share is known after 8 s")
	}
	if used, ordered, known := run(8, 5, 10); !known || used/ordered < 0.49 || used/ordered > 0.51 || ordered > 105 {
		t.Errorf("used %.1f of %.1f s, want half of 100", used, ordered)
	}
	if used, ordered, _ := run(12, 2, 10); used/ordered < 0.19 || used/ordered > 0.21 {
		t.Errorf("used %.1f of %.1f s after 12 s at 2 of 10", used, ordered)
	}
	work = 1
	if _, _, known := run(4, 2, 10); known {
		t.Error("a share is known although the total of the work was reset")
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

package main

import (
	"math"
	"slices"
	"testing"
)

// speedTestSeconds is the length of the loads in tests.
const speedTestSeconds = 25

func deploymentNamed(t *testing.T, name string) speedDeployment {
	t.Helper()
	i := slices.IndexFunc(speedDeployments, func(d speedDeployment) bool { return d.name == name })
	if i < 0 {
		t.Fatalf("no deployment %q", name)
	}
	return speedDeployments[i]
}

// TestSpeedsServeMore guards against predictions that are wrong by the ratio of the engines' speeds, and against a
// placement that serves fewer requests within their target than one with a single speed for all engines.
func TestSpeedsServeMore(t *testing.T) {
	for _, c := range []struct {
		deployment string
		rate       float64
		// remain is the fraction of the requests not in time that may be left of those of the landed choice.
		remain float64
		// predicted is set if the waits are to be as predicted. Under overload, they depend on those who come later.
		predicted bool
	}{
		{deployment: "deployment one", rate: 1, remain: 0.9, predicted: true},
		{deployment: "deployment one", rate: 1.15, remain: 1, predicted: true},
		{deployment: "deployment two", rate: 1.2, remain: 0.8},
	} {
		d := deploymentNamed(t, c.deployment)
		for _, seed := range []uint64{1, 2} {
			l := d.load(seed, c.rate, speedTestSeconds)
			after, landed := afterWarmUp(l, replay(l, landedPolicy, seed))
			_, estimated := afterWarmUp(l, replay(l, speedPolicy, seed))
			before, now := 1-summarize(after, landed).inTime, 1-summarize(after, estimated).inTime
			if now > c.remain*before {
				t.Errorf("%s, rate %g, seed %d: %s%% of the requests not in time, %s%% with one speed for all engines",
					d.name, c.rate, seed, percent(now), percent(before))
			}
			for _, speed := range d.speeds {
				if ratio := medianRatio(after, estimated, speed); c.predicted && math.Abs(ratio-1) > 0.25 {
					t.Errorf("%s, rate %g, seed %d: the median wait at engines of speed %.1f is %.2f of the predicted one",
						d.name, c.rate, seed, speed, ratio)
				}
			}
		}
	}
}

// TestEqualEnginesAreUnchanged guards against any change of the decisions for engines of equal speed, whatever their slow
// phases.
func TestEqualEnginesAreUnchanged(t *testing.T) {
	l := deploymentNamed(t, "equal engines").load(1, 1, speedTestSeconds)
	if !slices.Equal(replay(l, landedPolicy, 1), replay(l, speedPolicy, 1)) {
		t.Error("the outcomes differ from those with one speed for all engines")
	}
}

package main

import (
	"slices"
	"testing"
)

// testedPolicies excludes prefix affinity alone, whose long queues make the simulation slow.
var testedPolicies = slices.Delete(slices.Clone(routingPolicies), 3, 4)

// TestPredictedTimeBeatsBaselines guards against a worse choice of endpoints by decide/route. At the
// small size and with a fixed seed it must have a lower 95th percentile than each baseline, in normal
// operation and during a reclaim, and recompute at most a third of the tokens that the baselines
// without prefixes recompute.
func TestPredictedTimeBeatsBaselines(t *testing.T) {
	t.Parallel()
	size := routingSizes[1]
	results := runPolicies(1, size, testedPolicies)
	predicted := results[len(results)-1]
	for i, baseline := range results[:3] {
		name := testedPolicies[i].name
		if predicted.normal.percentile(95) >= baseline.normal.percentile(95) || predicted.reclaim.percentile(95) >= baseline.reclaim.percentile(95) {
			t.Errorf("95th percentile: %g and %g ms, %s has %g and %g ms", predicted.normal.percentile(95), predicted.reclaim.percentile(95),
				name, baseline.normal.percentile(95), baseline.reclaim.percentile(95))
		}
		if predicted.normalTokens.recomputed*3 > baseline.normalTokens.recomputed {
			t.Errorf("%d tokens recomputed, %s has %d", predicted.normalTokens.recomputed, name, baseline.normalTokens.recomputed)
		}
	}
}

// TestRunsAreRepeatable guards against results that depend on the iteration order of a map.
func TestRunsAreRepeatable(t *testing.T) {
	t.Parallel()
	size := routingSize{replicas: 4, delay: routingSizes[0].delay, conversations: 1.5}
	policies := testedPolicies[2:]
	again := runPolicies(7, size, policies)
	for i, first := range runPolicies(7, size, policies) {
		second := again[i]
		if first.normalTokens != second.normalTokens || first.reclaimTokens != second.reclaimTokens ||
			first.reclaim.percentile(95) != second.reclaim.percentile(95) {
			t.Errorf("%s: two runs with the same seed differ", policies[i].name)
		}
	}
}

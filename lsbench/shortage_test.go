package main

import "testing"

func testShortages(t *testing.T) []shortageScript {
	t.Helper()
	scripts, err := readShortages("testdata/shortages.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return scripts
}

// runShortage returns the outcomes of a script by the name of the policy.
func runShortage(s shortageScript, policies []shortagePolicy) []shortageSummary {
	var summaries []shortageSummary
	for _, p := range policies {
		summaries = append(summaries, summarizeShortage(s, simulateShortage(s, p, 1)))
	}
	return summaries
}

// TestScheduledRetries guards against retry times with which as many requests are refused a second time as when all
// refused callers were told to return after a moment, or with which less is served.
func TestScheduledRetries(t *testing.T) {
	for _, s := range testShortages(t) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			summaries := runShortage(s, shortagePolicies[:2])
			before, scheduled := summaries[0], summaries[1]
			t.Logf("refused twice %.4f instead of %.4f, value %.4f instead of %.4f", scheduled.refusedTwice, before.refusedTwice, scheduled.value, before.value)
			if scheduled.refusedTwice > 0.9*before.refusedTwice {
				t.Errorf("%.4f of the requests are refused twice, %.4f without a schedule", scheduled.refusedTwice, before.refusedTwice)
			}
			if scheduled.value < before.value-0.005 {
				t.Errorf("value %.4f, %.4f without a schedule", scheduled.value, before.value)
			}
		})
	}
}

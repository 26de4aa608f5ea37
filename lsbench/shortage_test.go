package main

import (
	"slices"
	"testing"
)

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

// TestDivision guards against a division that serves an account less than a quarter as often as all, an urgent kind less
// often than a less urgent one, or the accounts at their usual rate worse than without a division.
func TestDivision(t *testing.T) {
	for _, s := range testShortages(t) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			summaries := runShortage(s, shortagePolicies[1:3])
			undivided, divided := summaries[0], summaries[1]
			t.Logf("kinds %.3f, accounts %.3f, value %.4f instead of %.4f", divided.kinds, divided.accounts, divided.value, undivided.value)
			served := divided.inTime + divided.late
			for account, part := range divided.accounts {
				if part < served/4 {
					t.Errorf("%.3f of the requests of account %d are served, %.3f of all", part, account, served)
				}
			}
			for urgent, part := range divided.kinds {
				for other, otherPart := range divided.kinds {
					if s.Kinds[urgent].Rank < s.Kinds[other].Rank && part < otherPart-0.05 {
						t.Errorf("%.3f of kind %d are served, %.3f of the less urgent kind %d", part, urgent, otherPart, other)
					}
				}
			}
			if divided.value < undivided.value-0.015 {
				t.Errorf("value %.4f, %.4f without a division", divided.value, undivided.value)
			}
			var with, without []float64
			for account := range s.Accounts {
				if surges(s, account) {
					continue
				}
				with, without = append(with, divided.accountsInTime[account]), append(without, undivided.accountsInTime[account])
			}
			if m, before := mean(with), mean(without); m < before-0.015 {
				t.Errorf("%.3f of the requests of accounts at their usual rate are in time, %.3f without a division", m, before)
			}
		})
	}
}

// surges reports whether an account offers several times its usual load.
func surges(s shortageScript, account int) bool {
	return slices.ContainsFunc(s.Bursts, func(b burst) bool { return b.Account == account })
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

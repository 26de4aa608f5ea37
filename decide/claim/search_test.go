package claim

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/search"
)

const (
	ciSeed   = 20261204
	ciChecks = 400
	maxSteps = 400
)

// TestSearchClaims draws schedules of daemons, callers, log and service, and guards
// against a call that runs twice, a "not run" that is not true, and a replay that differs.
// CLAIM_SEED and CLAIM_SCHEDULES set the seed and the number of schedules of a long search.
func TestSearchClaims(t *testing.T) {
	seed, checks := search.Setting("CLAIM_SEED", ciSeed), search.Setting("CLAIM_SCHEDULES", ciChecks)
	counts, events := map[string]int{}, 0
	search.Configure(t, seed, checks, "30s")
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, noWeakness)
		for range maxSteps {
			w.step()
		}
		events += maxSteps
		for name, n := range w.counts {
			counts[name] += n
		}
	})
	t.Logf("seed %d, %d schedules, %d events: %s", seed, checks, events, search.Summary(counts))
	for _, name := range []string{
		"executed", "replayed", "not run", "unknown", "reused", "joined", "asked", "kill", "fenced", "result read",
	} {
		if counts[name] == 0 {
			t.Errorf("the search never reached %q, so it shows nothing about it", name)
		}
	}
}

// TestSearchFindsWeakenedRules guards against an oracle that notices nothing: each
// weakened rule must lead to a failing schedule.
func TestSearchFindsWeakenedRules(t *testing.T) {
	for _, weak := range weaknesses {
		t.Run(strings.ReplaceAll(string(weak), " ", "-"), func(t *testing.T) {
			search.Configure(t, ciSeed, 4000, "0s")
			runs := 0
			failure, found := search.Falsify(t, func(rt *rapid.T) {
				runs++
				w := newWorld(rt, weak)
				for range maxSteps {
					w.step()
				}
			})
			if !found {
				t.Fatalf("no schedule of %d fails when the daemon %s", runs, weak)
			}
			t.Logf("fails: %s", failure.Last)
		})
	}
}

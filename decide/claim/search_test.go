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

// TestSearchClaims runs random schedules of daemons, callers, the log and the service. It guards
// against a call that is executed twice, a false "not run" reply and a replayed answer that differs
// from the original. CLAIM_SEED and CLAIM_SCHEDULES set the seed and the number of schedules.
func TestSearchClaims(t *testing.T) {
	seed, checks := search.EnvInt("CLAIM_SEED", ciSeed), search.EnvInt("CLAIM_SCHEDULES", ciChecks)
	counts, events := map[string]int{}, 0
	search.Configure(t, seed, checks, "30s")
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, noMutation)
		for range maxSteps {
			s.runEvent()
		}
		events += maxSteps
		for name, n := range s.counts {
			counts[name] += n
		}
	})
	t.Logf("seed %d, %d schedules, %d events: %s", seed, checks, events, search.Summary(counts))
	for _, name := range []string{
		"executed", "replayed", "not run", "unknown", "reused", "joined", "asked", "kill", "fenced", "result read",
	} {
		if counts[name] == 0 {
			t.Errorf("no schedule reached %q, so the search does not cover it", name)
		}
	}
}

// TestSearchFindsWeakenedRules guards against an ineffective oracle: the search must find a failing
// schedule for each mutation.
func TestSearchFindsWeakenedRules(t *testing.T) {
	for _, m := range mutations {
		t.Run(strings.ReplaceAll(string(m), " ", "-"), func(t *testing.T) {
			search.Configure(t, ciSeed, 4000, "0s")
			runs := 0
			failure, found := search.Falsify(t, func(rt *rapid.T) {
				runs++
				s := newSimulation(rt, m)
				for range maxSteps {
					s.runEvent()
				}
			})
			if !found {
				t.Fatalf("none of %d schedules fails with the mutation %q", runs, m)
			}
			t.Logf("failing schedule: %s", failure.LastLine)
		})
	}
}

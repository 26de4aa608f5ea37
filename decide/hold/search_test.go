package hold

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/search"
)

const (
	ciSeed   = 20261204
	ciChecks = 400
	maxSteps = 400
)

// TestSearchHeldRequests runs random schedules of daemons, engines and callers. It guards against an
// answer that mixes two attempts or requests, a duplicate token, and a finish reason before the
// answer is complete. HOLD_SEED and HOLD_SCHEDULES set the seed and the number of schedules of a
// long search.
func TestSearchHeldRequests(t *testing.T) {
	seed, checks := search.EnvInt("HOLD_SEED", ciSeed), search.EnvInt("HOLD_SCHEDULES", ciChecks)
	counts, events := map[string]int{}, 0
	search.Configure(t, seed, checks, "30s")
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, allRules)
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
		"accept", "finished", "taken over", "kill", "stopped", "Moved", "Taken", "Stale", "Missing", "Full", "expired",
		"unknown",
	} {
		if counts[name] == 0 {
			t.Errorf("no schedule reached %q, so the search does not test it", name)
		}
	}
}

// TestSearchOneDeath guards against an accepted request that is lost with one daemon. If one daemon
// dies at any moment, no message between daemons is lost and any number of caller connections
// break, every caller gets its complete answer.
func TestSearchOneDeath(t *testing.T) {
	counts := map[string]int{}
	search.Configure(t, search.EnvInt("HOLD_SEED", ciSeed), search.EnvInt("HOLD_SCHEDULES", ciChecks), "30s")
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, allRules)
		w.lossPercent, w.maxBreaks, w.callers = 0, maxSteps, []*caller{w.callers[0], w.callers[2]}
		for _, d := range w.daemons {
			d.store = NewStore(Limits{MaxRecords: 10, MaxBytes: 1 << 20, KeepPeriod: time.Hour})
		}
		for _, c := range w.callers {
			w.serveCaller(w.daemons[w.pick(len(w.daemons))], c)
		}
		for range w.pick(80) {
			w.faultFreeStep()
		}
		w.kill(w.daemons[w.pick(len(w.daemons))])
		w.daemons[0].store.limits = Limits{MaxRecords: 10, MaxBytes: 1 << 20, KeepPeriod: time.Hour}
		for range w.pick(80) {
			w.faultFreeStep()
		}
		w.runToCompletion()
		for name, n := range w.counts {
			counts[name] += n
		}
	})
	t.Logf("%s", search.Summary(counts))
}

// TestSearchFindsWeakenedRules guards against checks that detect no fault: each weakened rule must
// lead to a failing schedule.
func TestSearchFindsWeakenedRules(t *testing.T) {
	for _, rule := range weakenedRules {
		t.Run(strings.ReplaceAll(string(rule), " ", "-"), func(t *testing.T) {
			search.Configure(t, ciSeed, 4000, "0s")
			runs := 0
			failure, found := search.Falsify(t, func(rt *rapid.T) {
				runs++
				w := newWorld(rt, rule)
				for range maxSteps {
					w.step()
				}
			})
			if !found {
				t.Fatalf("none of %d schedules fails when the daemon %s", runs, rule)
			}
			t.Logf("failure found: %s", failure.LastLine)
		})
	}
}

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

// TestSearchHeldRequests draws schedules of daemons, engines and callers, and guards
// against an answer that mixes two attempts or requests, a token that comes twice, and a
// finish before the answer is whole. HOLD_SEED and HOLD_SCHEDULES set the seed and the
// number of schedules of a long search.
func TestSearchHeldRequests(t *testing.T) {
	seed, checks := search.Setting("HOLD_SEED", ciSeed), search.Setting("HOLD_SCHEDULES", ciChecks)
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
		"accept", "finished", "taken over", "kill", "stopped", "Moved", "Taken", "Stale", "Missing", "Full", "expired",
		"unknown",
	} {
		if counts[name] == 0 {
			t.Errorf("the search never reached %q, so it shows nothing about it", name)
		}
	}
}

// TestSearchOneDeath guards against an accepted request that is lost with one daemon: with
// one death at any moment, no message between daemons lost and any number of broken
// connections of callers, every caller gets its whole answer.
func TestSearchOneDeath(t *testing.T) {
	counts := map[string]int{}
	search.Configure(t, search.Setting("HOLD_SEED", ciSeed), search.Setting("HOLD_SCHEDULES", ciChecks), "30s")
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, noWeakness)
		w.loss, w.breaks, w.callers = 0, maxSteps, []*caller{w.callers[0], w.callers[2]}
		for _, d := range w.daemons {
			d.store = NewStore(Limits{MaxRecords: 10, MaxBytes: 1 << 20, KeepPeriod: time.Hour})
		}
		for _, c := range w.callers {
			w.arrive(w.daemons[w.pick(len(w.daemons))], c)
		}
		for range w.pick(80) {
			w.gentleStep()
		}
		w.kill(w.daemons[w.pick(len(w.daemons))])
		w.daemons[0].store.limits = Limits{MaxRecords: 10, MaxBytes: 1 << 20, KeepPeriod: time.Hour}
		for range w.pick(80) {
			w.gentleStep()
		}
		w.settle()
		for name, n := range w.counts {
			counts[name] += n
		}
	})
	t.Logf("%s", search.Summary(counts))
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

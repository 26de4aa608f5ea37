package main

import (
	"testing"
	"time"
)

// TestExchangeIsBounded guards against an exchange between daemons whose messages at a daemon grow with
// their number, or whose loads are too old to place by: 15 KB/s a daemon is the users' budget for control,
// and a failure must be noticed within 2 s.
func TestExchangeIsBounded(t *testing.T) {
	const budget = 15_000
	for _, size := range []struct{ daemons, centres int }{{30, 3}, {200, 5}} {
		s := exchangeScenario{
			policy: hubSums, daemons: size.daemons, centres: size.centres, endpoints: 2 * size.daemons, lossPercent: 1,
			warmUp: 3 * time.Second, measured: 2 * time.Second,
		}
		r := runExchange(s, 1)
		s.policy = allHubs
		former := runExchange(s, 1)
		if r.followerMessages > former.followerMessages || r.followerBytes > budget {
			t.Errorf("%d daemons: a follower sends %.0f messages and %.0f B a second, want at most %.0f and %d",
				size.daemons, r.followerMessages, r.followerBytes, former.followerMessages, budget)
		}
		if r.hubLoss == 0 || r.hubLoss > 2*time.Second {
			t.Errorf("%d daemons: a lost hub is replaced after %s, want 2 s at most", size.daemons, r.hubLoss)
		}
		if r.oldAge > 2 {
			t.Errorf("%d daemons: 5 in 100 loads are older than %.1f s, want 2 s at most", size.daemons, r.oldAge)
		}
	}
}

// TestExchangeIsRepeatable guards against a run that depends on the iteration order of maps, and not only
// on the seed.
func TestExchangeIsRepeatable(t *testing.T) {
	s := exchangeScenario{
		policy: hubSums, daemons: 31, centres: 3, endpoints: 62, lossPercent: 1, warmUp: 2 * time.Second, measured: time.Second,
	}
	if a, b := runExchange(s, 3), runExchange(s, 3); a != b {
		t.Errorf("two runs with the same seed differ: %+v and %+v", a, b)
	}
}

package relay

import (
	"testing"
	"time"

	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

// TestLimitReachesAllDaemons guards against an endpoint in need that gets the usual requests of daemons which have not
// heard of its limit yet (LIMIT): in a large fleet a daemon sends one endpoint a request a minute. It also guards against
// a limit that has ended and is brought back by an older report.
func TestLimitReachesAllDaemons(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	endpoint := setup.Endpoint{ID: "e1", Service: "pool", Slots: 8, State: setup.Ready, Sequence: 1}
	a, b := newCentre("a", 2), newCentre("b", 2)
	all := append(append([]*tables{a.hub, b.hub}, a.followers...), b.followers...)
	for _, f := range all {
		f.putEndpoint(Record{Key: "e1", Offset: 1}, endpoint, now)
		f.rosterHash(now)
	}
	exchange := func(rounds int) {
		for range rounds {
			now = now.Add(500 * time.Millisecond)
			a.collect("a", now)
			b.collect("b", now)
			fromA, fromB := a.sum("a", now), b.sum("b", now)
			a.hub.applySum(fromB, now.Add(time.Second), now)
			b.hub.applySum(fromA, now.Add(time.Second), now)
			a.publish(t, "a", now)
			b.publish(t, "b", now)
		}
	}
	// limited returns at how many daemons the endpoint has a limit.
	limited := func() int {
		count := 0
		for _, f := range all {
			if _, ok := f.quota.Limit(limitKey("e1")); ok {
				count++
			}
		}
		return count
	}
	exchange(1)
	if !a.followers[0].recordLimit(endpoint, requestsLimit, value.Some(3.0), now) {
		t.Error("a limit is no news")
	}
	exchange(6)
	if got := limited(); got != len(all) {
		t.Errorf("%d of %d daemons have heard of the limit", got, len(all))
	}
	b.followers[1].recordLimit(endpoint, requestsLimit, value.Option[float64]{}, now)
	exchange(6)
	if got := limited(); got != 0 {
		t.Errorf("%d daemons have a limit that has ended", got)
	}
	a.followers[0].recordLimit(endpoint, requestsLimit, value.Some(3.0), now)
	endpoint.StartedAtMS = 9
	for _, f := range all {
		f.putEndpoint(Record{Key: "e1", Offset: 2}, endpoint, now)
		f.rosterHash(now)
	}
	exchange(6)
	if got := limited(); got != 0 {
		t.Errorf("%d daemons have the limit of a process that has ended", got)
	}
}

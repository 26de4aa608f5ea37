package relay

import (
	"testing"
	"time"

	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

// coldTables returns tables with an endpoint of a service whose cold endpoints tolerate two requests per second.
func coldTables(t *testing.T, name string, e setup.Endpoint, now time.Time) *tables {
	t.Helper()
	tables := newTables(Settings{Name: name, Limits: Limits{ColdOverrun: 1.5, ColdTolerance: 5}}, "first")
	config, err := setup.New(1, nil, []setup.Service{{Name: "pool", ColdRate: 2, ColdTime: 8 * time.Second}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	tables.putEndpoint(Record{Key: e.ID, Offset: 1}, e, now)
	tables.refresh(now)
	return tables
}

// TestColdLimitBeginsAndEnds guards against an endpoint that is not limited from its first registration on, whose lower
// own limit is ignored, or that stays limited when it is warm.
func TestColdLimitBeginsAndEnds(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	e := setup.Endpoint{ID: "e1", Service: "pool", Slots: 4, State: setup.Ready, StartedAtMS: 1}
	registered := func(offset int64, change func(*setup.Endpoint)) (Record, setup.Endpoint) {
		changed := e
		changed.Sequence = offset
		change(&changed)
		return Record{Key: e.ID, Offset: offset}, changed
	}
	cold := func(left time.Duration) func(*setup.Endpoint) {
		return func(e *setup.Endpoint) { e.WarmAt = now.Add(left) }
	}
	for _, c := range []struct {
		name string
		act  func(*tables)
		want bool
	}{
		{"registered as warm", func(*tables) {}, false},
		{"registered as cold", func(t *tables) {
			r, e := registered(2, cold(5*time.Second))
			t.putEndpoint(r, e, now)
		}, true},
		{"registered as warm again", func(t *tables) {
			r, e := registered(2, cold(5*time.Second))
			t.putEndpoint(r, e, now)
			r, e = registered(3, cold(0))
			e.WarmAt = time.Time{}
			t.putEndpoint(r, e, now)
		}, false},
		{"cold by a response, an older registration as warm arrives", func(t *tables) {
			t.recordWarmth(e, now.Add(5*time.Second), now)
			r, e := registered(2, func(*setup.Endpoint) {})
			t.putEndpoint(r, e, now)
		}, true},
		{"cold and warm by responses", func(t *tables) {
			t.recordWarmth(e, now.Add(5*time.Second), now)
			t.recordWarmth(e, now, now.Add(time.Millisecond))
		}, false},
		{"restarted without a word", func(t *tables) {
			r, e := registered(2, func(e *setup.Endpoint) { e.StartedAtMS, e.WarmthUnknown = 2, true })
			t.putEndpoint(r, e, now)
		}, true},
		{"a response of an earlier process", func(t *tables) {
			r, after := registered(2, func(e *setup.Endpoint) { e.StartedAtMS = 2 })
			t.putEndpoint(r, after, now)
			t.recordWarmth(e, now.Add(5*time.Second), now)
		}, false},
		{"a peer's word", func(tables *tables) {
			peer := coldTables(t, "entry-2", e, now)
			peer.recordWarmth(e, now.Add(5*time.Second), now)
			tables.observe(peer.digest(now, false), now.Add(time.Second), now)
		}, true},
	} {
		tables := coldTables(t, "entry-1", e, now)
		c.act(tables)
		tables.refresh(now)
		if got := tables.cold("e1"); got != c.want {
			t.Errorf("%s: cold %v, want %v", c.name, got, c.want)
		}
		if rate, limited := tables.quota.Limit(limitKey("e1")); limited != c.want || limited && rate > 2 {
			t.Errorf("%s: limited %v to %g a second, want %v to at most 2", c.name, limited, rate, c.want)
		}
		current, _ := tables.endpoint("e1")
		tables.recordLimit(current, requestsLimit, value.Some(1.0), now)
		if rate, limited := tables.quota.Limit(limitKey("e1")); limited && rate > 1 {
			t.Errorf("%s: limited to %g a second although the endpoint takes one", c.name, rate)
		}
		tables.tick(now.Add(9 * time.Second))
		if tables.cold("e1") {
			t.Errorf("%s: still cold after its time", c.name)
		}
	}
}

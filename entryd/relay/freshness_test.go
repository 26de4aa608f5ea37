package relay

import (
	"context"
	"testing"
	"time"

	"lentilstage.dev/domain/value"
)

// TestHubTellsOnlyReadsItHas guards against followers that go on with an old configuration and with
// endpoints that have left: their hub has missed what the reader sent, can't read the log itself, and
// passes on that the reader's read is recent.
func TestHubTellsOnlyReadsItHas(t *testing.T) {
	start := time.Unix(1000, 0)
	hub := newFreshness(func(time.Time) uint64 { return 7 })
	hub.recordOwnRead(Operators, value.Position{Offset: 5}, start)
	hub.recordOwnRead(Endpoints, value.Position{Offset: 40}, start)
	var told totals
	for second := 1; second <= 4; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		hub.applyHubTotals(totals{OperatorsNext: 6, EndpointsNext: 41, Roster: 8}, now, true, now)
		hub.fillTotals(&told, false, now)
		informedAt, _ := hub.readTimes(Endpoints)
		if age := now.Sub(informedAt); told.OperatorsAgeMS < int64(second)*1000 || age < time.Duration(second)*time.Second {
			t.Fatalf("after %d s the hub tells ages of %d ms and %v for reads whose records it lacks", second, told.OperatorsAgeMS, age)
		}
	}
	now := start.Add(5 * time.Second)
	hub.recordForwarded(value.Position{Offset: 5}, value.Position{Offset: 6})
	hub.applyHubTotals(totals{OperatorsNext: 6, EndpointsNext: 41, Roster: 7}, now, true, now)
	hub.fillTotals(&told, false, now)
	if informedAt, _ := hub.readTimes(Endpoints); told.OperatorsAgeMS != 0 || !informedAt.Equal(now) {
		t.Errorf("the hub tells an age of %d ms and a read at %v although it has the records", told.OperatorsAgeMS, informedAt)
	}
}

// TestResumedReadDoesNotWait guards against endpoints that are kept after they are gone (DRAIN): the first read after
// the reader's have become old waited for a record, so that the reads of all daemons seemed interrupted.
func TestResumedReadDoesNotWait(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.startedAt = now.Add(-time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	waits := make(chan time.Duration, 1)
	d.store.Read = func(_ context.Context, _ Stream, from int64, wait time.Duration) (Page, error) {
		cancel()
		waits <- wait
		return Page{End: value.Position{Offset: from}}, nil
	}
	d.freshness.recordOwnRead(Endpoints, value.Position{Offset: 5}, now)
	now = now.Add(maxEndpointsAge)
	s := &streamReader{daemon: d, stream: Endpoints, wait: endpointsWait, apply: func([]Record) {}, synced: true}
	if err := s.run(ctx); err != nil {
		t.Fatal(err)
	}
	if wait := <-waits; wait != 0 {
		t.Errorf("the read waits for %v, want 0", wait)
	}
}

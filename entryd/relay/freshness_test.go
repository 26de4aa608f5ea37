package relay

import (
	"testing"
	"time"

	"lentilstage.dev/domain/value"
)

// TestReachableByPeers guards against a daemon that alone lost the log and keeps endpoints that have
// left, and against one that mistakes a general outage for its own.
func TestReachableByPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		reads []float64
		want  bool
	}{
		"other daemons read without a gap":  {reads: []float64{0, 1, 2, 3, 4, 5}, want: true},
		"no daemon reads during the outage": {reads: []float64{0, 1, 5}},
		"the last read is too old":          {reads: []float64{0, 1, 2}},
		"reads begin during the outage":     {reads: []float64{2, 3, 4, 5}},
		"a late report of an earlier read":  {reads: []float64{0, 1, 2, 3, 4, 5, 2}, want: true},
		"no read reported":                  {},
	} {
		f := newFreshness(func(time.Time) uint64 { return 0 })
		for _, r := range c.reads {
			f.recordPeerRead(at(r))
		}
		if got := f.reachableByPeers(at(0.5), at(5.2)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestShortOutageOfAllDaemons guards against a daemon that takes an outage of all daemons for its own, since it is
// shorter than the gap between two reads may be, and removes endpoints before they could register again.
func TestShortOutageOfAllDaemons(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFreshness(func(time.Time) uint64 { return 0 })
	for i := range 10 {
		f.recordPeerRead(now.Add(time.Duration(i) * 700 * time.Millisecond))
	}
	last := now.Add(6300 * time.Millisecond)
	if f.reachableByPeers(last.Add(100*time.Millisecond), last.Add(2100*time.Millisecond)) {
		t.Error("an outage of 2 s of all daemons counts as one of this daemon only")
	}
}

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

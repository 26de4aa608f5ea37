package relay

import (
	"testing"
	"time"
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

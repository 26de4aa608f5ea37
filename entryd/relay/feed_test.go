package relay

import (
	"testing"
	"time"
)

// TestUpElsewhere guards against a daemon that has lost the log alone and keeps endpoints that
// have left, and against one that takes an outage for everyone as its own.
func TestUpElsewhere(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		reads []float64
		want  bool
	}{
		"others read all the while":              {reads: []float64{0, 1, 2, 3, 4, 5}, want: true},
		"no one reads during the outage":         {reads: []float64{0, 1, 5}},
		"others have not read for long":          {reads: []float64{0, 1, 2}},
		"others begin to read during the outage": {reads: []float64{2, 3, 4, 5}},
		"a late message about an earlier read":   {reads: []float64{0, 1, 2, 3, 4, 5, 2}, want: true},
		"a daemon that has heard no other one":   {},
	} {
		f := newFeed(func(time.Time) uint64 { return 0 })
		for _, r := range c.reads {
			f.readElsewhere(at(r))
		}
		if got := f.upElsewhere(at(0.5), at(5.2)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

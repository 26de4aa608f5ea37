package scale

import (
	"math"
	"time"
)

// Demand is the work that requests bring, smoothed. It rises within seconds and falls slowly,
// since an endpoint that was given up takes its boot time to come back. The zero value knows
// of no work.
type Demand struct {
	work  float64
	at    time.Time
	since time.Time
	rate  float64
}

const (
	// riseTime and fallTime are the times in which a change shows to two thirds.
	riseTime = 1500 * time.Millisecond
	fallTime = 15 * time.Second
	// settleTime is how long work must have been seen before the demand counts.
	settleTime = 6 * time.Second
	// leastWork is the rate, in busy endpoints, from which requests are taken to have begun.
	leastWork = 0.2
)

// With returns the demand after a look at the sum of all work so far, in seconds of an
// endpoint. A sum that falls is that of another set of daemons, and starts anew.
func (d Demand) With(work float64, now time.Time) Demand {
	if d.at.IsZero() || work < d.work {
		d.work, d.at = work, now
		return d
	}
	seconds := now.Sub(d.at).Seconds()
	if seconds <= 0 {
		return d
	}
	rate := (work - d.work) / seconds
	length := riseTime
	if rate < d.rate {
		length = fallTime
	}
	d.rate += (rate - d.rate) * (1 - math.Exp(-seconds/length.Seconds()))
	d.work, d.at = work, now
	if d.since.IsZero() && d.rate > leastWork {
		d.since = now
	}
	return d
}

// Endpoints returns the number of endpoints that the work keeps busy, or -1 while it has not
// been seen for long enough.
func (d Demand) Endpoints() float64 {
	if d.since.IsZero() || d.at.Sub(d.since) < settleTime {
		return -1
	}
	return d.rate
}

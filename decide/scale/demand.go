package scale

import (
	"math"
	"time"
)

// Demand is the smoothed rate at which requests bring work. It rises within seconds and falls
// slowly, since an endpoint that was released takes its boot time to come back. The zero value
// has observed no work.
type Demand struct {
	work        float64
	updatedAt   time.Time
	activeSince time.Time
	rate        float64
}

const (
	// riseTimeConstant and fallTimeConstant are the times after which a step change of the rate
	// shows to about two thirds (1-1/e).
	riseTimeConstant = 1500 * time.Millisecond
	fallTimeConstant = 15 * time.Second
	// warmUpTime is how long work must have been observed before the demand counts as known.
	warmUpTime = 6 * time.Second
	// activeRate is the rate, in busy endpoints, above which requests count as having begun.
	activeRate = 0.2
)

// With returns the demand after an observation of the total work so far, in endpoint-seconds. A
// lower total than before comes from a different set of daemons; it becomes the new baseline and
// leaves the rate unchanged.
func (d Demand) With(work float64, now time.Time) Demand {
	if d.updatedAt.IsZero() || work < d.work {
		d.work, d.updatedAt = work, now
		return d
	}
	seconds := now.Sub(d.updatedAt).Seconds()
	if seconds <= 0 {
		return d
	}
	rate := (work - d.work) / seconds
	timeConstant := riseTimeConstant
	if rate < d.rate {
		timeConstant = fallTimeConstant
	}
	d.rate += (rate - d.rate) * (1 - math.Exp(-seconds/timeConstant.Seconds()))
	d.work, d.updatedAt = work, now
	if d.activeSince.IsZero() && d.rate > activeRate {
		d.activeSince = now
	}
	return d
}

// Endpoints returns the number of endpoints that the work keeps busy, or -1 until work has been
// observed for long enough.
func (d Demand) Endpoints() float64 {
	if d.activeSince.IsZero() || d.updatedAt.Sub(d.activeSince) < warmUpTime {
		return -1
	}
	return d.rate
}

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
	// lastRate is the rate between the last two observations, and variance the smoothed variance of such rates, from the
	// differences of successive ones, which a lasting change leaves small.
	lastRate, variance float64
	// bootTime shortens the hold of a rate that has fallen; 0 keeps it at fallTimeConstant.
	bootTime time.Duration
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
	// varianceTimeConstant is the time over which the variance is smoothed.
	varianceTimeConstant = 10 * time.Second
)

// Holding returns the demand with a hold after the boot time of an endpoint instead of the usual one: capacity that is
// released comes back after the boot time. The hold is longer if the rate varies from one observation to the next.
func (d Demand) Holding(bootTime time.Duration) Demand {
	d.bootTime = bootTime
	return d
}

// Hold returns the time constant with which the demand falls. Beside the boot time it is long enough that the smoothed
// variation is half of the hysteresis of the targets.
func (d Demand) Hold(interval time.Duration) time.Duration {
	if d.bootTime <= 0 || d.rate <= 0 {
		return fallTimeConstant
	}
	relative := 2 * math.Sqrt(d.variance) / d.rate / hysteresis
	return min(d.bootTime+time.Duration(relative*relative*float64(interval)/2), fallTimeConstant)
}

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
		timeConstant = d.Hold(now.Sub(d.updatedAt))
	}
	difference := (rate - d.lastRate) * (rate - d.lastRate) / 2
	d.variance += (difference - d.variance) * (1 - math.Exp(-seconds/varianceTimeConstant.Seconds()))
	d.lastRate = rate
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

package relay

import (
	"slices"
	"sync"
	"time"

	bootclock "lentilstage.dev/entryd/clock"
)

type (
	// clock provides the daemon's times. now stops while the instance is suspended and boot does not.
	// Steps of the time of day affect neither.
	clock struct {
		now       func() time.Time
		boot      func() time.Time
		wallClock *wallEstimate
	}

	// wallEstimate estimates the time of day from its value at the daemon's start and from the peers'
	// estimates, so that a step of this instance's clock has no effect.
	wallEstimate struct {
		mutex  sync.Mutex
		wall   time.Time
		boot   time.Time
		offset time.Duration
		peers  map[string]time.Duration
		// dueAt is when the offset is next determined from the peers, on the clock that boot uses.
		dueAt time.Time
	}
)

const (
	// offsetInterval is the pause between two determinations of the offset from manyPeers peers or
	// more: each sorts their estimates, and a hub receives hundreds of messages a second.
	offsetInterval = time.Second
	manyPeers      = 20
)

func newClock() clock {
	boot := bootclock.Boot()
	return clock{
		now: time.Now, boot: bootclock.Boot,
		wallClock: &wallEstimate{wall: time.Now().Round(0), boot: boot, peers: map[string]time.Duration{}},
	}
}

// localTime returns the estimate of this instance alone.
func (t *wallEstimate) localTime(boot time.Time) time.Time { return t.wall.Add(boot.Sub(t.boot)) }

// wallNow returns the estimated time of day.
func (c clock) wallNow() time.Time {
	c.wallClock.mutex.Lock()
	defer c.wallClock.mutex.Unlock()
	return c.wallClock.localTime(c.boot()).Add(c.wallClock.offset)
}

// observe records a peer's local estimate. The offset is the median over all daemons, so that
// a daemon that started with a wrong clock follows the others.
func (c clock) observe(peer string, estimate time.Time) {
	c.wallClock.mutex.Lock()
	defer c.wallClock.mutex.Unlock()
	boot := c.boot()
	c.wallClock.peers[peer] = estimate.Sub(c.wallClock.localTime(boot))
	if boot.Before(c.wallClock.dueAt) {
		return
	}
	if len(c.wallClock.peers) >= manyPeers {
		c.wallClock.dueAt = boot.Add(offsetInterval)
	}
	offsets := []time.Duration{0}
	for _, o := range c.wallClock.peers {
		offsets = append(offsets, o)
	}
	slices.Sort(offsets)
	c.wallClock.offset = offsets[(len(offsets)-1)/2]
}

// forget removes the estimate of a peer that is gone.
func (c clock) forget(peer string) {
	c.wallClock.mutex.Lock()
	defer c.wallClock.mutex.Unlock()
	delete(c.wallClock.peers, peer)
}

// localNow returns the estimate of this instance alone, for its messages.
func (c clock) localNow() time.Time {
	c.wallClock.mutex.Lock()
	defer c.wallClock.mutex.Unlock()
	return c.wallClock.localTime(c.boot())
}

package relay

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// clock gives the daemon's times. The steady time stands still while the machine is
	// suspended; the boot time does not, and neither follows steps of the time of day.
	clock struct {
		now  func() time.Time
		boot func() time.Time
		base *trueTime
	}

	// trueTime estimates the time of day from that at the daemon's start and what peers
	// tell, so that a step of this machine's clock changes nothing.
	trueTime struct {
		mutex  sync.Mutex
		wall   time.Time
		boot   time.Time
		offset time.Duration
		peers  map[string]time.Duration
	}
)

func newClock() clock {
	boot := bootTime()
	return clock{
		now: time.Now, boot: bootTime,
		base: &trueTime{wall: time.Now().Round(0), boot: boot, peers: map[string]time.Duration{}},
	}
}

// bootTime returns the time since the machine's boot as a time since 1970.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go supports.
		panic(err)
	}
	return time.Unix(t.Unix())
}

// own returns this machine's estimate alone.
func (t *trueTime) own(boot time.Time) time.Time { return t.wall.Add(boot.Sub(t.boot)) }

// trueNow returns the estimated time of day.
func (c clock) trueNow() time.Time {
	c.base.mutex.Lock()
	defer c.base.mutex.Unlock()
	return c.base.own(c.boot()).Add(c.base.offset)
}

// heard takes in a peer's own estimate. The median over all daemons is used, so that a
// daemon that started while its clock was off follows the others.
func (c clock) heard(peer string, estimate time.Time) {
	c.base.mutex.Lock()
	defer c.base.mutex.Unlock()
	c.base.peers[peer] = estimate.Sub(c.base.own(c.boot()))
	offsets := []time.Duration{0}
	for _, o := range c.base.peers {
		offsets = append(offsets, o)
	}
	slices.Sort(offsets)
	c.base.offset = offsets[(len(offsets)-1)/2]
}

// ownTime returns this machine's estimate for its digest.
func (c clock) ownTime() time.Time {
	c.base.mutex.Lock()
	defer c.base.mutex.Unlock()
	return c.base.own(c.boot())
}

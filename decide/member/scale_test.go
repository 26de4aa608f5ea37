package member

import (
	"slices"
	"testing"
	"time"

	"lentilstage.dev/wire/wire"
)

// TestSpreadWith390Daemons guards against live daemons that are considered dead at the target of 390
// daemons, where digests can't refresh each entry within LivenessTimeout, and against entries and
// leaving marks that spread too slowly.
func TestSpreadWith390Daemons(t *testing.T) {
	const size, period = 390, 20
	c := newCluster(size)
	c.list.Instances = append(c.list.Instances, wire.Instance{ID: "engine-1", Role: wire.RoleEngine, State: wire.Live})
	c.run(period * time.Second)
	var ages []time.Duration
	for name, s := range c.states {
		if live := len(s.Live(c.now)); live != size {
			t.Errorf("%s considers %d of %d daemons alive", name, live, size)
		}
		for _, process := range s.Listed() {
			if process != name {
				ages = append(ages, c.now.Sub(s.LastReceived(process)))
			}
		}
	}
	slices.Sort(ages)
	median, percentile95 := ages[len(ages)/2], ages[len(ages)*95/100]
	t.Logf("age of entries: median %s, 95 in 100 below %s, oldest %s", median, percentile95, ages[len(ages)-1])
	if median > 12*time.Second {
		t.Errorf("the median age of the entries is above 12 s")
	}

	c.update("entry-0", LeavingDetected{Instance: "engine-1", Now: c.now})
	missing := size
	seconds := 0
	for ; missing > 0 && seconds < 10; seconds++ {
		c.run(time.Second)
		missing = 0
		for _, s := range c.states {
			if !s.IsLeaving("engine-1") {
				missing++
			}
		}
		t.Logf("%d s after a leaving mark was added: %d daemons have not received it", seconds+1, missing)
	}
	if missing > 0 {
		t.Errorf("%d daemons have not received a leaving mark after %d s", missing, seconds)
	}

	c.down["entry-7"] = true
	c.update("entry-0", CallFailed{Process: "entry-7", Now: c.now})
	if c.states["entry-0"].IsAlive("entry-7", c.now) {
		t.Error("an unreachable daemon is considered alive")
	}
	c.down["entry-7"] = false
	c.run(time.Second)
	c.update("entry-0", DigestReceived{Digest: c.digest("entry-7"), Now: c.now})
	if !c.states["entry-0"].IsAlive("entry-7", c.now) {
		t.Error("a daemon whose new digest was received is considered dead")
	}
}

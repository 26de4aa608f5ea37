package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// endpointKey is the key of the endpoint in these tests.
const endpointKey = "\x00endpoint"

// allowedRequests returns the most requests that an endpoint with a limit may get in 4 s, by the platform's rule.
func allowedRequests(rate float64) float64 { return 1.5*4*rate + 5 }

// limitedFleet is a fleet of daemons that have heard of an endpoint's limit. Their hub sends totals.
type limitedFleet struct {
	states   []*State
	interval int
	random   *rand.Rand
	totals   []fleetTotals
	// silent is the number of daemons that nobody hears and that hear nobody.
	silent int
}

type fleetTotals struct {
	total float64
	own   []float64
}

func newLimitedFleet(daemons int, limit EndpointLimited, start time.Time) *limitedFleet {
	f := &limitedFleet{interval: 100, random: rand.New(rand.NewPCG(1, 2))}
	switch {
	case daemons > 200:
		f.interval = 500
	case daemons > 60:
		f.interval = 200
	}
	for range daemons {
		s := New(RestartFraction, f.random.Float64())
		s.Update(Configured{Now: start.Add(-time.Minute)})
		if daemons > 1 {
			s.Update(Merge{Daemon: "hub", Incarnation: "1", Daemons: daemons - 1, SilentAt: f.silentAt(start), Now: start})
		}
		s.Update(limit)
		f.states = append(f.states, s)
	}
	return f
}

// silentAt returns when a hub that is heard now counts as silent.
func (f *limitedFleet) silentAt(now time.Time) time.Time {
	return now.Add(time.Duration(7*f.interval) * time.Millisecond)
}

// exchange sends the daemons the totals of the interval before.
func (f *limitedFleet) exchange(now time.Time) {
	current := fleetTotals{}
	for i, s := range f.states {
		used := s.Used()[endpointKey]
		current.own = append(current.own, used)
		if i >= f.silent {
			current.total += used
		}
	}
	f.totals = append(f.totals, current)
	if len(f.totals) < 2 {
		return
	}
	before := f.totals[len(f.totals)-2]
	for i, s := range f.states {
		if i < f.silent {
			continue
		}
		s.Update(Merge{
			Daemon: "hub", Incarnation: "1", Daemons: len(f.states) - 1, Silent: f.silent, SilentAt: f.silentAt(now), Now: now,
			Used: map[string]float64{endpointKey: before.total - before.own[i]},
		})
	}
}

// TestEndpointLimitHolds guards against an endpoint in need that gets more requests from all daemons together than it
// takes (LIMIT), in fleets of all sizes, and against one that gets few although its limit is not reached.
func TestEndpointLimitHolds(t *testing.T) {
	for _, daemons := range []int{1, 2, 6, 30, 83, 295} {
		for _, rate := range []float64{0, 0.2, 1, 2.8, 10, 50} {
			for _, flood := range []float64{2, 5, 10} {
				t.Run(fmt.Sprintf("%d daemons, %g a second, %g times that offered", daemons, rate, flood), func(t *testing.T) {
					start := time.Unix(1000, 0)
					f := newLimitedFleet(daemons, EndpointLimited{Key: endpointKey, Rate: rate, Now: start}, start)
					checkLimit(t, f, rate, flood, 4000, allowedRequests(rate), 0.5, start)
				})
			}
		}
	}
}

// TestEndpointLimitOfSilentDaemons guards against daemons that can't hear each other and each use the whole limit.
func TestEndpointLimitOfSilentDaemons(t *testing.T) {
	for _, silent := range []int{1, 3, 5} {
		for _, rate := range []float64{0.2, 2.8, 20} {
			t.Run(fmt.Sprintf("%d of 6 daemons silent, %g a second", silent, rate), func(t *testing.T) {
				start := time.Unix(1000, 0)
				f := newLimitedFleet(6, EndpointLimited{Key: endpointKey, Rate: rate, Now: start}, start)
				f.silent = silent
				checkLimit(t, f, rate, 10, 4000, allowedRequests(rate), 0.5, start)
			})
		}
	}
}

// TestColdEndpointIsNotOverrun guards against a cold endpoint that crashes: it gets more requests in some second from all
// daemons together than it bears, although all of them learn of it at once, and some don't hear the others.
func TestColdEndpointIsNotOverrun(t *testing.T) {
	const overrun, tolerance = 1.5, 5
	for _, daemons := range []int{1, 2, 6, 62, 295} {
		// In large fleets, what is left for the others is most of what the endpoint bears.
		least := 0.25
		if daemons > 62 {
			least = 0.03
		}
		for _, rate := range []float64{0.5, 6, 50} {
			for _, flood := range []float64{2, 20} {
				for _, silent := range []int{0, daemons / 3} {
					t.Run(fmt.Sprintf("%d daemons, %d silent, %g a second, %g times that offered", daemons, silent, rate, flood), func(t *testing.T) {
						start := time.Unix(1000, 0)
						allowed := rate*overrun + tolerance
						f := newLimitedFleet(daemons, EndpointLimited{Key: endpointKey, Rate: rate, PerSecond: allowed, Now: start}, start)
						f.silent = silent
						checkLimit(t, f, rate, flood, 1000, allowed, least, start)
					})
				}
			}
		}
	}
}

// checkLimit floods an endpoint with a limit for 40 s and reports when its requests in a window exceed the rule or when it gets
// less than the fraction least of what it takes.
func checkLimit(t *testing.T, f *limitedFleet, rate, flood float64, windowMS int, allowed, least float64, start time.Time) {
	t.Helper()
	const endMS = 40_000
	// A request of the service goes to this endpoint with a probability if the endpoint takes requests: three
	// endpoints are compared, and there are two for each daemon.
	probability := min(1, 3/(2*float64(len(f.states))))
	requests := max(rate, 1) * flood / probability / 1000
	var taken []float64
	sum := 0.0
	for ms := range endMS {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%f.interval == 0 {
			f.exchange(now)
		}
		count := 0.0
		for p := requests; p > 0 && (p >= 1 || f.random.Float64() < p); p-- {
			s := f.states[f.random.IntN(len(f.states))]
			if s.CheckEndpoint(endpointKey, probability, now).Admitted && f.random.Float64() < probability {
				s.CountEndpoint(endpointKey)
				count++
			}
		}
		taken = append(taken, count)
		sum += count
	}
	if most := mostTaken(taken, windowMS); most > allowed {
		t.Errorf("%g requests in %d ms, at most %g allowed", most, windowMS, allowed)
	}
	if limit := rate * endMS / 1000; f.silent == 0 && rate >= 1 && sum < limit*least {
		t.Errorf("%g requests in 40 s at a limit of %g", sum, limit)
	}
}

// TestEndpointLimitChanges guards against a limit that outlasts the endpoint's word, and against odd limits that exclude
// an endpoint or lift its limit by mistake.
func TestEndpointLimitChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(InitialFraction, 0)
	s.Update(Configured{Now: now})
	limit := func(rate float64) { s.Update(EndpointLimited{Key: endpointKey, Rate: rate, Now: now}) }
	// requests returns how many requests the endpoint gets in some seconds.
	requests := func(seconds int) int {
		count := 0
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			if s.CheckEndpoint(endpointKey, 1, now).Admitted {
				s.CountEndpoint(endpointKey)
				count++
			}
		}
		return count
	}
	for _, c := range []struct {
		name     string
		change   func()
		low, top int
	}{
		{"no limit", func() {}, 2000, 2000},
		{"two a second", func() { limit(2) }, 32, 40},
		{"ten a second", func() { limit(10) }, 160, 200},
		{"half a request a second", func() { limit(0.5) }, 7, 14},
		{"none a second", func() { limit(0) }, 1, 5},
		{"no limit any more", func() { s.Update(EndpointUnlimited{Key: endpointKey}) }, 2000, 2000},
		{"three a second", func() { limit(3) }, 48, 60},
		{"more than any endpoint takes", func() { limit(1e300) }, 2000, 2000},
		{"a limit and another configuration", func() {
			limit(3)
			s.Update(Configured{Accounts: accounts(5, 5), Now: now})
		}, 48, 60},
	} {
		c.change()
		if got := requests(20); got < c.low || got > c.top {
			t.Errorf("%s: %d requests in 20 s, want %d to %d", c.name, got, c.low, c.top)
		}
	}
}

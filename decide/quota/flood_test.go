package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestFloodBehindHub guards against many daemons that each use what was added to a bucket since
// their hub's last totals: together they would use it once per daemon.
func TestFloodBehindHub(t *testing.T) {
	for _, burstSeconds := range []float64{0.5, 1, 2} {
		t.Run(fmt.Sprint(burstSeconds), func(t *testing.T) { floodBehindHub(t, burstSeconds) })
	}
}

func floodBehindHub(t *testing.T, burstSeconds float64) {
	t.Helper()
	const (
		rate             = 580_000.0
		daemons          = 83
		flood            = 7.5
		cost             = 9000.0
		reportIntervalMS = 200
		reportDelayMS    = 200
		windowMS         = 8000
		endMS            = 20_000
	)
	burst := rate * burstSeconds
	start := time.Unix(1000, 0)
	states := newStates(daemons, InitialFraction, accounts(rate, burst), start)
	type snapshot struct {
		total float64
		own   []float64
	}
	var snapshots []snapshot
	var taken []float64
	total, arrived, next := 0.0, 0.0, 0
	for ms := 0; ms < endMS; ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%reportIntervalMS == 0 {
			s := snapshot{total: total}
			for _, state := range states {
				s.own = append(s.own, state.Used()[account])
			}
			snapshots = append(snapshots, s)
			// The totals of a hub hold the digests of the interval before.
			if delayed := len(snapshots) - 1 - reportDelayMS/reportIntervalMS; delayed >= 0 {
				for i, state := range states {
					used := map[string]float64{account: snapshots[delayed].total - snapshots[delayed].own[i]}
					state.Update(Merge{Daemon: "hub", Incarnation: "1", Daemons: daemons - 1, Used: used, Now: now})
				}
			}
		}
		before := total
		// Before the flood the account uses half of its rate.
		load := 0.5
		if ms > 2000 {
			load = flood
		}
		for arrived += rate * load / 1000; arrived >= cost; arrived -= cost {
			if states[next%daemons].Take(account, cost, now).Admitted {
				total += cost
			}
			next += 37
		}
		taken = append(taken, total-before)
	}
	allowed := (rate*windowMS/1000+burst)*1.1 + 110_000
	most := mostTaken(taken, windowMS)
	t.Logf("burst of %.1f s: at most %.0f taken in 8 s, at most %.0f allowed; %.2f of the rate used in the flood",
		burstSeconds, most, allowed, total/(rate*(endMS/1000-2)))
	if most > allowed {
		t.Errorf("%.0f taken in 8 s, at most %.0f allowed", most, allowed)
	}
}

// TestAccountWithinItsAllowance guards against margins between daemons that are so large that an
// account well within its allowance is refused, although one central bucket would admit it. The
// requests cost 200 to 40,000 tokens, as in the specified workloads.
func TestAccountWithinItsAllowance(t *testing.T) {
	for _, daemons := range []int{2, 7, 83} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) { withinAllowance(t, daemons) })
	}
}

func withinAllowance(t *testing.T, daemons int) {
	t.Helper()
	const (
		// An allowance is usually 1.8 times the usual load.
		load             = 1 / 1.8
		reportIntervalMS = 100
		endMS            = 60_000
	)
	// The largest accounts use 100,000 tokens per second with up to 7 daemons. With more daemons,
	// their rate grows in proportion.
	rate := 100_000 * max(1, float64(daemons)/7)
	start := time.Unix(1000, 0)
	states := newStates(daemons, InitialFraction, accounts(rate, rate), start)
	central := newStates(1, InitialFraction, accounts(rate, rate), start)[0]
	random := rand.New(rand.NewPCG(7, uint64(daemons)))
	sizes := []float64{200, 200, 700, 2300, 2300, 5000, 9000, 9000, 20_000, 40_000}
	mean := 0.0
	for _, size := range sizes {
		mean += size / float64(len(sizes))
	}
	requests, refused, refusedByCentral := 0, 0, 0
	for ms := 0; ms < endMS; ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%reportIntervalMS == 0 {
			total := 0.0
			for _, s := range states {
				total += s.Used()[account]
			}
			for _, s := range states {
				used := map[string]float64{account: total - s.Used()[account]}
				s.Update(Merge{Daemon: "hub", Incarnation: "1", Daemons: daemons - 1, Used: used, Now: now})
			}
		}
		for random.Float64() < rate*load/mean/1000/(1+rate*load/mean/1000) {
			cost := sizes[random.IntN(len(sizes))]
			requests++
			if !states[random.IntN(daemons)].Take(account, cost, now).Admitted {
				refused++
			}
			if !central.Take(account, cost, now).Admitted {
				refusedByCentral++
			}
		}
	}
	t.Logf("%d of %d requests refused, %d by one central bucket", refused, requests, refusedByCentral)
	if refused > refusedByCentral+requests/100 {
		t.Errorf("%d of %d requests refused, %d by one central bucket", refused, requests, refusedByCentral)
	}
}

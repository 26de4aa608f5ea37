package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestFloodBehindHub guards against many daemons that all take what a bucket has got since the last
// totals of their hub: together they would take it once for each daemon.
func TestFloodBehindHub(t *testing.T) {
	for _, burstSeconds := range []float64{0.5, 1, 2} {
		t.Run(fmt.Sprint(burstSeconds), func(t *testing.T) { floodBehindHub(t, burstSeconds) })
	}
}

func floodBehindHub(t *testing.T, burstSeconds float64) {
	t.Helper()
	const (
		rate     = 580_000.0
		daemons  = 83
		flood    = 7.5
		cost     = 9000.0
		pauseMS  = 200
		delayMS  = 200
		windowMS = 8000
		endMS    = 20_000
	)
	burst := rate * burstSeconds
	start := time.Unix(1000, 0)
	states := newStates(daemons, FullStart, accounts(rate, burst), start)
	type sum struct {
		total float64
		own   []float64
	}
	var told []sum
	var taken []float64
	total, arrived, next := 0.0, 0.0, 0
	for ms := 0; ms < endMS; ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%pauseMS == 0 {
			s := sum{total: total}
			for _, state := range states {
				s.own = append(s.own, state.Used()[account])
			}
			told = append(told, s)
			// The totals of a hub hold the digests of the pause before.
			if old := len(told) - 1 - delayMS/pauseMS; old >= 0 {
				for i, state := range states {
					used := map[string]float64{account: told[old].total - told[old].own[i]}
					state.Update(Heard{Daemon: "hub", Incarnation: "1", Daemons: daemons - 1, Used: used, Now: now})
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
	t.Logf("burst of %.1f s: at most %.0f in 8 s, allowed %.0f; %.2f of the rate used in the flood",
		burstSeconds, most, allowed, total/(rate*(endMS/1000-2)))
	if most > allowed {
		t.Errorf("%.0f taken in 8 s, allowed %.0f", most, allowed)
	}
}

// TestAccountWithinItsAllowance guards against daemons that leave so much of a bucket to each other that an
// account well within its allowance is refused: one bucket for all would admit it. The sizes of requests
// are those of the users' sheets, 200 to 40,000 tokens.
func TestAccountWithinItsAllowance(t *testing.T) {
	for _, daemons := range []int{2, 7, 83} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) { withinAllowance(t, daemons) })
	}
}

func withinAllowance(t *testing.T, daemons int) {
	t.Helper()
	const (
		// Users order allowances of 1.8 times the usual load.
		load    = 1 / 1.8
		pauseMS = 100
		endMS   = 60_000
	)
	// The largest accounts take 100,000 tokens a second at 7 daemons and as much a daemon at more.
	rate := 100_000 * max(1, float64(daemons)/7)
	start := time.Unix(1000, 0)
	states := newStates(daemons, FullStart, accounts(rate, rate), start)
	one := newStates(1, FullStart, accounts(rate, rate), start)[0]
	random := rand.New(rand.NewPCG(7, uint64(daemons)))
	sizes := []float64{200, 200, 700, 2300, 2300, 5000, 9000, 9000, 20_000, 40_000}
	mean := 0.0
	for _, size := range sizes {
		mean += size / float64(len(sizes))
	}
	requests, refused, byOne := 0, 0, 0
	for ms := 0; ms < endMS; ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%pauseMS == 0 {
			total := 0.0
			for _, s := range states {
				total += s.Used()[account]
			}
			for _, s := range states {
				used := map[string]float64{account: total - s.Used()[account]}
				s.Update(Heard{Daemon: "hub", Incarnation: "1", Daemons: daemons - 1, Used: used, Now: now})
			}
		}
		for random.Float64() < rate*load/mean/1000/(1+rate*load/mean/1000) {
			cost := sizes[random.IntN(len(sizes))]
			requests++
			if !states[random.IntN(daemons)].Take(account, cost, now).Admitted {
				refused++
			}
			if !one.Take(account, cost, now).Admitted {
				byOne++
			}
		}
	}
	t.Logf("%d of %d requests refused, one bucket refuses %d", refused, requests, byOne)
	if refused > byOne+requests/100 {
		t.Errorf("%d of %d requests refused, one bucket refuses %d", refused, requests, byOne)
	}
}

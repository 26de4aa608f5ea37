package main

import (
	"math"
	"math/rand/v2"
)

type (
	// behaviour is the behaviour of a new version during a move.
	behaviour struct {
		name string
		bad  bool
		// prepare draws the parameters of the behaviour.
		prepare func(*trial, *rand.Rand)
	}

	// size is the number of replicas and the traffic of a deployment.
	size struct {
		name     string
		replicas int
		// rate is the mean rate of a route in requests per second.
		rate float64
	}

	// rates holds the probability of each outcome of a request.
	rates struct {
		failure, slowFirst, slowGaps, interrupted, crash float64
	}

	// trial holds the parameters of one version move: the traffic, the faults and the behaviour of the
	// new version. All variants run the same trials. Times are in seconds since the start.
	trial struct {
		seed       uint64
		behaviour  behaviour
		size       size
		routes     int
		rate       float64
		phase      float64
		deadline   int
		firstShare float64
		// added is added to the new version's rates on route 0 while it is bad.
		added rates
		// onset is the time and loadShare the minimum share from which the version is bad.
		onset     float64
		loadShare float64
		// slowFrom and slowUntil bound a period in which both versions are slow.
		slowFrom, slowUntil float64
		// waves are the times of reclaim waves; hitNew and hitOld are the fractions of the requests to
		// each version that a wave interrupts.
		waves          []float64
		hitNew, hitOld float64
		// poison holds the arrival times of requests that crash the endpoint that runs them.
		poison []float64
		// outageFrom and outageUntil bound an outage of the log.
		outageFrom, outageUntil int
	}
)

const (
	// waveSeconds is the duration of a reclaim wave. waveSlowSeconds is how long the remaining endpoints
	// of both versions are slow, from the start of the wave.
	waveSeconds     = 10
	waveSlowSeconds = 60
	// sharedSlowRate is added to the slow rates of both versions while the whole route is slow.
	sharedSlowRate = 0.15
)

var (
	// sizes hold the traffic of one route in the two deployments.
	sizes = []size{
		{name: "20 replicas", replicas: 20, rate: 4},
		{name: "12 replicas", replicas: 12, rate: 2.4},
	}

	// baseRates are the rates of the old version and of good new versions.
	baseRates = rates{failure: 0.005, slowFirst: 0.02, slowGaps: 0.02, interrupted: 0.002}

	behaviours = []behaviour{
		{name: "good", prepare: func(*trial, *rand.Rand) {}},
		{name: "good, route slow for a time", prepare: prepareSharedSlowness},
		{name: "good during reclaims", prepare: prepareReclaims},
		{name: "good, requests crash endpoints", prepare: preparePoison},
		{name: "bad at once", bad: true, prepare: prepareFault},
		{name: "bad later", bad: true, prepare: prepareLater},
		{name: "bad under load", bad: true, prepare: prepareUnderLoad},
		{name: "bad on one route only", bad: true, prepare: prepareOneRoute},
		{name: "slow but right", bad: true, prepare: prepareSlow},
		{name: "crashes by itself", bad: true, prepare: prepareCrashes},
	}
)

// otherRoute is the behaviour on the second route of a version that is bad only on the first.
var otherRoute = behaviour{name: "good (other route of a bad one)"}

// newTrial draws the parameters of the trial with an index.
func newTrial(seed uint64, index int, s size, b behaviour) trial {
	trialSeed := seed*1_000_003 + uint64(index)*2_003 + uint64(s.replicas)
	r := rand.New(rand.NewPCG(trialSeed, 1))
	t := trial{
		seed: trialSeed, behaviour: b, size: s, routes: 1,
		rate: s.rate * logUniform(r, 0.5, 1.5), phase: r.Float64() * 2 * math.Pi,
		deadline:   20*60 + r.IntN(40*60),
		firstShare: []float64{0.01, 0.02, 0.05}[r.IntN(3)],
		loadShare:  -1,
	}
	if r.Float64() < 0.15 {
		t.outageFrom = r.IntN(t.deadline)
		t.outageUntil = t.outageFrom + 120 + r.IntN(280)
	}
	t.behaviour.prepare(&t, r)
	return t
}

func prepareSharedSlowness(t *trial, r *rand.Rand) {
	t.slowFrom = uniform(r, 0.1, 0.6) * float64(t.deadline)
	t.slowUntil = t.slowFrom + uniform(r, 0.2, 0.3)*float64(t.deadline)
}

func prepareReclaims(t *trial, r *rand.Rand) {
	for range 2 + r.IntN(4) {
		t.waves = append(t.waves, r.Float64()*float64(t.deadline))
	}
	t.hitNew, t.hitOld = r.Float64(), uniform(r, 0.2, 0.5)
}

func preparePoison(t *trial, r *rand.Rand) {
	for range 2 + r.IntN(4) {
		t.poison = append(t.poison, r.Float64()*0.9*float64(t.deadline))
	}
}

// prepareFault draws added failures in three of five cases and added slowness otherwise. The smallest
// increases are slightly above those at which a version counts as bad.
func prepareFault(t *trial, r *rand.Rand) {
	if r.IntN(5) < 3 {
		t.added.failure = logUniform(r, 0.04, 0.4)
		return
	}
	prepareSlow(t, r)
}

func prepareSlow(t *trial, r *rand.Rand) {
	added := logUniform(r, 0.12, 0.5)
	if r.IntN(2) == 0 {
		t.added.slowFirst = added
	} else {
		t.added.slowGaps = added
	}
}

func prepareLater(t *trial, r *rand.Rand) {
	prepareFault(t, r)
	t.onset = uniform(r, 0.1, 0.7) * float64(t.deadline)
}

func prepareUnderLoad(t *trial, r *rand.Rand) {
	prepareFault(t, r)
	t.loadShare = uniform(r, 0.2, 0.7)
}

func prepareOneRoute(t *trial, r *rand.Rand) {
	prepareFault(t, r)
	t.routes = 2
}

func prepareCrashes(t *trial, r *rand.Rand) {
	t.added.crash = logUniform(r, 0.04, 0.2)
}

// behaviourOf returns the behaviour of the new version on a route.
func (t trial) behaviourOf(route int) behaviour {
	if t.behaviour.bad && t.routes > 1 && route > 0 {
		return otherRoute
	}
	return t.behaviour
}

// badAt reports whether the new version is bad on a route at a time and with a share.
func (t trial) badAt(route int, at, share float64) bool {
	return t.behaviour.bad && route == 0 && at >= t.onset && share >= t.loadShare
}

// arrivalRate returns a route's request rate per second. It varies by ±40% with a period of an hour.
func (t trial) arrivalRate(at float64) float64 {
	return t.rate * (1 + 0.4*math.Sin(2*math.Pi*at/3600+t.phase))
}

// ratesAt returns the outcome probabilities of a request that arrives at a time.
func (t trial) ratesAt(at float64, bad bool) rates {
	p := baseRates
	if at >= t.slowFrom && at < t.slowUntil || t.inWave(at, waveSlowSeconds) {
		p.slowFirst += sharedSlowRate
		p.slowGaps += sharedSlowRate
	}
	if bad {
		p.failure += t.added.failure
		p.slowFirst += t.added.slowFirst
		p.slowGaps += t.added.slowGaps
		p.crash += t.added.crash
	}
	return p
}

// inWave reports whether a reclaim wave began within the given seconds.
func (t trial) inWave(at, seconds float64) bool {
	for _, w := range t.waves {
		if at >= w && at < w+seconds {
			return true
		}
	}
	return false
}

func uniform(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

func logUniform(r *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, r.Float64())
}

// poisson draws a count from a Poisson distribution with the given mean.
func poisson(r *rand.Rand, mean float64) int {
	limit, product := math.Exp(-mean), r.Float64()
	count := 0
	for product > limit {
		product *= r.Float64()
		count++
	}
	return count
}

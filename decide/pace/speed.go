package pace

import (
	"math"
	"slices"
	"time"
)

type (
	// Tally sums up the speeds that were observed at an endpoint, as logarithms of multiples of the usual one.
	Tally struct {
		Sum   float64
		Count int
	}

	// Speeds estimates the speeds of endpoints, each identified by a key that a restart changes. The methods change
	// it in place and are not safe for concurrent use.
	Speeds struct {
		estimates map[uint32]speedEstimate
	}

	// speedEstimate is a weighted mean of the logarithms that were observed at an endpoint.
	speedEstimate struct {
		mean, weight float64
		// credit is the weight that may be added at updatedAt.
		credit    float64
		updatedAt time.Time
	}

	// Comparison has the speeds of a service's endpoints relative to the usual one.
	Comparison struct {
		// Differ reports whether the endpoints differ so much that their speeds are to be used.
		Differ bool
		// Logs are the logarithms of the known speeds, in steps of LogStep. Errors are their standard errors.
		Logs   map[uint32]float64
		Errors map[uint32]float64
	}
)

const (
	// LogStep is the step in which the logarithms of speeds are exchanged, about 3%.
	LogStep = 1.0 / 32
	// MaxLog bounds the logarithm of a speed: from an eighth of the usual one to eight times.
	MaxLog = 2.08
	// MaxCount bounds the count of a tally.
	MaxCount = 255

	// maxResidual bounds the difference of an observation from the present estimate. In a slow phase of 2.5 times
	// it is 0.92, and a request that waits for others may differ by any amount.
	maxResidual = 0.6
	// observationError is the standard deviation of an observation after that bound, from slow phases of 2.5 times
	// that cover 15% of the time and from differing loads.
	observationError = 0.35
	// weightPerSecond bounds the weight that an endpoint's observations add in a second, since those of one slow
	// phase are not independent; firstCredit is the weight that may be added at once at first, and maxCredit later.
	// maxWeight makes the estimate follow within about 20 s of observations.
	weightPerSecond = 3
	firstCredit     = 1
	maxCredit       = 6
	maxWeight       = 60
	// weightHalfLife is the time in which an estimate without new observations loses half of its weight. priorWeight
	// is the weight of the usual speed, to which such an estimate returns.
	weightHalfLife = 60 * time.Second
	priorWeight    = 1
	// minWeight is the weight from which a speed is known, after 4 s of observations at least: with 6, engines that differ
	// by 8% were told apart after 1 s by the slow phases that some of them began in.
	minWeight = 12
	// differBand is how far a known speed must be from the usual one for the endpoints to differ, and alikeBand how
	// near all must be to be alike again. differErrors and alikeErrors standard errors are added to them: without
	// these, chance would tell apart hundreds of equal endpoints.
	differBand   = 0.15
	alikeBand    = 0.10
	differErrors = 4
	alikeErrors  = 2
	// halvesErrors is the number of standard errors by which the means of the faster and the slower half of equal endpoints
	// differ, and halvesSpreads the same as a multiple of the standard deviation within the halves, both for a normal
	// distribution. From minHalves endpoints on, these means tell apart kinds of endpoints whose difference is near the
	// band, from minSpreads on as soon as the halves are narrow.
	halvesErrors  = 1.6
	halvesSpreads = 2.66
	minHalves     = 6
	minSpreads    = 20
)

// With returns the tally with an observation. It is bounded relative to the present estimate of the endpoint, so that
// no single observation moves the mean far.
func (t Tally) With(observed, present float64) Tally {
	if math.IsNaN(observed) || t.Count >= MaxCount {
		return t
	}
	return t.Plus(Tally{Sum: clamp(present+clamp(observed-present, -maxResidual, maxResidual), -MaxLog, MaxLog), Count: 1})
}

// Plus returns the sum of two tallies. The mean is kept if the count exceeds its bound.
func (t Tally) Plus(o Tally) Tally {
	sum := Tally{Sum: t.Sum + o.Sum, Count: t.Count + o.Count}
	if sum.Count > MaxCount {
		return Tally{Sum: sum.Sum * MaxCount / float64(sum.Count), Count: MaxCount}
	}
	return sum
}

// Mean returns the mean of the observed logarithms, and 0 without any.
func (t Tally) Mean() float64 { return t.Sum / float64(max(t.Count, 1)) }

// NewSpeeds returns an estimator without observations.
func NewSpeeds() *Speeds { return &Speeds{estimates: map[uint32]speedEstimate{}} }

// Add adds what was observed at an endpoint.
func (s *Speeds) Add(key uint32, t Tally, now time.Time) {
	if t.Count <= 0 {
		return
	}
	e, known := s.estimates[key]
	if !known {
		e = speedEstimate{credit: firstCredit, updatedAt: now}
	}
	e = e.at(now)
	weight := min(float64(t.Count), e.credit)
	if weight <= 0 {
		return
	}
	e.credit -= weight
	e.mean += (t.Mean() - e.mean) * weight / (e.weight + weight)
	e.weight = min(e.weight+weight, maxWeight)
	s.estimates[key] = e
}

// Seed sets the speed of an endpoint that another estimator has told, unless something is known of it.
func (s *Speeds) Seed(key uint32, logarithm float64, now time.Time) {
	if s.estimates[key].weight < minWeight {
		s.estimates[key] = speedEstimate{mean: logarithm, weight: 2 * minWeight, updatedAt: now}
	}
}

// Retain removes the endpoints whose keys are not among the given ones.
func (s *Speeds) Retain(keys map[uint32]bool) {
	for key := range s.estimates {
		if !keys[key] {
			delete(s.estimates, key)
		}
	}
}

// Compare compares the endpoints of a service. differed is the result of the comparison before. The geometric mean of
// all known speeds is the usual one; whether they differ is measured from the median, since two kinds of engines are
// both near their mean. The endpoints with a known speed have a logarithm in the result.
func (s *Speeds) Compare(keys []uint32, differed bool, now time.Time) Comparison {
	c := Comparison{Logs: map[uint32]float64{}, Errors: map[uint32]float64{}}
	var logs []float64
	for _, key := range keys {
		e, known := s.estimates[key]
		if e = e.at(now); !known || e.weight < minWeight {
			continue
		}
		c.Logs[key] = e.mean * e.weight / (e.weight + priorWeight)
		c.Errors[key] = observationError / math.Sqrt(e.weight)
		logs = append(logs, c.Logs[key])
	}
	if len(logs) == 0 {
		return c
	}
	slices.Sort(logs)
	median, usual, errors := logs[(len(logs)-1)/2], mean(logs), 0.0
	band, bandErrors := differBand, float64(differErrors)
	if differed {
		band, bandErrors = alikeBand, alikeErrors
	}
	for key, logarithm := range c.Logs {
		c.Differ = c.Differ || math.Expm1(math.Abs(logarithm-median)) > band+bandErrors*c.Errors[key]
		c.Logs[key] = Quantize(logarithm - usual)
		errors += c.Errors[key] / float64(len(logs))
	}
	if len(logs) >= minHalves {
		difference, spread := halves(logs)
		chance := halvesErrors * errors
		if len(logs) >= minSpreads {
			chance = min(chance, halvesSpreads*spread)
		}
		c.Differ = c.Differ || math.Expm1(difference-chance) > band
	}
	return c
}

// halves returns the difference of the means of the upper and the lower half of sorted numbers, and the standard deviation
// within the halves.
func halves(sorted []float64) (difference, spread float64) {
	half := len(sorted) / 2
	lower, upper := sorted[:half], sorted[len(sorted)-half:]
	low, high := mean(lower), mean(upper)
	squares := 0.0
	for i := range half {
		squares += (lower[i]-low)*(lower[i]-low) + (upper[i]-high)*(upper[i]-high)
	}
	return high - low, math.Sqrt(squares / float64(2*half))
}

func mean(numbers []float64) float64 {
	sum := 0.0
	for _, n := range numbers {
		sum += n
	}
	return sum / float64(len(numbers))
}

// Factor returns the speed of an endpoint as a multiple of the usual one, which is also that of an endpoint whose speed is
// not known. It returns 0 if the endpoints don't differ.
func (c Comparison) Factor(key uint32) float64 {
	if !c.Differ {
		return 0
	}
	return math.Exp(c.Logs[key])
}

// MeanSpeed returns the mean of the known speeds, as multiples of the usual one, and 1 if none is known.
func (c Comparison) MeanSpeed() float64 {
	if len(c.Logs) == 0 {
		return 1
	}
	sum := 0.0
	for _, logarithm := range c.Logs {
		sum += math.Exp(logarithm)
	}
	return sum / float64(len(c.Logs))
}

// Quantize returns a logarithm in whole steps of LogStep, within the bounds.
func Quantize(logarithm float64) float64 {
	return math.Round(clamp(logarithm, -MaxLog, MaxLog)/LogStep) * LogStep
}

// at returns the estimate with its weight at a time.
func (e speedEstimate) at(now time.Time) speedEstimate {
	passed := max(now.Sub(e.updatedAt), 0)
	e.weight *= math.Exp2(-passed.Seconds() / weightHalfLife.Seconds())
	e.credit = min(e.credit+weightPerSecond*passed.Seconds(), maxCredit)
	e.updatedAt = now
	return e
}

package moves

import (
	"math"

	"lentilstage.dev/decide/odds"
	"lentilstage.dev/domain/value"
)

type (
	// metric is one property in which the new version is compared with the old one.
	metric struct {
		name string
		// event completes "requests ..." in reasons and says what is counted.
		event string
		// events returns the number of counted events.
		events func(Counts) int64
		// weight is the metric's fraction of the error rate of the stop test.
		weight float64
		// trials returns the number of requests in which the event could have occurred.
		trials func(Counts) int64
		// tolerance is the difference of rates below which no version is rolled back.
		tolerance float64
		// badDifference is the smallest difference of rates at which a version is bad.
		badDifference float64
		// grossDifference is the difference that must be ruled out before a share above
		// MaxShareByTime.
		grossDifference float64
	}

	// stopResult is the result of the stop test.
	stopResult struct {
		// strength is the test's value; the version is bad at stopStrength or above.
		strength float64
		// metric contributes most to the strength.
		metric metric
		// newRate and oldRate are the metric's rates over the steps that contribute most.
		newRate float64
		oldRate float64
	}
)

const (
	// MaxFalseRollbackRate is the maximum probability that a good version, which is not worse than
	// the old one in any metric, is rolled back.
	MaxFalseRollbackRate = 0.02
	// MaxFalsePassRate is the maximum probability that a bad version, which is worse in a metric by
	// at least its bad difference, finishes.
	MaxFalsePassRate = 0.05

	// stopStrength bounds the error rate: a nonnegative supermartingale that starts at 1 reaches 1/a
	// with a probability of at most a (Ville's inequality).
	stopStrength = 1 / MaxFalseRollbackRate
	// holdStrength is the strength of the stop test at which the share is no longer raised.
	holdStrength = 10
	// minProbeRequests is the minimum number of the old version's trials at the lowered share for
	// its rate there to be used.
	minProbeRequests = 30
	// suspectStrength is the likelihood ratio at which the share is lowered. A wrong suspicion
	// only costs time.
	suspectStrength = 10
	// passStrength leaves 0.01 of MaxFalsePassRate for the bound on the old version's rate.
	passStrength = 1 / (MaxFalsePassRate - 0.01)
	// lowerBoundZ is the one-sided 99% quantile of the normal distribution.
	lowerBoundZ = 2.326
)

var (
	// metrics are compared in both tests.
	metrics = []metric{
		{
			name: "Failures", event: "failed",
			events: func(c Counts) int64 { return c.Failures }, trials: requests,
			weight: 0.4, tolerance: 0.005, badDifference: 0.03, grossDifference: 0.15,
		},
		{
			name: "SlowFirst", event: "were slow to the first token",
			events: func(c Counts) int64 { return c.SlowFirst }, trials: requests,
			weight: 0.2, tolerance: 0.02, badDifference: 0.10, grossDifference: 0.25,
		},
		{
			name: "SlowGaps", event: "were slow between tokens",
			events: func(c Counts) int64 { return c.SlowGaps }, trials: requests,
			weight: 0.2, tolerance: 0.02, badDifference: 0.10, grossDifference: 0.25,
		},
		{
			// A bad version must not pass because its failures are excluded: a good one has
			// interrupted connections and crashing requests as often as the old one.
			name: "Doubtful", event: "were interrupted or crashed with a suspect request",
			events: func(c Counts) int64 { return c.Doubtful },
			trials: func(c Counts) int64 { return c.Requests + c.Doubtful },
			weight: 0.2, tolerance: 0.005, badDifference: 0.03, grossDifference: 0.15,
		},
	}

	// suspectRatios are the alternatives of detectSuspect, as multiples of the expected rate.
	suspectRatios = []float64{1.5, 3, 8}

	// passRatios are the alternatives of the pass test, as fractions of the bad rate.
	passRatios = []float64{0.1, 0.35, 0.6, 0.8}
)

// stopTest tests whether the new version is worse than the old one, by the weighted mean of likelihood
// ratios over metrics, odds ratios and the first step at which the version is bad. See package odds.
func stopTest(evidence Evidence, steps int) stopResult {
	var result stopResult
	largestPart := 0.0
	for _, m := range metrics {
		weight := m.weight / float64(len(odds.Ratios)*steps)
		sums := make([]float64, len(odds.Ratios))
		var window StepEvidence
		for i := len(evidence) - 1; i >= 0; i-- {
			s := evidence[i]
			window.New = window.New.plus(s.New)
			window.Old = window.Old.plus(s.Old)
			newEvents, oldEvents := float64(m.events(s.New)), float64(m.events(s.Old))
			share := observedShare(s)
			newRate, oldRate := m.rate(window.New), m.rate(window.Old)
			for r, ratio := range odds.Ratios {
				sums[r] += odds.Log(newEvents, oldEvents, share, ratio)
				sameStep := i > 0 && evidence[i-1].Step == s.Step
				if sameStep || newRate-oldRate < m.tolerance {
					continue
				}
				part := weight * odds.Exp(sums[r])
				result.strength += part
				if part > largestPart {
					largestPart = part
					result.metric, result.newRate, result.oldRate = m, newRate, oldRate
				}
			}
		}
	}
	return result
}

// observedShare returns the probability with which a request went to the new version, or the observed
// fraction of requests if that is greater. A greater value only weakens the stop test.
func observedShare(s StepEvidence) float64 {
	if all := s.New.Requests + s.Old.Requests; all > 0 {
		return max(s.Share, float64(s.New.Requests)/float64(all))
	}
	return s.Share
}

// detectSuspect returns a metric whose rate at the present step is higher than the usual rate of the
// old version, if there is any. It needs fewer requests than the stop test, because it also compares
// with other periods. It proves nothing, since the whole route may have changed; the evidence at the
// lowered share soon shows whether it has.
func detectSuspect(current, probe StepEvidence, baseline Counts) value.Option[metric] {
	for _, m := range metrics {
		events, trials := float64(m.events(current.New)), float64(m.trials(current.New))
		expected := max(m.rate(baseline), m.rate(current.Old)) + m.tolerance
		if m.trials(probe.Old) >= minProbeRequests {
			expected = max(expected, m.rate(probe.Old)+m.tolerance)
		}
		if events < expected*trials {
			continue
		}
		var strength float64
		for _, ratio := range suspectRatios {
			rate := min(ratio*expected, 0.95)
			log := events*math.Log(rate/expected) + (trials-events)*math.Log((1-rate)/(1-min(expected, 0.9)))
			strength += odds.Exp(log) / float64(len(suspectRatios))
		}
		if strength >= suspectStrength {
			return value.Some(m)
		}
	}
	return value.None[metric]()
}

// requests returns the number of requests that ended without an exclusion.
func requests(c Counts) int64 { return c.Requests }

// rate returns the events per trial, or 0 without trials.
func (m metric) rate(c Counts) float64 {
	return float64(m.events(c)) / float64(max(m.trials(c), 1))
}

// passTest returns the strength of the evidence that the new version's rate is below the old version's
// rate plus the difference. If the rate is at least that sum, the strength reaches x with a
// probability of at most 1/x, plus 0.01 for the bound on the old version's rate.
func passTest(m metric, s StepEvidence, difference float64) float64 {
	bad := min(wilsonLowerBound(m.events(s.Old), m.trials(s.Old))+difference, 0.99)
	events := float64(min(m.events(s.New), m.trials(s.New)))
	clean := float64(m.trials(s.New)) - events
	var strength float64
	for _, ratio := range passRatios {
		rate := bad * ratio
		log := events*math.Log(ratio) + clean*math.Log((1-rate)/(1-bad))
		strength += odds.Exp(log) / float64(len(passRatios))
	}
	return strength
}

// passTestAll returns the lowest strength of the pass test over all metrics, and the metric with the
// lowest strength if that is insufficient.
func passTestAll(s StepEvidence, difference func(metric) float64) (insufficient value.Option[metric], lowest float64) {
	lowest = math.Inf(1)
	for _, m := range metrics {
		strength := passTest(m, s, difference(m))
		if strength < lowest {
			lowest = strength
			if strength < passStrength {
				insufficient = value.Some(m)
			}
		}
	}
	return insufficient, lowest
}

// wilsonLowerBound returns Wilson's one-sided 99% lower bound of a rate, or 0 without events.
func wilsonLowerBound(events, requests int64) float64 {
	if requests <= 0 || events <= 0 {
		return 0
	}
	n := float64(requests)
	p := min(float64(events)/n, 1)
	z2 := lowerBoundZ * lowerBoundZ
	centre := p + z2/(2*n)
	spread := lowerBoundZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return max((centre-spread)/(1+z2/n), 0)
}

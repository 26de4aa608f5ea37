// Package pace estimates how fast the engines of a service work, from the requests that they have run.
//
// Platforms tell how many requests fit into an engine's batch, but not how fast it reads a prompt. A
// prediction with a fixed rate refuses requests that a fast engine would serve in time, and orders
// several times the engines that are needed. A daemon therefore fits a line through the times to the
// first token of requests at lightly loaded engines, by the prompt tokens that had to be computed: its
// slope is the time of a token, its intercept what every request takes.
//
// Endpoints of one service may differ in speed without saying so, as on a deployment with 89 engines of 0.6,
// 1.0 and 1.6 of the usual speed, each of which is 2.5 times slower for 0.6 s at a time. Speeds estimates a
// factor for each endpoint from what all daemons observe there. The fit uses times that are multiplied by the
// endpoint's factor, so that it describes the usual engine whatever the mix.
//
// # Usage
//
//	state := pace.New()
//	observed, known := state.RecordFirst(pace.First{Tokens: 2400, Wait: 61 * time.Millisecond})
//	state.RecordAnswer(pace.Answer{Tokens: 120, Took: 900 * time.Millisecond})
//	estimate := state.Estimate()
//	if known {
//		speeds.Add(key, pace.Tally{}.With(observed, speeds.Log(key)), now)
//	}
//	compared := speeds.Compare(keys, differed)
//	wait := estimate.At(compared.Factor(key)).FirstMS
//
// The methods change the state in place and are not safe for concurrent use.
package pace

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

type (
	// First is the time to a request's first token.
	First struct {
		// Tokens is the number of prompt tokens that the engine was expected to compute.
		Tokens int
		Wait   time.Duration
		// Speed is the endpoint's speed as a multiple of the usual one; 0 stands for 1.
		Speed float64
	}

	// Answer is the time between the first and the last token of a response.
	Answer struct {
		// Tokens is the number of tokens after the first.
		Tokens int
		Took   time.Duration
		// Speed is as in First.
		Speed float64
	}

	// Plain is the time of a response of a plain service.
	Plain struct {
		Took time.Duration
		// Speed is as in First.
		Speed float64
	}

	// Wait is the time to a request's first token at an engine with any load.
	Wait struct {
		// Predicted is the prediction without Estimate.ExtraMS.
		Predicted, Observed time.Duration
		// Speed is as in First.
		Speed float64
	}

	// Estimate describes an engine. Its zero value stands for Default.
	Estimate struct {
		// PrefillPerMS is the number of prompt tokens that a busy engine computes per millisecond.
		PrefillPerMS float64
		// FirstMS is the part of the time to the first token that does not depend on the prompt, and
		// TokenMS the time between two tokens of a response, both in milliseconds.
		FirstMS, TokenMS float64
		// PlainMS is the time of a response of a plain service in milliseconds; 0 if unknown.
		PlainMS float64
		// ExtraMS is the time that requests usually wait longer for their first token than is predicted from the rest
		// and from the loads in digests, in milliseconds: loads are a few hundred milliseconds old. Only At uses it.
		ExtraMS float64
	}

	// State holds the last requests of a service.
	State struct {
		// classes holds the last requests by the size of their prompt: class n has those of less
		// than 2^n tokens.
		classes [maxClass + 1]ring
		answers ring
		plain   ring
		extra   ring
		// fitted reports whether the prefill rate comes from samples.
		fitted bool
		// estimate is up to date unless stale is set.
		estimate Estimate
		stale    bool
	}

	// ring holds the last samples, each a number of tokens and a time in milliseconds.
	ring struct {
		samples []sample
		next    int
	}

	sample struct{ tokens, ms float64 }
)

const (
	// maxClass is the class of the largest prompts, of 2^16 tokens and more.
	maxClass = 17
	// ringSize is the number of samples of a class; the oldest is replaced. minSamples is the number
	// from which a class is used.
	ringSize   = 32
	minSamples = 8
	// minSpan is the ratio of the largest to the smallest class's tokens from which a slope is
	// determined.
	minSpan = 3
	// quantile is the part of a class's samples below the time that stands for the class: some
	// requests wait for others that this daemon does not know of.
	quantile = 0.4
	// busyFraction is the rate of a busy engine as a fraction of that of an idle one: it generates
	// tokens between the chunks of a prompt.
	busyFraction = 0.9
	// minPrefillPerMS and maxPrefillPerMS bound the rate, maxFirstMS the fixed time.
	minPrefillPerMS = 5
	maxPrefillPerMS = 1000
	maxFirstMS      = 300
	// minAnswerTokens is the number of tokens from which a response tells the time of one.
	minAnswerTokens  = 10
	minTokenMS       = 0.5
	maxTokenMS       = 100
	answerQuantile   = 0.5
	minAnswerSamples = 8
	// minPlainMS and maxPlainMS bound the time of a plain service's response.
	minPlainMS = 1
	maxPlainMS = 2000
	// minUsualMS is the shortest usual time to the first token that shows an engine's speed: below it the network
	// and the scheduler of the machine make up most of the time.
	minUsualMS = 5
)

// Default is the estimate of an engine that is not known yet: the documented rates of the engines of
// several services are 44 and 50 prompt tokens per millisecond while idle.
var Default = Estimate{PrefillPerMS: 40, TokenMS: 8}

// New returns a state without samples.
func New() *State { return &State{estimate: Default} }

// RecordFirst adds the time to a request's first token. It must have been sent to an engine that was
// not known to have prompts to compute. It returns the logarithm of the speed that the time shows, as a multiple of
// the usual speed, and whether that is known.
func (s *State) RecordFirst(f First) (observed float64, known bool) {
	if f.Tokens <= 0 || f.Wait <= 0 {
		return 0, false
	}
	if e := s.Estimate(); s.fitted {
		usual := e.FirstMS + float64(f.Tokens)*busyFraction/e.PrefillPerMS
		observed, known = logRatio(usual, f.Wait), usual >= minUsualMS
	}
	s.classes[min(bits.Len(uint(f.Tokens)), maxClass)].add(float64(f.Tokens), f.Wait, f.Speed)
	s.stale = true
	return observed, known
}

// RecordAnswer adds the time of a response. It returns the same as RecordFirst.
func (s *State) RecordAnswer(a Answer) (observed float64, known bool) {
	if a.Tokens < minAnswerTokens || a.Took <= 0 {
		return 0, false
	}
	if e := s.Estimate(); len(s.answers.samples) >= minAnswerSamples {
		observed, known = logRatio(e.TokenMS*float64(a.Tokens), a.Took), true
	}
	s.answers.add(float64(a.Tokens), a.Took, a.Speed)
	s.stale = true
	return observed, known
}

// RecordPlain adds the time of a response of a plain service. The endpoint must have had a free slot. It returns
// the same as RecordFirst.
func (s *State) RecordPlain(p Plain) (observed float64, known bool) {
	if p.Took <= 0 {
		return 0, false
	}
	if e := s.Estimate(); e.PlainMS > 0 {
		observed, known = logRatio(e.PlainMS, p.Took), true
	}
	s.plain.add(1, p.Took, p.Speed)
	s.stale = true
	return observed, known
}

// RecordWait adds the time to a request's first token at an engine with any load.
func (s *State) RecordWait(w Wait) {
	if w.Observed > 0 {
		s.extra.add(1, w.Observed-w.Predicted, w.Speed)
		s.stale = true
	}
}

// logRatio returns the logarithm of the ratio of a time in milliseconds to an observed one.
func logRatio(usualMS float64, observed time.Duration) float64 {
	return math.Log(usualMS * float64(time.Millisecond) / float64(observed))
}

// Estimate returns the estimate from the samples so far.
func (s *State) Estimate() Estimate {
	if !s.stale {
		return s.estimate
	}
	s.stale = false
	s.estimate, s.fitted = s.estimate.withPrefill(s.classes[:], s.fitted)
	if len(s.answers.samples) >= minAnswerSamples {
		s.estimate.TokenMS = clamp(s.answers.median(), minTokenMS, maxTokenMS)
	}
	if len(s.plain.samples) >= minAnswerSamples {
		s.estimate.PlainMS = clamp(s.plain.median(), minPlainMS, maxPlainMS)
	}
	if len(s.extra.samples) >= minAnswerSamples {
		s.estimate.ExtraMS = clamp(s.extra.median(), 0, maxFirstMS)
	}
	return s.estimate
}

// At returns the estimate of an endpoint with a speed, as a multiple of the usual one. Speed 0 stands for endpoints that
// don't differ and returns the estimate as it is.
func (e Estimate) At(speed float64) Estimate {
	if speed == 0 {
		return e
	}
	e.PrefillPerMS *= speed
	e.FirstMS = (e.FirstMS + e.ExtraMS) / speed
	e.ExtraMS /= speed
	e.TokenMS /= speed
	e.PlainMS /= speed
	return e
}

// withPrefill returns the estimate with the line through the classes' points, by least squares. Without
// enough classes it returns the estimate as it is. fitted reports whether the line was ever determined.
func (e Estimate) withPrefill(classes []ring, fitted bool) (Estimate, bool) {
	var points []sample
	for _, c := range classes {
		if len(c.samples) >= minSamples {
			points = append(points, c.point())
		}
	}
	if len(points) < 2 || points[len(points)-1].tokens < minSpan*points[0].tokens {
		return e, fitted
	}
	var meanTokens, meanMS float64
	for _, p := range points {
		meanTokens += p.tokens / float64(len(points))
		meanMS += p.ms / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.tokens - meanTokens) * (p.ms - meanMS)
		variance += (p.tokens - meanTokens) * (p.tokens - meanTokens)
	}
	if covariance <= 0 {
		// Larger prompts don't take longer: the engines are too busy to tell.
		return e, fitted
	}
	slope := covariance / variance
	e.PrefillPerMS = clamp(busyFraction/slope, minPrefillPerMS, maxPrefillPerMS)
	e.FirstMS = clamp(meanMS-slope*meanTokens, 0, maxFirstMS)
	return e, true
}

// add adds a sample, with its time at the usual speed, and drops the oldest if there are too many.
func (r *ring) add(tokens float64, took time.Duration, speed float64) {
	s := sample{tokens: tokens, ms: float64(took) / float64(time.Millisecond)}
	if speed > 0 {
		s.ms *= speed
	}
	if len(r.samples) < ringSize {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % ringSize
}

// point returns the mean tokens of the samples with the time that stands for them.
func (r *ring) point() sample {
	var p sample
	times := make([]float64, 0, len(r.samples))
	for _, s := range r.samples {
		p.tokens += s.tokens / float64(len(r.samples))
		times = append(times, s.ms)
	}
	p.ms = quantileOf(times, quantile)
	return p
}

// median returns the median time of a token in milliseconds.
func (r *ring) median() float64 {
	perToken := make([]float64, 0, ringSize)
	for _, s := range r.samples {
		perToken = append(perToken, s.ms/s.tokens)
	}
	return quantileOf(perToken, answerQuantile)
}

// quantileOf returns a quantile of values, which it sorts.
func quantileOf(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }

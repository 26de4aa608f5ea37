// Package pace estimates how fast the engines of a service work, from the requests that they have run.
//
// Platforms tell how many requests fit into an engine's batch, but not how fast it reads a prompt. A
// prediction with a fixed rate refuses requests that a fast engine would serve in time, and orders
// several times the engines that are needed. A daemon therefore fits a line through the times to the
// first token of requests at lightly loaded engines, by the prompt tokens that had to be computed: its
// slope is the time of a token, its intercept what every request takes.
//
// # Usage
//
//	state := pace.New()
//	state.RecordFirst(pace.First{Tokens: 2400, Wait: 61 * time.Millisecond})
//	state.RecordAnswer(pace.Answer{Tokens: 120, Took: 900 * time.Millisecond})
//	estimate := state.Estimate()
//
// The methods change the state in place and are not safe for concurrent use.
package pace

import (
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
	}

	// Answer is the time between the first and the last token of a response.
	Answer struct {
		// Tokens is the number of tokens after the first.
		Tokens int
		Took   time.Duration
	}

	// Estimate describes an engine. Its zero value stands for Default.
	Estimate struct {
		// PrefillPerMS is the number of prompt tokens that a busy engine computes per millisecond.
		PrefillPerMS float64
		// FirstMS is the part of the time to the first token that does not depend on the prompt, and
		// TokenMS the time between two tokens of a response, both in milliseconds.
		FirstMS, TokenMS float64
	}

	// State holds the last requests of a service.
	State struct {
		// classes holds the last requests by the size of their prompt: class n has those of less
		// than 2^n tokens.
		classes [maxClass + 1]ring
		answers ring
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
)

// Default is the estimate of an engine that is not known yet: the documented rates of the engines of
// several services are 44 and 50 prompt tokens per millisecond while idle.
var Default = Estimate{PrefillPerMS: 40, TokenMS: 8}

// New returns a state without samples.
func New() *State { return &State{estimate: Default} }

// RecordFirst adds the time to a request's first token. It must have been sent to an engine that was
// not known to have prompts to compute.
func (s *State) RecordFirst(f First) {
	if f.Tokens <= 0 || f.Wait <= 0 {
		return
	}
	s.classes[min(bits.Len(uint(f.Tokens)), maxClass)].add(float64(f.Tokens), f.Wait)
	s.stale = true
}

// RecordAnswer adds the time of a response.
func (s *State) RecordAnswer(a Answer) {
	if a.Tokens < minAnswerTokens || a.Took <= 0 {
		return
	}
	s.answers.add(float64(a.Tokens), a.Took)
	s.stale = true
}

// Estimate returns the estimate from the samples so far.
func (s *State) Estimate() Estimate {
	if !s.stale {
		return s.estimate
	}
	s.stale = false
	s.estimate = s.estimate.withPrefill(s.classes[:])
	if len(s.answers.samples) >= minAnswerSamples {
		perToken := make([]float64, 0, ringSize)
		for _, a := range s.answers.samples {
			perToken = append(perToken, a.ms/a.tokens)
		}
		s.estimate.TokenMS = clamp(quantileOf(perToken, answerQuantile), minTokenMS, maxTokenMS)
	}
	return s.estimate
}

// withPrefill returns the estimate with the line through the classes' points, by least squares. Without
// enough classes it returns the estimate as it is.
func (e Estimate) withPrefill(classes []ring) Estimate {
	var points []sample
	for _, c := range classes {
		if len(c.samples) >= minSamples {
			points = append(points, c.point())
		}
	}
	if len(points) < 2 || points[len(points)-1].tokens < minSpan*points[0].tokens {
		return e
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
		return e
	}
	slope := covariance / variance
	e.PrefillPerMS = clamp(busyFraction/slope, minPrefillPerMS, maxPrefillPerMS)
	e.FirstMS = clamp(meanMS-slope*meanTokens, 0, maxFirstMS)
	return e
}

// add adds a sample and drops the oldest if there are too many.
func (r *ring) add(tokens float64, took time.Duration) {
	s := sample{tokens: tokens, ms: float64(took) / float64(time.Millisecond)}
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

// quantileOf returns a quantile of values, which it sorts.
func quantileOf(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }

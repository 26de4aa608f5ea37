// Package odds tests whether events fall on the new one of two versions more often than its share of the
// requests explains.
//
// If the new version is not worse, an event belongs to it with a probability of at most its share, whatever
// the common rate is at the time. The likelihood ratio of higher odds against this is a nonnegative
// supermartingale that starts at 1, and so is a weighted mean of several: it reaches x with a probability of
// at most 1/x, however often it is evaluated (Ville's inequality).
//
// # Usage
//
//	strength := odds.Ratio(newEvents, oldEvents, share)
//	if strength >= 50 { ... }
package odds

import "math"

// Ratios are the alternatives: the factors by which the odds of an event are higher at the new version.
// The low ones are for versions of which a part of the answers is bad.
var Ratios = []float64{2, 6, 30}

// maxLog is the largest logarithm whose exponential is still far from the largest float64.
const maxLog = 600

// Log returns the logarithm of the likelihood ratio of one alternative. share is the probability in (0, 1)
// with which a request goes to the new version; a greater value only weakens the test.
func Log(newEvents, oldEvents, share, ratio float64) float64 {
	return newEvents*math.Log(ratio) - (newEvents+oldEvents)*math.Log(ratio*share+1-share)
}

// Exp returns the exponential of a sum of logarithms, bounded so that it stays finite.
func Exp(log float64) float64 { return math.Exp(min(log, maxLog)) }

// Ratio returns the mean likelihood ratio over all alternatives.
func Ratio(newEvents, oldEvents, share float64) float64 {
	sum := 0.0
	for _, ratio := range Ratios {
		sum += Exp(Log(newEvents, oldEvents, share, ratio)) / float64(len(Ratios))
	}
	return sum
}
